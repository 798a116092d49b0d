package dfudispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfustop"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/request/dfureturn"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// GateClient calls the gate of a target's node, which may be this node.
type GateClient interface {
	// Offer sends an offer and waits for the reply. If ctx ends during the
	// call of a remote gate, it returns dfupeer.ErrDetached, and onLateReply is called
	// with the reply or error once it is available. If ctx ends before the offer, with
	// its body, was sent, the error is marked dfupeer.ErrNotSent. An offer to the local
	// gate ignores ctx.
	Offer(ctx context.Context, to dfuroster.Node, offer *dfumessage.Offer, onLateReply func(*dfumessage.Reply, error)) (*dfumessage.Reply, error)
	Cancel(ctx context.Context, to dfuroster.Node, cancel dfumessage.Cancel) error
	Seal(ctx context.Context, to dfuroster.Node, seal dfumessage.Seal) (*dfumessage.SealReply, error)
}

// OwnerLookup looks up the only node that may run a key of a non-idempotent service.
// It reports false if there is none at present.
type OwnerLookup interface {
	Owner(view *dfuroster.View, service dfuident.Service, key dfuident.Key) (dfuident.Member, bool)
}

// Chooser selects a target for each attempt from the targets that SetTargets sets.
type Chooser interface {
	dfuattempt.Chooser
	SetTargets(now dfuclock.Time, service dfuident.Service, targets []dfuchoice.Target)
	// TakeNewEjection returns the ejection that the last call of RecordOutcome
	// started, if any, and clears it.
	TakeNewEjection() (dfuchoice.Ejection, bool)
	// Candidates returns what is expected of each target of a request's service.
	Candidates(now dfuclock.Time, q dfuchoice.Query) []dfuchoice.Candidate
	// Ejections returns the current ejections.
	Ejections(now dfuclock.Time) []dfuchoice.Ejection
}

// Deps holds the dependencies of a Dispatcher.
type Deps struct {
	Self        dfuident.Member
	Place       dfuident.Place
	Clock       dfuclock.Clock
	Log         *zap.Logger
	Metrics     metrics.Registry
	Times       *dfuhistogram.Set
	Tracer      *dfutrace.Tracer
	GateClient  GateClient
	OwnerLookup OwnerLookup
	Chooser     Chooser
	Machine     *dfuattempt.Machine
	// Budget is the machine's budget of extra attempts, beyond a request's first.
	Budget dfuattempt.Budget
	// Rand returns a random number in [0,1). It selects the service of a split route
	// and spreads Retry-After.
	Rand func() float64
	// IsRunning reports whether this node's target is running a request whose caller
	// gave it the id callerRequest.
	IsRunning func(callerRequest string) bool
	// RunningWorkspace returns the workspace of such a request. It returns false if none
	// is running, or several for different workspaces.
	RunningWorkspace func(callerRequest string) (dfuident.Workspace, bool)
	// RoutesProven reports whether the route table with a version is known to have been in
	// force recently, so that a key that it doesn't have can be rejected. With StrictKeys,
	// keys are accepted only then, too.
	RoutesProven func(dfuroute.Version) bool
	StrictKeys   bool
	// Quota is nil if quotas don't apply.
	Quota Quota
	// WorkspaceSeries is the number of workspaces that have metrics of their own.
	WorkspaceSeries int
	// Local returns the service of this node's target.
	Local func() dfuident.Service
}

// Dispatcher runs the entry side of one node. Whichever goroutine has an event steps
// the machine under a mutex, and the goroutine that serves a call also sends its
// first attempt. A goroutine dedicated to the machine would add a context switch to
// every step.
type Dispatcher struct {
	deps Deps
	view atomic.Pointer[dfuroster.View]
	// stop is the schedule of the node's planned stop, or nil.
	stop atomic.Pointer[dfustop.Schedule]
	// lastRequest is the number of the newest request.
	lastRequest atomic.Uint64
	outcomes    map[dfuoutcome.Outcome]metrics.Counter
	// ejections counts the ejections of targets.
	ejections metrics.Counter
	hedges    hedgeCounters
	// workspaces counts requests by workspace.
	workspaces *workspaceCounts

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// requests holds the requests that have no result yet.
	requests map[dfuattempt.RequestNumber]*request
	attempts map[dfuident.RequestID]*attempt
	// targetView is the view that the chooser's targets were last set from.
	targetView *dfuroster.View
	// deadlines holds the longest recent deadline by route, to estimate how long a
	// caller has been waiting.
	deadlines *dfureturn.DeadlineTracker[string]
	// services holds the services for which the chooser has targets.
	services map[dfuident.Service]struct{}
	// inlineRequest is the request that startRequest is passing to the machine, or
	// nil. Its goroutine sends the first attempt itself, without starting another.
	inlineRequest *request
}

