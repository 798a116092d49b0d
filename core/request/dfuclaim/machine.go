package dfuclaim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Machine decides on the claims of one service at one node. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	self    dfuident.Member
	service dfuident.Service

	roster   roster
	rosterAt dfuclock.Time
	// owners are the nodes that should own each shard, nil if to be computed.
	owners  []dfuident.Member
	epoch   uint64
	leaving bool
	left    bool

	table    Table
	revision dfuident.Revision
	shards   []*shard
	store    storeState

	sequence Sequence
	arrivals uint64
	claims   map[dfuident.RequestID]*claim
	// waiting lists the claims that wait for an earlier request with the key.
	waiting map[dfuident.Key][]*claim

	now     dfuclock.Time
	actions []Action
}

// New returns a machine for one run of a node. It takes no part until it has
// been given a roster and, in answer to its ReadTable, the table.
func New(cfg Config, self dfuident.Member, service dfuident.Service, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:     cfg,
		self:    self,
		service: service,
		store:   newStoreState(cfg, rng),
		claims:  make(map[dfuident.RequestID]*claim),
		waiting: make(map[dfuident.Key][]*claim),
	}
}

// Step applies one event and returns what is to be done, in order.
func (m *Machine) Step(now dfuclock.Time, event Event) []Action {
	m.now = now
	switch e := event.(type) {
	case Claim:
		m.onClaim(e)
	case Finished:
		m.onFinished(e)
	case Released:
		m.onReleased(e)
	case PeerMessage:
		m.onMessage(e.From, e.Message)
	case TableSeen:
		m.onTableSeen(e)
	case ReadFailed:
		m.store.readFailed(now)
	case RosterChanged:
		m.onRoster(e)
	case EntryChanged:
		m.epoch = max(m.epoch, e.Epoch)
		m.cfg.Window = cmp.Or(e.Window, m.cfg.Window)
	case WriteResult:
		m.onWriteResult(e)
	case Leaving:
		m.leaving = true
	case Tick:
		m.onTick(e.Wall)
	}
	out := m.actions
	m.actions = nil
	return out
}

// Revision returns the revision of the latest table known, zero if none is.
func (m *Machine) Revision() dfuident.Revision {
	return m.revision
}

// Table returns the latest table known and its revision.
func (m *Machine) Table() (Table, dfuident.Revision) {
	return m.table.clone(), m.revision
}

// onMessage handles a message from another node's machine.
func (m *Machine) onMessage(from dfuident.Member, message Message) {
	switch msg := message.(type) {
	case Ask:
		m.onAsk(from, msg)
	case Ack:
		m.onAck(from, msg)
	case Refuse:
		m.onRefuse(from, msg)
	case Withdraw:
		m.onWithdraw(from, msg)
	case Finishes:
		m.onFinishes(from, msg)
	case Snapshot:
		m.onSnapshot(from, msg)
	case SnapshotAck:
		m.onSnapshotAck(from, msg)
	case Relinquish:
		m.onRelinquish(from, msg)
	case LeaveCopy:
		m.onLeaveCopy(from, msg)
	case HandoverAck:
		m.onHandoverAck(msg)
	case TableNotice:
		m.adopt(msg.Revision, msg.Table)
	}
}

// onRoster notes which nodes there are.
func (m *Machine) onRoster(e RosterChanged) {
	if slices.Equal(m.roster.nodes, e.Nodes) {
		return
	}
	m.roster = roster{nodes: slices.Clone(e.Nodes)}
	m.rosterAt, m.owners = m.now, nil
}

// onTick does what is due.
func (m *Machine) onTick(wall UnixMs) {
	m.sweepClaims()
	for _, s := range m.shards {
		s.records.expire(wall - UnixMs(m.cfg.Window))
		m.handOver(s)
		m.sendFinishes(s)
	}
	m.driveStore(wall)
	if m.leaving && !m.left && m.handedOver() {
		m.left = true
		m.do(Left{})
	}
}

// do appends an action to the result of the present step.
func (m *Machine) do(a Action) {
	m.actions = append(m.actions, a)
}

// send appends the sending of a message to a member other than this one.
func (m *Machine) send(to dfuident.Member, msg Message) {
	if !to.IsZero() && to != m.self {
		m.do(SendPeer{To: to, Message: msg})
	}
}

// log appends a log line about a shard.
func (m *Machine) log(s *shard, t Transition, member dfuident.Member) {
	m.do(Log{Shard: s.index, Generation: s.entry.Generation, Transition: t, Member: member})
}

// shardAt returns the shard with an index that a peer sent, or nil.
func (m *Machine) shardAt(i ShardIndex) *shard {
	if i < 0 || int(i) >= len(m.shards) {
		return nil
	}
	return m.shards[i]
}
