package dfumembership

import (
	"cmp"
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Config holds the intervals and limits of the protocol.
type Config struct {
	// TickPeriod is the time between two ticks.
	TickPeriod dfuclock.Duration
	// ProbePeriod is the length of a protocol period: the time between two
	// probes.
	ProbePeriod dfuclock.Duration
	// AckTimeout is how long to wait for an answer before asking other members
	// to probe.
	AckTimeout dfuclock.Duration
	// IndirectProbes is the number of members asked to probe.
	IndirectProbes int
	// SuspicionTimeout is the time after which a suspected member is declared
	// dead. It is multiplied by one plus the node's own count of failed probes,
	// up to MaxHealth+1.
	SuspicionTimeout dfuclock.Duration
	// MaxHealth limits the node's own count of failed probes.
	MaxHealth int
	// GossipPeriod is the time between two gossip rounds.
	GossipPeriod dfuclock.Duration
	// GossipFanout is the number of members contacted in a round.
	GossipFanout int
	// SendFactor determines how often a node sends one update: SendFactor times
	// the logarithm of the region's size.
	SendFactor int
	// PacketUpdates limits the updates in one message.
	PacketUpdates int
	// SyncPeriod is the minimum time between two syncs started by the node.
	SyncPeriod dfuclock.Duration
	// SyncUpdates limits the updates in one sync reply.
	SyncUpdates int
	// SettlePeriod is the time without changes after which a differing digest
	// means that updates were lost rather than that they are still being sent.
	SettlePeriod dfuclock.Duration
	// SeedPeriod is the time between two attempts to contact a member that is
	// listed on a zone page but not known to be alive.
	SeedPeriod dfuclock.Duration
	// JoinPeriod is how long a node tries to synchronize with a member that has
	// joined. After that it counts as joined itself.
	JoinPeriod dfuclock.Duration
	// MeetPeriod is how long nodes that start together take to discover each other. A node
	// that has not joined by then relies on the members that it knows.
	MeetPeriod dfuclock.Duration
	// DeadRetention is how long members that died or left are remembered.
	DeadRetention dfuclock.Duration
	// WatchProbePeriod is the time between two probes of the zone's watchers by a
	// member that ranks behind them.
	WatchProbePeriod dfuclock.Duration
	// RegionFailures is the number of consecutive failed probes after which a
	// region counts as unreachable.
	RegionFailures int
	// Members limits the number of known members.
	Members int
}

// DefaultConfig returns the configuration used by the daemon.
func DefaultConfig() Config {
	return Config{
		TickPeriod:       100 * dfuclock.Millisecond,
		ProbePeriod:      dfuclock.Second,
		AckTimeout:       400 * dfuclock.Millisecond,
		IndirectProbes:   3,
		SuspicionTimeout: 5 * dfuclock.Second,
		MaxHealth:        8,
		GossipPeriod:     200 * dfuclock.Millisecond,
		GossipFanout:     3,
		SendFactor:       1,
		PacketUpdates:    64,
		SyncPeriod:       2 * dfuclock.Second,
		SyncUpdates:      256,
		SettlePeriod:     2 * dfuclock.Second,
		SeedPeriod:       5 * dfuclock.Second,
		JoinPeriod:       5 * dfuclock.Second,
		MeetPeriod:       dfuclock.Second,
		DeadRetention:    10 * dfuclock.Minute,
		WatchProbePeriod: 500 * dfuclock.Millisecond,
		RegionFailures:   4,
		Members:          4096,
	}
}

// pauseRecoveryPings is the number of members contacted after a pause to obtain
// missed updates.
const pauseRecoveryPings = 2

// Self describes the node that the Machine runs on.
type Self struct {
	Member dfuident.Member
	Place  dfuident.Place
	Peer   dfuident.Address
	HTTP   dfuident.Address
}

// Counts holds event counters.
type Counts struct {
	// Stale is the number of updates older than the known state.
	Stale uint64 `json:"stale"`
	// Refused is the number of updates ignored because Config.Members was
	// reached.
	Refused uint64 `json:"refused"`
	// Refutations is the number of times this node refuted updates about
	// itself.
	Refutations uint64 `json:"refutations"`
	// Pauses is the number of pauses of this process longer than a probe
	// period.
	Pauses uint64 `json:"pauses"`
	// Syncs is the number of syncs started by this node.
	Syncs uint64 `json:"syncs"`
}

// Machine is the membership state machine of one node. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	region  dfuident.Region
	contact Contact
	counts  Counts

	self    *member
	members map[dfuident.NodeID]*member
	// order holds the members in the order in which they became known, so that
	// random choices are reproducible.
	order       []*member
	topology    topology
	gossipQueue gossipQueue
	sync        syncState
	probe       probeState
	watchProbes watchProbes

	regions    map[dfuident.Region]*regionState
	seeds      []Seed
	nextSeedAt dfuclock.Time
	lastTick   dfuclock.Time
	started    bool
	startedAt  dfuclock.Time
	actions    []Action
	changed    map[dfuident.NodeID]*member
}

