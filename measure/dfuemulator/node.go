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

// node is one run of a node: the machines of the entry side and the gate, and what
// the daemon's duties do for them.
type node struct {
	vm        *vm
	self      dfuident.Member
	machine   *dfuattempt.Machine
	chooser   *dfuchoice.Chooser
	budget    *dfubudget.FleetBudget
	deadlines *dfureturn.Deadlines[string]
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
	// remaining is the time that the caller gave, and began when it came.
	remaining dfuclock.Duration
	nested    bool
	number    dfuattempt.RequestNumber
	waited    dfuclock.Duration
	began     dfuclock.Time
	repeat    dfuattempt.Repeat
	gone      bool
	// seen is the same to the clairvoyant scheduler, if it has the request.
	seen   *seenCall
	finish func(result)
}

// result is what a caller is told.
type result struct {
	outcome    dfuoutcome.Outcome
	reason     dfuoutcome.Reason
	failed     bool
	retryAfter dfuclock.Duration
}

// entryAttempt is an attempt under way.
type entryAttempt struct {
	call *entryCall
	to   *vm
	// failed says that the target answered with an error.
	failed bool
}

// queueFactor is how many requests may wait at a gate for each slot, as for a service
// that the catalogue doesn't bound.
const queueFactor = 64

func newNode(v *vm) *node {
	w := v.world
	limits := dfubudget.FleetLimits{Ratio: w.plan.scenario.Retry.Ratio, Reserve: w.plan.scenario.Retry.Reserve, Window: w.plan.scenario.Retry.Window}
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
	gate.Limits = dfugate.Limits{Queue: queueFactor}
	if v.linkMbps > 0 {
		gate.LinkRate = linkRate(v.linkMbps)
	}
	n.gate = dfugate.New(gate, n.self)
	return n
}

// linkRate returns a bandwidth in bytes a millisecond.
func linkRate(mbps float64) dfugate.LinkRate {
	const bytesPerMsAtOneMbps = 125
	return dfugate.LinkRate(mbps * bytesPerMsAtOneMbps)
}

// stop ends the run: every caller's connection breaks, and what runs goes on without
// anybody who waits for it.
func (n *node) stop() {
	n.stopped = true
	for number := dfuattempt.RequestNumber(1); number <= n.number; number++ {
		if c := n.calls[number]; c != nil {
			c.finish(result{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonPeerUnreachable})
		}
	}
	for _, id := range n.runIDs() {
		n.runs[id].end()
	}
}

// setTargets tells the chooser of a service's targets, and the budget of the nodes.
func (n *node) setTargets(service dfuident.Service, targets []dfuchoice.Target, nodes int) {
	n.chooser.SetTargets(n.vm.now(), service, targets)
	n.budget.SetNodes(nodes)
}
