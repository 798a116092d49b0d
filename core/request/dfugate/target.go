package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// serviceTime is an exponentially weighted mean of the time of a run.
type serviceTime struct {
	// scaled is the mean in units of 1/meanScale ms.
	scaled int64
}

// coldParts is the inverse of the share of its slots that a target which has just
// started is given at once. Where all targets have started, as after a loss of power,
// fewer would only let their callers wait.
const coldParts = 2

const (
	meanScale = 16
	// meanWeight is the inverse weight of a new sample.
	meanWeight = 8
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
	s.scaled += (sample - s.scaled) / meanWeight
}

// atLeast adds a run that was cut off, which is known to take longer than d.
func (s *serviceTime) atLeast(d dfuclock.Duration) {
	if d > s.mean() {
		s.add(d)
	}
}

// TargetLoad is what the target itself tells of its load with an answer.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the target's VM at this moment, in
	// percent of the usual time; zero if the target doesn't tell.
	Slowdown int
}

// find returns the running request with the id, or nil for a late report.
func (m *Machine) find(id dfuident.RequestID) *record {
	r := m.live[id]
	if r == nil || r.state != stateRunning {
		m.log(LogStrayReport, id)
		return nil
	}
	return r
}

func (m *Machine) targetDone(now dfuclock.Time, e TargetDone) {
	r := m.find(e.ID)
	if r == nil {
		return
	}
	if !e.Failed && r.canceled == dfuoutcome.ReasonNone {
		m.service.add(now.Sub(r.started))
		m.noteTime(r.kind, now.Sub(r.started))
		m.target.warm = min(m.target.warm+1, m.target.slots)
		if work, ok := m.pace.calm(now.Sub(r.started), r.startedDisturbances); ok {
			m.full.note(now, r.kind, m.target.slots, r.startedLevel, len(m.running), work)
		}
	}
	if m.crash.Completed(r.fingerprint) {
		m.emit(ClearFingerprint{Fingerprint: r.fingerprint})
	}
	m.complete(r, dfuoutcome.Answered, dfuoutcome.ReasonNone)
}

func (m *Machine) targetFailed(now dfuclock.Time, e TargetFailed) {
	r := m.find(e.ID)
	if r == nil {
		return
	}
	switch {
	case e.Refused:
		m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonTargetRefused)
	case e.Died && m.target.up:
		m.targetCrashed(now)
	case e.Died:
		m.complete(r, dfuoutcome.Unknown, dfuoutcome.ReasonTargetDied)
	case r.canceled != dfuoutcome.ReasonNone:
		m.service.atLeast(now.Sub(r.started))
		m.complete(r, dfuoutcome.Unknown, r.canceled)
	default:
		m.addLost(lostRun{fingerprint: r.fingerprint, at: now})
		m.complete(r, dfuoutcome.Unknown, dfuoutcome.ReasonTargetLinkLost)
	}
}

func (m *Machine) addLost(l lostRun) {
	if len(m.lost) == lostMax {
		m.lost = append(m.lost[:0], m.lost[1:]...)
	}
	m.lost = append(m.lost, l)
}

func (m *Machine) targetAnnounced(e TargetAnnounced) {
	if m.target.up && m.target.service != e.Service {
		m.flush(dfuoutcome.ReasonNoLocalTarget)
	}
	if !m.target.up || m.target.warm >= m.target.slots {
		m.target.warm = e.Slots
	}
	if !m.target.up {
		m.ask()
	}
	if !m.target.up && e.Cold {
		m.target.warm = max(1, e.Slots/coldParts)
	}
	m.target.up = true
	m.target.service = e.Service
	m.target.slots = e.Slots
}

func (m *Machine) targetWithdrawn() {
	m.target.up = false
	m.flush(dfuoutcome.ReasonNoLocalTarget)
}

// targetCrashed ends everything that was running as unknown and looks for the
// request that may have caused the crash.
func (m *Machine) targetCrashed(now dfuclock.Time) {
	wasUp := m.target.up
	m.target.up = false
	running := m.crashRunning(now)
	for len(m.running) > 0 {
		r := m.running[0]
		m.emit(CancelOnTarget{ID: r.id})
		m.complete(r, dfuoutcome.Unknown, dfuoutcome.ReasonTargetDied)
	}
	m.flush(dfuoutcome.ReasonNoLocalTarget)
	if wasUp {
		m.blame(now, running)
	}
}

// crashRunning returns the fingerprints that were running at a crash,
// including those whose connection broke shortly before its report.
func (m *Machine) crashRunning(now dfuclock.Time) []dfucrash.Fingerprint {
	var running []dfucrash.Fingerprint
	for _, r := range m.running {
		running = append(running, r.fingerprint)
	}
	for _, l := range m.lost {
		if now.Sub(l.at) <= m.cfg.CrashWindow {
			running = append(running, l.fingerprint)
		}
	}
	m.lost = m.lost[:0]
	return running
}

func (m *Machine) blame(now dfuclock.Time, running []dfucrash.Fingerprint) {
	m.target.crashes++
	crash := dfucrash.Crash{Node: m.self, Number: m.target.crashes}
	banned, suspects := m.crash.Crashed(now, crash, running)
	for _, f := range banned {
		m.emit(BanFingerprint{Fingerprint: f, For: m.cfg.Crash.BanFor})
	}
	if len(suspects) > 0 {
		m.emit(ReportCrash{Crash: crash, Fingerprints: suspects})
	}
}
