package dfuclaim

import "dragonflyusher/core/process/dfuident"

// onAsk records the owner's claim and acknowledges it. Once this node has taken
// over, left or been replaced it refuses, so that an owner that was paused can't
// run anything that its successor doesn't know of. While a takeover is under
// way it still acknowledges: it will own the shard with these very records.
func (m *Machine) onAsk(from dfuident.Member, a Ask) {
	s := m.shardAt(a.Term.Shard)
	if s == nil || s.entry.Generation < a.Term.Generation {
		m.store.readSoon(m.now)
		return
	}
	refuse := Refuse{Term: a.Term, Key: a.Key, Sequence: a.Sequence}
	current := s.role == roleCopy && s.term() == a.Term && s.entry.Owner == from
	switch {
	case !current || s.silent || s.alone:
		m.send(from, refuse)
	case !s.synced:
		// The owner asks again after its snapshot arrives.
	case !s.recordAsk(from, a):
		m.send(from, refuse)
	default:
		m.send(from, Ack{Term: a.Term, Key: a.Key, Sequence: a.Sequence})
	}
}

// recordAsk records a claim as running and reports whether it could. It never
// replaces the record of another node's claim or of one that is over.
func (s *shard) recordAsk(from dfuident.Member, a Ask) bool {
	r := s.records.get(a.Key)
	if r != nil && r.Runner == from && r.Sequence >= a.Sequence {
		return r.Sequence == a.Sequence
	}
	if r != nil && (r.Runner != from || r.over()) {
		return false
	}
	s.records.put(Record{
		Key: a.Key, Birth: a.Birth, State: RecordRunning,
		Request: a.Request, Runner: from, Sequence: a.Sequence,
	})
	return true
}

// onSnapshot takes the owner's records, once in a generation: a late repeat
// would undo claims that were acknowledged since.
func (m *Machine) onSnapshot(from dfuident.Member, sn Snapshot) {
	m.adopt(sn.Revision, sn.Table)
	s := m.copied(from, sn.Term)
	if s == nil || s.silent {
		return
	}
	if !s.synced {
		m.load(s, sn)
	}
	m.send(from, SnapshotAck{Term: sn.Term})
}

// onSnapshotAck notes that the copy holder is synchronized.
func (m *Machine) onSnapshotAck(from dfuident.Member, a SnapshotAck) {
	s := m.shardAt(a.Term.Shard)
	if s != nil && s.role == roleOwner && s.term() == a.Term && s.entry.Copy == from {
		s.copyReady = true
	}
}

// copied returns the shard if this node is its copy holder in the term and the
// sender its owner, or nil.
func (m *Machine) copied(from dfuident.Member, t Term) *shard {
	s := m.shardAt(t.Shard)
	if s == nil || s.role != roleCopy || s.term() != t || s.entry.Owner != from {
		return nil
	}
	return s
}

// load replaces the shard's records by those of a snapshot.
func (m *Machine) load(s *shard, sn Snapshot) {
	s.records = newRecords(m.cfg.Limits, max(sn.Floor, s.entry.Floor))
	for _, r := range sn.Records {
		s.records.put(r)
	}
	s.synced = true
	m.log(s, TransitionSynchronized, s.entry.Owner)
}

// snapshot returns the shard's records as a copy holder keeps them.
func (m *Machine) snapshot(s *shard) Snapshot {
	list := s.records.list()
	for i := range list {
		if list[i].State == RecordAsked {
			list[i].State = RecordRunning
		}
	}
	return Snapshot{
		Term: s.term(), Revision: m.revision, Table: m.table.clone(),
		Floor: s.records.floor, Records: list,
	}
}
