package dfugate

import (
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

const (
	// slowdownValidity is how long a reported slowdown is considered current. It is a
	// small part of the 150 ms that a typical slow period caused by noisy neighbors
	// lasts.
	slowdownValidity = 20 * dfuclock.Millisecond
	// slowThresholdPercent is the processing time, in percent of the normal one, from
	// which a target counts as slow.
	slowThresholdPercent = 200
	// baselineWindow is the minimum time for which the lowest reported slowdown is the
	// target's baseline. It is several times as long as a slow period of 150 ms.
	baselineWindow = dfuclock.Second
	// normalPercent is the processing time at normal speed.
	normalPercent = 100
	// loadRequestInterval is the interval at which a slow target is asked for its load
	// while requests are queued. It is a seventh of a typical slow period, so that its
	// end is noticed soon.
	loadRequestInterval = 20 * dfuclock.Millisecond
	// slowHoldMax is how long requests are held back until the target is no longer
	// slow. It covers four consecutive slow periods, which are rare even if the target
	// is slow for a third of the time.
	slowHoldMax = 600 * dfuclock.Millisecond
)

// slowdown holds the slowdown that the target last reported.
type slowdown struct {
	// reported is set once the target has reported a slowdown.
	reported bool
	// percent is the last reported processing time in percent of the normal one, and
	// at is when it was reported.
	percent int
	at      dfuclock.Time
	// slowReports counts the reports of a slow target.
	slowReports int
	// minPercent and previousMinPercent are the lowest values reported in the current
	// and the previous baselineWindow. The current window started at windowStart.
	minPercent, previousMinPercent int
	windowStart                    dfuclock.Time
	// requestPending is set while a RequestTargetLoad is unanswered. nextRequestAt is when
	// to ask again, or zero.
	requestPending bool
	nextRequestAt  dfuclock.Time
	// lastFailureAt is when the latest RequestTargetLoad failed, or zero if the target has
	// reported its load since.
	lastFailureAt dfuclock.Time
	// slowSince is the time of the first of the latest uninterrupted slow reports, or
	// zero if the latest report was not slow.
	slowSince dfuclock.Time
}

// fresh reports whether the last report is still current.
func (s *slowdown) fresh(now dfuclock.Time) bool {
	return s.reported && now.Sub(s.at) <= slowdownValidity
}

// currentPercent returns the last reported slowdown if it is still current, or else zero.
func (s *slowdown) currentPercent(now dfuclock.Time) uint16 {
	if !s.fresh(now) {
		return 0
	}
	return uint16(min(s.percent, math.MaxUint16))
}

// normalize converts the run time elapsed to the target's normal speed. slowReports is the
// count when the run started. normalize returns false if the target has been slow since
// then, as the normal run time can't be derived in that case.
func (s *slowdown) normalize(elapsed dfuclock.Duration, slowReports int) (normalizedTime, bool) {
	if s.slowReports != slowReports || s.slow() {
		return 0, false
	}
	return normalizedTime(elapsed) * normalPercent / normalizedTime(max(s.percent, normalPercent)), true
}

// slow reports whether the last report was slow compared with the target's recent
// baseline. A target that has just started is slow all the time, and refusing every
// request that could go elsewhere would not help.
func (s *slowdown) slow() bool {
	return s.percent >= slowThresholdPercent*max(s.baseline(), normalPercent)/normalPercent
}

// baseline returns the lowest recently reported slowdown.
func (s *slowdown) baseline() int {
	if s.previousMinPercent > 0 {
		return min(s.minPercent, s.previousMinPercent)
	}
	return s.minPercent
}

// observe records a reported slowdown.
func (s *slowdown) observe(now dfuclock.Time, percent int) {
	s.reported = true
	s.percent = percent
	s.at = now
	if s.minPercent == 0 || now.Sub(s.windowStart) >= baselineWindow {
		s.previousMinPercent, s.minPercent = s.minPercent, percent
		s.windowStart = now
	}
	s.minPercent = min(s.minPercent, percent)
	switch {
	case !s.slow():
		s.slowSince = 0
	case s.slowSince == 0:
		s.slowSince = now
		fallthrough
	default:
		s.slowReports++
	}
}

// holdsQueue reports whether queued requests are held back because the target is slow. A
// request started now would occupy its slot several times as long as one started after the
// slow period.
func (s *slowdown) holdsQueue(now dfuclock.Time) bool {
	return s.slow() && s.slowSince != 0 && now.Sub(s.slowSince) < slowHoldMax
}

// mayDispatch reports whether queued requests may be handed to the target. It asks the
// target for its load if the decision depends on it.
func (m *Machine) mayDispatch(now dfuclock.Time) bool {
	s := &m.slowdown
	s.nextRequestAt = 0
	unknown := !s.fresh(now) && (s.lastFailureAt == 0 || now.Sub(s.lastFailureAt) > slowdownValidity)
	switch {
	case !s.reported || m.queue.length == 0 || len(m.running) >= m.slots():
		return true
	case unknown:
		m.requestLoad()
		return false
	case s.fresh(now) && s.holdsQueue(now):
		if next := s.at.Add(loadRequestInterval); now.Before(next) {
			s.nextRequestAt = next
		} else {
			m.requestLoad()
		}
		return false
	default:
		return true
	}
}

// requestLoad asks the target for its load unless a request is pending.
func (m *Machine) requestLoad() {
	if !m.slowdown.requestPending {
		m.slowdown.requestPending = true
		m.emit(RequestTargetLoad{})
	}
}

// enqueueWhenLoadKnown enqueues a request. A request with NoWait first waits until the
// target has reported its load, unless the last report is current, since the entry node may
// find a faster target.
func (m *Machine) enqueueWhenLoadKnown(now dfuclock.Time, r *request) {
	if !r.noWait || !m.slowdown.reported || m.slowdown.fresh(now) {
		m.enqueue(r)
		return
	}
	r.state = stateAwaitingLoad
	m.awaitingLoad = append(m.awaitingLoad, r)
	m.requestLoad()
}

// loadReported records the target's load, and admits or refuses the requests that wait for
// it.
func (m *Machine) loadReported(now dfuclock.Time, load TargetLoad) {
	m.slowdown.requestPending = false
	m.slowdown.lastFailureAt = 0
	if load.Limit > 0 {
		m.targetLimit.update(now, load.Limit)
	}
	m.observeCold(now, load)
	if load.Slowdown > 0 && !m.cfg.IgnoreSlowdown {
		m.slowdown.observe(now, load.Slowdown)
	}
	if !m.slowdown.slow() {
		m.admitToCold(now)
		return
	}
	for _, r := range slices.Clone(m.awaitingLoad) {
		m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonTargetSlow)
	}
}

// loadUnavailable admits the requests that wait for the target's load.
func (m *Machine) loadUnavailable(now dfuclock.Time) {
	m.slowdown.requestPending = false
	m.slowdown.lastFailureAt = now
	m.admitToCold(now)
}
