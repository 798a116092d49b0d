package dfuemulator

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuvirtual"

	"github.com/cespare/xxhash/v2"
)

const (
	// objectiveReserve is subtracted from the latency objective at the entry node.
	// A refused call is resubmitted only within 1/resubmitDivisor of its latency
	// objective. Both equal the daemon's (io/request/dfudispatch).
	objectiveReserve = 10 * dfuclock.Millisecond
	resubmitDivisor  = 4
	// linkTimeout is the time after which an attempt to reach a VM that is down
	// counts as not sent, as if the connection were refused or timed out.
	linkTimeout = 100 * dfuvirtual.Millisecond
)

// accept handles a request of a caller or of the local target. c.finish is called at
// most once; it is not called if the node stops or the caller gives up while the call
// waits to be resubmitted.
func (n *node) accept(c *entryCall) {
	k := c.request.kind
	c.startedAt = n.vm.now()
	if !c.nested {
		c.waited = n.deadlines.EstimateWaited(c.startedAt, k.Name, c.remaining)
	}
	c.remaining = min(c.remaining, k.Timeout)
	n.submit(c)
}

// submit passes a call to the state machine, for the first time or again.
func (n *node) submit(c *entryCall) {
	k := c.request.kind
	n.number++
	c.number = n.number
	n.calls[c.number] = c
	now := n.vm.now()
	elapsed := now.Sub(c.startedAt)
	event := dfuattempt.Arrived{
		Request:    c.number,
		Service:    k.Service,
		Class:      dfugate.Class(min(max(k.Priority, 0), dfugate.ClassCount-1)),
		Kind:       kindOf(k.Name),
		Nested:     c.nested,
		Idempotent: k.Idempotent,
		Remaining:  c.remaining - elapsed,
		Objective:  max(dfuclock.Millisecond, k.Latency-objectiveReserve-c.waited-elapsed),
		Body:       c.request.body,
		Targets:    k.Attempts,
	}
	if c.nested {
		event.Class, event.Objective = 0, 0
	}
	n.step(event)
}

func kindOf(name string) dfuident.Kind {
	return dfuident.Kind(xxhash.Sum64String(name))
}

// abandon reports that the caller gave up.
func (n *node) abandon(c *entryCall) {
	c.abandoned = true
	n.step(dfuattempt.CallerGone{Request: c.number})
}

// step passes an event to the state machine and performs its actions.
func (n *node) step(event dfuattempt.Event) {
	if n.stopped {
		return
	}
	actions := append([]dfuattempt.Action(nil), n.machine.Step(n.vm.now(), event)...)
	for _, action := range actions {
		switch a := action.(type) {
		case dfuattempt.Send:
			n.send(a)
		case dfuattempt.SendCancel:
			n.sendCancel(a)
		case dfuattempt.SendSeal:
			n.sendSeal(a)
		case dfuattempt.Finish:
			n.finishCall(a)
		case dfuattempt.Log:
		}
	}
	if due, ok := n.machine.Next(); ok {
		n.vm.simulation.clock.After(dfuvirtual.FromTime(due)-n.vm.simulation.clock.Now(), n.tick)
	}
}

// tick passes the time to the state machine if a timer is due.
func (n *node) tick() {
	if due, ok := n.machine.Next(); ok && !n.vm.now().Before(due) {
		n.step(dfuattempt.Tick{})
	}
}

// finishCall ends a call, or submits it again after a delay if no target can take it
// now.
func (n *node) finishCall(a dfuattempt.Finish) {
	c := n.calls[a.Request]
	if c == nil {
		return
	}
	delete(n.calls, a.Request)
	r := callResult{outcome: a.Outcome, reason: a.Reason}
	if at := n.attempts[a.ID]; at != nil {
		r.failed = at.failed
	}
	elapsed := n.vm.now().Sub(c.startedAt)
	patience := min(c.remaining-elapsed, c.request.kind.Latency/resubmitDivisor-elapsed)
	if wait, retry := c.backoff.After(a.Outcome, a.Reason, patience); retry && !c.abandoned {
		n.vm.simulation.clock.After(dfuvirtual.FromDuration(wait), func() {
			if !n.stopped && !c.abandoned {
				n.submit(c)
			}
		})
		return
	}
	if a.Outcome == dfuoutcome.NotRun {
		r.retryAfter = n.vm.simulation.retryAfter(c.request.kind.Latency, n.vm.rng)
	}
	c.finish(r)
}

