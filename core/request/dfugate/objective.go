package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuquantile"
	"dragonflyusher/core/request/dfuoutcome"
)

// Requests may have an objective besides their deadline: the time within which
// an answer is worth most. Under overload the gate serves those that can still
// make theirs, earliest objective first, and refuses the others early, so that
// their callers can turn elsewhere or come back.
const (
	// typicalQuantile is the quantile of the times of a kind's runs that stands
	// for a run without disturbance.
	typicalQuantile = 0.3
	// typicalKinds bounds the kinds whose times are kept.
	typicalKinds = 256
	// lateShare is the share of the slots that may wait for a run past their
	// objective, in percent. More of them are refused.
	lateShare = 50
)

// runTimes follows how long the runs of a kind take.
type runTimes struct {
	typical, cautious dfuquantile.Estimate
}

// noteTime learns how long a run of a kind took.
func (m *Machine) noteTime(kind dfuident.Kind, d dfuclock.Duration) {
	t := m.kinds[kind]
	if t == nil {
		if len(m.kinds) >= typicalKinds {
			return
		}
		t = &runTimes{}
		m.kinds[kind] = t
	}
	took := float64(max(d, dfuclock.Millisecond))
	t.typical.Add(took, typicalQuantile)
	t.cautious.Add(took, m.cfg.AdmitQuantile)
}

// Typical returns how long a run of a kind takes without disturbance, or zero
// while nothing is known.
func (m *Machine) Typical(kind dfuident.Kind) dfuclock.Duration {
	if t := m.kinds[kind]; t != nil {
		return dfuclock.Duration(t.typical.Value())
	}
	return 0
}

// runTime returns how long the request is expected to run: as others of its kind, or
// as all others while none of its kind has run. Targets serve requests of very
// different lengths.
func (m *Machine) runTime(r *record) dfuclock.Duration {
	if typical := m.Typical(r.kind); typical > 0 {
		return typical
	}
	return m.service.mean()
}

// cautious returns how long a run of a kind takes with the disturbances that most
// runs meet, or zero while nothing is known.
func (m *Machine) cautious(kind dfuident.Kind) dfuclock.Duration {
	if t := m.kinds[kind]; t != nil {
		return dfuclock.Duration(t.cautious.Value())
	}
	return 0
}

// isTimely reports whether a request that began now could be answered within its
// objective, or is waited for by a running one.
func (m *Machine) isTimely(now dfuclock.Time, r *record) bool {
	return r.nested || r.objective > 0 && !r.objective.Before(now.Add(m.Typical(r.kind)))
}

// missesObjective reports whether a request would have to wait and might well miss
// its objective then. Where requests wait, slots are scarce, and another one that
// comes has more time left to be disturbed in.
func (m *Machine) missesObjective(now dfuclock.Time, r *record) bool {
	slots := m.slots()
	if r.objective == 0 || r.nested || slots == 0 || len(m.running)+m.waiting() < slots {
		return false
	}
	return r.objective.Before(now.Add(m.wait(r) + m.cautious(r.kind)))
}

// shedLate refuses requests that can no longer make their objective while many
// others wait.
func (m *Machine) shedLate(now dfuclock.Time) {
	if m.queue.length*100 <= m.slots()*lateShare {
		return
	}
	for _, r := range m.queue.all() {
		if r.objective > 0 && !m.isTimely(now, r) {
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonObjectiveMissed)
		}
	}
}
