package dfudispatch

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"
)

const (
	// retryAfterShare is the part of a route's target latency after which a
	// refused caller is asked to come back: there is still time for an answer
	// then, and targets that were slowed down have recovered.
	retryAfterShare = 0.15
	// retryAfterSpread is the part of that time by which returns are spread.
	retryAfterSpread = 1.0
)

// retryAfter returns when the caller of a request that was not run should come
// back.
func (d *Duty) retryAfter(r *request, a dfuattempt.Finish) dfuclock.Duration {
	if a.Outcome != dfuoutcome.NotRun || r.call.Route == nil {
		return 0
	}
	share := retryAfterShare * (1 + retryAfterSpread*d.deps.Rand())
	return dfuclock.Duration(share * float64(r.call.Route.TargetLatency))
}
