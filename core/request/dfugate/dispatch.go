package dfugate

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

// dispatch hands queued requests to the target while slots are free. It checks each
// deadline again, since the process may have been paused for any length of time.
func (m *Machine) dispatch(now dfuclock.Time) {
	m.shedLate(now)
	if m.tokenWait(now, 1) > 0 {
		m.slowdown.nextRequestAt = 0
		return
	}
	if !m.mayDispatch(now) {
		return
	}
	for len(m.running) < m.slots() && m.tokenWait(now, 1) == 0 {
		r := m.next(now)
		if r == nil {
			return
		}
		switch {
		case !now.Before(r.deadline):
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonDeadline)
		case m.likelyMissesDeadline(now, r):
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonDeadlineTooShort)
		case m.crash.Banned(now, r.fingerprint):
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonCrashSuspect)
		default:
			m.run(now, r)
		}
	}
}

// next returns the request to run next, or nil if there is none. Requests that can
// still meet their objective, and nested ones, come before all others.
func (m *Machine) next(now dfuclock.Time) *request {
	suspect := m.suspectRunning(now)
	eligible := func(r *request) bool {
		return !suspect || !m.crash.Suspected(now, r.fingerprint)
	}
	r := m.queue.next(func(r *request) bool { return eligible(r) && m.canMeetObjective(now, r) })
	if r != nil {
		return r
	}
	return m.queue.next(eligible)
}

// likelyMissesDeadline reports whether a request would probably miss its deadline
// while others wait for the slot. The last queued request always runs, so that a
// wrong run time estimate is corrected.
func (m *Machine) likelyMissesDeadline(now dfuclock.Time, r *request) bool {
	return m.queue.length > 1 && r.deadline.Sub(now) < m.expectedRunTime(r)
}

func (m *Machine) suspectRunning(now dfuclock.Time) bool {
	return slices.ContainsFunc(m.running, func(r *request) bool {
		return m.crash.Suspected(now, r.fingerprint)
	})
}

func (m *Machine) run(now dfuclock.Time, r *request) {
	m.queue.charge(r)
	m.queue.remove(r)
	m.targetLimit.bucket.take()
	if m.cold.take(now) {
		m.requestLoad()
	}
	r.state = stateRunning
	r.started = now
	m.running = append(m.running, r)
	r.startedInUse = len(m.running)
	r.startedSlowReports = m.slowdown.slowReports
	if m.slowdown.slow() {
		// The last report may still apply. The decrement makes the count differ when
		// the run ends, so that its run time isn't normalized.
		r.startedSlowReports--
	}
	m.emit(RunOnTarget{ID: r.id, Remaining: r.deadline.Sub(now)})
}

func (m *Machine) expireDeadlines(now dfuclock.Time) {
	for m.timers.Len() > 0 && !now.Before(m.timers.Peek().deadline) {
		r := m.timers.Peek()
		if r.state != stateRunning {
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonDeadline)
			continue
		}
		m.timers.Remove(r)
		m.cancelRunning(r, dfuoutcome.ReasonDeadline)
	}
}
