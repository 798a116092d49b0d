package dfuchoice

import "dragonflyusher/core/process/dfuclock"

// Parameters of ejection.
const (
	// failureRateLimit is the share of failed attempts that ejects a target.
	failureRateLimit = 0.5
	// failureSmoothing is the weight of one attempt in the failure rate.
	failureSmoothing = 0.2
	// ejectionStart is the length of a target's first ejection.
	ejectionStart = 2 * dfuclock.Second
	// ejectionMax bounds the length of an ejection, which doubles each time.
	ejectionMax = 60 * dfuclock.Second
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
	state    healthState
	rate     float64
	until    dfuclock.Time
	ejection dfuclock.Duration
	// trials counts the attempts in flight and successes the ones that
	// succeeded during a probation.
	trials, successes int
}

// noteSent counts an attempt.
func (h *health) noteSent() {
	h.trials++
}

// noteDone learns from the end of an attempt.
func (h *health) noteDone(now dfuclock.Time, kind FeedbackKind) {
	h.trials = max(0, h.trials-1)
	switch kind {
	case FeedbackAnswered:
		h.rate -= failureSmoothing * h.rate
		h.succeeded()
	case FeedbackTargetError, FeedbackLinkFailed:
		h.rate += failureSmoothing * (1 - h.rate)
		h.failed(now)
	case FeedbackRefused, FeedbackCanceled:
	}
}

// looksBad reports whether the target is ejected for now.
func (h *health) looksBad(now dfuclock.Time) bool {
	if h.state == ejected && !now.Before(h.until) {
		h.state = probation
		h.successes = 0
	}
	return h.state == ejected
}

// onProbation reports whether the target takes one request at a time.
func (h *health) onProbation() bool {
	return h.state == probation
}

func (h *health) succeeded() {
	if h.state != probation {
		return
	}
	h.successes++
	if h.successes >= probationAttempts {
		*h = health{ejection: h.ejection, trials: h.trials}
	}
}

func (h *health) failed(now dfuclock.Time) {
	if h.state == ejected || (h.state == healthy && h.rate < failureRateLimit) {
		return
	}
	h.state = ejected
	h.ejection = min(max(2*h.ejection, ejectionStart), ejectionMax)
	h.until = now.Add(h.ejection)
}
