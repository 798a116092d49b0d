package dfudispatch

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
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
}

// Deps are what a Duty needs.
type Deps struct {
	Self    dfuident.Member
	Place   dfuident.Place
	Clock   dfuclock.Clock
	Log     *zap.Logger
	Metrics metrics.Registry
	Tracer  *dfutrace.Tracer
	Gates   Gates
	Owners  Owners
	Chooser Chooser
	Machine *dfuattempt.Machine
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

	mu       sync.Mutex
	timer    *time.Timer
	stopped  bool
	waiting  map[dfuattempt.RequestNumber]*request
	attempts map[dfuident.RequestID]*attempt
	known    *dfuroster.View
	services map[dfuident.Service]struct{}
	// current is the call whose goroutine steps the machine, which takes its
	// own attempt rather than starting a goroutine for it.
	current *request
}

// request is a call without a result yet.
type request struct {
	call  dfufront.Call
	event dfuattempt.Arrived
	reply chan dfufront.Result
	sent  []dfuident.RequestID
	bulk  bool
	// own is the attempt that the call's goroutine is to send itself.
	own *outgoing
}

// outgoing is an offer about to be sent.
type outgoing struct {
	ctx   context.Context
	to    dfuroster.Node
	offer *dfumessage.Offer
}

// attempt is one offer under way.
type attempt struct {
	to     dfuroster.Node
	cancel context.CancelFunc
	span   trace.Span
	answer *dfumessage.Answer
	// lost says that the link failed, so that only a seal can bring the answer.
	lost bool
}

// New returns a duty that knows no targets.
func New(deps Deps) *Duty {
	d := &Duty{
		deps:     deps,
		waiting:  map[dfuattempt.RequestNumber]*request{},
		attempts: map[dfuident.RequestID]*attempt{},
		known:    dfuroster.New(),
		services: map[dfuident.Service]struct{}{},
		outcomes: map[dfuoutcome.Outcome]metrics.Counter{},
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
}

// Serve implements dfufront.Entry.
func (d *Duty) Serve(call dfufront.Call, watch func(gone func()) (stop func())) dfufront.Result {
	span, traceparent := d.deps.Tracer.Start(call.Traceparent, "entry")
	call.Traceparent = traceparent
	c := &caller{duty: d, gone: make(chan struct{})}
	stop := watch(c.leave)
	result := d.serve(call, c)
	stop()
	d.finished(call, span, result)
	return result
}

// caller follows whether the caller of one call is still there.
type caller struct {
	duty    *Duty
	gone    chan struct{}
	request atomic.Uint64
}

// leave cancels the request that is in progress for the caller.
func (c *caller) leave() {
	close(c.gone)
	c.duty.notify(dfuattempt.CallerGone{Request: dfuattempt.RequestNumber(c.request.Load())})
}

// serve tries the call, and tries it again while no node can take it just now.
func (d *Duty) serve(call dfufront.Call, c *caller) dfufront.Result {
	deadline := d.deps.Clock.Now().Add(call.Remaining)
	var repeat dfuattempt.Repeat
	attempts := 0
	for {
		result := d.try(call, c)
		attempts += result.Attempts
		result.Attempts = attempts
		call.Remaining = deadline.Sub(d.deps.Clock.Now())
		wait, again := repeat.After(result.Outcome, result.Reason, call.Remaining)
		if !again {
			return result
		}
		select {
		case <-time.After(wait.Std()):
		case <-c.gone:
			return result
		}
		call.Remaining -= wait
	}
}

// try steps the machine with the call once and waits for the outcome.
func (d *Duty) try(call dfufront.Call, c *caller) dfufront.Result {
	event, refused := d.admit(&call)
	if refused != nil {
		return *refused
	}
	c.request.Store(uint64(event.Request))
	r := &request{call: call, event: event, reply: make(chan dfufront.Result, 1)}
	if own := d.arrive(r); own != nil {
		d.offer(own)
	}
	select {
	case <-c.gone:
		// The caller may have left before the machine knew the request.
		d.notify(dfuattempt.CallerGone{Request: event.Request})
	case result := <-r.reply:
		return result
	}
	return <-r.reply
}

// finished counts, logs and traces the outcome of a call.
func (d *Duty) finished(call dfufront.Call, span trace.Span, result dfufront.Result) {
	d.outcomes[result.Outcome].Inc(1)
	span.SetAttributes(
		attribute.String("service", string(call.Service)),
		attribute.String("outcome", string(result.Outcome)),
		attribute.String("reason", string(result.Reason)),
		attribute.Int("attempts", result.Attempts),
	)
	span.End()
	if result.Outcome != dfuoutcome.Answered {
		d.deps.Log.Info("request finished", zap.Stringer("request_id", result.ID),
			zap.String("service", string(call.Service)),
			zap.String("outcome", string(result.Outcome)), zap.String("reason", string(result.Reason)),
			zap.Int("attempts", result.Attempts))
	}
}

// arrive steps the machine with a call and returns its first attempt, if the
// machine makes one at once.
func (d *Duty) arrive(r *request) *outgoing {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		r.reply <- notRun(dfuoutcome.ReasonNodeDraining, "")
		return nil
	}
	r.bulk = isBulk(d.known, r.call)
	d.waiting[r.event.Request] = r
	d.current = r
	d.step(r.event)
	d.current = nil
	own := r.own
	r.own = nil
	return own
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

// admit checks a call against the catalogue.
func (d *Duty) admit(call *dfufront.Call) (dfuattempt.Arrived, *dfufront.Result) {
	refuse := func(reason dfuoutcome.Reason, detail string) (dfuattempt.Arrived, *dfufront.Result) {
		result := notRun(reason, detail)
		return dfuattempt.Arrived{}, &result
	}
	view := d.view.Load()
	entry, _, ok := view.Entry(call.Service)
	switch {
	case !ok && len(view.Services()) == 0:
		return refuse(dfuoutcome.ReasonNoCatalogue, "this node has no catalogue yet")
	case !ok:
		return refuse(dfuoutcome.ReasonUnknownService, "the catalogue has no service "+strconv.Quote(string(call.Service)))
	case dfuident.Bytes(len(call.Body)) > entry.Limits.BodyBytes:
		return refuse(dfuoutcome.ReasonBodyTooLarge, "the catalogue allows "+strconv.FormatInt(int64(entry.Limits.BodyBytes), 10)+" bytes")
	case entry.NonIdempotent && call.Key == "":
		return refuse(dfuoutcome.ReasonKeyMissing, "the service is non-idempotent: send Idempotency-Key")
	}
	call.Remaining = min(call.Remaining, entry.Limits.Deadline)
	event := dfuattempt.Arrived{
		Request:    dfuattempt.RequestNumber(d.number.Add(1)),
		Service:    call.Service,
		Caller:     call.Caller,
		Class:      class(entry.Class),
		Key:        call.Key,
		Idempotent: !entry.NonIdempotent,
		Remaining:  call.Remaining,
		Body:       dfuident.Bytes(len(call.Body)),
		Allowance:  allowance(call.Allowance),
		Hedge:      entry.Retry.Hedge && !entry.NonIdempotent,
	}
	if entry.NonIdempotent {
		owner, ok := d.deps.Owners.Owner(view, call.Service, call.Key)
		if !ok {
			return refuse(dfuoutcome.ReasonNotOwner, "no node owns the key's shard yet")
		}
		event.Owner = owner
	}
	return event, nil
}

// notify gives the machine an event.
func (d *Duty) notify(event dfuattempt.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(event)
}

// takeReply gives the machine the end of an attempt or of a seal, with the
// target's answer if there is one.
func (d *Duty) takeReply(in replied) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[in.id]
	settled := settles(in.event)
	if a != nil {
		a.lost = a.lost || !settled
		if in.answer != nil {
			a.answer = in.answer
		}
	}
	d.step(in.event)
	if settled {
		d.endAttempt(in.id)
	}
}

