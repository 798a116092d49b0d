package dfuclaim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Machine is the state machine that decides on the claims of one service at one
// node. It does no I/O. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	self    dfuident.Member
	service dfuident.Service

	roster          roster
	rosterChangedAt dfuclock.Time
	// shardOwners lists the nodes that should own the shards, by shard index. It is
	// nil if it must be recomputed.
	shardOwners []dfuident.Member
	epoch       uint64
	leaving     bool
	left        bool

	table    Table
	revision dfuident.Revision
	shards   []*shard
	store    storeState

	sequence    Sequence
	lastArrival uint64
	claims      map[dfuident.RequestID]*claim
	// waiting holds the claims that wait for an earlier request with the same key.
	waiting map[dfuident.Key][]*claim

	now     dfuclock.Time
	actions []Action
}

// New returns a Machine for one process of a node, identified by self. It denies
// all claims until it has received the table, and it writes no table before it has
// received a roster and read the table.
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

// Step applies one event and returns the resulting actions, to be executed in
// order.
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
	case TableRead:
		m.onTableRead(e)
	case ReadFailed:
		m.store.readFailed(now)
	case RosterChanged:
		m.onRoster(e)
	case EntryChanged:
		m.epoch = max(m.epoch, e.Epoch)
		m.cfg.Window = cmp.Or(e.Window, m.cfg.Window)
	case WriteResult:
		m.onWriteResult(e)
	case Stopping:
		m.leaving = true
	case Tick:
		m.onTick(e.Wall)
	}
	out := m.actions
	m.actions = nil
	return out
}

// Revision returns the revision of the latest known table, zero if there is none.
func (m *Machine) Revision() dfuident.Revision {
	return m.revision
}

// Table returns a copy of the latest known table and its revision.
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
		m.applyTable(msg.Revision, msg.Table)
	}
}

// onRoster replaces the roster if it has changed.
func (m *Machine) onRoster(e RosterChanged) {
	if slices.Equal(m.roster.nodes, e.Nodes) {
		return
	}
	m.roster = roster{nodes: slices.Clone(e.Nodes)}
	m.rosterChangedAt, m.shardOwners = m.now, nil
}

// onTick evicts expired records and does the work that is due: retries, handovers,
// reads and writes of the table.
func (m *Machine) onTick(wall UnixMs) {
	m.sweepClaims()
	for _, s := range m.shards {
		s.records.expire(wall - UnixMs(m.cfg.Window))
		m.sendHandover(s)
		m.sendFinishes(s)
	}
	m.advanceStore(wall)
	if m.leaving && !m.left && m.handoverDone() {
		m.left = true
		m.emit(HandoverDone{})
	}
}

// emit appends an action to the result of the current step.
func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

// send emits a SendMessage, unless the recipient is zero or this node.
func (m *Machine) send(to dfuident.Member, msg Message) {
	if !to.IsZero() && to != m.self {
		m.emit(SendMessage{To: to, Message: msg})
	}
}

// log emits a Log about a shard.
func (m *Machine) log(s *shard, t Transition, member dfuident.Member) {
	m.emit(Log{Shard: s.index, Generation: s.entry.Generation, Transition: t, Member: member})
}

// shardAt returns the shard with an index received from a peer, or nil if the
// index is out of range.
func (m *Machine) shardAt(i ShardIndex) *shard {
	if i < 0 || int(i) >= len(m.shards) {
		return nil
	}
	return m.shards[i]
}
