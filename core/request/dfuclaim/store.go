package dfuclaim

import (
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// storeState keeps track of reads and of the one write of the table that may
// be under way. A write of unknown outcome stays pending until a later revision
// has been read, since it may still take effect.
type storeState struct {
	rng     *rand.Rand
	cfg     Config
	known   bool
	reading bool
	// deleted means that the table read was deleted.
	deleted bool
	// fresh means that the table was read since the wish to write it arose, so
	// the store is there and the table probably current.
	fresh   bool
	pending *pendingWrite
	spread  dfuclock.Duration
	// writeAt is when the next write may begin, zero if none is wished for.
	writeAt dfuclock.Time
	readAt  dfuclock.Time
	// planAt is when the table is next compared with what it should be.
	planAt dfuclock.Time
	// lastRead is when the latest read began.
	lastRead dfuclock.Time
}

// readPause is the least time between reads that a stale table prompts.
const readPause = dfuclock.Second

// pendingWrite is a write whose outcome is not known yet.
type pendingWrite struct {
	expect    dfuident.Revision
	table     Table
	changes   []change
	uncertain bool
	// repeated means that an earlier attempt had an uncertain outcome, so that
	// the rejection of a later one proves nothing.
	repeated bool
}

// newStoreState returns the state before the first read.
func newStoreState(cfg Config, rng *rand.Rand) storeState {
	return storeState{cfg: cfg, rng: rng, spread: cfg.WriteSpread}
}

// touches reports whether a write of the shard may yet take effect.
func (st *storeState) touches(shard ShardIndex) bool {
	return st.pending != nil && slices.ContainsFunc(st.pending.changes, func(c change) bool {
		return c.shard == shard
	})
}

// readSoon asks for a read before the next regular one.
func (st *storeState) readSoon(now dfuclock.Time) {
	st.readAt = min(st.readAt, max(now, st.lastRead.Add(readPause)))
}

// readFailed puts off the next attempt.
func (st *storeState) readFailed(now dfuclock.Time) {
	st.reading = false
	st.putOff(now)
}

// putOff waits for a random time within a bound that doubles.
func (st *storeState) putOff(now dfuclock.Time) {
	st.fresh = false
	st.writeAt = now.Add(st.wait())
	st.readAt = st.writeAt
	st.spread = min(2*st.spread, st.cfg.WriteSpreadLimit)
}

// wait returns a random time within the present bound.
func (st *storeState) wait() dfuclock.Duration {
	return 1 + dfuclock.Duration(st.rng.Int64N(int64(st.spread)))
}

// driveStore begins the read or write that is due. The wall clock is as fresh
// as the event, since a floor may be derived from it.
func (m *Machine) driveStore(wall UnixMs) {
	st := &m.store
	if st.reading || st.pending != nil && !st.pending.uncertain {
		return
	}
	if m.now >= st.readAt {
		m.read()
		return
	}
	if !st.known || st.pending != nil || m.now < st.planAt {
		return
	}
	st.planAt = m.now.Add(m.cfg.PlanInterval)
	table, changes := m.plan(wall)
	switch {
	case len(changes) == 0:
		st.writeAt, st.fresh = 0, false
	case st.writeAt == 0:
		st.writeAt = m.now.Add(st.wait())
		st.planAt = st.writeAt
	case m.now < st.writeAt:
		st.planAt = st.writeAt
	case !st.fresh:
		m.read()
	default:
		m.write(table, changes)
	}
}

// read asks for the table.
func (m *Machine) read() {
	m.store.reading = true
	m.store.lastRead = m.now
	m.store.readAt = m.now.Add(m.cfg.ReadInterval)
	m.do(ReadTable{})
}

// write asks for a change of the table.
func (m *Machine) write(table Table, changes []change) {
	m.store.pending = &pendingWrite{expect: m.revision, table: table, changes: changes}
	m.store.fresh = false
	for _, c := range changes {
		e := table.Shards[c.shard]
		m.do(Log{Shard: c.shard, Generation: e.Generation, Transition: c.transition, Member: e.Copy})
	}
	m.do(WriteTable{Expect: m.revision, Table: table.clone()})
}

// onWriteResult ends the pending write unless its outcome is uncertain.
func (m *Machine) onWriteResult(e WriteResult) {
	st := &m.store
	w := st.pending
	if w == nil {
		return
	}
	switch {
	case e.Status == WriteAccepted:
		st.pending = nil
		st.spread, st.writeAt = st.cfg.WriteSpread, 0
		m.adopt(e.Revision, w.table)
		m.spreadTable()
	case e.Status == WriteRejected && !w.repeated:
		st.pending = nil
		st.putOff(m.now)
	default:
		w.uncertain = true
		st.putOff(m.now)
	}
}

// onTableSeen adopts the table read and settles a write of uncertain outcome:
// it is sent again until the revision has moved past the one it expects.
func (m *Machine) onTableSeen(e TableSeen) {
	st := &m.store
	st.reading, st.known, st.fresh = false, true, true
	st.deleted = e.Deleted
	st.planAt = m.now
	w := st.pending
	if w != nil && w.uncertain && e.Revision == w.expect {
		w.uncertain, w.repeated = false, true
		m.do(WriteTable{Expect: w.expect, Table: w.table.clone()})
		return
	}
	m.adopt(e.Revision, e.Table)
}

// spreadTable passes the table on to the service's other nodes.
func (m *Machine) spreadTable() {
	for _, n := range m.roster.nodes {
		if m.roster.serves(n.Member) {
			m.send(n.Member, TableNotice{Revision: m.revision, Table: m.table.clone()})
		}
	}
}
