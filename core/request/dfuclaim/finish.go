package dfuclaim

import "dragonflyusher/core/process/dfuident"

// onFinished records how a granted request ended and answers its repeats.
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
	m.settleWaiting(&r)
	m.recordFinish(m.shards[c.shard], r)
}

// onFinishes records how other nodes' requests ended.
func (m *Machine) onFinishes(from dfuident.Member, f Finishes) {
	s := m.shardAt(f.Shard)
	if s == nil {
		return
	}
	for _, r := range f.Records {
		old := s.records.get(r.Key)
		if old == nil || old.Request != r.Request || old.over() || !r.over() {
			continue
		}
		m.settleWaiting(&r)
		if from == s.entry.Owner {
			s.records.put(r)
			continue
		}
		m.recordFinish(s, r)
	}
}

// recordFinish updates the key's record and queues it for the other holders.
func (m *Machine) recordFinish(s *shard, r Record) {
	if old := s.records.get(r.Key); old != nil && old.Request == r.Request {
		s.records.put(r)
	}
	if dfuident.Bytes(len(r.Answer)) > m.cfg.Limits.AnswerBytes {
		r.Kept, r.Status, r.Answer = false, 0, nil
	}
	if len(s.finishes) < m.cfg.Limits.Records {
		s.finishes = append(s.finishes, r)
	}
}

// holder is able to place them.
func (m *Machine) sendFinishes(s *shard) {
	if len(s.finishes) == 0 || s.grants() && !s.alone && !s.copyReady {
		return
	}
	f := Finishes{Shard: s.index, Records: s.finishes}
	s.finishes = nil
	m.send(s.entry.Owner, f)
	m.send(s.entry.Copy, f)
}

// onReleased forgets a request that was not handed over.
func (m *Machine) onReleased(e Released) {
	c := m.claims[e.Request]
	if c == nil {
		return
	}
	m.untrack(c)
	if c.state == claimWaiting {
		m.stopWaiting(c)
		return
	}
	m.withdraw(m.shards[c.shard], c)
	m.restartWaiting(c.key)
}
