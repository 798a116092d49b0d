package dfuchoice

import "dragonflyusher/core/process/dfuclock"

// Parameters of ejection.
const (
	// failureRateLimit is the share of failed attempts that ejects a target.
	failureRateLimit = 0.5
	// failureSmoothing is the weight of one attempt in the failure rate.
	failureSmoothing = 0.2
	// failurePenalty is how many times its expected response time a target
	// costs more if all its attempts fail. A target that fails at once has few
	// requests in flight and must not look fast for that.
	failurePenalty = 8.0
	// penaltyLifetime is how long after its last failure a target costs more.
	// Past it, the target is tried again: without requests it could neither
	// clear itself nor be ejected.
	penaltyLifetime = 500 * dfuclock.Millisecond
	// ejectionStart is the length of a target's first ejection.
	ejectionStart = 2 * dfuclock.Second
	// ejectionMax bounds the length of an ejection, which doubles each time.
	ejectionMax = 60 * dfuclock.Second
	// ejectionParts is the inverse of the share of a service's targets that
	// may be ejected at once; one always may.
	ejectionParts = 3
	// distrustParts is the inverse of the share of failing targets above which
	// the failures are not taken to be the targets' own.
	distrustParts = 2
	// probationAttempts is how many successes in a row end a probation.
	probationAttempts = 3
)

// healthState is the state of a target's ejection.
type healthState uint8

const (
	healthy healthState = iota
	ejected
	probation
)

// health tracks the failures of a target. Only answers and failures count:
// a refusal or a cancellation says nothing about the target's health.
type health struct {
	state healthState
	// rate is a moving average of the share of failed attempts.
	rate float64
	// failedAt is when an attempt last failed.
	failedAt dfuclock.Time
	until    dfuclock.Time
	ejection dfuclock.Duration
	// trials counts the attempts in flight, and successes the answers in a row
	// during a probation.
	trials, successes int
}

// noteHealth learns from the end of an attempt.
func (t *targetState) noteHealth(now dfuclock.Time, kind FeedbackKind) {
	h := &t.health
	h.trials = max(0, h.trials-1)
	switch kind {
	case FeedbackAnswered:
		h.rate -= failureSmoothing * h.rate
		t.succeeded(now)
	case FeedbackTargetError, FeedbackLinkFailed:
		h.rate += failureSmoothing * (1 - h.rate)
		h.failedAt = now
		t.failed(now)
	case FeedbackRefused, FeedbackCanceled:
	}
}

// succeeded counts towards the end of a probation, after which the target
// starts slowly.
func (t *targetState) succeeded(now dfuclock.Time) {
	h := &t.health
	if h.state != probation {
		return
	}
	h.successes++
	if h.successes >= probationAttempts {
		*h = health{ejection: h.ejection, trials: h.trials}
		t.returned = now
	}
}

// failed ejects the target if it fails too often and the service has enough
// others.
func (t *targetState) failed(now dfuclock.Time) {
	h := &t.health
	switch h.state {
	case ejected:
		return
	case healthy:
		if h.rate < failureRateLimit || !t.service.mayEject() {
			return
		}
	case probation:
	}
	h.state = ejected
	h.ejection = min(max(2*h.ejection, ejectionStart), ejectionMax)
	h.until = now.Add(h.ejection)
}

// mayEject reports whether one more target may be ejected.
func (s *serviceState) mayEject() bool {
	n := 0
	for _, t := range s.targets {
		if t.health.state != healthy {
			n++
		}
	}
	return n < max(1, len(s.targets)/ejectionParts)
}

// mostFail reports whether so many targets fail that the cause is elsewhere:
// at the service's own dependencies, or between this node and all of them.
func (s *serviceState) mostFail() bool {
	n := 0
	for _, t := range s.targets {
		if t.health.state != healthy || t.health.rate >= failureRateLimit {
			n++
		}
	}
	return distrustParts*n > len(s.targets)
}

// isEjected reports whether the target takes no requests. At the end of its
// ejection it goes on probation.
func (h *health) isEjected(now dfuclock.Time) bool {
	if h.state == ejected && !now.Before(h.until) {
		h.state = probation
		h.successes = 0
	}
	return h.state == ejected
}

// takesTrial reports whether a target on probation takes a request: one at a
// time, and preferably one that may run again elsewhere.
func (h *health) takesTrial(now dfuclock.Time, q Query) bool {
	if h.trials > 0 || q.Attempt > 0 {
		return false
	}
	return q.Idempotent || now.Sub(h.until) >= h.ejection
}

// penalty returns the factor by which failures raise a target's cost.
func (h *health) penalty(now dfuclock.Time) float64 {
	return 1 + failurePenalty*h.rate*remaining(now, h.failedAt, penaltyLifetime)
}
