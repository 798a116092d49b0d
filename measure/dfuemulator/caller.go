package dfuemulator

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuvirtual"
)

const (
	// returnShare bounds how long a caller waits before it comes back, as a part of
	// the time that it has left.
	returnShare = 1.0 / 3
	// failureWait is how long a caller takes to try again after a failure.
	failureWait = 10 * dfuclock.Millisecond
)

// caller is one request of a caller with its tries.
type caller struct {
	world    *world
	request  *request
	began    dfuvirtual.Instant
	deadline dfuvirtual.Instant
	tries    int
	// owed says that an answer is worth something: the caller stays for it.
	owed bool
	over bool
	// entry and call are the try under way.
	entry *node
	call  *entryCall
}

// callerComes begins a request and what hammering adds to it.
func (w *world) callerComes(r *request) {
	w.newCaller(r, true).try()
	for range r.hammers {
		w.newCaller(r, false).try()
	}
}

// newCaller returns a caller. Repeats by hammering aren't owed anything.
func (w *world) newCaller(r *request, first bool) *caller {
	now := w.clock.Now()
	c := &caller{world: w, request: r, began: now, deadline: now + dfuvirtual.Of(r.deadline)}
	c.owed = first && r.leaves == 0
	if c.owed {
		w.result.owe(r)
	}
	w.clock.After(c.deadline-now, func() { c.leave(dfuoutcome.ReasonDeadline) })
	if r.leaves > 0 {
		w.clock.After(dfuvirtual.Of(r.leaves), func() { c.leave(dfuoutcome.ReasonCanceled) })
	}
	return c
}

// try sends the request to a node of the caller's zone.
func (c *caller) try() {
	w := c.world
	if c.over {
		return
	}
	c.tries++
	draw := c.request.draw
	if c.tries > 1 {
		draw = w.callers.Float64()
	}
	v := w.entryFor(c.request.zone, draw)
	if v == nil {
		w.clock.After(dfuvirtual.Of(failureWait), func() { c.ended(result{outcome: dfuoutcome.NotRun}) })
		return
	}
	n := v.node
	call := &entryCall{request: c.request}
	call.finish = func(r result) {
		w.clock.After(dfuvirtual.Milliseconds(w.plan.scenario.Network.CallerMs), func() {
			if c.call == call {
				c.ended(r)
			}
		})
	}
	c.entry, c.call = n, call
	w.clock.After(dfuvirtual.Milliseconds(w.plan.scenario.Network.CallerMs), func() {
		switch {
		case c.over || c.call != call:
		case n.stopped:
			c.ended(result{outcome: dfuoutcome.NotRun})
		default:
			call.remaining = (c.deadline - w.clock.Now()).Duration()
			c.hand(v, call)
		}
	})
}

// hand gives the try to the scheduler.
func (c *caller) hand(v *vm, call *entryCall) {
	if seer := c.world.seer; seer != nil {
		call.waited = (c.world.clock.Now() - c.began).Duration()
		seer.accept(v, call)
		return
	}
	v.node.accept(call)
}

// ended takes the end of a try: the answer, or a reason to come back.
func (c *caller) ended(r result) {
	if c.over {
		return
	}
	c.call = nil
	left := (c.deadline - c.world.clock.Now()).Duration()
	answered := r.outcome == dfuoutcome.Answered && !r.failed
	mayRepeat := r.outcome == dfuoutcome.NotRun || c.request.kind.Idempotent
	switch {
	case answered:
		c.settle(true, r.reason)
	case !mayRepeat || c.tries > c.request.kind.Retries || left <= 0:
		c.settle(false, r.reason)
	default:
		wait := failureWait
		if r.outcome == dfuoutcome.NotRun {
			wait = min(r.retryAfter, dfuclock.Duration(returnShare*float64(left)))
		}
		c.world.clock.After(dfuvirtual.Of(wait), c.try)
	}
}

// leave ends the request when its caller gives up.
func (c *caller) leave(reason dfuoutcome.Reason) {
	if c.over {
		return
	}
	switch {
	case c.call == nil || c.entry.stopped:
	case c.world.seer != nil:
		c.world.seer.leave(c.call)
	case c.entry.calls[c.call.number] == c.call:
		c.entry.leave(c.call)
	}
	c.settle(false, reason)
}

// settle notes what the caller got.
func (c *caller) settle(answered bool, reason dfuoutcome.Reason) {
	c.over = true
	c.call = nil
	if c.owed {
		c.world.result.settle(c.request, answered, (c.world.clock.Now() - c.began).Duration(), reason)
	}
}