// settles reports whether nothing more can come for an attempt after an event.
// After a lost link a seal may still bring the answer.
func settles(event dfuattempt.Event) bool {
	switch e := event.(type) {
	case dfuattempt.Replied, dfuattempt.NotSent:
		return true
	case dfuattempt.SealReplied:
		return e.State != dfugate.SealRunning
	case dfuattempt.SealFailed:
		return e.Gone
	default:
		return false
	}
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

// send starts an attempt.
func (d *Duty) send(a dfuattempt.Send) {
	r := d.waiting[a.Request]
	node, ok := d.known.Node(a.To.Node)
	if r == nil || !ok || node.Member != a.To {
		go d.takeReply(replied{id: a.ID, event: dfuattempt.NotSent{ID: a.ID}})
		return
	}
	span, traceparent := d.deps.Tracer.Start(r.call.Traceparent, "attempt")
	span.SetAttributes(
		attribute.Int("attempt", a.Attempt),
		attribute.String("target", string(a.To.Node)),
		attribute.String("zone", node.Place.String()),
		attribute.String("attempt_reason", string(a.Reason)),
		attribute.String("choice_reason", string(a.Choice)),
		attribute.String("request_id", a.ID.String()),
	)
	ctx, cancel := context.WithCancel(context.Background())
	r.sent = append(r.sent, a.ID)
	d.attempts[a.ID] = &attempt{to: node, cancel: cancel, span: span}
	out := &outgoing{ctx: ctx, to: node, offer: d.newOffer(a, r, traceparent)}
	if r == d.current && r.own == nil {
		r.own = out
		return
	}
	go d.offer(out)
}

func (d *Duty) newOffer(a dfuattempt.Send, r *request, traceparent string) *dfumessage.Offer {
	return &dfumessage.Offer{
		ID:          a.ID,
		To:          a.To,
		Service:     r.call.Service,
		Caller:      r.call.Caller,
		Key:         r.call.Key,
		Remaining:   a.Remaining,
		Settled:     a.Settled,
		Allowance:   int(a.Allowance),
		Idempotent:  r.event.Idempotent,
		NoWait:      !a.Wait,
		From:        d.deps.Place.Region,
		Bulk:        r.bulk,
		Traceparent: traceparent,
		Method:      r.call.Method,
		URI:         r.call.URI,
		Headers:     r.call.Headers,
		Body:        r.call.Body,
		Checksum:    dfumessage.Sum(a.ID, r.call.Body),
	}
}

// offer sends one attempt and waits for its reply, or until its request has its
// outcome.
func (d *Duty) offer(out *outgoing) {
	take := func(reply *dfumessage.Reply, err error) {
		d.takeReply(endOf(out.offer.ID, reply, err))
	}
	reply, err := d.deps.Gates.Offer(out.ctx, out.to, out.offer, take)
	if !errors.Is(err, dfupeer.ErrDetached) {
		take(reply, err)
	}
}

// endOf turns what came of an offer into the machine's event. A reply under
// another id or with a wrong checksum counts as lost.
func endOf(id dfuident.RequestID, reply *dfumessage.Reply, err error) replied {
	switch {
	case isNotSent(err):
		return replied{id: id, event: dfuattempt.NotSent{ID: id}}
	case err != nil, reply.ID != id:
		return replied{id: id, event: dfuattempt.LinkLost{ID: id}}
	case reply.Outcome == dfuoutcome.Answered && reply.Checksum != dfumessage.Sum(id, reply.Answer.Body):
		return replied{id: id, event: dfuattempt.LinkLost{ID: id}}
	}
	return replied{
		id:     id,
		answer: &reply.Answer,
		event: dfuattempt.Replied{
			ID:           id,
			Outcome:      reply.Outcome,
			Reason:       reply.Reason,
			TargetError:  reply.Answer.Status >= firstServerError,
			RetriedBelow: reply.Answer.Has(dfutarget.HeaderRetried),
			Load:         loadOf(reply),
		},
	}
}

// firstServerError is the lowest HTTP status that blames the target.
const firstServerError = 500

func isNotSent(err error) bool {
	return err != nil && dfupeer.IsNotSent(err)
}

// endAttempt forgets an attempt.
func (d *Duty) endAttempt(id dfuident.RequestID) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	a.span.End()
	a.cancel()
	delete(d.attempts, id)
}

