package dfuclaim

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// settle answers a claim from the record of an earlier request that is over.
func (m *Machine) settle(c *claim, r *Record) {
	switch {
	case r.State == RecordRan && r.Kept:
		m.untrack(c)
		m.do(Replay{Request: c.request, Status: r.Status, Answer: r.Answer})
	case r.State == RecordRan:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonAlreadyRun)
	case r.Runner == m.self:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonTargetDied)
	default:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonOwnerLost)
	}
}

// settleWaiting answers the claims that waited for a request that is now over.
func (m *Machine) settleWaiting(r *Record) {
	waiting := m.waiting[r.Key]
	delete(m.waiting, r.Key)
	for _, c := range waiting {
		m.settle(c, r)
	}
}

// never ran. The first one of them takes its place.
func (m *Machine) restartWaiting(key dfuident.Key) {
	waiting := m.waiting[key]
	delete(m.waiting, key)
	for _, c := range waiting {
		m.decide(c)
	}
}

// stopWaiting takes a claim out of the list of those waiting for its key.
func (m *Machine) stopWaiting(c *claim) {
	rest := slices.DeleteFunc(m.waiting[c.key], func(w *claim) bool { return w == c })
	if len(rest) == 0 {
		delete(m.waiting, c.key)
		return
	}
	m.waiting[c.key] = rest
}

// sweepClaims asks again for claims without an answer and settles those that
// can't wait any longer.
func (m *Machine) sweepClaims() {
	for _, c := range m.unsettled() {
		if m.claims[c.request] != c {
			continue
		}
		switch c.state {
		case claimAsked:
			m.sweepAsked(c)
		case claimWaiting:
			m.sweepWaiting(c)
		case claimRunning:
		}
	}
}

// the order of their arrival.
func (m *Machine) unsettled() []*claim {
	var out []*claim
	for _, c := range m.claims {
		if c.state != claimRunning {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *claim) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// sweepAsked denies an asked claim past its deadline or asks again.
func (m *Machine) sweepAsked(c *claim) {
	s := m.shards[c.shard]
	r := s.records.get(c.key)
	switch {
	case r == nil || r.Sequence != c.sequence:
		m.giveUp(c, dfuoutcome.ReasonNoCopy)
	case m.now >= c.deadline:
		m.giveUp(c, dfuoutcome.ReasonNoCopy)
	case m.now >= c.retryAt:
		m.pursue(s, c)
	}
}

// giveUp withdraws and denies an asked claim.
func (m *Machine) giveUp(c *claim, reason dfuoutcome.Reason) {
	m.withdraw(m.shards[c.shard], c)
	m.deny(c, dfuoutcome.NotRun, reason)
	m.restartWaiting(c.key)
}

// since an earlier request with the key may have had its effect.
func (m *Machine) sweepWaiting(c *claim) {
	s := m.shards[c.shard]
	r := s.records.get(c.key)
	var reason dfuoutcome.Reason
	switch {
	case m.now >= c.deadline:
		reason = dfuoutcome.ReasonKeyRunning
	case !s.grants() && !m.runsHere(c.key):
		reason = dfuoutcome.ReasonKeyRunning
	case r == nil && !m.runsHere(c.key):
		reason = dfuoutcome.ReasonKeyTooOld
	case r != nil && r.Runner != m.self && !m.roster.serves(r.Runner):
		reason = dfuoutcome.ReasonOwnerLost
	default:
		return
	}
	m.stopWaiting(c)
	m.deny(c, dfuoutcome.Unknown, reason)
}

// runsHere reports whether a request with the key is running at this node.
func (m *Machine) runsHere(key dfuident.Key) bool {
	for _, c := range m.claims {
		if c.key == key && c.state == claimRunning {
			return true
		}
	}
	return false
}
