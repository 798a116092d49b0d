package dfugate

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

// dispatch hands waiting requests to the target while slots are free. A
// deadline is checked once more right here, since this process may have been
// paused for any length of time.
func (m *Machine) dispatch(now dfuclock.Time) {
	m.shedLate(now)
	if !m.mayDispatch(now) {
		return
	}
	for len(m.running) < m.slots() {
		r := m.next(now)
		if r == nil {
			return
		}
		switch {
		case !now.Before(r.deadline):
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonDeadline)
		case m.hopeless(now, r):
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonDeadlineTooShort)
		case m.crash.Banned(now, r.fingerprint):
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonCrashSuspect)
		default:
			m.run(now, r)
		}
	}
}

// next returns the request that runs next: of those that can still be answered
// within their objective or that a running request waits for, or else of all.
func (m *Machine) next(now dfuclock.Time) *record {
	suspect := m.suspectRunning(now)
	may := func(r *record) bool {
		return !suspect || !m.crash.Suspected(now, r.fingerprint)
	}
	r := m.queue.next(func(r *record) bool { return may(r) && m.isTimely(now, r) })
	if r != nil {
		return r
	}
	return m.queue.next(may)
}

// hopeless reports whether a request would probably miss its deadline in a slot
// that another one waits for. The last one waiting always runs, so that a wrong
// mean corrects itself.
func (m *Machine) hopeless(now dfuclock.Time, r *record) bool {
	return m.queue.length > 1 && r.deadline.Sub(now) < m.runTime(r)
}

func (m *Machine) suspectRunning(now dfuclock.Time) bool {
	return slices.ContainsFunc(m.running, func(r *record) bool {
		return m.crash.Suspected(now, r.fingerprint)
	})
}

func (m *Machine) run(now dfuclock.Time, r *record) {
	m.queue.remove(r)
	r.state = stateRunning
	r.started = now
	m.running = append(m.running, r)
	r.startedLevel = len(m.running)
	r.startedDisturbances = m.pace.disturbances
	if m.pace.slow() {
		// What was told last may still hold.
		r.startedDisturbances--
	}
	m.emit(RunOnTarget{ID: r.id, Remaining: r.deadline.Sub(now)})
}

func (m *Machine) expire(now dfuclock.Time) {
	for m.timers.Len() > 0 && !now.Before(m.timers.First().deadline) {
		r := m.timers.First()
		if r.state != stateRunning {
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonDeadline)
			continue
		}
		m.timers.Remove(r)
		m.cancelRunning(r, dfuoutcome.ReasonDeadline)
	}
}
