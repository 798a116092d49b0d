package dfureturn

import "dragonflyusher/core/process/dfuclock"

const (
	// RetryAfterShare is the fraction of a route's target latency after which a
	// refused caller should retry: by then targets that were slowed down have
	// recovered, and there is still time for an answer.
	RetryAfterShare = 0.15
	// retryAfterJitter is the maximum random increase of that time, as a fraction of
	// it.
	retryAfterJitter = 1.0
)

// RetryAfter returns the time after which a refused caller should retry: share, a
// fraction of the target latency, plus jitter in proportion to draw, a random number
// in [0, 1). The jitter keeps callers that were refused together from retrying
// together.
func RetryAfter(latency dfuclock.Duration, share, draw float64) dfuclock.Duration {
	return dfuclock.Duration(share * (1 + retryAfterJitter*draw) * float64(latency))
}
