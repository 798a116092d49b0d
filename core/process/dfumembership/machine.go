package dfumembership

import (
	"cmp"
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Config holds the periods and bounds of the protocol.
type Config struct {
	// TickPeriod is the time between two ticks.
	TickPeriod dfuclock.Duration
	// ProbePeriod is the time between two probes of a member.
	ProbePeriod dfuclock.Duration
	// AckTimeout is the wait before others are asked to probe the member.
	AckTimeout dfuclock.Duration
	// IndirectProbes is how many others are asked.
	IndirectProbes int
	// SuspicionTimeout is the wait from suspicion to death. It grows while
	// the node's own probes fail, up to (MaxHealth+1) times.
	SuspicionTimeout dfuclock.Duration
	// MaxHealth bounds the count of the node's own failed probes.
	MaxHealth int
	// GossipPeriod is the time between two rounds of gossip.
	GossipPeriod dfuclock.Duration
	// GossipFanout is the number of members that one round goes to.
	GossipFanout int
	// SendFactor times the logarithm of the region's size is how often a
	// node sends one update.
	SendFactor int
	// PacketUpdates bounds the updates in one message.
	PacketUpdates int
	// SyncPeriod is the least time between two syncs begun by the node.
	SyncPeriod dfuclock.Duration
	// SyncUpdates bounds the updates in one reply to a sync.
	SyncUpdates int
	// SettlePeriod is how long the members must have been unchanged before a
	// differing digest counts as a loss rather than as news on its way.
	SettlePeriod dfuclock.Duration
	// SeedPeriod is the time between two tries to reach a member that the
	// zone pages list but that isn't known to live.
	SeedPeriod dfuclock.Duration
	// JoinPeriod is how long a node looks for one that has joined before it
	// counts as joined itself.
	JoinPeriod dfuclock.Duration
	// DeadRetention is how long the dead are remembered.
	DeadRetention dfuclock.Duration
	// RegionFailures is the number of failed probes in a row after which a
	// region counts as unreachable.
	RegionFailures int
	// Members bounds the members known.
	Members int
}

// DefaultConfig returns the periods used by the daemon.
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
		DeadRetention:    10 * dfuclock.Minute,
		RegionFailures:   4,
		Members:          4096,
	}
}

// resumePings is how many members are asked what was missed during a pause.
const resumePings = 2

// Self is the node that the machine speaks for.
type Self struct {
	Member dfuident.Member
	Place  dfuident.Place
	Peer   dfuident.Address
	HTTP   dfuident.Address
}

// Counts tells how often something noteworthy happened.
type Counts struct {
	// Stale updates were older than what was known.
	Stale uint64 `json:"stale"`
	// Refused updates were of new members when there was no room.
	Refused uint64 `json:"refused"`
	// Refutations were made by this node of what others said about it.
	Refutations uint64 `json:"refutations"`
	// Pauses of this process were longer than a probe period.
	Pauses uint64 `json:"pauses"`
	// Syncs were begun by this node.
	Syncs uint64 `json:"syncs"`
}

// Machine is the membership of one node. It belongs to one goroutine.
type Machine struct {
	cfg     Config
	rng     *rand.Rand
	region  dfuident.Region
	contact Contact
	counts  Counts

	self    *member
	members map[dfuident.NodeID]*member
	// order holds the members in the order they were met, so that a random
	// choice replays.
	order []*member
	lists lists
	queue queue
	sync  syncState
	probe probeState

	regions   map[dfuident.Region]*regionState
	seeds     []Seed
	seedAt    dfuclock.Time
	lastTick  dfuclock.Time
	started   bool
	startedAt dfuclock.Time
	actions   []Action
	changed   map[dfuident.NodeID]*member
}

// member is one member as this node knows it. Its details are never nil.
type member struct {
	update Update
	// score orders the members of a zone for the roles of bridge and watcher.
	score uint64
	// deadline is when a suspect is declared dead, or a dead one forgotten.
	deadline dfuclock.Time
}

// New returns the machine of a node that knows only itself.
func New(self Self, cfg Config, rng *rand.Rand) *Machine {
	me := newMember(Update{
		Member:  self.Member,
		Version: 1,
		Details: &Details{Place: self.Place, Peer: self.Peer, HTTP: self.HTTP},
	})
	return &Machine{
		cfg:     cfg,
		rng:     rng,
		region:  self.Place.Region,
		contact: Contact{Member: self.Member, Region: self.Place.Region, Address: self.Peer},
		self:    me,
		members: map[dfuident.NodeID]*member{self.Member.Node: me},
		order:   []*member{me},
		lists:   lists{stale: true},
		queue:   newQueue(),
		regions: make(map[dfuident.Region]*regionState),
		changed: make(map[dfuident.NodeID]*member),
	}
}

// Step takes one event and returns what is to be done about it.
func (m *Machine) Step(now dfuclock.Time, event Event) []Action {
	m.actions = nil
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case Received:
		m.receive(now, e.Message)
	case Announced:
		m.announce(now, e)
	case Seeded:
		m.seed(e.Seeds)
	}
	m.reportChanges()
	return m.actions
}

