package dfuadmission

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// ringSize bounds the inputs that wait for the machine.
	ringSize = 8192
	// tickPeriod is how often the machine is told that time has passed.
	tickPeriod = 5 * time.Millisecond
)

// Deps are what a Duty needs.
type Deps struct {
	Self    dfuident.Member
	Clock   dfuclock.Clock
	Log     *zap.Logger
	Metrics metrics.Registry
	Claims  Claims
	Machine *dfugate.Machine
	// Tell sends what peers should know of crashes.
	Tell func(dfugate.Action)
}

// Status is the state of the gate for operators.
type Status struct {
	Load     dfumessage.Load
	Draining bool
	Drained  bool
	Refused  map[dfuoutcome.Reason]int64
}

// Duty runs one gate.
type Duty struct {
	deps   Deps
	inputs *dfuring.Ring[input]
	// stopped ends when the machine takes no further step.
	stopped chan struct{}
	// The fields below belong to the goroutine of Run.
	pending  map[dfuident.RequestID]*run
	seals    map[dfuident.RequestID][]chan *dfumessage.SealReply
	kept     *keptAnswers
	client   *dfutarget.Client
	draining bool
	drained  bool
	refused  map[dfuoutcome.Reason]int64
	runs     metrics.Counter
	canceled metrics.Counter
}

// run is an offer that has no reply yet.
type run struct {
	offer   *dfumessage.Offer
	event   dfugate.Offer
	reply   chan *dfumessage.Reply
	arrived dfuclock.Time
	cancel  context.CancelFunc
	answer  dfumessage.Answer
	// granted says that the claim must be finished or released.
	granted bool
}

// New returns a duty that does nothing until Run.
func New(deps Deps) *Duty {
	return &Duty{
		deps:     deps,
		inputs:   dfuring.New[input](ringSize),
		stopped:  make(chan struct{}),
		pending:  map[dfuident.RequestID]*run{},
		seals:    map[dfuident.RequestID][]chan *dfumessage.SealReply{},
		kept:     newKeptAnswers(),
		refused:  map[dfuoutcome.Reason]int64{},
		runs:     metrics.GetOrRegisterCounter("gate.runs", deps.Metrics),
		canceled: metrics.GetOrRegisterCounter("gate.canceled_runs", deps.Metrics),
	}
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
	in := offered{event: offerEvent(offer, class), offer: offer, reply: make(chan *dfumessage.Reply, 1)}
	if !d.inputs.Offer(in) {
		return refusal(offer.ID, dfuoutcome.ReasonQueueFull)
	}
	reply, ok := await(in.reply, d.stopped)
	if !ok {
		return refusal(offer.ID, dfuoutcome.ReasonDraining)
	}
	return reply
}

// Cancel tells the gate that nobody waits for the request.
func (d *Duty) Cancel(cancel dfumessage.Cancel) {
	d.inputs.Offer(plain{dfugate.Cancel{ID: cancel.ID, Reason: cancel.Reason}})
}

// Seal forbids the request to start from now on and returns what is known of
// it. The result is nil if the gate is too busy to tell.
func (d *Duty) Seal(id dfuident.RequestID) *dfumessage.SealReply {
	in := sealed{id: id, reply: make(chan *dfumessage.SealReply, 1)}
	if !d.inputs.Offer(in) {
		return nil
	}
	reply, _ := await(in.reply, d.stopped)
	return reply
}

// Notify gives the machine an event that nobody waits for. It blocks until
// there is room, because such an event must not be lost.
func (d *Duty) Notify(event dfugate.Event) {
	for !d.inputs.Offer(plain{event}) {
		time.Sleep(time.Millisecond)
	}
}

// SetTarget puts a new local target in place; client is nil if it has gone.
func (d *Duty) SetTarget(client *dfutarget.Client, event dfugate.Event) {
	for !d.inputs.Offer(retargeted{client, event}) {
		time.Sleep(time.Millisecond)
	}
}

// Status returns the gate's state.
func (d *Duty) Status() Status {
	in := queried{reply: make(chan Status, 1)}
	if !d.inputs.Offer(in) {
		return Status{}
	}
	status, _ := await(in.reply, d.stopped)
	return status
}

// Run steps the machine until ctx ends. Every offer that has no reply by then
// gets the outcome unknown or not_run.
func (d *Duty) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.abandon()
			close(d.stopped)
			return
		case in := <-d.inputs.Items():
			d.take(in)
		case <-ticker.C:
			d.step(dfugate.Tick{})
		}
	}
}

func (d *Duty) take(in input) {
	switch in := in.(type) {
	case offered:
		d.takeOffer(in)
	case sealed:
		d.seals[in.id] = append(d.seals[in.id], in.reply)
		d.step(dfugate.Seal{ID: in.id})
	case finished:
		d.takeFinished(in)
	case retargeted:
		if d.client != nil {
			d.client.Close()
		}
		d.client = in.client
		d.step(in.event)
	case denied:
		if r := d.pending[in.event.ID]; r != nil && in.answer != nil {
			r.answer = *in.answer
		}
		d.step(in.event)
	case plain:
		d.note(in.event)
		d.step(in.event)
	case queried:
		in.reply <- Status{Load: d.load(), Draining: d.draining, Drained: d.drained, Refused: copyCounts(d.refused)}
	}
}

func (d *Duty) takeOffer(in offered) {
	if d.pending[in.event.ID] != nil {
		in.reply <- &dfumessage.Reply{ID: in.event.ID, Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonStaleRequest}
		return
	}
	d.pending[in.event.ID] = &run{offer: in.offer, event: in.event, reply: in.reply, arrived: d.deps.Clock.Now()}
	d.step(in.event)
}

