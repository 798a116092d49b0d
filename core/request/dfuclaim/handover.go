package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// handOver sends what the other holder of a shard must have: a snapshot for a
// new copy holder, or this node's statement that it will never act again.
func (m *Machine) handOver(s *shard) {
	if !s.silent && m.mayRelinquish(s) {
		m.relinquish(s)
	}
	if !s.silent && m.mayLeaveCopy(s) {
		s.silent = true
		s.handoverAt = m.now
		m.log(s, TransitionLeavesCopy, s.entry.Owner)
	}
	if m.now < s.handoverAt {
		return
	}
	s.handoverAt = m.now.Add(m.cfg.HandoverRetry)
	switch {
	case s.role == roleOwner && m.roster.serves(s.entry.Copy):
		m.handOverToCopy(s)
	case s.role == roleCopy && s.silent && !s.silentAcked && m.roster.serves(s.entry.Owner):
		m.send(s.entry.Owner, LeaveCopy{Term: s.term()})
	}
}

// handOverToCopy sends the records that the copy holder has not acknowledged.
func (m *Machine) handOverToCopy(s *shard) {
	switch {
	case s.silent && !s.silentAcked:
		m.send(s.entry.Copy, Relinquish{Snapshot: m.snapshot(s)})
	case !s.silent && !s.alone && !s.copyReady:
		m.send(s.entry.Copy, m.snapshot(s))
	}
}

// mayRelinquish reports whether the owner should cease granting in favor of
// its copy holder: because this node leaves or drains, or for balance. It
// must not while a write of its own that changes the shard may take effect.
func (m *Machine) mayRelinquish(s *shard) bool {
	if s.role != roleOwner || s.alone || m.store.touches(s.index) || !m.roster.stays(s.entry.Copy) {
		return false
	}
	return m.leaving || m.draining() || s.copyReady && m.rebalanceTarget(s) == s.entry.Copy
}

// draining reports whether the roster shows this node to be leaving. That may
// be taken back, as when an operator drains its target for a while.
func (m *Machine) draining() bool {
	n, ok := m.roster.find(m.self.Node)
	return ok && n.Member == m.self && n.State == NodeLeaving
}

// relinquish ceases granting for good in this generation.
func (m *Machine) relinquish(s *shard) {
	for _, c := range m.unsettled() {
		if c.shard == s.index && c.state == claimAsked {
			s.records.remove(c.key)
			m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNotOwner)
		}
	}
	s.silent = true
	s.handoverAt = m.now
	m.log(s, TransitionRelinquishes, s.entry.Copy)
}

// onRelinquish lets a copy holder grant alone with the owner's final records.
// A repeat must not undo the claims granted since.
func (m *Machine) onRelinquish(from dfuident.Member, r Relinquish) {
	m.adopt(r.Snapshot.Revision, r.Snapshot.Table)
	m.send(from, HandoverAck{Term: r.Snapshot.Term})
	s := m.copied(from, r.Snapshot.Term)
	if s == nil || s.silent || s.alone {
		return
	}
	m.load(s, r.Snapshot)
	s.alone = true
	m.log(s, TransitionGrantsAlone, from)
}

// mayLeaveCopy reports whether a leaving copy holder should state that it will
// never take over. It must not while a takeover of its own may take effect, and
// it should not if the owner isn't there to go on.
func (m *Machine) mayLeaveCopy(s *shard) bool {
	return m.leaving && s.role == roleCopy && !s.alone && !m.store.touches(s.index) &&
		m.roster.serves(s.entry.Owner)
}

// onLeaveCopy lets an owner grant alone.
func (m *Machine) onLeaveCopy(from dfuident.Member, l LeaveCopy) {
	m.send(from, HandoverAck(l))
	s := m.shardAt(l.Term.Shard)
	if s == nil || s.role != roleOwner || s.term() != l.Term || s.entry.Copy != from || s.alone {
		return
	}
	s.alone = true
	m.log(s, TransitionGrantsAlone, from)
	for _, c := range m.unsettled() {
		if c.shard == s.index && c.state == claimAsked && !s.silent {
			m.pursue(s, c)
		}
	}
}

// onHandoverAck notes that this node's statement arrived.
func (m *Machine) onHandoverAck(a HandoverAck) {
	s := m.shardAt(a.Term.Shard)
	if s != nil && s.term() == a.Term && s.silent {
		s.silentAcked = true
	}
}

// handedOver reports whether a leaving node has nothing left to do: no run of
// its own, no write under way, and every shard handed over.
func (m *Machine) handedOver() bool {
	if len(m.claims) > 0 || m.store.pending != nil {
		return false
	}
	for _, s := range m.shards {
		if s.role != roleNone && !s.silentAcked || len(s.finishes) > 0 {
			return false
		}
	}
	return true
}
