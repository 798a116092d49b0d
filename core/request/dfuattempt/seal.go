package dfuattempt

import (
	"cmp"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) linkLost(now dfuclock.Time, a *attempt) {
	m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackLinkFailed})
	a.sealing = true
	m.emit(SendSeal{ID: a.id, To: a.to})
	r := a.request
	r.reason = dfuoutcome.ReasonPeerUnreachable
	if r.mayRetry() {
		m.send(now, r, SendLinkLost)
	}
}

func (m *Machine) sealReplied(now dfuclock.Time, a *attempt, e SealReplied) {
	switch e.State {
	case dfugate.SealNever, dfugate.SealWithdrawn:
		m.attemptNotRun(now, a, SendSealed, dfuoutcome.ReasonPeerUnreachable)
	case dfugate.SealRunning:
		m.scheduleSeal(now, a)
	case dfugate.SealFinished:
		if e.Outcome == dfuoutcome.Answered && e.Answer {
			m.finish(now, a.request, a.id, dfuoutcome.Answered, dfuoutcome.ReasonNone)
			return
		}
		m.attemptUnknown(now, a, cmp.Or(e.Reason, dfuoutcome.ReasonPeerUnreachable))
	}
}

func (m *Machine) sealFailed(now dfuclock.Time, a *attempt, e SealFailed) {
	if e.Gone {
		m.attemptUnknown(now, a, dfuoutcome.ReasonPeerUnreachable)
		return
	}
	m.scheduleSeal(now, a)
}

func (m *Machine) scheduleSeal(now dfuclock.Time, a *attempt) {
	a.sealAt = now.Add(a.sealWait)
	a.sealWait = min(2*a.sealWait, m.cfg.SealWaitMax)
	m.schedule(a.request)
}