// cancelLimit bounds the sending of a cancellation.
const cancelLimit = time.Second

func (d *Duty) sendCancel(a dfuattempt.SendCancel) {
	node, ok := d.known.Node(a.To.Node)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
		defer cancel()
		_ = d.deps.Gates.Cancel(ctx, node, dfumessage.Cancel{ID: a.ID, Reason: dfuoutcome.ReasonCanceled})
	}()
}

// sealLimit bounds the wait for the answer to one seal.
const sealLimit = 500 * time.Millisecond

func (d *Duty) sendSeal(a dfuattempt.SendSeal) {
	node, ok := d.known.Node(a.To.Node)
	if !ok || node.Member != a.To {
		go d.notify(dfuattempt.SealFailed{ID: a.ID, Gone: ok})
		return
	}
	d.deps.Log.Info("seal sent", zap.Stringer("request_id", a.ID), zap.Stringer("to", a.To))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sealLimit)
		defer cancel()
		reply, err := d.deps.Gates.Seal(ctx, node, dfumessage.Seal{ID: a.ID, To: a.To})
		d.takeReply(sealEnd(a.ID, reply, err))
	}()
}

func (d *Duty) finish(a dfuattempt.Finish) {
	r := d.waiting[a.Request]
	if r == nil {
		return
	}
	delete(d.waiting, a.Request)
	result := dfufront.Result{Outcome: a.Outcome, Reason: a.Reason, ID: a.ID, Attempts: a.Attempts}
	if last := len(r.sent) - 1; last >= 0 && a.Outcome != dfuoutcome.Answered {
		result.ID = r.sent[last]
	}
	if at := d.attempts[a.ID]; at != nil {
		result.Target = at.to.Member.Node
		if at.answer != nil {
			result.Answer = *at.answer
		}
	}
	d.release(r)
	r.reply <- result
}

// release ends what waits for the attempts of a request that has its outcome.
func (d *Duty) release(r *request) {
	for _, id := range r.sent {
		a := d.attempts[id]
		switch {
		case a == nil:
		case a.lost:
			d.endAttempt(id)
		default:
			a.cancel()
		}
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

func notRun(reason dfuoutcome.Reason, detail string) dfufront.Result {
	return dfufront.Result{Outcome: dfuoutcome.NotRun, Reason: reason, Detail: detail}
}
