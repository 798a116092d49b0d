package dfuchoice

import "dragonflyusher/core/process/dfuclock"

// Outlier ejection parameters.
const (
	// failureRateLimit is the failure rate at which a target is ejected.
	failureRateLimit = 0.5
	// failureSmoothing is the weight of one attempt in the failure rate.
	failureSmoothing = 0.2
	// failurePenalty scales the cost of a target with its failure rate: a
	// target whose attempts all fail costs 1+failurePenalty times as much.
	// Without it, a target that fails immediately would have few requests in
	// flight and attract more.
	failurePenalty = 8.0
	// penaltyLifetime is the time since the last failure after which the
	// penalty has decayed to zero. The target then gets requests again, without
	// which it could neither recover nor be ejected.
	penaltyLifetime = 500 * dfuclock.Millisecond
	// baseEjectionTime is the length of a target's first ejection.
	baseEjectionTime = 2 * dfuclock.Second
	// maxEjectionTime limits the length of an ejection, which doubles each
	// time.
	maxEjectionTime = 60 * dfuclock.Second
	// maxEjectedDivisor limits the targets of a service that may be ejected or
	// on probation at the same time to 1/maxEjectedDivisor, but at least one.
	maxEjectedDivisor = 3
	// ignoreHealthDivisor determines when health is ignored: if more than
	// 1/ignoreHealthDivisor of the targets fail, the cause is assumed not to be the
	// targets themselves.
	ignoreHealthDivisor = 2
	// probationAttempts is the number of consecutive successes that end a
	// probation.
	probationAttempts = 3
)

// healthState is the ejection state of a target.
type healthState uint8

const (
	healthy healthState = iota
	ejected
	probation
)

// health tracks the failures of a target. Refusals and cancellations are not
// counted, since they don't depend on the target's health.
type health struct {
	state healthState
	// failureRate is a moving average of the share of failed attempts.
	failureRate float64
	// failedAt is the time of the last failed attempt.
	failedAt     dfuclock.Time
	ejectedUntil dfuclock.Time
	ejectionTime dfuclock.Duration
	// attemptsInFlight is the number of attempts in flight, and successes the
	// number of consecutive successes during a probation.
	attemptsInFlight, successes int
}

// updateHealth updates the target's health with the outcome of an attempt.
func (t *targetState) updateHealth(now dfuclock.Time, kind FeedbackKind) {
	h := &t.health
	h.attemptsInFlight = max(0, h.attemptsInFlight-1)
	switch kind {
	case FeedbackAnswered:
		h.failureRate -= failureSmoothing * h.failureRate
		t.recordSuccess(now)
	case FeedbackTargetError, FeedbackLinkFailed:
		h.failureRate += failureSmoothing * (1 - h.failureRate)
		h.failedAt = now
		t.recordFailure(now)
	case FeedbackRefused, FeedbackCanceled:
	}
}

// recordSuccess counts a success during a probation. Enough of them end the
// probation, and the target's slow start begins.
func (t *targetState) recordSuccess(now dfuclock.Time) {
	h := &t.health
	if h.state != probation {
		return
	}
	h.successes++
	if h.successes >= probationAttempts {
		*h = health{ejectionTime: h.ejectionTime, attemptsInFlight: h.attemptsInFlight}
		t.probationEndedAt = now
	}
}

// recordFailure ejects the target if its failure rate is too high and the limit
// on ejected targets allows it. A failure during probation ejects the target
// again.
func (t *targetState) recordFailure(now dfuclock.Time) {
	h := &t.health
	switch h.state {
	case ejected:
		return
	case healthy:
		if h.failureRate < failureRateLimit || !t.service.mayEject() {
			return
		}
	case probation:
	}
	h.state = ejected
	h.ejectionTime = min(max(2*h.ejectionTime, baseEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// mayEject reports whether another target of the service may be ejected.
func (s *serviceState) mayEject() bool {
	n := 0
	for _, t := range s.targets {
		if t.health.state != healthy {
			n++
		}
	}
	return n < max(1, len(s.targets)/maxEjectedDivisor)
}

// mostTargetsFail reports whether so many targets fail that the cause is
// probably not the targets but the service's dependencies or the network
// between this node and them.
func (s *serviceState) mostTargetsFail() bool {
	n := 0
	for _, t := range s.targets {
		if t.health.state != healthy || t.health.failureRate >= failureRateLimit {
			n++
		}
	}
	return ignoreHealthDivisor*n > len(s.targets)
}

// isEjected reports whether the target is ejected. A target whose ejection has
// expired is moved to probation.
func (h *health) isEjected(now dfuclock.Time) bool {
	if h.state == ejected && !now.Before(h.ejectedUntil) {
		h.state = probation
		h.successes = 0
	}
	return h.state == ejected
}

// allowsTrial reports whether a target on probation may take this request. It
// takes one request at a time, only first attempts, and only idempotent
// requests until as much time has passed since its ejection as the ejection
// lasted.
func (h *health) allowsTrial(now dfuclock.Time, q Query) bool {
	if h.attemptsInFlight > 0 || q.Attempt > 0 {
		return false
	}
	return q.Idempotent || now.Sub(h.ejectedUntil) >= h.ejectionTime
}

// penalty returns the factor by which recent failures raise the target's cost.
func (h *health) penalty(now dfuclock.Time) float64 {
	return 1 + failurePenalty*h.failureRate*linearDecay(now, h.failedAt, penaltyLifetime)
}
