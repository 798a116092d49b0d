package dfuclaim

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// answerFromRecord answers or denies a claim from the record of an earlier
// request that has ended.
func (m *Machine) answerFromRecord(c *claim, r *Record) {
	switch {
	case r.State == RecordRan && r.Kept:
		m.untrack(c)
		m.emit(Replay{Request: c.request, Status: r.Status, Answer: r.Answer})
	case r.State == RecordRan:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonAlreadyRun)
	case r.Runner == m.self:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonTargetDied)
	default:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonOwnerLost)
	}
}

// answerWaiting answers the claims that waited for a request that has now ended.
func (m *Machine) answerWaiting(r *Record) {
	waiting := m.waiting[r.Key]
	delete(m.waiting, r.Key)
	for _, c := range waiting {
		m.answerFromRecord(c, r)
	}
}

// restartWaiting decides again on the claims that waited for a request that never
// ran. The first of them takes the place of that request.
func (m *Machine) restartWaiting(key dfuident.Key) {
	waiting := m.waiting[key]
	delete(m.waiting, key)
	for _, c := range waiting {
		m.decide(c)
	}
}

// removeWaiting removes a claim from the list of claims waiting for its key.
func (m *Machine) removeWaiting(c *claim) {
	rest := slices.DeleteFunc(m.waiting[c.key], func(w *claim) bool { return w == c })
	if len(rest) == 0 {
		delete(m.waiting, c.key)
		return
	}
	m.waiting[c.key] = rest
}

// sweepClaims repeats the Ask of claims that have not been acknowledged in time
// and denies the claims that can't wait any longer.
func (m *Machine) sweepClaims() {
	for _, c := range m.ungrantedClaims() {
		if m.claims[c.request] != c {
			continue
		}
		switch c.state {
		case claimAwaitingAck:
			m.sweepAwaitingAck(c)
		case claimWaiting:
			m.sweepWaiting(c)
		case claimRunning:
		}
	}
}

// ungrantedClaims returns the claims that have been neither granted nor denied,
// in order of arrival.
func (m *Machine) ungrantedClaims() []*claim {
	var out []*claim
	for _, c := range m.claims {
		if c.state != claimRunning {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *claim) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// sweepAwaitingAck denies an unacknowledged claim whose record is gone or whose
// deadline has passed, and sends its Ask again when that is due.
func (m *Machine) sweepAwaitingAck(c *claim) {
	s := m.shards[c.shard]
	r := s.records.get(c.key)
	switch {
	case r == nil || r.Sequence != c.sequence:
		m.withdrawAndDeny(c, dfuoutcome.ReasonNoCopy)
	case m.now >= c.deadline:
		m.withdrawAndDeny(c, dfuoutcome.ReasonNoCopy)
	case m.now >= c.retryAt:
		m.grantOrAsk(s, c)
	}
}

// withdrawAndDeny withdraws and denies a claim that has not been granted, and
// decides again on the claims that waited for it.
func (m *Machine) withdrawAndDeny(c *claim, reason dfuoutcome.Reason) {
	m.withdraw(m.shards[c.shard], c)
	m.deny(c, dfuoutcome.NotRun, reason)
	m.restartWaiting(c.key)
}

// sweepWaiting denies a waiting claim past its deadline, or if this node will not
// receive the result of the earlier request. The outcome is unknown rather than not
// run, since the earlier request with the key may have taken effect.
func (m *Machine) sweepWaiting(c *claim) {
	s := m.shards[c.shard]
	r := s.records.get(c.key)
	var reason dfuoutcome.Reason
	switch {
	case m.now >= c.deadline:
		reason = dfuoutcome.ReasonKeyRunning
	case !s.grants() && !m.runsLocally(c.key):
		reason = dfuoutcome.ReasonKeyRunning
	case r == nil && !m.runsLocally(c.key):
		reason = dfuoutcome.ReasonKeyTooOld
	case r != nil && r.Runner != m.self && !m.roster.reachable(r.Runner):
		reason = dfuoutcome.ReasonOwnerLost
	default:
		return
	}
	m.removeWaiting(c)
	m.deny(c, dfuoutcome.Unknown, reason)
}

// runsLocally reports whether a request with the key is running at this node.
func (m *Machine) runsLocally(key dfuident.Key) bool {
	for _, c := range m.claims {
		if c.key == key && c.state == claimRunning {
			return true
		}
	}
	return false
}
