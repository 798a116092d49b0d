package dfuattempt

import (
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) replied(now dfuclock.Time, a *attempt, e Replied) {
	switch e.Outcome {
	case dfuoutcome.Answered:
		kind := dfuchoice.FeedbackAnswered
		if e.TargetError {
			kind = dfuchoice.FeedbackTargetError
		}
		m.report(now, a, dfuchoice.Feedback{Kind: kind, Load: e.Load, Answer: e.Answer})
		if e.TargetError && m.cfg.RetryErrors && a.request.idempotent {
			m.failed(now, a)
			return
		}
		m.finish(now, a.request, a.id, dfuoutcome.Answered, dfuoutcome.ReasonNone)
	case dfuoutcome.NotRun:
		if e.Reason == dfuoutcome.ReasonStaleRequest && a.request.owner.IsZero() {
			// Another run, or another node at its address, got the offer.
			m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackLinkFailed})
			m.proven(now, a, SendNotSent, e.Reason)
			return
		}
		m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackRefused, Load: e.Load})
		if final(e.Reason) || !a.request.owner.IsZero() {
			m.drop(a)
			m.conclude(now, a.request, e.Reason)
			return
		}
		if e.Reason == dfuoutcome.ReasonTargetRefused {
			a.request.reached++
		}
		a.request.noteRefused(a.to.Node, e.Reason)
		m.proven(now, a, SendRefused, e.Reason)
	default:
		m.report(now, a, dfuchoice.Feedback{Kind: unknownKind(e.Reason), Load: e.Load})
		if e.RetriedBelow {
			a.request.allowance = 0
		}
		m.ended(now, a, e.Reason)
	}
}

// noteRefused keeps what the next choice has to know of a refusal.
func (r *request) noteRefused(node dfuident.NodeID, reason dfuoutcome.Reason) {
	busy := isBusy(reason)
	r.looking = busy || reason == dfuoutcome.ReasonDraining
	if busy {
		r.refused = append(r.refused, node)
	}
}

// isBusy reports whether a target's node refused because the target has too much
// to do at the moment.
func isBusy(reason dfuoutcome.Reason) bool {
	switch reason {
	case dfuoutcome.ReasonQueueFull, dfuoutcome.ReasonTargetSlow, dfuoutcome.ReasonObjectiveMissed:
		return true
	default:
		return false
	}
}

// unknownKind returns what an unknown outcome tells about the target.
func unknownKind(reason dfuoutcome.Reason) dfuchoice.FeedbackKind {
	switch reason {
	case dfuoutcome.ReasonTargetDied, dfuoutcome.ReasonTargetLinkLost:
		return dfuchoice.FeedbackTargetError
	case dfuoutcome.ReasonDeadline, dfuoutcome.ReasonCanceled, dfuoutcome.ReasonSuperseded:
		return dfuchoice.FeedbackCanceled
	default:
		return dfuchoice.FeedbackRefused
	}
}

// final reports whether another target would refuse for the same reason.
func final(reason dfuoutcome.Reason) bool {
	switch reason {
	case dfuoutcome.ReasonCrashSuspect, dfuoutcome.ReasonAlreadyRun, dfuoutcome.ReasonKeyRunning,
		dfuoutcome.ReasonKeyMissing, dfuoutcome.ReasonKeyTooOld, dfuoutcome.ReasonKeyFromFuture,
		dfuoutcome.ReasonNotOwner, dfuoutcome.ReasonNoCopy, dfuoutcome.ReasonOwnerLost,
		dfuoutcome.ReasonDeadline, dfuoutcome.ReasonBadRequest, dfuoutcome.ReasonAnswerTooLarge:
		return true
	default:
		return false
	}
}

// proven drops an attempt that provably never ran and tries elsewhere.
func (m *Machine) proven(now dfuclock.Time, a *attempt, retry SendReason, reason dfuoutcome.Reason) {
	r := a.request
	m.drop(a)
	if !r.unproven {
		r.reason = reason
	}
	if r.mayRepeat() && m.send(now, r, retry) {
		return
	}
	m.conclude(now, r, r.reason)
}

// failed drops an attempt that a target answered with an error and tries
// elsewhere.
func (m *Machine) failed(now dfuclock.Time, a *attempt) {
	r := a.request
	m.drop(a)
	r.unproven = true
	r.reached++
	if r.fallback.Sequence == 0 {
		r.fallback = a.id
	}
	if r.mayRepeat() && m.send(now, r, SendFailed) {
		return
	}
	m.conclude(now, r, r.reason)
}

// ended drops an attempt that may have run without an answer.
func (m *Machine) ended(now dfuclock.Time, a *attempt, reason dfuoutcome.Reason) {
	r := a.request
	m.drop(a)
	r.unproven = true
	r.reached++
	r.reason = reason
	if r.mayRepeat() && m.send(now, r, SendTargetDied) {
		return
	}
	m.conclude(now, r, r.reason)
}

// conclude finishes a request that has no live attempt left.
func (m *Machine) conclude(now dfuclock.Time, r *request, reason dfuoutcome.Reason) {
	if len(r.live) > 0 {
		m.schedule(r)
		return
	}
	m.finish(now, r, dfuident.RequestID{}, r.unanswered(), reason)
}

// exhausted reports whether the request has been handed, or may be, to as many
// targets as it is allowed.
func (r *request) exhausted() bool {
	return r.targets > 0 && r.reached+len(r.live) >= r.targets
}

// mayRepeat reports whether another attempt is safe and of use: no attempt has
// a working link, and if the request isn't idempotent, each has provably not
// run and never will.
func (r *request) mayRepeat() bool {
	if r.exhausted() {
		return false
	}
	if !r.idempotent {
		return len(r.live) == 0 && !r.unproven
	}
	return !slices.ContainsFunc(r.live, func(a *attempt) bool { return !a.sealing })
}
