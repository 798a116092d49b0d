package dfuclaim

import "dragonflyusher/core/process/dfuident"

// onAsk records a claim of the owner and acknowledges it. Once this node has
// taken over, left or been replaced, it refuses, so that an owner that was paused
// can't run a request of which its successor has no record. While the write of a
// takeover is in progress, this node still acknowledges claims, since it will own
// the shard with the same records.
func (m *Machine) onAsk(from dfuident.Member, a Ask) {
	s := m.shardAt(a.Term.Shard)
	if s == nil || s.entry.Generation < a.Term.Generation {
		m.store.readSoon(m.now)
		return
	}
	refuse := Refuse{Term: a.Term, Key: a.Key, Sequence: a.Sequence}
	currentCopy := s.role == roleCopy && s.term() == a.Term && s.entry.Owner == from
	switch {
	case !currentCopy || s.retired || s.grantsAlone:
		m.send(from, refuse)
	case !s.synced:
		// No reply: the owner repeats the Ask, and by then its snapshot may have
		// arrived.
	case !s.recordAsk(from, a):
		m.send(from, refuse)
	default:
		m.send(from, Ack{Term: a.Term, Key: a.Key, Sequence: a.Sequence})
	}
}

// recordAsk records a claim as running and reports whether that was possible. It
// never replaces the record of another node's claim or of a finished request.
func (s *shard) recordAsk(from dfuident.Member, a Ask) bool {
	r := s.records.get(a.Key)
	if r != nil && r.Runner == from && r.Sequence >= a.Sequence {
		return r.Sequence == a.Sequence
	}
	if r != nil && (r.Runner != from || r.finished()) {
		return false
	}
	s.records.put(Record{
		Key: a.Key, Birth: a.Birth, State: RecordRunning,
		Request: a.Request, Runner: from, Sequence: a.Sequence,
	})
	return true
}

// onSnapshot loads the owner's records. It does so only once per generation, since
// a late duplicate of the snapshot would undo claims acknowledged in the meantime.
func (m *Machine) onSnapshot(from dfuident.Member, sn Snapshot) {
	m.applyTable(sn.Revision, sn.Table)
	s := m.copiedShard(from, sn.Term)
	if s == nil || s.retired {
		return
	}
	if !s.synced {
		m.loadSnapshot(s, sn)
	}
	m.send(from, SnapshotAck{Term: sn.Term})
}

// onSnapshotAck marks the copy holder as synchronized.
func (m *Machine) onSnapshotAck(from dfuident.Member, a SnapshotAck) {
	s := m.shardAt(a.Term.Shard)
	if s != nil && s.role == roleOwner && s.term() == a.Term && s.entry.Copy == from {
		s.copySynced = true
	}
}

// copiedShard returns the shard of the term if this node is its copy holder and
// the sender its owner in that term, and nil otherwise.
func (m *Machine) copiedShard(from dfuident.Member, t Term) *shard {
	s := m.shardAt(t.Shard)
	if s == nil || s.role != roleCopy || s.term() != t || s.entry.Owner != from {
		return nil
	}
	return s
}

// loadSnapshot replaces the shard's records with those of a snapshot.
func (m *Machine) loadSnapshot(s *shard, sn Snapshot) {
	s.records = newRecords(m.cfg.Limits, max(sn.Floor, s.entry.Floor))
	for _, r := range sn.Records {
		s.records.put(r)
	}
	s.synced = true
	m.log(s, TransitionSynchronized, s.entry.Owner)
}

// snapshot returns the shard's records in the form in which a copy holder keeps
// them: a claim that awaits an acknowledgement is recorded as running.
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
