package dfuclaim

import (
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// storeState tracks the reads of the table and its pending write, of which there
// is at most one. A write whose outcome is unknown stays pending until a later
// revision is known, since it may still take effect.
type storeState struct {
	rng *rand.Rand
	cfg Config
	// tableKnown is set once the table has been received or found not to exist.
	tableKnown bool
	reading    bool
	// tableDeleted is set if the latest read found that the table had been deleted.
	tableDeleted bool
	// readSincePlanned is set if the table has been read since a change of it was
	// planned, which shows that the store is reachable and the table probably current.
	readSincePlanned bool
	pending          *pendingWrite
	// maxDelay is the current maximum of the random delay before a read or write.
	maxDelay dfuclock.Duration
	// nextWriteAt is when the next write may begin, zero if no change is planned.
	nextWriteAt dfuclock.Time
	nextReadAt  dfuclock.Time
	// nextPlanAt is when the table is next compared with the desired table.
	nextPlanAt dfuclock.Time
	// lastReadAt is when the latest read began.
	lastReadAt dfuclock.Time
}

// minReadInterval is the minimum time between two reads that are requested because
// the table appears stale.
const minReadInterval = dfuclock.Second

// pendingWrite is a write whose outcome is not known.
type pendingWrite struct {
	expect    dfuident.Revision
	table     Table
	changes   []shardChange
	uncertain bool
	// retried is set if an earlier attempt had an uncertain outcome. The rejection
	// of a later attempt then doesn't prove that the write had no effect.
	retried bool
}

// newStoreState returns the state before the first read.
func newStoreState(cfg Config, rng *rand.Rand) storeState {
	return storeState{cfg: cfg, rng: rng, maxDelay: cfg.WriteSpread}
}

// mayChange reports whether a pending write that changes the shard may still take
// effect.
func (st *storeState) mayChange(shard ShardIndex) bool {
	return st.pending != nil && slices.ContainsFunc(st.pending.changes, func(c shardChange) bool {
		return c.shard == shard
	})
}

// readSoon schedules a read before the next regular one, at least minReadInterval
// after the latest read.
func (st *storeState) readSoon(now dfuclock.Time) {
	st.nextReadAt = min(st.nextReadAt, max(now, st.lastReadAt.Add(minReadInterval)))
}

// readFailed ends a read that failed and delays the next attempt.
func (st *storeState) readFailed(now dfuclock.Time) {
	st.reading = false
	st.backOff(now)
}

// backOff delays the next read and write by a random time and doubles the maximum
// delay.
func (st *storeState) backOff(now dfuclock.Time) {
	st.readSincePlanned = false
	st.nextWriteAt = now.Add(st.randomDelay())
	st.nextReadAt = st.nextWriteAt
	st.maxDelay = min(2*st.maxDelay, st.cfg.WriteSpreadLimit)
}

// randomDelay returns a random time within the current maximum delay.
func (st *storeState) randomDelay() dfuclock.Duration {
	return 1 + dfuclock.Duration(st.rng.Int64N(int64(st.maxDelay)))
}

// advanceStore starts the read or write that is due. The wall clock must be the
// current time, since a floor may be derived from it.
func (m *Machine) advanceStore(wall UnixMs) {
	st := &m.store
	if st.reading || st.pending != nil && !st.pending.uncertain {
		return
	}
	if m.now >= st.nextReadAt {
		m.readTable()
		return
	}
	if !st.tableKnown || st.pending != nil || m.now < st.nextPlanAt {
		return
	}
	st.nextPlanAt = m.now.Add(m.cfg.PlanInterval)
	table, changes := m.plan(wall)
	switch {
	case len(changes) == 0:
		st.nextWriteAt, st.readSincePlanned = 0, false
	case st.nextWriteAt == 0:
		st.nextWriteAt = m.now.Add(st.randomDelay())
		st.nextPlanAt = st.nextWriteAt
	case m.now < st.nextWriteAt:
		st.nextPlanAt = st.nextWriteAt
	case !st.readSincePlanned:
		m.readTable()
	default:
		m.writeTable(table, changes)
	}
}

// readTable emits a ReadTable and schedules the next regular read.
func (m *Machine) readTable() {
	m.store.reading = true
	m.store.lastReadAt = m.now
	m.store.nextReadAt = m.now.Add(m.cfg.ReadInterval)
	m.emit(ReadTable{})
}

// writeTable emits a WriteTable and logs its changes.
func (m *Machine) writeTable(table Table, changes []shardChange) {
	m.store.pending = &pendingWrite{expect: m.revision, table: table, changes: changes}
	m.store.readSincePlanned = false
	for _, c := range changes {
		e := table.Shards[c.shard]
		m.emit(Log{Shard: c.shard, Generation: e.Generation, Transition: c.transition, Member: e.Copy})
	}
	m.emit(WriteTable{Expect: m.revision, Table: table.clone()})
}

// onWriteResult completes the pending write unless its outcome is uncertain. It ignores the
// result of an earlier write, which a newer table has ended. No two writes expect the same
// revision, except for repetitions of one.
func (m *Machine) onWriteResult(e WriteResult) {
	st := &m.store
	w := st.pending
	if w == nil || e.Expect != w.expect {
		return
	}
	switch {
	case e.Status == WriteAccepted:
		st.pending = nil
		st.maxDelay, st.nextWriteAt = st.cfg.WriteSpread, 0
		m.applyTable(e.Revision, w.table)
		m.broadcastTable()
	case e.Status == WriteRejected && !w.retried:
		st.pending = nil
		st.backOff(m.now)
	default:
		w.uncertain = true
		st.backOff(m.now)
	}
}

// onTableRead applies the table that was read. A write of uncertain outcome is
// sent again as long as the table is still at the revision that the write expects.
func (m *Machine) onTableRead(e TableRead) {
	st := &m.store
	st.reading, st.tableKnown, st.readSincePlanned = false, true, true
	st.tableDeleted = e.Deleted
	st.nextPlanAt = m.now
	w := st.pending
	if w != nil && w.uncertain && e.Revision == w.expect {
		w.uncertain, w.retried = false, true
		m.emit(WriteTable{Expect: w.expect, Table: w.table.clone()})
		return
	}
	m.applyTable(e.Revision, e.Table)
}

// broadcastTable sends the table to the service's other nodes.
func (m *Machine) broadcastTable() {
	for _, n := range m.roster.nodes {
		if m.roster.reachable(n.Member) {
			m.send(n.Member, TableNotice{Revision: m.revision, Table: m.table.clone()})
		}
	}
}
