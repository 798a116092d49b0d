package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// sendHandover sends the shard's other holder what it still needs, and repeats it
// until it is acknowledged: a snapshot for a new copy holder, or this node's
// statement that it will never act in this generation again.
func (m *Machine) sendHandover(s *shard) {
	if !s.retired && m.mayRelinquish(s) {
		m.relinquish(s)
	}
	if !s.retired && m.mayLeaveCopy(s) {
		s.retired = true
		s.nextHandoverAt = m.now
		m.log(s, TransitionLeavesCopy, s.entry.Owner)
	}
	if m.now < s.nextHandoverAt {
		return
	}
	s.nextHandoverAt = m.now.Add(m.cfg.HandoverRetry)
	switch {
	case s.role == roleOwner && m.roster.reachable(s.entry.Copy):
		m.sendHandoverToCopy(s)
	case s.role == roleCopy && s.retired && !s.retiredAcked && m.roster.reachable(s.entry.Owner):
		m.send(s.entry.Owner, LeaveCopy{Term: s.term()})
	}
}

// sendHandoverToCopy sends a Relinquish or Snapshot that the copy holder has not
// acknowledged yet.
func (m *Machine) sendHandoverToCopy(s *shard) {
	switch {
	case s.retired && !s.retiredAcked:
		m.send(s.entry.Copy, Relinquish{Snapshot: m.snapshot(s)})
	case !s.retired && !s.grantsAlone && !s.copySynced:
		m.send(s.entry.Copy, m.snapshot(s))
	}
}

// mayRelinquish reports whether the owner should stop granting in favor of its
// copy holder, because this node is leaving or draining or to balance the load.
// The owner must not do so while one of its own writes that changes the shard may
// still take effect.
func (m *Machine) mayRelinquish(s *shard) bool {
	if s.role != roleOwner || s.grantsAlone || m.store.mayChange(s.index) || !m.roster.eligible(s.entry.Copy) {
		return false
	}
	return m.leaving || m.draining() || s.copySynced && m.rebalanceOwner(s) == s.entry.Copy
}

// draining reports whether the roster lists this node as leaving. Unlike a
// Stopping event this can be reversed, for example after an operator drained the
// node's target for a while.
func (m *Machine) draining() bool {
	n, ok := m.roster.find(m.self.Node)
	return ok && n.Member == m.self && n.State == NodeLeaving
}

// relinquish stops granting for the rest of this generation and denies the claims
// that have not been acknowledged.
func (m *Machine) relinquish(s *shard) {
	for _, c := range m.ungrantedClaims() {
		if c.shard == s.index && c.state == claimAwaitingAck {
			s.records.remove(c.key)
			m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNotOwner)
		}
	}
	s.retired = true
	s.nextHandoverAt = m.now
	m.log(s, TransitionRelinquishes, s.entry.Copy)
}

// onRelinquish lets a copy holder grant alone with the owner's final records. A
// duplicate doesn't replace the records again, since that would undo claims
// granted in the meantime.
func (m *Machine) onRelinquish(from dfuident.Member, r Relinquish) {
	m.applyTable(r.Snapshot.Revision, r.Snapshot.Table)
	m.send(from, HandoverAck{Term: r.Snapshot.Term})
	s := m.copiedShard(from, r.Snapshot.Term)
	if s == nil || s.retired || s.grantsAlone {
		return
	}
	m.loadSnapshot(s, r.Snapshot)
	s.grantsAlone = true
	m.log(s, TransitionGrantsAlone, from)
}

// mayLeaveCopy reports whether a leaving copy holder should state that it will
// never take over. It must not do so while its own write of a takeover may still
// take effect, and should not if the owner is unreachable.
func (m *Machine) mayLeaveCopy(s *shard) bool {
	return m.leaving && s.role == roleCopy && !s.grantsAlone && !m.store.mayChange(s.index) &&
		m.roster.reachable(s.entry.Owner)
}

// onLeaveCopy lets an owner grant alone, including the claims that await an
// acknowledgement.
func (m *Machine) onLeaveCopy(from dfuident.Member, l LeaveCopy) {
	m.send(from, HandoverAck(l))
	s := m.shardAt(l.Term.Shard)
	if s == nil || s.role != roleOwner || s.term() != l.Term || s.entry.Copy != from || s.grantsAlone {
		return
	}
	s.grantsAlone = true
	m.log(s, TransitionGrantsAlone, from)
	for _, c := range m.ungrantedClaims() {
		if c.shard == s.index && c.state == claimAwaitingAck && !s.retired {
			m.grantOrAsk(s, c)
		}
	}
}

// onHandoverAck records that the other holder received this node's Relinquish or
// LeaveCopy.
func (m *Machine) onHandoverAck(a HandoverAck) {
	s := m.shardAt(a.Term.Shard)
	if s != nil && s.term() == a.Term && s.retired {
		s.retiredAcked = true
	}
}

// handoverDone reports whether a leaving node has finished: it has no claims in
// flight, no pending write and no records to send, and every shard it holds has
// been handed over.
func (m *Machine) handoverDone() bool {
	if len(m.claims) > 0 || m.store.pending != nil {
		return false
	}
	for _, s := range m.shards {
		if s.role != roleNone && !s.retiredAcked || len(s.unsentFinishes) > 0 {
			return false
		}
	}
	return true
}
