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

// Deps are what a Duty needs.
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
	// TellsLoad says that the target may be asked for its load, which is no part of
	// the native protocol.
	TellsLoad bool
	// HealthPath returns the path at which the target tells its load; it is empty
	// while the routes aren't known.
	HealthPath func() string
	// Tell sends what peers should know of crashes.
	Tell func(dfugate.Action)
}

// Status is the state of the gate for operators.
type Status struct {
	Load      dfugate.Load
	Draining  bool
	Drained   bool
	Measuring dfubudget.Usage
	Refused   map[dfuoutcome.Reason]int64
}

// Duty runs one gate. The machine is stepped under a mutex by whichever
// goroutine brings the event, and the goroutine that waits for an offer's reply
// also runs the request on the target: a goroutine that owned the machine would
// add a change of goroutine at each of its steps.
type Duty struct {
	deps     Deps
	runs     metrics.Counter
	canceled metrics.Counter

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	pending map[dfuident.RequestID]*run
	// running counts the runs on the target by their callers' own ids.
	running  map[string]int
	seal     *dfumessage.SealReply
	kept     *keptAnswers
	client   *dfutarget.Client
	draining bool
	drained  bool
	refused  map[dfuoutcome.Reason]int64
	measured *dfubudget.Measuring
}

// New returns a duty whose machine has no target yet.
func New(deps Deps) *Duty {
	d := &Duty{
		deps:     deps,
		pending:  map[dfuident.RequestID]*run{},
		running:  map[string]int{},
		kept:     newKeptAnswers(),
		refused:  map[dfuoutcome.Reason]int64{},
		measured: dfubudget.NewMeasuring(deps.Clock.Now()),
		runs:     metrics.GetOrRegisterCounter("gate.runs", deps.Metrics),
		canceled: metrics.GetOrRegisterCounter("gate.canceled_runs", deps.Metrics),
	}
	d.timer = time.AfterFunc(time.Hour, d.tick)
	return d
}

// Self returns the run of the node that the gate belongs to.
func (d *Duty) Self() dfuident.Member {
	return d.deps.Self
}

// Notify gives the machine an event that nobody waits for.
func (d *Duty) Notify(event dfugate.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(event)
	d.step(event)
}

// Runs reports whether the target is running a request with a caller's own id.
func (d *Duty) Runs(callerRequest string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running[callerRequest] > 0
}

// Status returns the gate's state.
func (d *Duty) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Status{
		Load:      d.deps.Machine.Load(),
		Draining:  d.draining,
		Drained:   d.drained,
		Measuring: d.measured.Usage(dfubudget.CausePiggyback),
		Refused:   maps.Clone(d.refused),
	}
}

// Close answers what is left when the process stops: a request that the target
// has may have run, any other has not and never will.
func (d *Duty) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	for id, r := range d.pending {
		outcome := dfuoutcome.NotRun
		if r.cancel != nil {
			outcome = dfuoutcome.Unknown
			r.cancel()
		}
		d.conclude(id, outcome, dfuoutcome.ReasonDraining)
	}
}

// note keeps what the duty itself needs to know of an event.
func (d *Duty) note(event dfugate.Event) {
	switch e := event.(type) {
	case dfugate.DrainRequested:
		d.draining = true
	case dfugate.DrainCanceled:
		d.draining = false
		d.drained = false
	case dfugate.ClaimGranted:
		if r := d.pending[e.ID]; r != nil {
			r.granted = true
		}
	default:
	}
}

func (d *Duty) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(dfugate.Tick{})
}

// step gives the machine an event, carries out its actions and sets the timer
// to its next deadline. The mutex is held.
func (d *Duty) step(event dfugate.Event) {
	if d.stopped {
		return
	}
	now := d.deps.Clock.Now()
	for _, action := range d.deps.Machine.Step(now, event) {
		d.act(action)
	}
	if due, ok := d.deps.Machine.Next(); ok {
		d.timer.Reset(max(due.Sub(now), dfuclock.Millisecond).Std())
	}
}

func (d *Duty) act(action dfugate.Action) {
	switch a := action.(type) {
	case dfugate.RunOnTarget:
		d.handOver(a)
	case dfugate.CancelOnTarget:
		if r := d.pending[a.ID]; r != nil && r.cancel != nil {
			d.canceled.Inc(1)
			r.cancel()
		}
	case dfugate.AskTarget:
		go d.askTarget()
	case dfugate.AskBody:
		d.askBody(a.ID)
	case dfugate.AskClaim:
		d.askClaim(a)
	case dfugate.ReleaseClaim:
		if r := d.pending[a.ID]; r != nil {
			r.granted = false
		}
		d.deps.Claims.Released(a.ID, a.Service, a.Key)
	case dfugate.Refuse:
		d.conclude(a.ID, a.Outcome, a.Reason)
	case dfugate.Complete:
		d.conclude(a.ID, a.Outcome, a.Reason)
	case dfugate.SealAnswer:
		d.answerSeal(a)
	case dfugate.Drained:
		d.drained = true
		d.deps.Log.Info("drained")
	case dfugate.BanFingerprint, dfugate.ClearFingerprint, dfugate.ReportCrash:
		d.deps.Tell(action)
	case dfugate.Log:
		d.incident(a)
	}
}

// SetBudget puts a changed measuring budget in force.
func (d *Duty) SetBudget(budget dfubudget.Budget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.measured.SetBudget(d.deps.Clock.Now(), budget)
}
