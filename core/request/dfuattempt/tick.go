package dfuattempt

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) tick(now dfuclock.Time) {
	for m.timers.Len() > 0 && !now.Before(m.timers.First().due) {
		r := m.timers.First()
		if !now.Before(r.deadline) {
			m.abandon(now, r, dfuoutcome.ReasonDeadline)
			continue
		}
		m.sealDue(now, r)
		m.hedgeDue(now, r)
		m.schedule(r)
	}
}

func (m *Machine) sealDue(now dfuclock.Time, r *request) {
	for _, a := range r.live {
		if a.sealAt > 0 && !now.Before(a.sealAt) {
			a.sealAt = 0
			m.emit(SendSeal{ID: a.id, To: a.to})
		}
	}
}

// hedgeDue sends the one extra attempt of a request whose only attempt is
// still waiting for its answer.
func (m *Machine) hedgeDue(now dfuclock.Time, r *request) {
	if !r.hedge || now.Before(r.hedgeAt) {
		return
	}
	r.hedge = false
	if r.sent == 1 && len(r.live) == 1 && !r.exhausted() {
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
