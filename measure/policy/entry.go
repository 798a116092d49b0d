package policy

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuvirtual"
)

// call is one request of a caller.
type call struct {
	entry    *entry
	work     float64
	sent     dfuvirtual.Instant
	deadline dfuvirtual.Instant
	// givesUpAt is when the caller gives up, which only the simulation knows in
	// advance.
	givesUpAt  dfuvirtual.Instant
	patient    bool
	idempotent bool
	done       bool
	abandoned  bool
	attempts   int
	inFlight   []*attempt
	excluded   []dfuident.NodeID
	refused    []dfuident.NodeID
}

// entry is a node where requests enter.
type entry struct {
	sim     *simulation
	member  dfuident.Member
	place   dfuident.Place
	chooser *dfuchoice.Chooser
	retries *dfubudget.RetryBudget
	// sequence counts the attempts.
	sequence uint64
}

// accept handles a new call: it sends the first attempt and schedules the time the
// caller gives up.
func (e *entry) accept(c *call) {
	now := e.sim.clock.Now()
	e.retries.Credit(0, e.sim.deployment.Service, "", false)
	e.sim.clock.After(c.givesUpAt-now, func() { e.abandon(c) })
	e.try(c, false)
	if !e.sim.contender.Hedge {
		return
	}
	wait, ok := e.chooser.HedgeAfter(e.query(c))
	if !ok {
		return
	}
	e.sim.clock.After(dfuvirtual.Instant(wait)*dfuvirtual.Millisecond, func() {
		if !c.done && len(c.inFlight) == 1 && c.attempts < maxAttempts {
			e.hedge(c)
		}
	})
}

// hedge sends a second attempt to another target of the region.
func (e *entry) hedge(c *call) {
	q := e.query(c)
	q.Excluded = append(q.Excluded, c.inFlight[0].worker.member.Node)
	choice, ok := e.chooser.Choose(e.sim.clock.Now().Time(), q)
	if !ok || choice.Far {
		return
	}
	if e.retries.Take(0, e.sim.deployment.Service, "") {
		e.send(c, choice, true)
	}
}

// query returns the chooser query for a call.
func (e *entry) query(c *call) dfuchoice.Query {
	return dfuchoice.Query{
		Service:    e.sim.deployment.Service,
		From:       e.place,
		Remaining:  (c.deadline - e.sim.clock.Now()).Duration(),
		Idempotent: c.idempotent,
		Body:       requestBytes + answerBytes,
		Excluded:   c.excluded,
		Refused:    c.refused,
		Attempt:    c.attempts,
	}
}

// try sends the next attempt. If no target is left, it tries the excluded ones again.
// It fails the call if there is no target or after maxAttempts.
func (e *entry) try(c *call, hedge bool) {
	q := e.query(c)
	choice, ok := e.choose(c, q)
	if !ok && len(q.Excluded) > 0 {
		q.Excluded, q.Refused = nil, nil
		choice, ok = e.choose(c, q)
	}
	if !ok || c.attempts >= maxAttempts {
		e.fail(c)
		return
	}
	e.send(c, choice, hedge)
}

// choose selects a target with the chooser or the oracle.
func (e *entry) choose(c *call, q dfuchoice.Query) (dfuchoice.Choice, bool) {
	if e.sim.contender.Policy == nil {
		return e.sim.oracle(e, c, q)
	}
	return e.chooser.Choose(e.sim.clock.Now().Time(), q)
}

// send sends an attempt over the network.
func (e *entry) send(c *call, choice dfuchoice.Choice, hedge bool) {
	w := e.sim.byNode[choice.Member.Node]
	e.sequence++
	a := &attempt{
		id:   dfuident.RequestID{Entry: e.member, Sequence: e.sequence},
		call: c, worker: w, sent: e.sim.clock.Now(), wait: choice.Wait && !hedge, assigned: true,
	}
	c.attempts++
	c.inFlight = append(c.inFlight, a)
	w.assigned++
	e.chooser.RecordSent(e.sim.clock.Now().Time(), choice.Member)
	e.sim.transmit(e.place, w.place, requestBytes, func() { w.receive(a) })
	e.sim.clock.After(linkTimeout, func() {
		if !a.closed && (w.down || e.sim.isCut(e.place, w.place)) {
			e.handleEnd(a, dfuchoice.FeedbackLinkFailed, nil)
		}
	})
}

// handleEnd handles the end of an attempt and retries, completes or fails its call.
func (e *entry) handleEnd(a *attempt, kind dfuchoice.FeedbackKind, load *dfuchoice.Load) {
	c := a.call
	if !e.closeAttempt(a, kind, load) || c.done {
		return
	}
	switch kind {
	case dfuchoice.FeedbackAnswered:
		e.complete(c)
	case dfuchoice.FeedbackRefused:
		c.excluded = append(c.excluded, a.worker.member.Node)
		if a.noSlot {
			c.refused = append(c.refused, a.worker.member.Node)
		}
		if len(c.inFlight) == 0 {
			e.try(c, false)
		}
	case dfuchoice.FeedbackTargetError, dfuchoice.FeedbackLinkFailed:
		c.excluded = append(c.excluded, a.worker.member.Node)
		switch {
		case len(c.inFlight) > 0:
		case c.idempotent && e.retries.Take(0, e.sim.deployment.Service, ""):
			e.try(c, false)
		default:
			e.fail(c)
		}
	case dfuchoice.FeedbackCanceled:
	}
}

// closeAttempt reports the end of an attempt to the chooser. It returns false if that
// has been done before.
func (e *entry) closeAttempt(a *attempt, kind dfuchoice.FeedbackKind, load *dfuchoice.Load) bool {
	if a.closed {
		return false
	}
	a.closed = true
	for i, other := range a.call.inFlight {
		if other == a {
			a.call.inFlight = append(a.call.inFlight[:i], a.call.inFlight[i+1:]...)
			break
		}
	}
	now := e.sim.clock.Now()
	e.chooser.RecordOutcome(now.Time(), dfuchoice.Feedback{
		Node: a.worker.member, Kind: kind, Latency: (now - a.sent).Duration(), Load: load,
	})
	return true
}

// complete answers the caller and cancels the other attempts.
func (e *entry) complete(c *call) {
	c.done = true
	e.cancelAll(c)
	latency := e.sim.clock.Now() - c.sent + e.sim.clientDelay()
	e.sim.result.recordCall(c, latency, c.sent+latency <= c.deadline+e.sim.clientDelay())
}

// fail ends a call without an answer.
func (e *entry) fail(c *call) {
	c.done = true
	e.cancelAll(c)
	e.sim.result.recordCall(c, c.deadline-c.sent, false)
}

// abandon ends a call whose caller gave up.
func (e *entry) abandon(c *call) {
	if c.done {
		return
	}
	c.done, c.abandoned = true, true
	e.cancelAll(c)
	e.sim.result.recordCall(c, c.deadline-c.sent, false)
}

// cancelAll cancels the attempts of a call that are in flight.
func (e *entry) cancelAll(c *call) {
	for len(c.inFlight) > 0 {
		a := c.inFlight[0]
		e.closeAttempt(a, dfuchoice.FeedbackCanceled, nil)
		e.sim.transmit(e.place, a.worker.place, 0, func() { a.worker.cancel(a) })
	}
}
