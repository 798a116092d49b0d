package dfuemulator

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuvirtual"
)

// loadReportDelay is how long a target takes to report its load.
const loadReportDelay = dfuvirtual.Millisecond

// errorTime is how long a target takes to answer with an error.
const errorTime = 5 * dfuvirtual.Millisecond

// gateRun is an offer at its gate.
type gateRun struct {
	gate    *node
	entry   *node
	attempt *entryAttempt
	offer   dfugate.Offer
	job     *job
	// calls are the outgoing calls of the running request.
	calls  []*entryCall
	failed bool
	ended  bool
}

// announceTarget announces the target of this VM to the gate.
func (n *node) announceTarget(cold bool) {
	n.stepGate(dfugate.TargetAnnounced{Service: n.vm.service.Name, Slots: n.vm.service.Slots, Cold: cold})
}

// receiveOffer handles an offer from the network.
func (n *node) receiveOffer(entry *node, at *entryAttempt, offer dfugate.Offer) {
	n.runs[offer.ID] = &gateRun{gate: n, entry: entry, attempt: at, offer: offer}
	n.stepGate(offer)
}

// stepGate passes an event to the gate and performs its actions.
func (n *node) stepGate(event dfugate.Event) {
	if n.stopped {
		return
	}
	actions := append([]dfugate.Action(nil), n.gate.Step(n.vm.now(), event)...)
	for _, action := range actions {
		n.performGateAction(action)
	}
	if due, ok := n.gate.Next(); ok {
		n.vm.simulation.clock.After(dfuvirtual.FromTime(due)-n.vm.simulation.clock.Now(), n.tickGate)
	}
}

func (n *node) tickGate() {
	if due, ok := n.gate.Next(); ok && !n.vm.now().Before(due) {
		n.stepGate(dfugate.Tick{})
	}
}

func (n *node) performGateAction(action dfugate.Action) {
	switch a := action.(type) {
	case dfugate.RunOnTarget:
		n.run(n.runs[a.ID], a.Remaining)
	case dfugate.CancelOnTarget:
		n.cancelRun(a.ID)
	case dfugate.RequestTargetLoad:
		n.vm.simulation.clock.After(loadReportDelay, n.reportLoad)
	case dfugate.RequestBody:
		n.requestBody(a.ID)
	case dfugate.Refuse:
		n.reply(a.ID, a.Outcome, a.Reason)
	case dfugate.Complete:
		n.reply(a.ID, a.Outcome, a.Reason)
	case dfugate.RequestClaim, dfugate.ReleaseClaim, dfugate.SealAnswer, dfugate.Drained,
		dfugate.BanFingerprint, dfugate.ClearFingerprint, dfugate.ReportCrash, dfugate.Log:
	}
}

func (n *node) reportLoad() {
	if n.vm.target == nil {
		n.stepGate(dfugate.TargetLoadUnavailable{})
		return
	}
	n.stepGate(dfugate.TargetLoadReported{Load: n.vm.target.load()})
}

func (n *node) requestBody(id dfuident.RequestID) {
	r := n.runs[id]
	if r == nil {
		return
	}
	delete(n.runs, id)
	n.vm.simulation.network.send(n.vm, r.entry.vm, framingBytes, func() {
		if !r.entry.stopped && r.entry.attempts[id] != nil {
			r.entry.sendBody(r.attempt, r.offer)
		}
	})
}

// reply sends the end of an offer to its entry node.
func (n *node) reply(id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	r := n.runs[id]
	if r == nil {
		return
	}
	delete(n.runs, id)
	size := dfuident.Bytes(framingBytes)
	if outcome == dfuoutcome.Answered {
		size += r.attempt.call.request.answer
	}
	load := n.gate.Load()
	n.vm.simulation.network.send(n.vm, r.entry.vm, size, func() { r.entry.receiveReply(id, outcome, reason, r.failed, load) })
}

// answerSeal answers a seal request. The emulator's links lose no messages, so a
// running gate always has the request's state.
func (n *node) answerSeal(entry *node, id dfuident.RequestID) {
	state := dfugate.SealNever
	if r := n.runs[id]; r != nil && r.job != nil {
		state = dfugate.SealRunning
	}
	n.stepGate(dfugate.Seal{ID: id, To: n.self})
	n.vm.simulation.network.send(n.vm, entry.vm, framingBytes, func() {
		entry.step(dfuattempt.SealReplied{ID: id, State: state})
	})
}

