package dfudispatch

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/request/dfureturn"
)

// retryAfter returns the delay after which the caller of a request that was not run
// should retry, or zero if the request ran or has no route.
func (d *Dispatcher) retryAfter(r *request, a dfuattempt.Finish) dfuclock.Duration {
	if a.Outcome != dfuoutcome.NotRun || r.call.Route == nil {
		return 0
	}
	return dfureturn.RetryAfter(r.call.Route.TargetLatency, dfureturn.RetryAfterShare, d.deps.Rand())
}
