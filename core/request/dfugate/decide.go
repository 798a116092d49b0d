package dfugate

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// refuse answers a live request that did not run and removes it according to its
// state.
func (m *Machine) refuse(r *request, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	switch r.state {
	case stateAwaitingClaim:
		m.awaitingClaim--
		m.releaseIfGranted(r)
	case stateAwaitingLoad:
		m.awaitingLoad = slices.DeleteFunc(m.awaitingLoad, func(other *request) bool { return other == r })
	case stateAwaitingBody:
		m.bodyWindow.pending = slices.DeleteFunc(m.bodyWindow.pending, func(other *request) bool { return other == r })
	case stateQueued:
		m.queue.remove(r)
	case stateRunning:
		m.removeRunning(r)
	}
	m.finalize(r, storedOutcome{outcome: outcome, reason: reason, offered: true})
	if r.claimed {
		m.emit(r.release())
	}
	m.emit(Refuse{ID: r.id, Outcome: outcome, Reason: reason})
}

// complete answers a request that was handed to the target.
func (m *Machine) complete(r *request, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	m.removeRunning(r)
	m.finalize(r, storedOutcome{outcome: outcome, reason: reason, offered: true})
	m.emit(Complete{ID: r.id, Outcome: outcome, Reason: reason})
}

func (m *Machine) removeRunning(r *request) {
	i := slices.Index(m.running, r)
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *Machine) finalize(r *request, v storedOutcome) {
	delete(m.live, r.id)
	m.timers.Remove(r)
	m.storeOutcome(r.id, v)
}

func (m *Machine) storeOutcome(id dfuident.RequestID, v storedOutcome) {
	if evicted, ok := m.outcomes.store(id, v); ok {
		m.log(LogOutcomeEvicted, evicted)
	}
}

// refuseWaiting refuses all requests that are not running, in order of arrival.
func (m *Machine) refuseWaiting(reason dfuoutcome.Reason) {
	var waiting []*request
	for _, r := range m.live {
		if r.state != stateRunning {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, r := range waiting {
		m.refuse(r, dfuoutcome.NotRun, reason)
	}
}

func (m *Machine) checkDrained() {
	if m.draining && !m.drained && len(m.live) == 0 {
		m.drained = true
		m.emit(Drained{})
	}
}