// run runs a request on the target: half of its work, its calls, then the other half.
func (n *node) run(r *gateRun, _ dfuclock.Duration) {
	t := n.vm.target
	if t == nil {
		n.vm.simulation.clock.After(0, func() { n.stepGate(dfugate.TargetFailed{ID: r.offer.ID, Refused: true}) })
		return
	}
	if t.failShare > 0 && n.vm.rng.Float64() < t.failShare {
		r.failed = true
		n.vm.simulation.clock.After(errorTime, func() { r.finish(dfugate.TargetDone{ID: r.offer.ID, Failed: true}) })
		return
	}
	request := r.attempt.call.request
	n.vm.simulation.result.recordStart(request)
	r.job = t.startJob()
	t.work(r.job, request.work/2, func() { r.call(0) })
}

// call makes the calls of a running request, starting at index next.
func (r *gateRun) call(next int) {
	request := r.attempt.call.request
	if r.ended || r.gate.stopped && r.gate.vm.node == nil {
		return
	}
	if next >= len(request.calls) {
		r.gate.vm.target.work(r.job, request.work/2, r.done)
		return
	}
	if !request.callsTogether {
		r.callOne(request.calls[next], func() { r.call(next + 1) })
		return
	}
	left := len(request.calls) - next
	for _, call := range request.calls[next:] {
		r.callOne(call, func() {
			if left--; left == 0 {
				r.call(len(request.calls))
			}
		})
	}
}

// callOne makes one call through the node on the target's VM. If the call fails, the
// running request fails too.
func (r *gateRun) callOne(call *request, answered func()) {
	entry := r.gate.vm.node
	if entry == nil {
		r.fail()
		return
	}
	deadline := min(call.kind.Deadline, r.timeLeft())
	if deadline <= 0 {
		return
	}
	c := &entryCall{request: call, remaining: deadline, nested: true}
	c.finish = func(got callResult) {
		switch {
		case r.ended:
		case got.outcome == dfuoutcome.Answered && !got.failed:
			answered()
		default:
			r.fail()
		}
	}
	r.calls = append(r.calls, c)
	entry.accept(c)
}

// timeLeft returns the time until the deadline of the run.
func (r *gateRun) timeLeft() dfuclock.Duration {
	c := r.attempt.call
	return c.remaining - r.gate.vm.now().Sub(c.startedAt)
}

// done ends a run with its answer, unless the answer is lost.
func (r *gateRun) done() {
	t := r.gate.vm.target
	if t != nil && t.lossShare > 0 && r.gate.vm.rng.Float64() < t.lossShare {
		r.finish(dfugate.TargetFailed{ID: r.offer.ID})
		return
	}
	r.finish(dfugate.TargetDone{ID: r.offer.ID})
}

// fail ends a run with a target error.
func (r *gateRun) fail() {
	if r.ended {
		return
	}
	r.failed = true
	r.finish(dfugate.TargetDone{ID: r.offer.ID, Failed: true})
}

// finish ends a run and reports it to the gate together with the target's load.
func (r *gateRun) finish(event dfugate.Event) {
	if r.ended {
		return
	}
	r.end()
	if r.gate.vm.target != nil {
		r.gate.stepGate(dfugate.TargetLoadReported{Load: r.gate.vm.target.load()})
	}
	r.gate.stepGate(event)
}

// end frees the slot of a run and abandons its calls.
func (r *gateRun) end() {
	if r.ended {
		return
	}
	r.ended = true
	if r.job != nil && r.gate.vm.target != nil {
		r.gate.vm.target.end(r.job)
	}
	for _, c := range r.calls {
		if entry := r.gate.vm.node; entry != nil && entry.calls[c.number] == c {
			entry.abandon(c)
		}
	}
}

// cancelRun stops a run that no caller waits for.
func (n *node) cancelRun(id dfuident.RequestID) {
	r := n.runs[id]
	if r == nil || r.ended {
		return
	}
	r.end()
	n.vm.simulation.clock.After(0, func() { n.stepGate(dfugate.TargetFailed{ID: id}) })
}

// drainGate closes the gate of a draining target.
func (n *node) drainGate() {
	n.stepGate(dfugate.DrainRequested{})
}

// targetCrashed reports to the gate that the target crashed and lost its work.
func (n *node) targetCrashed() {
	for _, id := range n.runIDs() {
		n.runs[id].end()
	}
	n.stepGate(dfugate.TargetCrashed{})
}

// runIDs returns the sorted ids of the offers at the gate.
func (n *node) runIDs() []dfuident.RequestID {
	ids := make([]dfuident.RequestID, 0, len(n.runs))
	for id := range n.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b dfuident.RequestID) int {
		return cmp.Or(cmp.Compare(a.Entry.Node, b.Entry.Node), cmp.Compare(a.Sequence, b.Sequence))
	})
	return ids
}
