package dfuemulator

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/request/dfureturn"
)

// node is one incarnation of a node: the state machines of the entry side and the gate,
// and a replacement for the daemon code that drives them.
type node struct {
	vm        *vm
	self      dfuident.Member
	machine   *dfuattempt.Machine
	chooser   *dfuchoice.Chooser
	budget    *dfubudget.FleetBudget
	deadlines *dfureturn.DeadlineTracker[string]
	gate      *dfugate.Machine

	number   dfuattempt.RequestNumber
	calls    map[dfuattempt.RequestNumber]*entryCall
	attempts map[dfuident.RequestID]*entryAttempt
	runs     map[dfuident.RequestID]*gateRun
	stopped  bool
}

// entryCall is a request at its entry node.
type entryCall struct {
	request *request
	// remaining is the time until the deadline, counted from startedAt.
	remaining dfuclock.Duration
	nested    bool
	number    dfuattempt.RequestNumber
	waited    dfuclock.Duration
	startedAt dfuclock.Time
	backoff   dfuattempt.RepeatBackoff
	abandoned bool
	// pending is the call's state in the clairvoyant scheduler, or nil.
	pending *pendingCall
	finish  func(callResult)
}

// callResult is the outcome that a caller gets.
type callResult struct {
	outcome    dfuoutcome.Outcome
	reason     dfuoutcome.Reason
	failed     bool
	retryAfter dfuclock.Duration
}

// entryAttempt is an attempt in progress.
type entryAttempt struct {
	call *entryCall
	to   *vm
	// failed reports whether the target answered with an error.
	failed bool
}

// queuePerSlot is how many requests may queue at a gate for each slot, as for a service
// without a limit in the catalogue.
const queuePerSlot = 64

func newNode(v *vm) *node {
	w := v.simulation
	limits := dfubudget.FleetLimits{Ratio: w.workload.scenario.Retry.Ratio, Reserve: w.workload.scenario.Retry.Reserve, Window: w.workload.scenario.Retry.Window}
	n := &node{
		vm:        v,
		self:      v.member(),
		chooser:   dfuchoice.New(w.scheduler.Choice, v.rng),
		budget:    dfubudget.NewFleetBudget(v.now(), limits),
		deadlines: dfureturn.New[string](),
		calls:     make(map[dfuattempt.RequestNumber]*entryCall),
		attempts:  make(map[dfuident.RequestID]*entryAttempt),
		runs:      make(map[dfuident.RequestID]*gateRun),
	}
	attempt := dfuattempt.DefaultConfig()
	attempt.UnsentFree, attempt.RetryErrors = true, true
	n.machine = dfuattempt.New(attempt, n.self, v.place, n.chooser, n.budget)
	gate := w.scheduler.Gate
	gate.Limits = dfugate.Limits{Queue: queuePerSlot}
	if v.linkMbps > 0 {
		gate.LinkRate = linkRate(v.linkMbps)
	}
	n.gate = dfugate.New(gate, n.self)
	return n
}

// linkRate converts a bandwidth to bytes per millisecond.
func linkRate(mbps float64) dfugate.LinkRate {
	const bytesPerMsAtOneMbps = 125
	return dfugate.LinkRate(mbps * bytesPerMsAtOneMbps)
}

// stop ends the incarnation: the connections of all callers break and running requests
// are dropped.
func (n *node) stop() {
	n.stopped = true
	for number := dfuattempt.RequestNumber(1); number <= n.number; number++ {
		if c := n.calls[number]; c != nil {
			c.finish(callResult{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonPeerUnreachable})
		}
	}
	for _, id := range n.runIDs() {
		n.runs[id].end()
	}
}

// setTargets updates the targets of a service and the number of nodes.
func (n *node) setTargets(service dfuident.Service, targets []dfuchoice.Target, nodes int) {
	n.chooser.SetTargets(n.vm.now(), service, targets)
	n.budget.SetNodes(nodes)
}