// member is the known state of one member. Its details are never nil.
type member struct {
	update Update
	// score orders the members of a zone for the roles of bridge and watcher.
	score uint64
	// deadline is when a suspected member is declared dead, or a dead one
	// forgotten.
	deadline dfuclock.Time
	// heardAt is when the latest message from the member arrived.
	heardAt dfuclock.Time
	// unresponsive is set if the present run has not answered a watch probe of this node
	// and has not sent anything to it since.
	unresponsive bool
}

// New returns the Machine of a node that knows no other members.
func New(self Self, cfg Config, rng *rand.Rand) *Machine {
	selfMember := newMember(Update{
		Member:  self.Member,
		Version: 1,
		Details: &Details{Place: self.Place, Peer: self.Peer, HTTP: self.HTTP},
	})
	return &Machine{
		cfg:         cfg,
		rng:         rng,
		region:      self.Place.Region,
		contact:     Contact{Member: self.Member, Region: self.Place.Region, Address: self.Peer},
		self:        selfMember,
		members:     map[dfuident.NodeID]*member{self.Member.Node: selfMember},
		order:       []*member{selfMember},
		topology:    topology{stale: true},
		gossipQueue: newGossipQueue(),
		regions:     make(map[dfuident.Region]*regionState),
		changed:     make(map[dfuident.NodeID]*member),
	}
}

// Step processes one event and returns the resulting actions.
func (m *Machine) Step(now dfuclock.Time, event Event) []Action {
	m.actions = nil
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.receive(now, e.Message)
	case Announced:
		m.announce(now, e)
	case StoreChecked:
		m.announceStore(now, e.Lost)
	case SeedsListed:
		m.setSeeds(e.Seeds)
	}
	m.reportChanges()
	return m.actions
}

// Self returns the node's update about itself.
func (m *Machine) Self() Update {
	return m.self.update
}

// Members returns the updates of all known members including the node itself,
// in the order in which they became known.
func (m *Machine) Members() []Update {
	updates := make([]Update, len(m.order))
	for i, h := range m.order {
		updates[i] = h.update
	}
	return updates
}

// Counts returns the counters since New.
func (m *Machine) Counts() Counts {
	return m.counts
}

func (m *Machine) tick(now dfuclock.Time) {
	if !m.started {
		m.start(now)
	}
	gap := now.Sub(m.lastTick)
	if gap > m.cfg.ProbePeriod {
		m.handlePause(now, gap)
	}
	m.delayWatchProbes(gap)
	m.lastTick = now
	m.expire(now)
	m.stepProbes(now)
	m.stepWatchProbes(now)
	m.stepGossip(now)
	m.stepSeeds(now)
}

// start delays the first of each periodic action by a random part of its
// period, so that nodes started together don't act in lockstep.
func (m *Machine) start(now dfuclock.Time) {
	m.started = true
	m.startedAt = now
	m.lastTick = now
	m.probe.next = now.Add(m.jitter(m.cfg.ProbePeriod))
	m.watchProbes.next = now.Add(m.jitter(m.cfg.WatchProbePeriod))
	m.gossipQueue.next = now.Add(m.jitter(m.cfg.GossipPeriod))
	m.nextSeedAt = now.Add(m.jitter(m.cfg.SeedPeriod))
	m.gossipQueue.add(m.self, m.sendLimit())
}

// handlePause is called after a pause of the process. Deadlines of suspects
// are extended by the gap, since answers that arrived meanwhile were not
// processed. Other members may suspect this node, so it immediately announces
// that it is alive and requests the updates it missed.
func (m *Machine) handlePause(now dfuclock.Time, gap dfuclock.Duration) {
	m.counts.Pauses++
	m.probe.pending = nil
	m.probe.next = now
	for _, h := range m.order {
		if h.update.State == Suspect {
			h.deadline = h.deadline.Add(gap)
		}
	}
	m.advanceVersion(now, m.self.update.Version+1)
	m.sync.missedUpdates = true
	m.sync.next = now
	for _, h := range m.pickSome(m.currentTopology().gossipPeers, pauseRecoveryPings) {
		m.probe.sequence++
		m.ping(h.contact(), m.probe.sequence)
	}
}

func (m *Machine) announce(now dfuclock.Time, e Announced) {
	u := &m.self.update
	details := *u.Details
	if !e.Left {
		details.Target = e.Target
	}
	if u.State == Left || (*u.Details == details && !e.Left) {
		return
	}
	u.Details = &details
	if e.Left {
		u.State = Left
	}
	m.advanceVersion(now, u.Version+1)
}

// announceStore announces whether the node has lost the store.
func (m *Machine) announceStore(now dfuclock.Time, lost bool) {
	u := &m.self.update
	if u.State == Left || u.Details.StoreLost == lost {
		return
	}
	details := *u.Details
	details.StoreLost = lost
	u.Details = &details
	m.advanceVersion(now, u.Version+1)
}