func (d *Duty) takeFinished(in finished) {
	if r := d.pending[in.id]; r != nil {
		r.answer = in.answer
	}
	d.step(in.event)
	if in.crashed {
		d.step(dfugate.TargetCrashed{})
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

func (d *Duty) step(event dfugate.Event) {
	for _, action := range d.deps.Machine.Step(d.deps.Clock.Now(), event) {
		d.act(action)
	}
}

func (d *Duty) act(action dfugate.Action) {
	switch a := action.(type) {
	case dfugate.RunOnTarget:
		d.runOnTarget(a)
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
			d.deps.Claims.Released(a.ID, r.event.Service, r.event.Key)
		}
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
		d.deps.Log.Info("gate incident", zap.String("kind", string(a.Kind)), zap.Stringer("request_id", a.ID))
	}
}

func (d *Duty) runOnTarget(a dfugate.RunOnTarget) {
	r := d.pending[a.ID]
	if r == nil || d.client == nil {
		d.inputs.Offer(finished{id: a.ID, event: dfugate.TargetFailed{ID: a.ID, Refused: true}})
		return
	}
	d.runs.Inc(1)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go d.runOne(ctx, cancel, d.client, r.offer, a.Remaining)
}

// runOne sends one request to the target and reports its end.
func (d *Duty) runOne(ctx context.Context, cancel context.CancelFunc, client *dfutarget.Client, offer *dfumessage.Offer, remaining dfuclock.Duration) {
	defer cancel()
	answer, err := client.Run(ctx, offer, remaining)
	end := finished{id: offer.ID, answer: answer}
	switch dfutarget.Classify(answer, err) {
	case dfutarget.EndAnswered:
		end.event = dfugate.TargetDone{ID: offer.ID, Failed: answer.Status >= firstServerError}
	case dfutarget.EndNotRun:
		end.event = dfugate.TargetFailed{ID: offer.ID, Refused: true}
	case dfutarget.EndInterrupted:
		end.crashed = ctx.Err() == nil && !client.Reachable()
		end.event = dfugate.TargetFailed{ID: offer.ID, Died: end.crashed}
	}
	for !d.inputs.Offer(end) {
		time.Sleep(time.Millisecond)
	}
}

// firstServerError is the lowest HTTP status that blames the target.
const firstServerError = 500

func (d *Duty) askClaim(a dfugate.AskClaim) {
	r := d.pending[a.ID]
	if r == nil {
		return
	}
	remaining := r.event.Remaining - d.deps.Clock.Now().Sub(r.arrived)
	d.deps.Claims.Claim(a.ID, a.Service, a.Key, remaining, func(v Verdict) {
		var in input = denied{dfugate.ClaimDenied{ID: a.ID, Outcome: v.Outcome, Reason: v.Reason}, v.Answer}
		if v.Granted {
			in = plain{dfugate.ClaimGranted{ID: a.ID}}
		}
		for !d.inputs.Offer(in) {
			time.Sleep(time.Millisecond)
		}
	})
}

// conclude gives the offer its one reply.
func (d *Duty) conclude(id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	r := d.pending[id]
	if r == nil {
		return
	}
	delete(d.pending, id)
	reply := &dfumessage.Reply{ID: id, Outcome: outcome, Reason: reason, Load: d.load()}
	if outcome == dfuoutcome.Answered {
		reply.Answer = r.answer
		reply.Checksum = dfumessage.Sum(id, r.answer.Body)
	}
	d.settleClaim(r, outcome)
	if outcome != dfuoutcome.NotRun {
		d.kept.add(reply)
	}
	if outcome != dfuoutcome.Answered {
		d.refused[reason]++
		d.deps.Log.Info("request not answered", zap.Stringer("request_id", id),
			zap.String("service", string(r.event.Service)),
			zap.String("outcome", string(outcome)), zap.String("reason", string(reason)))
	}
	r.reply <- reply
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
			reply.Reply = &dfumessage.Reply{ID: a.ID, Outcome: dfuoutcome.Unknown, Reason: a.Reason}
		}
	}
	for _, ch := range d.seals[a.ID] {
		ch <- reply
	}
	delete(d.seals, a.ID)
}

// abandon answers what is left when the process stops: a request that the
// target has may have run, any other has not and never will.
func (d *Duty) abandon() {
	for id, r := range d.pending {
		outcome := dfuoutcome.NotRun
		if r.cancel != nil {
			outcome = dfuoutcome.Unknown
			r.cancel()
		}
		d.conclude(id, outcome, dfuoutcome.ReasonDraining)
	}
}

func (d *Duty) load() dfumessage.Load {
	l := d.deps.Machine.Load()
	return dfumessage.Load{
		InFlight:    l.InFlight,
		Queued:      l.Queued,
		Slots:       l.Slots,
		ServiceTime: l.ServiceTime,
		Sequence:    l.Sequence,
	}
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

func copyCounts(counts map[dfuoutcome.Reason]int64) map[dfuoutcome.Reason]int64 {
	c := make(map[dfuoutcome.Reason]int64, len(counts))
	for reason, n := range counts {
		c[reason] = n
	}
	return c
}

// await returns what comes on reply, or false if the machine stopped without
// having taken the input.
func await[T any](reply <-chan T, stopped <-chan struct{}) (T, bool) {
	select {
	case value := <-reply:
		return value, true
	case <-stopped:
	}
	select {
	case value := <-reply:
		return value, true
	default:
		var zero T
		return zero, false
	}
}
