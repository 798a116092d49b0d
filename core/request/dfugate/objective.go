package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuquantile"
	"dragonflyusher/core/request/dfuoutcome"
)

// Besides its deadline, a request may have an objective: the time within which an answer
// has its full value. Under overload, the gate serves the requests that can still meet
// their objective, earliest objective first, and refuses the others early, so that their
// callers can use another target or retry later.
const (
	// typicalQuantile is the quantile of a kind's run times that estimates a run
	// without interference.
	typicalQuantile = 0.3
	// runTimeKindsMax is the maximum number of kinds whose run times are estimated.
	runTimeKindsMax = 256
	// lateSharePercent is the queue length, in percent of the slots, above which
	// requests that can no longer meet their objective are refused.
	lateSharePercent = 50
)

// runTimeEstimates estimates the run times of one kind of request, in ms.
type runTimeEstimates struct {
	typical, conservative dfuquantile.Estimate
}

// observeRunTime adds the run time d to the estimates of a kind.
func (m *Machine) observeRunTime(kind dfuident.Kind, d dfuclock.Duration) {
	t := m.runTimesByKind[kind]
	if t == nil {
		if len(m.runTimesByKind) >= runTimeKindsMax {
			return
		}
		t = &runTimeEstimates{}
		m.runTimesByKind[kind] = t
	}
	elapsed := float64(max(d, dfuclock.Millisecond))
	t.typical.Add(elapsed, typicalQuantile)
	t.conservative.Add(elapsed, m.cfg.AdmitQuantile)
}

// TypicalRunTime returns the estimated run time of a kind without interference, or zero if
// there are no samples yet.
func (m *Machine) TypicalRunTime(kind dfuident.Kind) dfuclock.Duration {
	if t := m.runTimesByKind[kind]; t != nil {
		return dfuclock.Duration(t.typical.Value())
	}
	return 0
}

// expectedRunTime returns the expected run time of a request: the typical run time of its
// kind or, until one of its kind has run, the mean of all kinds. Run times differ widely
// between kinds, so the mean alone would be a poor estimate.
func (m *Machine) expectedRunTime(r *request) dfuclock.Duration {
	if typical := m.TypicalRunTime(r.kind); typical > 0 {
		return typical
	}
	return m.meanServiceTime.mean()
}

// conservative returns the estimated run time of a kind with the usual interference, or
// zero if there are no samples yet.
func (m *Machine) conservative(kind dfuident.Kind) dfuclock.Duration {
	if t := m.runTimesByKind[kind]; t != nil {
		return dfuclock.Duration(t.conservative.Value())
	}
	return 0
}

// canMeetObjective reports whether a request that started now would typically meet its
// objective. It is also true for nested requests, and false for other requests without an
// objective.
func (m *Machine) canMeetObjective(now dfuclock.Time, r *request) bool {
	return r.nested || r.objective > 0 && !r.objective.Before(now.Add(m.TypicalRunTime(r.kind)))
}

// wouldMissObjective reports whether a request would have to queue and is at risk of
// missing its objective. While requests queue, slots are better left to later arrivals,
// which have more time to absorb interference.
func (m *Machine) wouldMissObjective(now dfuclock.Time, r *request) bool {
	slots := m.slots()
	if r.objective == 0 || r.nested || slots == 0 || len(m.running)+m.waiting() < slots {
		return false
	}
	return r.objective.Before(now.Add(m.expectedWait(r) + m.conservative(r.kind)))
}

// shedLate refuses queued requests that can no longer meet their objective if the queue is
// longer than lateSharePercent of the slots.
func (m *Machine) shedLate(now dfuclock.Time) {
	if m.queue.length*100 <= m.slots()*lateSharePercent {
		return
	}
	for _, r := range m.queue.all() {
		if r.objective > 0 && !m.canMeetObjective(now, r) {
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonObjectiveMissed)
		}
	}
}
