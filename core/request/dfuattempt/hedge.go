package dfuattempt

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

// SetHedgeRatio changes Config.HedgeRatio for requests that arrive from now on.
func (m *Machine) SetHedgeRatio(ratio float64) {
	m.cfg.HedgeRatio = ratio
}

// scheduleLateHedge sets the time of the hedge of a request with an objective, counted from
// the attempt that was just sent.
func (m *Machine) scheduleLateHedge(now dfuclock.Time, r *request) {
	r.hedge = false
	if !r.late || r.hedged || r.mayHaveRun || len(r.live) != 1 {
		return
	}
	wait, ok := m.chooser.LateHedgeAfter(now, m.query(now, r), m.cfg.HedgeRatio)
	if ok {
		r.hedge, r.hedgeAt = true, now.Add(wait)
	}
	m.schedule(r)
}

// sendLateHedge sends the only hedge of a request whose only live attempt is late. A request
// that may have crashed a target, or whose attempt is being sealed, gets none.
func (m *Machine) sendLateHedge(now dfuclock.Time, r *request) {
	if r.hedged || r.mayHaveRun || len(r.live) != 1 || r.live[0].sealing || r.targetsExhausted() {
		return
	}
	if now.Before(r.objective) {
		m.send(now, r, SendHedge)
	}
}

// rehedge sends a hedge that a gate refused to another target. The refused one caused no
// load at its target, so that the charge covers the next.
func (m *Machine) rehedge(now dfuclock.Time, r *request, a *attempt, reason dfuoutcome.Reason) {
	if !a.hedge || !isBusy(reason) || len(r.live) != 1 || r.live[0].hedge || r.live[0].sealing {
		return
	}
	if r.sent < unchargedAttemptsMax && now.Before(r.objective) && !r.mayHaveRun && !r.targetsExhausted() {
		m.send(now, r, SendHedge)
	}
}

// chargeHedge charges a hedge once to the allowance and the budgets. It reports whether they
// allow it.
func (m *Machine) chargeHedge(now dfuclock.Time, r *request) bool {
	if r.hedged {
		return true
	}
	allowance, ok := r.allowance.ForExtraAttempt(false)
	if !ok || !m.budget.TakeHedge(now, r.service, r.caller) {
		return false
	}
	r.allowance, r.hedged = allowance, true
	return true
}

// isHedged reports whether the request was hedged and another attempt may still answer it.
func (r *request) isHedged() bool {
	return r.hedged && len(r.live) > 1
}
