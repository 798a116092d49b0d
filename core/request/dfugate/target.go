package dfugate

import (
	"cmp"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// serviceTime is an exponentially weighted moving average of the run time.
type serviceTime struct {
	// scaled is the mean in units of 1/meanScale ms.
	scaled int64
}

// coldSlotsDivisor is the inverse of the share of slots that a cold target may use at
// first. If all targets have just started, for example after a power failure, a smaller
// share would only make callers wait.
const coldSlotsDivisor = 2

const (
	meanScale = 16
	// meanWeightDivisor is the inverse of the weight of a new sample.
	meanWeightDivisor = 8
)

func (s *serviceTime) mean() dfuclock.Duration {
	return dfuclock.Duration((s.scaled + meanScale/2) / meanScale)
}

func (s *serviceTime) add(d dfuclock.Duration) {
	sample := int64(d) * meanScale
	if s.scaled == 0 {
		s.scaled = sample
		return
	}
	s.scaled += (sample - s.scaled) / meanWeightDivisor
}

// addLowerBound adds a run that was aborted after d, so that its run time is at least d.
func (s *serviceTime) addLowerBound(d dfuclock.Duration) {
	if d > s.mean() {
		s.add(d)
	}
}

// TargetLoad is the load that the target itself reports.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Slowdown is the current processing time on the target's VM in percent of the
	// normal one, or zero if the target doesn't report it.
	Slowdown int
	// Limit is the rate limit that the target advertises, or zero.
	Limit Rate
	// ColdKnown is set if the target reports whether it is cold, and ColdFor is how much
	// longer.
	ColdKnown bool
	ColdFor   dfuclock.Duration
}

// findRunning returns the running request with the ID. For any other ID it logs a stray
// report and returns nil.
func (m *Machine) findRunning(id dfuident.RequestID) *request {
	r := m.live[id]
	if r == nil || r.state != stateRunning {
		m.log(LogStrayReport, id)
		return nil
	}
	return r
}

func (m *Machine) targetDone(now dfuclock.Time, e TargetDone) {
	r := m.findRunning(e.ID)
	if r == nil {
		return
	}
	m.targetLimit.observe(now, r.started, e.Limit)
	if !e.Failed && r.canceled == dfuoutcome.ReasonNone {
		m.meanServiceTime.add(now.Sub(r.started))
		m.observeRunTime(r.kind, now.Sub(r.started))
		m.target.warmSlots = min(m.target.warmSlots+1, m.target.slots)
		if work, ok := m.slowdown.normalize(now.Sub(r.started), r.startedSlowReports); ok {
			m.saturation.observe(now, r.kind, m.target.slots, r.startedInUse, len(m.running), work)
		}
	}
	if m.crash.ClearSuspect(r.fingerprint) {
		m.emit(ClearFingerprint{Fingerprint: r.fingerprint})
	}
	m.complete(r, dfuoutcome.Answered, dfuoutcome.ReasonNone)
}

func (m *Machine) targetFailed(now dfuclock.Time, e TargetFailed) {
	r := m.findRunning(e.ID)
	if r == nil {
		return
	}
	if e.Limit > 0 {
		m.targetLimit.update(now, e.Limit)
	}
	switch {
	case e.Refused:
		m.refuse(r, dfuoutcome.NotRun, cmp.Or(e.Reason, dfuoutcome.ReasonTargetRefused))
	case e.Died && m.target.up:
		m.targetCrashed(now)
	case e.Died:
		m.complete(r, dfuoutcome.Unknown, dfuoutcome.ReasonTargetDied)
	case r.canceled != dfuoutcome.ReasonNone:
		m.meanServiceTime.addLowerBound(now.Sub(r.started))
		m.complete(r, dfuoutcome.Unknown, r.canceled)
	default:
		m.addLostRun(lostRun{fingerprint: r.fingerprint, at: now})
		m.complete(r, dfuoutcome.Unknown, dfuoutcome.ReasonTargetLinkLost)
	}
}

func (m *Machine) addLostRun(l lostRun) {
	if len(m.lostRuns) == lostRunsMax {
		m.lostRuns = append(m.lostRuns[:0], m.lostRuns[1:]...)
	}
	m.lostRuns = append(m.lostRuns, l)
}

func (m *Machine) targetAnnounced(e TargetAnnounced) {
	if m.target.up && m.target.service != e.Service {
		m.refuseWaiting(dfuoutcome.ReasonNoLocalTarget)
	}
	if !m.target.up || m.target.warmSlots >= m.target.slots {
		m.target.warmSlots = e.Slots
	}
	if !m.target.up {
		m.requestLoad()
	}
	if !m.target.up && e.Cold {
		m.target.warmSlots = max(1, e.Slots/coldSlotsDivisor)
	}
	if e.NewRun {
		m.targetLimit = targetLimit{}
	}
	m.cold.setLimit(m.now, e.ColdLimit)
	if e.NewRun || !m.target.up {
		m.assumeCold(m.now)
	}
	m.cold.extend(m.now.Add(e.ColdFor))
	if e.Limit > 0 {
		m.targetLimit.update(m.now, e.Limit)
	}
	m.target.up = true
	m.target.service = e.Service
	m.target.slots = e.Slots
}

func (m *Machine) targetWithdrawn() {
	m.target.up = false
	m.refuseWaiting(dfuoutcome.ReasonNoLocalTarget)
}

// targetCrashed completes all running requests as unknown and records the suspects of the
// crash.
func (m *Machine) targetCrashed(now dfuclock.Time) {
	wasUp := m.target.up
	m.target.up = false
	running := m.runningAtCrash(now)
	for len(m.running) > 0 {
		r := m.running[0]
		m.emit(CancelOnTarget{ID: r.id})
		m.complete(r, dfuoutcome.Unknown, dfuoutcome.ReasonTargetDied)
	}
	m.refuseWaiting(dfuoutcome.ReasonNoLocalTarget)
	if wasUp {
		m.recordCrash(now, running)
	}
}

// runningAtCrash returns the fingerprints of the requests that were running at a crash,
// including those whose connection was lost within CrashWindow before the report.
func (m *Machine) runningAtCrash(now dfuclock.Time) []dfucrash.Fingerprint {
	var running []dfucrash.Fingerprint
	for _, r := range m.running {
		running = append(running, r.fingerprint)
	}
	for _, l := range m.lostRuns {
		if now.Sub(l.at) <= m.cfg.CrashWindow {
			running = append(running, l.fingerprint)
		}
	}
	m.lostRuns = m.lostRuns[:0]
	return running
}

func (m *Machine) recordCrash(now dfuclock.Time, running []dfucrash.Fingerprint) {
	m.target.crashes++
	crash := dfucrash.Crash{Node: m.self, Number: m.target.crashes}
	banned, suspects := m.crash.RecordCrash(now, crash, running)
	for _, f := range banned {
		m.emit(BanFingerprint{Fingerprint: f, For: m.cfg.Crash.BanFor})
	}
	if len(suspects) > 0 {
		m.emit(ReportCrash{Crash: crash, Fingerprints: suspects})
	}
}
