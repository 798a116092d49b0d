package dfuadmission

import (
	"context"
	"maps"
	"sync"
	"time"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// Deps are what a Duty needs.
type Deps struct {
	Self    dfuident.Member
	Clock   dfuclock.Clock
	Log     *zap.Logger
	Metrics metrics.Registry
	Tracer  *dfutrace.Tracer
	Region  dfuident.Region
	Claims  Claims
	Machine *dfugate.Machine
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

	mu       sync.Mutex
	timer    *time.Timer
	stopped  bool
	pending  map[dfuident.RequestID]*run
	seal     *dfumessage.SealReply
	kept     *keptAnswers
	client   *dfutarget.Client
	draining bool
	drained  bool
	refused  map[dfuoutcome.Reason]int64
	measured *dfubudget.Measuring
}

// run is an offer that has no reply yet. Its goroutine waits on wake.
type run struct {
	offer   *dfumessage.Offer
	event   dfugate.Offer
	arrived dfuclock.Time
	span    trace.Span
	// wake gets what the waiting goroutine is to do next. The machine orders
	// one hand-over and gives one reply, so two places are enough.
	wake   chan order
	cancel context.CancelFunc
	answer dfumessage.Answer
	// granted says that the claim must be finished or released.
	granted bool
}

// order tells the goroutine of an offer what to do: to give the reply, or to
// run the request on the target.
type order struct {
	reply     *dfumessage.Reply
	ctx       context.Context
	client    *dfutarget.Client
	remaining dfuclock.Duration
}

// New returns a duty whose machine has no target yet.
func New(deps Deps) *Duty {
	d := &Duty{
		deps:     deps,
		pending:  map[dfuident.RequestID]*run{},
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

// Offer asks the gate to run the request and waits for the outcome.
func (d *Duty) Offer(offer *dfumessage.Offer, class dfugate.Class) *dfumessage.Reply {
	if offer.To != d.deps.Self {
		return refusal(offer.ID, dfuoutcome.ReasonStaleRequest)
	}
	if dfumessage.Sum(offer.ID, offer.Body) != offer.Checksum {
		return refusal(offer.ID, dfuoutcome.ReasonBadRequest)
	}
	r, refused := d.admit(offer, class)
	if refused != nil {
		return refused
	}
	for {
		o := <-r.wake
		if o.reply != nil {
			return o.reply
		}
		d.runOnTarget(r, o)
	}
}

// admit steps the machine with an offer.
func (d *Duty) admit(offer *dfumessage.Offer, class dfugate.Class) (*run, *dfumessage.Reply) {
	event := offerEvent(offer, class)
	span, traceparent := d.deps.Tracer.Start(offer.Traceparent, "gate")
	offer.Traceparent = traceparent
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil, refusal(offer.ID, dfuoutcome.ReasonDraining)
	}
	if d.pending[offer.ID] != nil {
		return nil, unknown(offer.ID, dfuoutcome.ReasonStaleRequest)
	}
	r := &run{offer: offer, event: event, arrived: d.deps.Clock.Now(), span: span, wake: make(chan order, 2)}
	d.pending[offer.ID] = r
	d.step(event)
	return r, nil
}

// Cancel tells the gate that nobody waits for the request.
func (d *Duty) Cancel(cancel dfumessage.Cancel) {
	d.Notify(dfugate.Cancel{ID: cancel.ID, Reason: cancel.Reason})
}

// Seal forbids the request to start from now on and returns what is known of
// it.
func (d *Duty) Seal(id dfuident.RequestID) *dfumessage.SealReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seal = nil
	d.step(dfugate.Seal{ID: id})
	return d.seal
}

// Notify gives the machine an event that nobody waits for.
func (d *Duty) Notify(event dfugate.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(event)
	d.step(event)
}

// SetTarget puts a new local target in place; client is nil if it has gone.
func (d *Duty) SetTarget(client *dfutarget.Client, event dfugate.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.client != nil {
		d.client.Close()
	}
	d.client = client
	d.step(event)
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

// incident logs what the machine noticed. An offer that repeats a decided one
// gets no decision, so its sender is told that nothing is known.
func (d *Duty) incident(a dfugate.Log) {
	d.deps.Log.Info("gate incident", zap.String("kind", string(a.Kind)), zap.Stringer("request_id", a.ID))
	if r := d.pending[a.ID]; r != nil && a.Kind == dfugate.LogDuplicateOffer {
		delete(d.pending, a.ID)
		r.wake <- order{reply: unknown(a.ID, dfuoutcome.ReasonStaleRequest)}
	}
}

// handOver orders the goroutine of an offer to run it on the target.
func (d *Duty) handOver(a dfugate.RunOnTarget) {
	r := d.pending[a.ID]
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	d.runs.Inc(1)
	r.span.AddEvent("handed_over")
	r.wake <- order{ctx: ctx, client: d.client, remaining: a.Remaining}
}

// runOnTarget runs an offer on the target and reports its end.
func (d *Duty) runOnTarget(r *run, o order) {
	defer r.cancel()
	var answer dfumessage.Answer
	var event dfugate.Event = dfugate.TargetFailed{ID: r.offer.ID, Refused: true}
	crashed := false
	if o.client != nil {
		var err error
		answer, err = o.client.Run(o.ctx, r.offer, o.remaining)
		switch dfutarget.Classify(answer, err) {
		case dfutarget.EndAnswered:
			event = dfugate.TargetDone{ID: r.offer.ID, Failed: answer.Status >= firstServerError}
		case dfutarget.EndNotRun:
		case dfutarget.EndInterrupted:
			crashed = o.ctx.Err() == nil && !o.client.Reachable()
			event = dfugate.TargetFailed{ID: r.offer.ID, Died: crashed}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r.answer = answer
	d.step(event)
	if crashed {
		d.step(dfugate.TargetCrashed{})
	}
}

// firstServerError is the lowest HTTP status that blames the target.
const firstServerError = 500

// askClaim asks the claims for leave. They may decide at once, while the mutex
// is held, so that the verdict is taken by another goroutine.
func (d *Duty) askClaim(a dfugate.AskClaim) {
	r := d.pending[a.ID]
	remaining := r.event.Remaining - d.deps.Clock.Now().Sub(r.arrived)
	d.deps.Claims.Claim(a.ID, a.Service, a.Key, remaining, func(v Verdict) { go d.decide(a.ID, v) })
}

// decide takes the verdict on a claim.
func (d *Duty) decide(id dfuident.RequestID, v Verdict) {
	if v.Granted {
		d.Notify(dfugate.ClaimGranted{ID: id})
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.pending[id]; r != nil && v.Answer != nil {
		r.answer = *v.Answer
	}
	d.step(dfugate.ClaimDenied{ID: id, Outcome: v.Outcome, Reason: v.Reason})
}

// conclude gives the offer its one reply.
func (d *Duty) conclude(id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	r := d.pending[id]
	if r == nil {
		return
	}
	delete(d.pending, id)
	reply := &dfumessage.Reply{ID: id, Outcome: outcome, Reason: reason}
	if outcome == dfuoutcome.NotRun {
		reply.Load = d.load(r.offer.From)
	}
	if outcome == dfuoutcome.Answered {
		reply.Answer = r.answer
		reply.Checksum = dfumessage.Sum(id, r.answer.Body)
	}
	d.settleClaim(r, outcome)
	r.span.SetAttributes(
		attribute.String("request_id", id.String()),
		attribute.String("target", string(d.deps.Self.Node)),
		attribute.String("outcome", string(outcome)),
		attribute.String("reason", string(reason)),
		attribute.Bool("ran", r.cancel != nil),
	)
	r.span.End()
	if outcome != dfuoutcome.NotRun {
		d.kept.add(reply)
	}
	if outcome != dfuoutcome.Answered {
		d.refused[reason]++
		d.deps.Log.Info("request not answered", zap.Stringer("request_id", id),
			zap.String("service", string(r.event.Service)),
			zap.String("outcome", string(outcome)), zap.String("reason", string(reason)))
	}
	r.wake <- order{reply: reply}
}

// settleClaim tells the claims that a granted request ran.
func (d *Duty) settleClaim(r *run, outcome dfuoutcome.Outcome) {
	if r.event.Idempotent || !r.granted || outcome == dfuoutcome.NotRun {
		return
	}
	var answer *dfumessage.Answer
	if outcome == dfuoutcome.Answered {
		answer = &r.answer
	}
	d.deps.Claims.Finished(r.event.ID, r.event.Service, r.event.Key, answer)
}

func (d *Duty) answerSeal(a dfugate.SealAnswer) {
	reply := &dfumessage.SealReply{ID: a.ID, State: sealState(a.State)}
	if reply.State == dfumessage.SealFinished {
		reply.Reply = d.kept.get(a.ID)
		if reply.Reply == nil && a.Outcome != "" {
			reply.Reply = unknown(a.ID, a.Reason)
		}
	}
	d.seal = reply
}

// load returns the load to send with a refusal to a region, or nothing if the
// measuring budget is spent.
func (d *Duty) load(to dfuident.Region) []byte {
	load := dfuchoice.Load(d.deps.Machine.Load())
	spend := dfubudget.Spend{
		Cause: dfubudget.CausePiggyback,
		Bytes: dfuchoice.LoadBytes(load),
		Link:  to != d.deps.Region,
	}
	if !d.measured.Take(d.deps.Clock.Now(), spend) {
		return nil
	}
	return dfuchoice.AppendLoad(nil, load)
}

// SetBudget puts a changed measuring budget in force.
func (d *Duty) SetBudget(budget dfubudget.Budget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.measured.SetBudget(d.deps.Clock.Now(), budget)
}

func sealState(state dfugate.SealState) dfumessage.SealState {
	switch state {
	case dfugate.SealNever, dfugate.SealWithdrawn:
		return dfumessage.SealNever
	case dfugate.SealRunning:
		return dfumessage.SealRunning
	case dfugate.SealFinished:
		return dfumessage.SealFinished
	default:
		return dfumessage.SealForgotten
	}
}

func offerEvent(offer *dfumessage.Offer, class dfugate.Class) dfugate.Offer {
	return dfugate.Offer{
		ID:          offer.ID,
		Service:     offer.Service,
		Caller:      offer.Caller,
		Class:       class,
		Key:         offer.Key,
		Fingerprint: fingerprint(offer),
		Remaining:   offer.Remaining,
		Idempotent:  offer.Idempotent,
		NoWait:      offer.NoWait,
		Settled:     offer.Settled,
	}
}

// fingerprint is the same for every attempt of requests with the same content.
func fingerprint(offer *dfumessage.Offer) dfucrash.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(offer.Service))
	_, _ = digest.WriteString("\x00" + offer.Method + "\x00" + offer.URI + "\x00")
	_, _ = digest.Write(offer.Body)
	return dfucrash.Fingerprint(digest.Sum64())
}

func refusal(id dfuident.RequestID, reason dfuoutcome.Reason) *dfumessage.Reply {
	return &dfumessage.Reply{ID: id, Outcome: dfuoutcome.NotRun, Reason: reason}
}

func unknown(id dfuident.RequestID, reason dfuoutcome.Reason) *dfumessage.Reply {
	return &dfumessage.Reply{ID: id, Outcome: dfuoutcome.Unknown, Reason: reason}
}
