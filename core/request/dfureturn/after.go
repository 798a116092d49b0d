package dfureturn

import "dragonflyusher/core/process/dfuclock"

const (
	// RetryAfterShare is the part of a route's target latency after which a refused
	// caller is asked to come back: there is still time for an answer then, and
	// targets that were slowed down have recovered.
	RetryAfterShare = 0.15
	// retryAfterSpread is the part of that time by which returns are spread.
	retryAfterSpread = 1.0
)

// RetryAfter returns when a caller that was refused should come back: after a share of
// the target latency, spread by a draw from 0 up to but without 1, so that those that
// were refused together don't return together.
func RetryAfter(latency dfuclock.Duration, share, draw float64) dfuclock.Duration {
	return dfuclock.Duration(share * (1 + retryAfterSpread*draw) * float64(latency))
}
