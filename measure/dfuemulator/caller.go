package dfuemulator

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuvirtual"
)

const (
	// maxRetryWaitShare bounds the Retry-After delay that a caller waits after a
	// refusal, as a share of the time left.
	maxRetryWaitShare = 1.0 / 3
	// failureRetryDelay is the delay before a retry after a failure.
	failureRetryDelay = 10 * dfuclock.Millisecond
)

// callerRequest is a caller's request, with its retries.
type callerRequest struct {
	simulation *simulation
	request    *request
	startedAt  dfuvirtual.Instant
	deadline   dfuvirtual.Instant
	tries      int
	// counted is set if the request counts toward the result. Duplicates and
	// requests that the caller abandons early do not.
	counted   bool
	completed bool
	// entry and call belong to the try in progress.
	entry *node
	call  *entryCall
}

// startCallerRequest starts a request and its duplicates.
func (w *simulation) startCallerRequest(r *request) {
	w.newCallerRequest(r, true).try()
	for range r.duplicates {
		w.newCallerRequest(r, false).try()
	}
}

// newCallerRequest records the arrival of a request and schedules its deadline and, if
// the caller gives up early, that time. first is false for duplicates, which are not
// recorded.
func (w *simulation) newCallerRequest(r *request, first bool) *callerRequest {
	now := w.clock.Now()
	c := &callerRequest{simulation: w, request: r, startedAt: now, deadline: now + dfuvirtual.FromDuration(r.deadline)}
	c.counted = first && r.abandonAfter == 0
	if c.counted {
		w.result.recordArrival(r)
	}
	w.clock.After(c.deadline-now, func() { c.abandon(dfuoutcome.ReasonDeadline) })
	if r.abandonAfter > 0 {
		w.clock.After(dfuvirtual.FromDuration(r.abandonAfter), func() { c.abandon(dfuoutcome.ReasonCanceled) })
	}
	return c
}

// try sends the request to a node of the caller's zone.
func (c *callerRequest) try() {
	w := c.simulation
	if c.completed {
		return
	}
	c.tries++
	draw := c.request.draw
	if c.tries > 1 {
		draw = w.callerRand.Float64()
	}
	v := w.entryFor(c.request.zone, draw)
	if v == nil {
		w.clock.After(dfuvirtual.FromDuration(failureRetryDelay), func() { c.onTryDone(callResult{outcome: dfuoutcome.NotRun}) })
		return
	}
	n := v.node
	call := &entryCall{request: c.request}
	call.finish = func(r callResult) {
		w.clock.After(dfuvirtual.Milliseconds(w.workload.scenario.Network.CallerMs), func() {
			if c.call == call {
				c.onTryDone(r)
			}
		})
	}
	c.entry, c.call = n, call
	w.clock.After(dfuvirtual.Milliseconds(w.workload.scenario.Network.CallerMs), func() {
		switch {
		case c.completed || c.call != call:
		case n.stopped:
			c.onTryDone(callResult{outcome: dfuoutcome.NotRun})
		default:
			call.remaining = (c.deadline - w.clock.Now()).Duration()
			c.dispatchTry(v, call)
		}
	})
}

// dispatchTry gives the try to the scheduler.
func (c *callerRequest) dispatchTry(v *vm, call *entryCall) {
	if oracle := c.simulation.oracle; oracle != nil {
		call.waited = (c.simulation.clock.Now() - c.startedAt).Duration()
		oracle.accept(v, call)
		return
	}
	v.node.accept(call)
}

// onTryDone handles the end of a try and decides whether to retry.
func (c *callerRequest) onTryDone(r callResult) {
	if c.completed {
		return
	}
	c.call = nil
	left := (c.deadline - c.simulation.clock.Now()).Duration()
	answered := r.outcome == dfuoutcome.Answered && !r.failed
	mayRepeat := r.outcome == dfuoutcome.NotRun || c.request.kind.Idempotent
	switch {
	case answered:
		c.recordOutcome(true, r.reason)
	case !mayRepeat || c.tries > c.request.kind.Retries || left <= 0:
		c.recordOutcome(false, r.reason)
	default:
		wait := failureRetryDelay
		if r.outcome == dfuoutcome.NotRun {
			wait = min(r.retryAfter, dfuclock.Duration(maxRetryWaitShare*float64(left)))
		}
		c.simulation.clock.After(dfuvirtual.FromDuration(wait), c.try)
	}
}

// abandon ends the request when its caller gives up or its deadline passes.
func (c *callerRequest) abandon(reason dfuoutcome.Reason) {
	if c.completed {
		return
	}
	switch {
	case c.call == nil || c.entry.stopped:
	case c.simulation.oracle != nil:
		c.simulation.oracle.abandon(c.call)
	case c.entry.calls[c.call.number] == c.call:
		c.entry.abandon(c.call)
	}
	c.recordOutcome(false, reason)
}

// recordOutcome completes the request and records its outcome.
func (c *callerRequest) recordOutcome(answered bool, reason dfuoutcome.Reason) {
	c.completed = true
	c.call = nil
	if c.counted {
		c.simulation.result.recordOutcome(c.request, answered, (c.simulation.clock.Now() - c.startedAt).Duration(), reason)
	}
}