// send offers a request to a gate.
func (n *node) send(a dfuattempt.Send) {
	c := n.calls[a.Request]
	to := n.vm.simulation.byID[a.To.Node]
	at := &entryAttempt{call: c, to: to}
	n.attempts[a.ID] = at
	if to == nil || to.node == nil || to.member() != a.To {
		n.vm.simulation.clock.After(linkTimeout, func() { n.step(dfuattempt.NotSent{ID: a.ID}) })
		return
	}
	offer := dfugate.Offer{
		ID: a.ID, To: a.To, Service: c.request.kind.Service, Class: classOf(c), Kind: kindOf(c.request.kind.Name),
		Remaining: a.Remaining, Objective: a.Objective, Idempotent: c.request.kind.Idempotent, NoClaim: true,
		NoWait: !a.Wait, Nested: c.nested, Settled: a.Settled,
	}
	if to != n.vm && c.request.body > inlineBodyLimit {
		withoutBody := offer
		withoutBody.BodyLater, withoutBody.Bytes = true, c.request.body
		n.transmitOffer(at, withoutBody, framingBytes)
		return
	}
	n.transmitOffer(at, offer, framingBytes+c.request.body)
}

// framingBytes is the size of a message without its body.
const framingBytes = 350

func classOf(c *entryCall) dfugate.Class {
	if c.nested {
		return 0
	}
	return dfugate.Class(min(max(c.request.kind.Priority, 0), dfugate.ClassCount-1))
}

// transmitOffer sends an offer, which is lost if the destination VM goes down.
func (n *node) transmitOffer(at *entryAttempt, offer dfugate.Offer, size dfuident.Bytes) {
	to := at.to
	n.vm.simulation.network.send(n.vm, to, size, func() {
		if to.node == nil || to.member() != offer.To {
			n.afterReturnDelay(to, func() { n.step(dfuattempt.NotSent{ID: offer.ID}) })
			return
		}
		to.node.receiveOffer(n, at, offer)
	})
}

// afterReturnDelay calls fn after the network delay from a VM back to this node.
func (n *node) afterReturnDelay(from *vm, fn func()) {
	n.vm.simulation.clock.After(dfuvirtual.Milliseconds(n.vm.simulation.delay(from, n.vm)), fn)
}

// sendBody resends an offer with the body that the gate requested.
func (n *node) sendBody(at *entryAttempt, offer dfugate.Offer) {
	offer.BodyLater, offer.NoWait = false, false
	n.transmitOffer(at, offer, framingBytes+at.call.request.body)
}

// receiveReply handles the end of an attempt.
func (n *node) receiveReply(id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason, failed bool, load dfugate.Load) {
	at := n.attempts[id]
	if at == nil || n.stopped {
		return
	}
	at.failed = failed
	reportedLoad := dfuchoice.Load(load)
	event := dfuattempt.Replied{ID: id, Outcome: outcome, Reason: reason, TargetError: failed}
	if outcome == dfuoutcome.NotRun || load.Slowdown > 0 {
		event.Load = &reportedLoad
	}
	if outcome == dfuoutcome.Answered {
		event.Answer = at.call.request.answer
	}
	n.step(event)
	delete(n.attempts, id)
}

func (n *node) sendCancel(a dfuattempt.SendCancel) {
	to := n.vm.simulation.byID[a.To.Node]
	n.vm.simulation.network.send(n.vm, to, framingBytes, func() {
		if to.node != nil && to.member() == a.To {
			to.node.stepGate(dfugate.Cancel{ID: a.ID, Reason: dfuoutcome.ReasonCanceled})
		}
	})
}

func (n *node) sendSeal(a dfuattempt.SendSeal) {
	to := n.vm.simulation.byID[a.To.Node]
	if to.node == nil || to.member() != a.To {
		n.vm.simulation.clock.After(linkTimeout, func() { n.step(dfuattempt.SealFailed{ID: a.ID, Gone: true}) })
		return
	}
	n.vm.simulation.network.send(n.vm, to, framingBytes, func() {
		if to.node != nil && to.member() == a.To {
			to.node.answerSeal(n, a.ID)
		}
	})
}
