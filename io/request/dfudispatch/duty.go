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
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/request/dfureturn"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Gates reaches the gate beside a target, of this node or another.
type Gates interface {
	// Offer waits for the reply. If ctx ends first it returns
	// dfupeer.ErrDetached, and late gets what it would have returned.
	Offer(ctx context.Context, to dfuroster.Node, offer *dfumessage.Offer, late func(*dfumessage.Reply, error)) (*dfumessage.Reply, error)
	Cancel(ctx context.Context, to dfuroster.Node, cancel dfumessage.Cancel) error
	Seal(ctx context.Context, to dfuroster.Node, seal dfumessage.Seal) (*dfumessage.SealReply, error)
}

// Owners tells which node alone may run a key of a non-idempotent service.
type Owners interface {
	Owner(view *dfuroster.View, service dfuident.Service, key dfuident.Key) (dfuident.Member, bool)
}

// Chooser picks targets and is told which there are.
type Chooser interface {
	dfuattempt.Chooser
	SetTargets(now dfuclock.Time, service dfuident.Service, targets []dfuchoice.Target)
	// TakeEjected returns the ejection that the last Done began, if it did.
	TakeEjected() (dfuchoice.Ejection, bool)
	Ejections(now dfuclock.Time) []dfuchoice.Ejection
}

// Deps are what a Duty needs.
type Deps struct {
	Self    dfuident.Member
	Place   dfuident.Place
	Clock   dfuclock.Clock
	Log     *zap.Logger
	Metrics metrics.Registry
	Times   *dfuhistogram.Set
	Tracer  *dfutrace.Tracer
	Gates   Gates
	Owners  Owners
	Chooser Chooser
	Machine *dfuattempt.Machine
	// Budget is the machine's budget of extra attempts.
	Budget dfuattempt.Budget
	// Rand draws the part of a split route, from 0 up to but without 1.
	Rand func() float64
	// Runs reports whether the target beside this node is running a request with
	// a caller's own id.
	Runs func(callerRequest string) bool
	// Local returns the service of the target beside this node.
	Local func() dfuident.Service
}

// Duty runs the entry side of one node. The machine is stepped under a mutex by
// whichever goroutine brings the event, and the goroutine that serves a call
// also sends its first attempt: a goroutine that owned the machine would add a
// change of goroutine at each of its steps.
type Duty struct {
	deps     Deps
	view     atomic.Pointer[dfuroster.View]
	number   atomic.Uint64
	outcomes map[dfuoutcome.Outcome]metrics.Counter
	// ejections counts how often a target was ejected.
	ejections metrics.Counter

	mu       sync.Mutex
	timer    *time.Timer
	stopped  bool
	waiting  map[dfuattempt.RequestNumber]*request
	attempts map[dfuident.RequestID]*attempt
	known    *dfuroster.View
	// deadlines tells which callers have tried before.
	deadlines *dfureturn.Deadlines[string]
	services  map[dfuident.Service]struct{}
	// current is the call whose goroutine steps the machine, which takes its
	// own attempt rather than starting a goroutine for it.
	current *request
}

// New returns a duty that knows no targets.
func New(deps Deps) *Duty {
	d := &Duty{
		deps:      deps,
		waiting:   map[dfuattempt.RequestNumber]*request{},
		attempts:  map[dfuident.RequestID]*attempt{},
		known:     dfuroster.New(),
		deadlines: dfureturn.New[string](),
		services:  map[dfuident.Service]struct{}{},
		outcomes:  map[dfuoutcome.Outcome]metrics.Counter{},
		ejections: metrics.GetOrRegisterCounter("entry.ejections", deps.Metrics),
	}
	d.view.Store(d.known)
	d.timer = time.AfterFunc(time.Hour, func() { d.notify(dfuattempt.Tick{}) })
	for _, o := range []dfuoutcome.Outcome{dfuoutcome.Answered, dfuoutcome.NotRun, dfuoutcome.Unknown} {
		d.outcomes[o] = metrics.GetOrRegisterCounter("entry."+string(o), deps.Metrics)
	}
	return d
}

// SetView puts a new view of the fleet in force.
func (d *Duty) SetView(view *dfuroster.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.Store(view)
	d.setTargets(view)
	if b, ok := d.deps.Budget.(*dfubudget.FleetBudget); ok {
		b.SetNodes(view.Len())
	}
}

// SetLimits changes the limits of extra attempts, if the fleet shares them.
func (d *Duty) SetLimits(limits dfubudget.FleetLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, ok := d.deps.Budget.(*dfubudget.FleetBudget); ok {
		b.SetLimits(limits)
	}
}

// Ejections returns the targets that this node avoids because they fail.
func (d *Duty) Ejections() []dfuchoice.Ejection {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deps.Chooser.Ejections(d.deps.Clock.Now())
}

// Close gives every call that is left its outcome.
func (d *Duty) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
	for _, r := range d.waiting {
		r.reply <- dfufront.Result{Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonNodeDraining}
	}
	for id := range d.attempts {
		d.endAttempt(id)
	}
}

// notify gives the machine an event.
func (d *Duty) notify(event dfuattempt.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(event)
}

// step gives the machine an event, carries out its actions and sets the timer
// to its next deadline. The mutex is held.
func (d *Duty) step(event dfuattempt.Event) {
	if d.stopped {
		return
	}
	now := d.deps.Clock.Now()
	for _, action := range d.deps.Machine.Step(now, event) {
		d.act(action)
	}
	if e, ok := d.deps.Chooser.TakeEjected(); ok {
		d.ejections.Inc(1)
		d.deps.Log.Warn("target ejected", zap.Stringer("target", e.Member),
			zap.Stringer("for", e.Remaining), zap.Int("failed_percent", e.FailedPercent))
	}
	if due, ok := d.deps.Machine.Next(); ok {
		d.timer.Reset(max(due.Sub(now), dfuclock.Millisecond).Std())
	}
}

func (d *Duty) act(action dfuattempt.Action) {
	switch a := action.(type) {
	case dfuattempt.Send:
		d.send(a)
	case dfuattempt.SendCancel:
		d.sendCancel(a)
	case dfuattempt.SendSeal:
		d.sendSeal(a)
	case dfuattempt.Finish:
		d.finish(a)
	case dfuattempt.Log:
		d.deps.Log.Info("entry incident", zap.String("kind", string(a.Kind)), zap.Stringer("request_id", a.ID))
	}
}

// setTargets tells the chooser about the services whose nodes have changed.
func (d *Duty) setTargets(view *dfuroster.View) {
	now := d.deps.Clock.Now()
	old := d.known
	d.known = view
	seen := map[dfuident.Service]struct{}{}
	for _, service := range view.Services() {
		seen[service] = struct{}{}
		if !sameTargets(old, view, service) {
			d.deps.Chooser.SetTargets(now, service, targets(view, service))
		}
	}
	for service := range d.services {
		if _, ok := seen[service]; !ok {
			d.deps.Chooser.SetTargets(now, service, nil)
		}
	}
	d.services = seen
}
