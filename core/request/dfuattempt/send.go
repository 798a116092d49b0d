package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

// unchargedAttemptsMax is the number of attempts up to which retries can be free of charge. A
// gate that refuses for lack of capacity does so before the request causes any load at the
// target.
const unchargedAttemptsMax = 8

// isUncharged reports whether an attempt is free of charge. That applies to the first one, and
// to a limited number of retries after attempts that caused no load at a target.
func (m *Machine) isUncharged(r *request, reason SendReason) bool {
	switch reason {
	case SendFirst:
		return true
	case SendRefused:
		return r.noCapacity && r.sent < unchargedAttemptsMax
	case SendNotSent:
		return m.cfg.UnsentFree && r.sent < unchargedAttemptsMax
	default:
		return false
	}
}

// send sends an attempt and reports whether it did. If it didn't, r.reason may be set to the
// reason.
func (m *Machine) send(now dfuclock.Time, r *request, reason SendReason) bool {
	remaining := r.deadline.Sub(now) - m.cfg.ReplyReserve
	if remaining <= 0 {
		r.reason = dfuoutcome.ReasonDeadline
		return false
	}
	choice, ok := m.choose(now, r, reason)
	if !ok {
		return false
	}
	r.sent++
	a := &attempt{
		id:       dfuident.RequestID{Entry: m.self, Sequence: m.sequence},
		to:       choice.Member,
		request:  r,
		sent:     now,
		sealWait: m.cfg.SealWait,
		hedge:    reason == SendHedge && r.late,
	}
	m.sequence++
	m.attempts.add(a)
	r.live = append(r.live, a)
	r.excluded = append(r.excluded, a.to.Node)
	m.chooser.RecordSent(now, a.to)
	m.emit(Send{
		ID:        a.id,
		Request:   r.number,
		To:        a.to,
		Remaining: remaining,
		Objective: r.objectiveRemaining(now),
		Attempt:   r.sent,
		Reason:    reason,
		Choice:    choice.Reason,
		Wait:      choice.Wait,
		Allowance: r.allowance,
		Settled:   m.Settled(),
	})
	if !a.hedge {
		m.scheduleLateHedge(now, r)
	}
	return true
}

// choose selects a target and charges the attempt unless it is free of charge. It returns
// false if there is no target or the charge failed.
func (m *Machine) choose(now dfuclock.Time, r *request, reason SendReason) (dfuchoice.Choice, bool) {
	choice := dfuchoice.Choice{Member: r.owner, Wait: true}
	late := reason == SendHedge && r.late
	if r.owner.IsZero() {
		var ok bool
		q := m.query(now, r)
		q.Hedge = late
		choice, ok = m.chooser.Choose(now, q)
		if late && !ok {
			return choice, false
		}
		if !ok {
			r.setReasonIfNone(dfuoutcome.ReasonNoTarget)
			return choice, false
		}
	}
	if reason == SendHedge {
		if choice.Far {
			return choice, false
		}
		choice.Wait = false
	}
	if late {
		return choice, m.chargeHedge(now, r)
	}
	if m.isUncharged(r, reason) {
		return choice, true
	}
	return choice, m.charge(now, r)
}

func (m *Machine) query(now dfuclock.Time, r *request) dfuchoice.Query {
	return dfuchoice.Query{
		Service:    r.service,
		Kind:       r.kind,
		From:       m.place,
		Remaining:  r.deadline.Sub(now),
		Objective:  r.objectiveRemaining(now),
		Nested:     r.nested,
		Weight:     weight(r.class),
		Idempotent: r.idempotent,
		Body:       r.body,
		Homes:      r.homes,
		Excluded:   r.excluded,
		Refused:    r.refused,
		Attempt:    r.sent,
	}
}

// weight returns the cost of missing the objective of a request of the class, relative to
// that of a request of the lowest class.
func weight(class dfugate.Class) float64 {
	return float64(dfugate.ClassCount - min(class, dfugate.ClassCount-1))
}

// objectiveRemaining returns the time left until the objective, but at least 1 ms, or zero
// if the request has none.
func (r *request) objectiveRemaining(now dfuclock.Time) dfuclock.Duration {
	if r.objective == 0 {
		return 0
	}
	return max(r.objective.Sub(now), dfuclock.Millisecond)
}

// charge charges an extra attempt to the allowance and the budget. It reports whether both
// allow it.
func (m *Machine) charge(now dfuclock.Time, r *request) bool {
	allowance, ok := r.allowance.ForExtraAttempt(false)
	if !ok || !m.budget.Take(now, r.service, r.caller) {
		r.setReasonIfNone(dfuoutcome.ReasonRetryBudget)
		return false
	}
	r.allowance = allowance
	return true
}

// setReasonIfNone sets the reason unless an earlier attempt has set one, which is more
// informative.
func (r *request) setReasonIfNone(reason dfuoutcome.Reason) {
	if r.reason == dfuoutcome.ReasonNone {
		r.reason = reason
	}
}