// Self returns what the node says of itself.
func (m *Machine) Self() Update {
	return m.self.update
}

// Members returns what is known of every member, the node itself included, in
// the order they were met.
func (m *Machine) Members() []Update {
	updates := make([]Update, len(m.order))
	for i, h := range m.order {
		updates[i] = h.update
	}
	return updates
}

// Counts returns what has been counted since New.
func (m *Machine) Counts() Counts {
	return m.counts
}

func (m *Machine) tick(now dfuclock.Time) {
	if !m.started {
		m.start(now)
	}
	if gap := now.Sub(m.lastTick); gap > m.cfg.ProbePeriod {
		m.resume(now, gap)
	}
	m.lastTick = now
	m.expire(now)
	m.stepProbes(now)
	m.stepGossip(now)
	m.stepSeeds(now)
}

// start spreads the first of each periodic action over its period, so that
// nodes that start together don't act together.
func (m *Machine) start(now dfuclock.Time) {
	m.started = true
	m.startedAt = now
	m.lastTick = now
	m.probe.next = now.Add(m.jitter(m.cfg.ProbePeriod))
	m.queue.next = now.Add(m.jitter(m.cfg.GossipPeriod))
	m.seedAt = now.Add(m.jitter(m.cfg.SeedPeriod))
	m.queue.add(m.self, m.sendLimit())
}

// resume follows a pause of the process. Answers that came meanwhile were not
// seen, so timers are moved by the gap. The others may have suspected this node,
// so it says at once that it lives, and it asks what it has missed.
func (m *Machine) resume(now dfuclock.Time, gap dfuclock.Duration) {
	m.counts.Pauses++
	m.probe.pending = nil
	m.probe.next = now
	for _, h := range m.order {
		if h.update.State == Suspect {
			h.deadline = h.deadline.Add(gap)
		}
	}
	m.raise(now, m.self.update.Version+1)
	m.sync.urgent = true
	m.sync.next = now
	for _, h := range m.pickSome(m.grouped().fingers, resumePings) {
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
	m.raise(now, u.Version+1)
}

// raise gives the node's own update a version and tells every zone at once.
func (m *Machine) raise(now dfuclock.Time, version uint64) {
	m.self.update.Version = version
	m.touch(now, m.self)
	m.queue.add(m.self, m.sendLimit())
	if m.started {
		m.tellZones(now)
	}
}

// accept merges what a message says of one member.
func (m *Machine) accept(now dfuclock.Time, u Update, spread bool) {
	if u.Member.Node == m.self.update.Member.Node {
		m.refute(now, u)
		return
	}
	h, ok := m.members[u.Member.Node]
	if !ok {
		h = m.add(u)
	} else if !m.merge(h, u) {
		return
	}
	if h == nil {
		return
	}
	h.deadline = now.Add(m.deadlineAfter(u.State))
	m.touch(now, h)
	if spread {
		m.queue.add(h, m.sendLimit())
	}
}

// merge moves a member to a newer update and reports whether it was newer.
func (m *Machine) merge(h *member, u Update) bool {
	if !newer(u, h.update) {
		if newer(h.update, u) {
			m.counts.Stale++
		}
		return false
	}
	if u.Details == nil {
		u.Details = h.update.Details
	}
	h.update = u
	return true
}

// add makes a member known. One that is only known to be gone is not added,
// or the memory of the dead would pass from node to node for ever.
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

// refute answers what others say of this node. It raises the node's version
// above theirs, unless they speak of a later run, to which this one yields.
func (m *Machine) refute(now dfuclock.Time, u Update) {
	self := m.self.update
	if u.Member.Incarnation > self.Member.Incarnation {
		m.do(Superseded{By: u.Member})
		return
	}
	if u.Member.Incarnation < self.Member.Incarnation || !newer(u, self) {
		return
	}
	m.counts.Refutations++
	m.raise(now, u.Version+1)
}

// expire declares dead the suspects whose time is over and forgets the dead.
// Only members of the same region judge each other.
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
			m.accept(now, u, true)
		}
	}
	if len(forgotten) > 0 {
		m.forget(forgotten)
	}
}

func (m *Machine) forget(nodes []dfuident.NodeID) {
	for _, id := range nodes {
		m.queue.remove(m.members[id])
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
	m.lists.stale = true
	m.sync.fresh = false
	m.do(Forgotten{Nodes: nodes})
}

// deadlineAfter returns how long a state lasts.
func (m *Machine) deadlineAfter(s State) dfuclock.Duration {
	if s == Suspect {
		return m.cfg.SuspicionTimeout * dfuclock.Duration(m.probe.health+1)
	}
	return m.cfg.DeadRetention
}

// touch marks a member as changed.
func (m *Machine) touch(now dfuclock.Time, h *member) {
	m.lists.stale = true
	m.sync.fresh = false
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
	m.do(Changed{Updates: updates})
}

func (m *Machine) do(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) jitter(d dfuclock.Duration) dfuclock.Duration {
	return dfuclock.Duration(m.rng.Int64N(int64(d) + 1))
}

// newer reports whether a supersedes b, both of the same node.
func newer(a, b Update) bool {
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