// New returns a Dispatcher that has no targets until SetView is called.
func New(deps Deps) *Dispatcher {
	d := &Dispatcher{
		deps:       deps,
		requests:   map[dfuattempt.RequestNumber]*request{},
		attempts:   map[dfuident.RequestID]*attempt{},
		targetView: dfuroster.New(),
		deadlines:  dfureturn.New[string](),
		services:   map[dfuident.Service]struct{}{},
		outcomes:   map[dfuoutcome.Outcome]metrics.Counter{},
		ejections:  metrics.GetOrRegisterCounter("entry.ejections", deps.Metrics),
		hedges:     newHedgeCounters(deps.Metrics),
		workspaces: newWorkspaceCounts(deps.WorkspaceSeries),
	}
	d.view.Store(d.targetView)
	d.timer = time.AfterFunc(time.Hour, func() { d.notify(dfuattempt.Tick{}) })
	for _, o := range []dfuoutcome.Outcome{dfuoutcome.Answered, dfuoutcome.NotRun, dfuoutcome.Unknown} {
		d.outcomes[o] = metrics.GetOrRegisterCounter("entry."+string(o), deps.Metrics)
	}
	return d
}

// SetView replaces the view of the fleet.
func (d *Dispatcher) SetView(view *dfuroster.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.Store(view)
	d.setTargets(view)
	if b, ok := d.deps.Budget.(*dfubudget.FleetBudget); ok {
		b.SetNodes(view.Len())
	}
}

// SetLimits changes the limits of extra attempts and hedges, if the budget is shared by
// the fleet.
func (d *Dispatcher) SetLimits(limits dfubudget.FleetLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, ok := d.deps.Budget.(*dfubudget.FleetBudget); ok {
		b.SetLimits(limits)
		d.deps.Machine.SetHedgeRatio(limits.HedgeRatio)
	}
}

// Ejections returns the targets that this node avoids because their attempts failed.
func (d *Dispatcher) Ejections() []dfuchoice.Ejection {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deps.Chooser.Ejections(d.deps.Clock.Now())
}

// Close ends all pending calls with the outcome unknown and removes their attempts.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	for _, r := range d.requests {
		r.reply <- dfufront.Result{Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonNodeDraining}
	}
	for id := range d.attempts {
		d.removeAttempt(id)
	}
}

// notify passes an event to the machine.
func (d *Dispatcher) notify(event dfuattempt.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(event)
}

// step passes an event to the machine, executes the resulting actions and sets
// the timer to the machine's next deadline. The caller must hold d.mu.
func (d *Dispatcher) step(event dfuattempt.Event) {
	if d.stopped {
		return
	}
	now := d.deps.Clock.Now()
	for _, action := range d.deps.Machine.Step(now, event) {
		d.execute(action)
	}
	if e, ok := d.deps.Chooser.TakeNewEjection(); ok {
		d.ejections.Inc(1)
		d.deps.Log.Warn("target ejected", zap.Stringer("target", e.Member),
			zap.Stringer("for", e.Remaining), zap.Int("failed_percent", e.FailedPercent))
	}
	if due, ok := d.deps.Machine.Next(); ok {
		d.timer.Reset(max(due.Sub(now), dfuclock.Millisecond).Std())
	}
}

func (d *Dispatcher) execute(action dfuattempt.Action) {
	switch a := action.(type) {
	case dfuattempt.Send:
		d.send(a)
	case dfuattempt.SendCancel:
		d.sendCancel(a)
	case dfuattempt.SendSeal:
		d.sendSeal(a)
	case dfuattempt.Finish:
		d.finishRequest(a)
	case dfuattempt.Log:
		d.deps.Log.Info("entry incident", zap.String("kind", string(a.Kind)), zap.Stringer("request_id", a.ID))
	}
}

// setTargets updates the chooser's targets for services whose nodes or drain list
// have changed, and removes those of services that are gone.
func (d *Dispatcher) setTargets(view *dfuroster.View) {
	now := d.deps.Clock.Now()
	old := d.targetView
	d.targetView = view
	updated := map[dfuident.Service]struct{}{}
	for _, service := range view.Services() {
		updated[service] = struct{}{}
		if !sameTargets(old, view, service) {
			d.deps.Chooser.SetTargets(now, service, eligibleTargets(view, service))
		}
	}
	for service := range d.services {
		if _, ok := updated[service]; !ok {
			d.deps.Chooser.SetTargets(now, service, nil)
		}
	}
	d.services = updated
}
