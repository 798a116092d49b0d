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

// askDelay is how long a target takes to tell its load.
const askDelay = dfuvirtual.Millisecond

// errorTime is how long a target takes for a request that it fails.
const errorTime = 5 * dfuvirtual.Millisecond

// gateRun is an offer at its gate.
type gateRun struct {
	gate    *node
	entry   *node
	attempt *entryAttempt
	offer   dfugate.Offer
	job     *job
	// calls are the calls of the running request that are under way.
	calls  []*entryCall
	failed bool
	ended  bool
}

// announce tells the gate of the target beside it.
func (n *node) announce(cold bool) {
	n.stepGate(dfugate.TargetAnnounced{Service: n.vm.service.Name, Slots: n.vm.service.Slots, Cold: cold})
}

// offered takes an offer off the network.
func (n *node) offered(entry *node, at *entryAttempt, offer dfugate.Offer) {
	n.runs[offer.ID] = &gateRun{gate: n, entry: entry, attempt: at, offer: offer}
	n.stepGate(offer)
}

// stepGate gives the gate an event and carries out its actions.
func (n *node) stepGate(event dfugate.Event) {
	if n.stopped {
		return
	}
	actions := append([]dfugate.Action(nil), n.gate.Step(n.vm.now(), event)...)
	for _, action := range actions {
		n.doGate(action)
	}
	if due, ok := n.gate.Next(); ok {
		n.vm.world.clock.After(dfuvirtual.At(due)-n.vm.world.clock.Now(), n.tickGate)
	}
}

func (n *node) tickGate() {
	if due, ok := n.gate.Next(); ok && !n.vm.now().Before(due) {
		n.stepGate(dfugate.Tick{})
	}
}

func (n *node) doGate(action dfugate.Action) {
	switch a := action.(type) {
	case dfugate.RunOnTarget:
		n.run(n.runs[a.ID], a.Remaining)
	case dfugate.CancelOnTarget:
		n.cancelRun(a.ID)
	case dfugate.AskTarget:
		n.vm.world.clock.After(askDelay, n.tellLoad)
	case dfugate.AskBody:
		n.askBody(a.ID)
	case dfugate.Refuse:
		n.reply(a.ID, a.Outcome, a.Reason)
	case dfugate.Complete:
		n.reply(a.ID, a.Outcome, a.Reason)
	case dfugate.AskClaim, dfugate.ReleaseClaim, dfugate.SealAnswer, dfugate.Drained,
		dfugate.BanFingerprint, dfugate.ClearFingerprint, dfugate.ReportCrash, dfugate.Log:
	}
}

func (n *node) tellLoad() {
	if n.vm.target == nil {
		n.stepGate(dfugate.TargetSilent{})
		return
	}
	n.stepGate(dfugate.TargetTold{Load: n.vm.target.load()})
}

func (n *node) askBody(id dfuident.RequestID) {
	r := n.runs[id]
	if r == nil {
		return
	}
	delete(n.runs, id)
	n.vm.world.network.send(n.vm, r.entry.vm, framingBytes, func() {
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
	n.vm.world.network.send(n.vm, r.entry.vm, size, func() { r.entry.replied(id, outcome, reason, r.failed, load) })
}

// sealFor answers a seal: the emulator's links lose nothing, so that a request whose
// node lives is known there.
func (n *node) sealFor(entry *node, id dfuident.RequestID) {
	state := dfugate.SealNever
	if r := n.runs[id]; r != nil && r.job != nil {
		state = dfugate.SealRunning
	}
	n.stepGate(dfugate.Seal{ID: id, To: n.self})
	n.vm.world.network.send(n.vm, entry.vm, framingBytes, func() {
		entry.step(dfuattempt.SealReplied{ID: id, State: state})
	})
}

// run hands a request to the target: half of its work, its calls, the other half.
func (n *node) run(r *gateRun, _ dfuclock.Duration) {
	t := n.vm.target
	if t == nil {
		n.vm.world.clock.After(0, func() { n.stepGate(dfugate.TargetFailed{ID: r.offer.ID, Refused: true}) })
		return
	}
	if t.fails > 0 && n.vm.rng.Float64() < t.fails {
		r.failed = true
		n.vm.world.clock.After(errorTime, func() { r.finish(dfugate.TargetDone{ID: r.offer.ID, Failed: true}) })
		return
	}
	request := r.attempt.call.request
	n.vm.world.result.ran(request)
	r.job = t.take()
	t.work(r.job, request.work/2, func() { r.call(0) })
}

// call makes the calls of a running request from the next one on.
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

// callOne makes one call through the node beside the target. If it fails, so does the
// request that waits for it.
func (r *gateRun) callOne(call *request, answered func()) {
	entry := r.gate.vm.node
	if entry == nil {
		r.fail()
		return
	}
	deadline := min(call.kind.Deadline, r.left())
	if deadline <= 0 {
		return
	}
	c := &entryCall{request: call, remaining: deadline, nested: true}
	c.finish = func(got result) {
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

// left returns the time left of the run.
func (r *gateRun) left() dfuclock.Duration {
	c := r.attempt.call
	return c.remaining - r.gate.vm.now().Sub(c.began)
}

// done ends a run with its answer, unless the target loses it.
func (r *gateRun) done() {
	t := r.gate.vm.target
	if t != nil && t.loses > 0 && r.gate.vm.rng.Float64() < t.loses {
		r.finish(dfugate.TargetFailed{ID: r.offer.ID})
		return
	}
	r.finish(dfugate.TargetDone{ID: r.offer.ID})
}

// fail ends a run with an error of the target.
func (r *gateRun) fail() {
	if r.ended {
		return
	}
	r.failed = true
	r.finish(dfugate.TargetDone{ID: r.offer.ID, Failed: true})
}

// finish ends a run and reports it, with the load that comes with an answer.
func (r *gateRun) finish(event dfugate.Event) {
	if r.ended {
		return
	}
	r.end()
	if r.gate.vm.target != nil {
		r.gate.stepGate(dfugate.TargetTold{Load: r.gate.vm.target.load()})
	}
	r.gate.stepGate(event)
}

// end takes a run off the target and ends its calls.
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
			entry.leave(c)
		}
	}
}

// cancelRun stops a run that nobody waits for.
func (n *node) cancelRun(id dfuident.RequestID) {
	r := n.runs[id]
	if r == nil || r.ended {
		return
	}
	r.end()
	n.vm.world.clock.After(0, func() { n.stepGate(dfugate.TargetFailed{ID: id}) })
}

// drainGate closes the gate for a target that leaves.
func (n *node) drainGate() {
	n.stepGate(dfugate.DrainRequested{})
}

// crashed tells the gate that the target is gone with all its work.
func (n *node) crashed() {
	for _, id := range n.runIDs() {
		n.runs[id].end()
	}
	n.stepGate(dfugate.TargetCrashed{})
}

// runIDs returns the ids of the offers at the gate, in order.
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
