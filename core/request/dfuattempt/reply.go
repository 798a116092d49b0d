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
		if e.TargetError && a.request.idempotent && (m.cfg.RetryErrors || a.request.isHedged()) {
			m.attemptFailed(now, a)
			return
		}
		m.finish(now, a.request, a.id, dfuoutcome.Answered, dfuoutcome.ReasonNone)
	case dfuoutcome.NotRun:
		if isMisdirected(e.Reason) && a.request.owner.IsZero() {
			// Another run of the node, or another node at its address, received the
			// offer.
			m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackLinkFailed})
			m.attemptNotRun(now, a, SendNotSent, e.Reason)
			return
		}
		m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackRefused, Load: e.Load, Full: m.cfg.HedgeRatio > 0 && isFull(e.Reason)})
		if isFinal(e.Reason) || !a.request.owner.IsZero() {
			m.removeAttempt(a)
			m.finishIfNoneLive(now, a.request, e.Reason)
			return
		}
		if e.Reason == dfuoutcome.ReasonTargetRefused {
			a.request.recordReached(a.to.Node)
		}
		a.request.recordRefusal(a.to.Node, e.Reason)
		m.attemptNotRun(now, a, SendRefused, e.Reason)
	default:
		m.report(now, a, dfuchoice.Feedback{Kind: feedbackForUnknown(e.Reason), Load: e.Load})
		if e.RetriedBelow {
			a.request.allowance = 0
		}
		m.attemptUnknown(now, a, e.Reason)
	}
}

// recordRefusal records a refusal for the next choice of a target.
func (r *request) recordRefusal(node dfuident.NodeID, reason dfuoutcome.Reason) {
	busy := isBusy(reason)
	r.noCapacity = busy || reason == dfuoutcome.ReasonDraining || reason == dfuoutcome.ReasonZoneEvacuated
	if busy {
		r.refused = append(r.refused, node)
	}
}

// recordReached records that the target of a node has received the request. The node isn't
// chosen again, since the answer to a second run at the same target could be confused with
// that to the first.
func (r *request) recordReached(node dfuident.NodeID) {
	r.targetsReached++
	r.refused = slices.DeleteFunc(r.refused, func(n dfuident.NodeID) bool { return n == node })
}

// isBusy reports whether a gate refused because its target is busy.
func isBusy(reason dfuoutcome.Reason) bool {
	switch reason {
	case dfuoutcome.ReasonQueueFull, dfuoutcome.ReasonTargetSlow, dfuoutcome.ReasonTargetLimited,
		dfuoutcome.ReasonTargetCold, dfuoutcome.ReasonObjectiveMissed:
		return true
	default:
		return false
	}
}

// isMisdirected reports whether a refusal shows that the choice relied on outdated data about
// the node at the target's address.
func isMisdirected(reason dfuoutcome.Reason) bool {
	return reason == dfuoutcome.ReasonStaleRequest || reason == dfuoutcome.ReasonOutsideHomes
}

// isFull reports whether a gate refused because its target has no capacity left.
func isFull(reason dfuoutcome.Reason) bool {
	return isBusy(reason) && reason != dfuoutcome.ReasonTargetSlow
}

// feedbackForUnknown returns the feedback on the target for an attempt whose outcome is
// unknown.
func feedbackForUnknown(reason dfuoutcome.Reason) dfuchoice.FeedbackKind {
	switch reason {
	case dfuoutcome.ReasonTargetDied, dfuoutcome.ReasonTargetLinkLost:
		return dfuchoice.FeedbackTargetError
	case dfuoutcome.ReasonDeadline, dfuoutcome.ReasonCanceled, dfuoutcome.ReasonSuperseded:
		return dfuchoice.FeedbackCanceled
	default:
		return dfuchoice.FeedbackRefused
	}
}

// isFinal reports whether any other target would refuse for the same reason.
func isFinal(reason dfuoutcome.Reason) bool {
	switch reason {
	case dfuoutcome.ReasonCrashSuspect, dfuoutcome.ReasonAlreadyRun, dfuoutcome.ReasonKeyRunning,
		dfuoutcome.ReasonKeyMissing, dfuoutcome.ReasonKeyTooOld, dfuoutcome.ReasonKeyFromFuture,
		dfuoutcome.ReasonNotOwner, dfuoutcome.ReasonNoCopy, dfuoutcome.ReasonOwnerLost,
		dfuoutcome.ReasonDeadline, dfuoutcome.ReasonBadRequest, dfuoutcome.ReasonAnswerTooLarge,
		dfuoutcome.ReasonKeyRejected:
		return true
	default:
		return false
	}
}

// attemptNotRun removes an attempt that provably did not run and never will, and retries
// the request if possible.
func (m *Machine) attemptNotRun(now dfuclock.Time, a *attempt, retry SendReason, reason dfuoutcome.Reason) {
	r := a.request
	m.removeAttempt(a)
	if !r.mayHaveRun {
		r.reason = reason
	}
	if r.mayRetry() && m.send(now, r, retry) {
		return
	}
	m.rehedge(now, r, a, reason)
	m.finishIfNoneLive(now, r, r.reason)
}

// attemptFailed removes an attempt that a target answered with an error, and retries the
// request if possible.
func (m *Machine) attemptFailed(now dfuclock.Time, a *attempt) {
	r := a.request
	m.removeAttempt(a)
	r.mayHaveRun = true
	r.recordReached(a.to.Node)
	if r.errorAnswer.Sequence == 0 {
		r.errorAnswer = a.id
	}
	if r.mayRetry() && m.send(now, r, SendFailed) {
		return
	}
	m.finishIfNoneLive(now, r, r.reason)
}

// attemptUnknown removes an attempt that may have run but has no answer, and retries the
// request if possible.
func (m *Machine) attemptUnknown(now dfuclock.Time, a *attempt, reason dfuoutcome.Reason) {
	r := a.request
	m.removeAttempt(a)
	r.mayHaveRun = true
	r.recordReached(a.to.Node)
	r.reason = reason
	if r.mayRetry() && m.send(now, r, SendTargetDied) {
		return
	}
	m.finishIfNoneLive(now, r, r.reason)
}

// finishIfNoneLive finishes a request that has no live attempts.
func (m *Machine) finishIfNoneLive(now dfuclock.Time, r *request, reason dfuoutcome.Reason) {
	if len(r.live) > 0 {
		m.schedule(r)
		return
	}
	m.finish(now, r, dfuident.RequestID{}, r.outcomeWithoutAnswer(), reason)
}

// targetsExhausted reports whether the request has reached its maximum number of targets,
// counting those of live attempts.
func (r *request) targetsExhausted() bool {
	return r.targets > 0 && r.targetsReached+len(r.live) >= r.targets
}

// mayRetry reports whether another attempt is safe and useful. A non-idempotent request may
// be retried only if no earlier attempt ran or can still run. An idempotent one may be
// retried if no live attempt has a working link.
func (r *request) mayRetry() bool {
	if r.targetsExhausted() {
		return false
	}
	if !r.idempotent {
		return len(r.live) == 0 && !r.mayHaveRun
	}
	return !slices.ContainsFunc(r.live, func(a *attempt) bool { return !a.sealing })
}
