package dfuattempt

import (
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// abandon finishes a request without waiting for its live attempts.
func (m *Machine) abandon(now dfuclock.Time, r *request, reason dfuoutcome.Reason) {
	m.finish(now, r, dfuident.RequestID{}, r.outcomeWithoutAnswer(), reason)
}

// finish ends a request and cancels its remaining attempts. An earlier error answer takes
// the place of any outcome without an answer.
func (m *Machine) finish(now dfuclock.Time, r *request, id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	if outcome != dfuoutcome.Answered && r.errorAnswer.Sequence > 0 {
		id, outcome, reason = r.errorAnswer, dfuoutcome.Answered, dfuoutcome.ReasonNone
	}
	m.emit(Finish{Request: r.number, ID: id, Outcome: outcome, Reason: reason, Attempts: r.sent})
	for _, a := range r.live {
		m.attempts.remove(a)
		if outcome == dfuoutcome.Answered && a.id == id {
			continue
		}
		m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackCanceled, Outrun: outcome == dfuoutcome.Answered && r.hedged})
		m.emit(SendCancel{ID: a.id, To: a.to})
	}
	r.live = nil
	m.timers.Remove(r)
	delete(m.requests, r.number)
	if r.idempotent && m.byKey[r.supersedeKey()] == r {
		delete(m.byKey, r.supersedeKey())
	}
}

// removeAttempt removes an attempt that has ended.
func (m *Machine) removeAttempt(a *attempt) {
	m.attempts.remove(a)
	r := a.request
	r.live = slices.Delete(r.live, slices.Index(r.live, a), slices.Index(r.live, a)+1)
}

// report reports the end of an attempt to the chooser, unless that was done before.
func (m *Machine) report(now dfuclock.Time, a *attempt, f dfuchoice.Feedback) {
	if a.reported {
		return
	}
	a.reported = true
	f.Node = a.to
	f.RequestKind = a.request.kind
	f.Latency = now.Sub(a.sent)
	m.chooser.RecordOutcome(now, f)
}
