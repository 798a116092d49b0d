package dfugate

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// refuse answers a live request that did not run and takes it off wherever it
// stands.
func (m *Machine) refuse(r *record, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	switch r.state {
	case stateClaiming:
		m.claiming--
		m.disown(r)
	case stateAsking:
		m.asking = slices.DeleteFunc(m.asking, func(other *record) bool { return other == r })
	case stateHeld:
		m.bodies.held = slices.DeleteFunc(m.bodies.held, func(other *record) bool { return other == r })
	case stateQueued:
		m.queue.remove(r)
	case stateRunning:
		m.stopRunning(r)
	}
	m.forget(r, verdict{outcome: outcome, reason: reason, offered: true})
	if r.claimed {
		m.emit(r.release())
	}
	m.emit(Refuse{ID: r.id, Outcome: outcome, Reason: reason})
}

// complete answers a request that was handed to the target.
func (m *Machine) complete(r *record, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	m.stopRunning(r)
	m.forget(r, verdict{outcome: outcome, reason: reason, offered: true})
	m.emit(Complete{ID: r.id, Outcome: outcome, Reason: reason})
}

func (m *Machine) stopRunning(r *record) {
	i := slices.Index(m.running, r)
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *Machine) forget(r *record, v verdict) {
	delete(m.live, r.id)
	m.timers.Remove(r)
	m.decide(r.id, v)
}

func (m *Machine) decide(id dfuident.RequestID, v verdict) {
	if forgotten, ok := m.ledger.keep(id, v); ok {
		m.log(LogForgotten, forgotten)
	}
}

// flush refuses everything that waits.
func (m *Machine) flush(reason dfuoutcome.Reason) {
	var waiting []*record
	for _, r := range m.live {
		if r.state != stateRunning {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *record) int { return cmp.Compare(a.arrival, b.arrival) })
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
