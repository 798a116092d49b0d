package dfuadmission

import (
	"maps"
	"sync"
	"time"

	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Deps holds the dependencies of a Controller.
type Deps struct {
	Self    dfuident.Member
	Clock   dfuclock.Clock
	Log     *zap.Logger
	Metrics metrics.Registry
	Times   *dfuhistogram.Set
	Tracer  *dfutrace.Tracer
	Region  dfuident.Region
	Claims  Claims
	Machine *dfugate.Machine
	// CanQueryLoad is set if the target can be queried for its load. The query is
	// not part of the native protocol.
	CanQueryLoad bool
	// HealthPath returns the URL path at which the target reports its load. It
	// returns the empty string until the routes are known.
	HealthPath func() string
	// Verify returns why a request may no longer run for its workspace, or ReasonNone. It
	// may be nil.
	Verify func(*dfumessage.Offer) dfuoutcome.Reason
	// PublishCrashInfo sends crash reports, fingerprint bans and their removal to
	// the peers.
	PublishCrashInfo func(dfugate.Action)
}

// Status is the state of the gate as operators see it.
type Status struct {
	Load     dfugate.Load
	Draining bool
	// Drained is set when a drain has completed.
	Drained bool
	// Measuring is the use of the measuring budget by load reports in replies.
	Measuring dfubudget.Usage
	// Banned is the number of fingerprints that are refused because their requests
	// crashed targets.
	Banned int
	// TargetLimit is the rate limit that the target advertises, or zero.
	TargetLimit dfugate.Rate
	// ColdFor is how much longer the target is cold, or zero.
	ColdFor dfuclock.Duration
	// Refused counts the offers that got no answer, by reason.
	Refused map[dfuoutcome.Reason]int64
}

// Controller runs the gate of one node. Whichever goroutine has an event steps the
// machine under a mutex, and the goroutine that waits for an offer's reply also
// runs the request on the target. A goroutine dedicated to the machine would add
// a context switch to every step.
type Controller struct {
	deps         Deps
	runs         metrics.Counter
	canceledRuns metrics.Counter
	// surplusAnswers counts the responses of the target that belonged to other requests.
	surplusAnswers metrics.Counter

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	pending map[dfuident.RequestID]*pendingOffer
	// running holds the requests running on the target, by the caller's request id.
	running runningRequests
	// sealReply receives the machine's reply to the current call of Seal.
	sealReply *dfumessage.SealReply
	replies   *replyCache
	client    *dfutarget.Client
	// targetRun is the current run of the target.
	targetRun targetRun
	// rechecking is set while a check whether the target has crashed is due.
	rechecking bool
	draining   bool
	drained    bool
	// refused counts the offers that got no answer, by reason.
	refused   map[dfuoutcome.Reason]int64
	measuring *dfubudget.MeasuringBudget
}

// targetRun numbers the runs of the target's process that were announced. Unlike the
// instance, it is known for targets without an id as well.
type targetRun uint64

// New returns a Controller that has no target until SetTarget is called.
func New(deps Deps) *Controller {
	c := &Controller{
		deps:         deps,
		pending:      map[dfuident.RequestID]*pendingOffer{},
		running:      runningRequests{},
		replies:      newReplyCache(),
		refused:      map[dfuoutcome.Reason]int64{},
		measuring:    dfubudget.NewMeasuringBudget(deps.Clock.Now()),
		runs:         metrics.GetOrRegisterCounter("gate.runs", deps.Metrics),
		canceledRuns: metrics.GetOrRegisterCounter("gate.canceled_runs", deps.Metrics),

		surplusAnswers: metrics.GetOrRegisterCounter("gate.surplus_answers", deps.Metrics),
	}
	c.timer = time.AfterFunc(time.Hour, c.tick)
	return c
}

// Self returns the node, with its incarnation, that the gate belongs to.
func (c *Controller) Self() dfuident.Member {
	return c.deps.Self
}

// Notify passes an event that needs no reply to the machine.
func (c *Controller) Notify(event dfugate.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateState(event)
	c.step(event)
}

// IsRunning reports whether the target is running a request whose caller gave it the
// id callerRequest.
func (c *Controller) IsRunning(callerRequest string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running.has(callerRequest)
}

// RunningWorkspace returns the workspace of the request that the target is running with
// the caller's id callerRequest. It returns false if there is none, or if several run for
// different workspaces.
func (c *Controller) RunningWorkspace(callerRequest string) (dfuident.Workspace, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running.workspace(callerRequest)
}

// Status returns the current state of the gate.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{
		Load:        c.deps.Machine.Load(),
		Draining:    c.draining,
		Drained:     c.drained,
		Measuring:   c.measuring.Usage(dfubudget.CausePiggyback),
		Banned:      c.deps.Machine.BanCount(c.deps.Clock.Now()),
		TargetLimit: c.deps.Machine.TargetLimit(),
		ColdFor:     c.deps.Machine.ColdFor(c.deps.Clock.Now()),
		Refused:     maps.Clone(c.refused),
	}
}

