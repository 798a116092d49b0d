package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) cancel(now dfuclock.Time, c Cancel) {
	m.bodyWindow.removeBody(c.ID)
	r := m.live[c.ID]
	switch {
	case r == nil:
		m.forbidRun(now, c.ID, c.Reason)
	case r.state == stateRunning:
		m.cancelRunning(r, c.Reason)
	default:
		m.refuse(r, dfuoutcome.NotRun, c.Reason)
	}
}

func (m *Machine) cancelRunning(r *request, reason dfuoutcome.Reason) {
	if r.canceled != dfuoutcome.ReasonNone {
		return
	}
	r.canceled = reason
	m.emit(CancelOnTarget{ID: r.id})
}

func (m *Machine) seal(now dfuclock.Time, e Seal) {
	id := e.ID
	if m.sentToOtherRun(e.To) {
		m.answerSeal(id, storedOutcome{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonStaleRequest})
		return
	}
	r := m.live[id]
	if r == nil {
		m.answerSeal(id, m.forbidRun(now, id, dfuoutcome.ReasonSealed))
		return
	}
	if r.state == stateRunning {
		m.emit(SealAnswer{ID: id, State: SealRunning})
		return
	}
	m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonSealed)
	m.emit(SealAnswer{ID: id, State: SealWithdrawn, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonSealed})
}

func (m *Machine) answerSeal(id dfuident.RequestID, v storedOutcome) {
	state := SealFinished
	if v.outcome == dfuoutcome.NotRun {
		state = SealNever
	}
	m.emit(SealAnswer{ID: id, State: state, Outcome: v.outcome, Reason: v.reason})
}

// forbidRun prevents an ID that is not live from running and returns its stored outcome. The
// outcome of an ID below the floor is unknown.
func (m *Machine) forbidRun(now dfuclock.Time, id dfuident.RequestID, reason dfuoutcome.Reason) storedOutcome {
	if v, ok := m.outcomes.byID[id]; ok {
		return v
	}
	e := m.observeEntryNode(now, id.Entry)
	if e == nil || id.Sequence < e.floor {
		return storedOutcome{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonStaleRequest}
	}
	v := storedOutcome{outcome: dfuoutcome.NotRun, reason: reason}
	m.storeOutcome(id, v)
	return v
}

// sentToOtherRun reports whether a message was addressed to another run of this node.
func (m *Machine) sentToOtherRun(to dfuident.Member) bool {
	return !to.IsZero() && to != m.self
}