// advanceVersion sets the version of the node's own update and sends it to
// every zone immediately.
func (m *Machine) advanceVersion(now dfuclock.Time, version uint64) {
	m.self.update.Version = version
	m.markChanged(now, m.self)
	m.gossipQueue.add(m.self, m.sendLimit())
	if m.started {
		m.broadcastSelf(now)
	}
}

// applyUpdate applies a received update. If spread is set, changes are queued
// for gossip.
func (m *Machine) applyUpdate(now dfuclock.Time, u Update, spread bool) {
	if u.Member.Node == m.self.update.Member.Node {
		m.refute(now, u)
		return
	}
	h, ok := m.members[u.Member.Node]
	if !ok {
		h = m.add(u)
	} else if !m.updateMember(h, u) {
		return
	}
	if h == nil {
		return
	}
	h.deadline = now.Add(m.stateTimeout(u.State))
	m.markChanged(now, h)
	if spread {
		m.gossipQueue.add(h, m.sendLimit())
	}
}

// updateMember replaces a member's update by a newer one and reports whether it
// was newer.
func (m *Machine) updateMember(h *member, u Update) bool {
	if !supersedes(u, h.update) {
		if supersedes(h.update, u) {
			m.counts.Stale++
		}
		return false
	}
	if u.Details == nil {
		u.Details = h.update.Details
	}
	if h.update.Member != u.Member {
		h.unresponsive = false
	}
	h.update = u
	return true
}

// add adds a member. A member that is new to this node and already dead or has
// left is not added; otherwise nodes would pass on the memory of dead members
// forever.
func (m *Machine) add(u Update) *member {
	if u.Details == nil || u.State >= Dead {
		return nil
	}
	if len(m.members) >= m.cfg.Members {
		m.counts.Refused++
		return nil
	}
	h := newMember(u)
	m.members[u.Member.Node] = h
	m.order = append(m.order, h)
	return h
}

// refute handles updates about this node from others. It raises the node's
// version above theirs. If they concern a later run, this run is superseded
// instead.
func (m *Machine) refute(now dfuclock.Time, u Update) {
	self := m.self.update
	if u.Member.Incarnation > self.Member.Incarnation {
		m.addAction(Superseded{By: u.Member})
		return
	}
	if u.Member.Incarnation < self.Member.Incarnation || !supersedes(u, self) {
		return
	}
	m.counts.Refutations++
	m.advanceVersion(now, u.Version+1)
}

// expire declares suspects dead and forgets dead members once their deadline
// has passed. Only members of the same region are declared dead.
func (m *Machine) expire(now dfuclock.Time) {
	var forgotten []dfuident.NodeID
	for _, h := range m.order {
		if h.update.State == Alive || h == m.self || now.Before(h.deadline) {
			continue
		}
		if h.update.State != Suspect {
			forgotten = append(forgotten, h.update.Member.Node)
		} else if h.update.Details.Place.Region == m.region {
			u := h.update
			u.State = Dead
			m.applyUpdate(now, u, true)
		}
	}
	if len(forgotten) > 0 {
		m.forget(forgotten)
	}
}

func (m *Machine) forget(nodes []dfuident.NodeID) {
	for _, id := range nodes {
		m.gossipQueue.remove(m.members[id])
		delete(m.members, id)
	}
	kept := m.order[:0]
	for _, h := range m.order {
		if m.members[h.update.Member.Node] == h {
			kept = append(kept, h)
		}
	}
	clear(m.order[len(kept):])
	m.order = kept
	m.topology.stale = true
	m.sync.digestsValid = false
	m.addAction(Forgotten{Nodes: nodes})
}

// stateTimeout returns how long a suspected or dead member keeps its state.
func (m *Machine) stateTimeout(s State) dfuclock.Duration {
	if s == Suspect {
		return m.cfg.SuspicionTimeout * dfuclock.Duration(m.probe.localHealth+1)
	}
	return m.cfg.DeadRetention
}

// markChanged records a change of a member and invalidates what is derived from
// the members.
func (m *Machine) markChanged(now dfuclock.Time, h *member) {
	m.topology.stale = true
	m.sync.digestsValid = false
	m.sync.changedAt = now
	m.changed[h.update.Member.Node] = h
}

func (m *Machine) reportChanges() {
	if len(m.changed) == 0 {
		return
	}
	updates := make([]Update, 0, len(m.changed))
	for _, h := range m.changed {
		updates = append(updates, h.update)
	}
	clear(m.changed)
	sortUpdates(updates)
	m.addAction(Changed{Updates: updates})
}

func (m *Machine) addAction(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) jitter(d dfuclock.Duration) dfuclock.Duration {
	return dfuclock.Duration(m.rng.Int64N(int64(d) + 1))
}

// supersedes reports whether a is newer than b. Both must be about the same
// node.
func supersedes(a, b Update) bool {
	return cmp.Or(
		cmp.Compare(a.Member.Incarnation, b.Member.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.State, b.State),
	) > 0
}

func (h *member) contact() Contact {
	d := h.update.Details
	return Contact{Member: h.update.Member, Region: d.Place.Region, Address: d.Peer}
}

func (h *member) reachable() bool {
	return h.update.State <= Suspect
}
