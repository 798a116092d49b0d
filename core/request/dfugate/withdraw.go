package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) cancel(now dfuclock.Time, c Cancel) {
	m.bodies.arrived(c.ID)
	r := m.live[c.ID]
	switch {
	case r == nil:
		m.forbid(now, c.ID, c.Reason)
	case r.state == stateRunning:
		m.cancelRunning(r, c.Reason)
	default:
		m.refuse(r, dfuoutcome.NotRun, c.Reason)
	}
}

func (m *Machine) cancelRunning(r *record, reason dfuoutcome.Reason) {
	if r.canceled != dfuoutcome.ReasonNone {
		return
	}
	r.canceled = reason
	m.emit(CancelOnTarget{ID: r.id})
}

func (m *Machine) seal(now dfuclock.Time, e Seal) {
	id := e.ID
	if m.former(e.To) {
		m.answerSeal(id, verdict{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonStaleRequest})
		return
	}
	r := m.live[id]
	if r == nil {
		m.answerSeal(id, m.forbid(now, id, dfuoutcome.ReasonSealed))
		return
	}
	if r.state == stateRunning {
		m.emit(SealAnswer{ID: id, State: SealRunning})
		return
	}
	m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonSealed)
	m.emit(SealAnswer{ID: id, State: SealWithdrawn, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonSealed})
}

func (m *Machine) answerSeal(id dfuident.RequestID, v verdict) {
	state := SealFinished
	if v.outcome == dfuoutcome.NotRun {
		state = SealNever
	}
	m.emit(SealAnswer{ID: id, State: state, Outcome: v.outcome, Reason: v.reason})
}

// forbid makes sure that an id that was not seen so far never runs, and
// returns the verdict on it. Below the floor nothing is known.
func (m *Machine) forbid(now dfuclock.Time, id dfuident.RequestID, reason dfuoutcome.Reason) verdict {
	if v, ok := m.ledger.verdicts[id]; ok {
		return v
	}
	e := m.meet(now, id.Entry)
	if e == nil || id.Sequence < e.floor {
		return verdict{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonStaleRequest}
	}
	v := verdict{outcome: dfuoutcome.NotRun, reason: reason}
	m.decide(id, v)
	return v
}

// former reports whether something was addressed to another run of this node.
func (m *Machine) former(to dfuident.Member) bool {
	return !to.IsZero() && to != m.self
}
