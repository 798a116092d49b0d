package dfuclaim

import "dragonflyusher/core/process/dfuident"

// onFinished records how a granted request ended and answers the claims that
// waited for it.
func (m *Machine) onFinished(e Finished) {
	c := m.claims[e.Request]
	if c == nil || c.state != claimRunning {
		return
	}
	m.untrack(c)
	r := Record{
		Key: c.key, Birth: c.birth, State: RecordLost,
		Request: c.request, Runner: m.self, Sequence: c.sequence,
	}
	if e.Ran {
		r.State, r.Kept, r.Status, r.Answer = RecordRan, true, e.Status, e.Answer
	}
	m.answerWaiting(&r)
	m.recordFinish(m.shards[c.shard], r)
}

// onFinishes records how requests of other nodes ended. What the shard's owner
// reports is not sent on to the other holders.
func (m *Machine) onFinishes(from dfuident.Member, f Finishes) {
	s := m.shardAt(f.Shard)
	if s == nil {
		return
	}
	for _, r := range f.Records {
		old := s.records.get(r.Key)
		if old == nil || old.Request != r.Request || old.finished() || !r.finished() {
			continue
		}
		m.answerWaiting(&r)
		if from == s.entry.Owner {
			s.records.put(r)
			continue
		}
		m.recordFinish(s, r)
	}
}

// recordFinish updates the key's record and queues it for sending to the other
// holders, without the answer if that is larger than Limits.AnswerBytes.
func (m *Machine) recordFinish(s *shard, r Record) {
	if old := s.records.get(r.Key); old != nil && old.Request == r.Request {
		s.records.put(r)
	}
	if dfuident.Bytes(len(r.Answer)) > m.cfg.Limits.AnswerBytes {
		r.Kept, r.Status, r.Answer = false, 0, nil
	}
	if len(s.unsentFinishes) < m.cfg.Limits.Records {
		s.unsentFinishes = append(s.unsentFinishes, r)
	}
}

// sendFinishes sends the queued records to the shard's other holders. It leaves
// them queued until the copy holder has acknowledged its snapshot, since a copy
// holder ignores the end of a request of which it has no record.
func (m *Machine) sendFinishes(s *shard) {
	if len(s.unsentFinishes) == 0 || s.grants() && !s.grantsAlone && !s.copySynced {
		return
	}
	f := Finishes{Shard: s.index, Records: s.unsentFinishes}
	s.unsentFinishes = nil
	m.send(s.entry.Owner, f)
	m.send(s.entry.Copy, f)
}

// onReleased withdraws the claim of a request that was not passed to the target.
func (m *Machine) onReleased(e Released) {
	c := m.claims[e.Request]
	if c == nil {
		return
	}
	m.untrack(c)
	if c.state == claimWaiting {
		m.removeWaiting(c)
		return
	}
	m.withdraw(m.shards[c.shard], c)
	m.restartWaiting(c.key)
}
