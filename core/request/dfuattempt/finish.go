package dfuattempt

import (
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// abandon finishes a request that nobody waits for.
func (m *Machine) abandon(now dfuclock.Time, r *request, reason dfuoutcome.Reason) {
	m.finish(now, r, dfuident.RequestID{}, r.unanswered(), reason)
}

// finish ends a request and cancels what is left of it.
func (m *Machine) finish(now dfuclock.Time, r *request, id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	if outcome != dfuoutcome.Answered && r.fallback.Sequence > 0 {
		id, outcome, reason = r.fallback, dfuoutcome.Answered, dfuoutcome.ReasonNone
	}
	m.emit(Finish{Request: r.number, ID: id, Outcome: outcome, Reason: reason, Attempts: r.sent})
	for _, a := range r.live {
		m.attempts.remove(a)
		if outcome == dfuoutcome.Answered && a.id == id {
			continue
		}
		m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackCanceled})
		m.emit(SendCancel{ID: a.id, To: a.to})
	}
	r.live = nil
	m.timers.Remove(r)
	delete(m.requests, r.number)
	if r.idempotent && m.byKey[r.supersedeKey()] == r {
		delete(m.byKey, r.supersedeKey())
	}
}

// drop forgets an attempt that has ended.
func (m *Machine) drop(a *attempt) {
	m.attempts.remove(a)
	r := a.request
	r.live = slices.Delete(r.live, slices.Index(r.live, a), slices.Index(r.live, a)+1)
}

// report tells the chooser how an attempt ended, once.
func (m *Machine) report(now dfuclock.Time, a *attempt, f dfuchoice.Feedback) {
	if a.reported {
		return
	}
	a.reported = true
	f.Node = a.to
	f.RequestKind = a.request.kind
	f.Latency = now.Sub(a.sent)
	m.chooser.Done(now, f)
}
