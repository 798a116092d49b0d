package dfuattempt

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) tick(now dfuclock.Time) {
	for m.timers.Len() > 0 && !now.Before(m.timers.Peek().due) {
		r := m.timers.Peek()
		if !now.Before(r.deadline) {
			m.abandon(now, r, dfuoutcome.ReasonDeadline)
			continue
		}
		m.sendDueSeals(now, r)
		m.sendDueHedge(now, r)
		m.schedule(r)
	}
}

func (m *Machine) sendDueSeals(now dfuclock.Time, r *request) {
	for _, a := range r.live {
		if a.sealAt > 0 && !now.Before(a.sealAt) {
			a.sealAt = 0
			m.emit(SendSeal{ID: a.id, To: a.to})
		}
	}
}

// sendDueHedge sends the hedge of a request if it is due and the first attempt is still live
// and the only one.
func (m *Machine) sendDueHedge(now dfuclock.Time, r *request) {
	if !r.hedge || now.Before(r.hedgeAt) {
		return
	}
	r.hedge = false
	if r.late {
		m.sendLateHedge(now, r)
		return
	}
	if r.sent == 1 && len(r.live) == 1 && !r.targetsExhausted() {
		m.send(now, r, SendHedge)
	}
}

func (m *Machine) schedule(r *request) {
	due := r.nextDue()
	if due != r.due {
		r.due = due
		m.timers.Fix(r)
	}
}
