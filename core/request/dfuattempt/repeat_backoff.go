package dfuattempt

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
)

const (
	// repeatWaitMin is the wait before the first repetition. Each further wait is twice
	// as long.
	repeatWaitMin = 10 * dfuclock.Millisecond
	// repeatsMax is the maximum number of repetitions.
	repeatsMax = 9
)

// RepeatBackoff decides whether a request that was not run is repeated before its
// deadline. It is repeated if the cause is transient, for example while its shard
// changes owner or the nodes of its service are not known yet. The wait doubles with
// each repetition, to limit the load that such requests cause. The zero value is ready
// to use.
type RepeatBackoff struct {
	tries int
}

// After returns the wait before the next repetition, or false if the outcome is final.
func (r *RepeatBackoff) After(outcome dfuoutcome.Outcome, reason dfuoutcome.Reason, remaining dfuclock.Duration) (dfuclock.Duration, bool) {
	if outcome != dfuoutcome.NotRun || !isTransient(reason) || r.tries == repeatsMax {
		return 0, false
	}
	wait := repeatWaitMin << r.tries
	r.tries++
	return wait, wait < remaining
}

// isTransient reports whether a reason is expected to cease to apply shortly.
func isTransient(reason dfuoutcome.Reason) bool {
	switch reason {
	case dfuoutcome.ReasonNotOwner, dfuoutcome.ReasonNoCopy, dfuoutcome.ReasonNoTarget,
		dfuoutcome.ReasonNoLocalTarget, dfuoutcome.ReasonDraining, dfuoutcome.ReasonPeerUnreachable:
		return true
	default:
		return false
	}
}
