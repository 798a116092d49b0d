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

// Deps holds the dependencies of a Duty.
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
	// TellsLoad is set if the target can be queried for its load. The query is not
	// part of the native protocol.
	TellsLoad bool
	// HealthPath returns the URL path at which the target reports its load. It
	// returns the empty string until the routes are known.
	HealthPath func() string
	// Tell sends crash reports, fingerprint bans and their removal to the peers.
	Tell func(dfugate.Action)
}

// Status is the state of the gate as operators see it.
type Status struct {
	Load     dfugate.Load
	Draining bool
	// Drained is set when a drain has completed.
	Drained bool
	// Measuring is the use of the measuring budget by load reports in replies.
	Measuring dfubudget.Usage
	// Refused counts the offers that got no answer, by reason.
	Refused map[dfuoutcome.Reason]int64
}

// Duty runs the gate of one node. Whichever goroutine has an event steps the
// machine under a mutex, and the goroutine that waits for an offer's reply also
// runs the request on the target. A goroutine dedicated to the machine would add
// a context switch to every step.
type Duty struct {
	deps         Deps
	runs         metrics.Counter
	canceledRuns metrics.Counter

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	pending map[dfuident.RequestID]*pendingOffer
	// running counts the requests running on the target, by the caller's request id.
	running map[string]int
	// sealReply receives the machine's reply to the current call of Seal.
	sealReply *dfumessage.SealReply
	replies   *replyCache
	client    *dfutarget.Client
	draining  bool
	drained   bool
	// refused counts the offers that got no answer, by reason.
	refused   map[dfuoutcome.Reason]int64
	measuring *dfubudget.MeasuringBudget
}

// New returns a Duty that has no target until SetTarget is called.
func New(deps Deps) *Duty {
	d := &Duty{
		deps:         deps,
		pending:      map[dfuident.RequestID]*pendingOffer{},
		running:      map[string]int{},
		replies:      newReplyCache(),
		refused:      map[dfuoutcome.Reason]int64{},
		measuring:    dfubudget.NewMeasuringBudget(deps.Clock.Now()),
		runs:         metrics.GetOrRegisterCounter("gate.runs", deps.Metrics),
		canceledRuns: metrics.GetOrRegisterCounter("gate.canceled_runs", deps.Metrics),
	}
	d.timer = time.AfterFunc(time.Hour, d.tick)
	return d
}

// Self returns the node, with its incarnation, that the gate belongs to.
func (d *Duty) Self() dfuident.Member {
	return d.deps.Self
}

// Notify passes an event that needs no reply to the machine.
func (d *Duty) Notify(event dfugate.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateState(event)
	d.step(event)
}

// Runs reports whether the target is running a request whose caller gave it the
// id callerRequest.
func (d *Duty) Runs(callerRequest string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running[callerRequest] > 0
}

// Status returns the current state of the gate.
func (d *Duty) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Status{
		Load:      d.deps.Machine.Load(),
		Draining:  d.draining,
		Drained:   d.drained,
		Measuring: d.measuring.Usage(dfubudget.CausePiggyback),
		Refused:   maps.Clone(d.refused),
	}
}

// Close replies to all pending offers when the process stops. A request that was
// passed to the target gets the outcome unknown; any other gets not run, since it
// has not started and never will.
func (d *Duty) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	for id, p := range d.pending {
		outcome := dfuoutcome.NotRun
		if p.cancel != nil {
			outcome = dfuoutcome.Unknown
			p.cancel()
		}
		d.finishOffer(id, outcome, dfuoutcome.ReasonDraining)
	}
}

// updateState updates the state that the Duty tracks itself, outside the machine.
func (d *Duty) updateState(event dfugate.Event) {
	switch e := event.(type) {
	case dfugate.DrainRequested:
		d.draining = true
	case dfugate.DrainCanceled:
		d.draining = false
		d.drained = false
	case dfugate.ClaimGranted:
		if p := d.pending[e.ID]; p != nil {
			p.holdsClaim = true
		}
	default:
	}
}

func (d *Duty) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(dfugate.Tick{})
}

// step passes an event to the machine, executes the resulting actions and sets
// the timer to the machine's next deadline. The caller must hold d.mu.
func (d *Duty) step(event dfugate.Event) {
	if d.stopped {
		return
	}
	now := d.deps.Clock.Now()
	for _, action := range d.deps.Machine.Step(now, event) {
		d.execute(action)
	}
	if due, ok := d.deps.Machine.Next(); ok {
		d.timer.Reset(max(due.Sub(now), dfuclock.Millisecond).Std())
	}
}

func (d *Duty) execute(action dfugate.Action) {
	switch a := action.(type) {
	case dfugate.RunOnTarget:
		d.startRun(a)
	case dfugate.CancelOnTarget:
		if p := d.pending[a.ID]; p != nil && p.cancel != nil {
			d.canceledRuns.Inc(1)
			p.cancel()
		}
	case dfugate.RequestTargetLoad:
		go d.queryLoad()
	case dfugate.RequestBody:
		d.requestBody(a.ID)
	case dfugate.RequestClaim:
		d.requestClaim(a)
	case dfugate.ReleaseClaim:
		if p := d.pending[a.ID]; p != nil {
			p.holdsClaim = false
		}
		d.deps.Claims.Released(a.ID, a.Service, a.Key)
	case dfugate.Refuse:
		d.finishOffer(a.ID, a.Outcome, a.Reason)
	case dfugate.Complete:
		d.finishOffer(a.ID, a.Outcome, a.Reason)
	case dfugate.SealAnswer:
		d.setSealReply(a)
	case dfugate.Drained:
		d.drained = true
		d.deps.Log.Info("drained")
	case dfugate.BanFingerprint, dfugate.ClearFingerprint, dfugate.ReportCrash:
		d.deps.Tell(action)
	case dfugate.Log:
		d.logIncident(a)
	}
}

// SetBudget replaces the measuring budget.
func (d *Duty) SetBudget(budget dfubudget.Budget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.measuring.SetBudget(d.deps.Clock.Now(), budget)
}
