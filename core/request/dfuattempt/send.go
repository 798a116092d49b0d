package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

// refusedMax is the number of attempts up to which looking elsewhere is free: a
// gate that has no room refuses before its target has any work.
const refusedMax = 8

// isFree reports whether an attempt costs no target anything beyond the first
// one: no attempt before it has reached a target.
func (m *Machine) isFree(r *request, reason SendReason) bool {
	switch reason {
	case SendFirst:
		return true
	case SendRefused:
		return r.looking && r.sent < refusedMax
	case SendNotSent:
		return m.cfg.UnsentFree && r.sent < refusedMax
	default:
		return false
	}
}

// send makes an attempt and reports whether it did; otherwise r.reason tells
// why not.
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
	}
	m.sequence++
	m.attempts.add(a)
	r.live = append(r.live, a)
	r.excluded = append(r.excluded, a.to.Node)
	m.chooser.Sent(now, a.to)
	m.emit(Send{
		ID:        a.id,
		Request:   r.number,
		To:        a.to,
		Remaining: remaining,
		Objective: r.left(now),
		Attempt:   r.sent,
		Reason:    reason,
		Choice:    choice.Reason,
		Wait:      choice.Wait,
		Allowance: r.allowance,
		Settled:   m.Settled(),
	})
	return true
}

// choose picks a target and, for an extra attempt, charges for it.
func (m *Machine) choose(now dfuclock.Time, r *request, reason SendReason) (dfuchoice.Choice, bool) {
	choice := dfuchoice.Choice{Member: r.owner, Wait: true}
	if r.owner.IsZero() {
		var ok bool
		choice, ok = m.chooser.Choose(now, m.query(now, r))
		if !ok {
			r.keepReason(dfuoutcome.ReasonNoTarget)
			return choice, false
		}
	}
	if reason == SendHedge {
		if choice.Far {
			return choice, false
		}
		choice.Wait = false
	}
	if m.isFree(r, reason) {
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
		Objective:  r.left(now),
		Nested:     r.nested,
		Weight:     weight(r.class),
		Idempotent: r.idempotent,
		Body:       r.body,
		Excluded:   r.excluded,
		Refused:    r.refused,
		Attempt:    r.sent,
	}
}

// weight returns how many times the loss of a request of the lowest class the
// loss of one counts.
func weight(class dfugate.Class) float64 {
	return float64(dfugate.ClassCount - min(class, dfugate.ClassCount-1))
}

// left returns the time left of the objective, at least a millisecond, or zero
// if there is none.
func (r *request) left(now dfuclock.Time) dfuclock.Duration {
	if r.objective == 0 {
		return 0
	}
	return max(r.objective.Sub(now), dfuclock.Millisecond)
}

// charge takes an extra attempt off the allowance and the budget.
func (m *Machine) charge(now dfuclock.Time, r *request) bool {
	allowance, ok := r.allowance.Extra(false)
	if !ok || !m.budget.Take(now, r.service, r.caller) {
		r.keepReason(dfuoutcome.ReasonRetryBudget)
		return false
	}
	r.allowance = allowance
	return true
}

// keepReason sets the reason unless an attempt has already given a better one.
func (r *request) keepReason(reason dfuoutcome.Reason) {
	if r.reason == dfuoutcome.ReasonNone {
		r.reason = reason
	}
}