// Close replies to all pending offers when the process stops. A request that was
// passed to the target gets the outcome unknown; any other gets not run, since it
// has not started and never will.
func (c *Controller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.timer.Stop()
	for id, p := range c.pending {
		outcome := dfuoutcome.NotRun
		if p.cancel != nil {
			outcome = dfuoutcome.Unknown
			p.cancel()
		}
		c.finishOffer(id, outcome, dfuoutcome.ReasonDraining)
	}
}

// updateState updates the state that the Controller tracks itself, outside the
// machine.
func (c *Controller) updateState(event dfugate.Event) {
	switch e := event.(type) {
	case dfugate.DrainRequested:
		c.draining = true
	case dfugate.DrainCanceled:
		c.draining = false
		c.drained = false
	case dfugate.ClaimGranted:
		if p := c.pending[e.ID]; p != nil {
			p.holdsClaim = true
		}
	default:
	}
}

func (c *Controller) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(dfugate.Tick{})
}

// step passes an event to the machine, executes the resulting actions and sets
// the timer to the machine's next deadline. The caller must hold c.mu.
func (c *Controller) step(event dfugate.Event) {
	if c.stopped {
		return
	}
	now := c.deps.Clock.Now()
	for _, action := range c.deps.Machine.Step(now, event) {
		c.execute(action)
	}
	if due, ok := c.deps.Machine.Next(); ok {
		c.timer.Reset(max(due.Sub(now), dfuclock.Millisecond).Std())
	}
}

func (c *Controller) execute(action dfugate.Action) {
	switch a := action.(type) {
	case dfugate.RunOnTarget:
		c.startRun(a)
	case dfugate.CancelOnTarget:
		if p := c.pending[a.ID]; p != nil && p.cancel != nil {
			c.canceledRuns.Inc(1)
			p.cancel()
		}
	case dfugate.RequestTargetLoad:
		go c.queryLoad()
	case dfugate.RequestBody:
		c.requestBody(a.ID)
	case dfugate.RequestClaim:
		c.requestClaim(a)
	case dfugate.ReleaseClaim:
		if p := c.pending[a.ID]; p != nil {
			p.holdsClaim = false
		}
		c.deps.Claims.Released(a.ID, a.Service, a.Key)
	case dfugate.Refuse:
		c.finishOffer(a.ID, a.Outcome, a.Reason)
	case dfugate.Complete:
		c.finishOffer(a.ID, a.Outcome, a.Reason)
	case dfugate.SealAnswer:
		c.setSealReply(a)
	case dfugate.Drained:
		c.drained = true
		c.deps.Log.Info("drained")
	case dfugate.BanFingerprint, dfugate.ClearFingerprint, dfugate.ReportCrash:
		c.deps.PublishCrashInfo(action)
	case dfugate.Log:
		c.logIncident(a)
	}
}

// SetBudget replaces the measuring budget.
func (c *Controller) SetBudget(budget dfubudget.Budget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.measuring.SetBudget(c.deps.Clock.Now(), budget)
}
