package dfuadmission

import (
	"context"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// run is an offer that has no reply yet. Its goroutine waits on wake.
type run struct {
	offer   *dfumessage.Offer
	event   dfugate.Offer
	arrived dfuclock.Time
	// handed is when the request was handed to the target.
	handed dfuclock.Time
	span   trace.Span
	// wake gets what the waiting goroutine is to do next. The machine orders
	// one hand-over and gives one reply, so two places are enough.
	wake   chan order
	cancel context.CancelFunc
	answer dfumessage.Answer
	// failure is why the target gave no whole answer, or nil.
	failure error
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

// incident logs what the machine noticed. An offer that repeats a decided one
// gets no decision, so its sender is told that nothing is known.
func (d *Duty) incident(a dfugate.Log) {
	d.deps.Log.Info("gate incident", zap.String("kind", string(a.Kind)), zap.Stringer("request_id", a.ID))
	if r := d.pending[a.ID]; r != nil && a.Kind == dfugate.LogDuplicateOffer {
		delete(d.pending, a.ID)
		r.wake <- order{reply: unknown(a.ID, dfuoutcome.ReasonStaleRequest)}
	}
}

// conclude gives the offer its one reply.
func (d *Duty) conclude(id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	r := d.pending[id]
	if r == nil {
		return
	}
	delete(d.pending, id)
	reply := &dfumessage.Reply{ID: id, Outcome: outcome, Reason: reason}
	if outcome == dfuoutcome.NotRun || d.deps.Machine.Load().Slowdown > 0 {
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
		load := d.deps.Machine.Load()
		d.deps.Log.Info("request not answered", zap.String("caller_request", r.offer.CallerRequest),
			zap.Stringer("request_id", id),
			zap.String("service", string(r.event.Service)),
			zap.String("outcome", string(outcome)), zap.String("reason", string(reason)),
			zap.Stringer("held", d.deps.Clock.Now().Sub(r.arrived)),
			zap.Uint16("running", load.InFlight), zap.Uint16("waiting", load.Queued), zap.Uint16("slots", load.Slots),
			zap.Uint16("slowdown_percent", load.Slowdown), zap.Stringer("service_time", load.ServiceTime),
			zap.Error(r.failure))
	}
	if outcome == dfuoutcome.Answered {
		d.noteSlow(r, id)
	}
	r.wake <- order{reply: reply}
}

// slowFactor is how many times its usual time a run takes that is worth a line.
const slowFactor = 3

// noteSlow logs a run that took long.
func (d *Duty) noteSlow(r *run, id dfuident.RequestID) {
	took := d.deps.Clock.Now().Sub(r.handed)
	usual := d.deps.Machine.Typical(r.offer.Kind)
	if r.offer.Kind == 0 || usual == 0 || took < slowFactor*usual {
		return
	}
	load := d.deps.Machine.Load()
	d.deps.Log.Info("run took long", zap.String("caller_request", r.offer.CallerRequest),
		zap.Stringer("request_id", id), zap.String("service", string(r.event.Service)),
		zap.Stringer("took", took), zap.Stringer("usual", usual), zap.Stringer("waited", r.handed.Sub(r.arrived)),
		zap.Uint16("running", load.InFlight), zap.Uint16("slots", load.Slots),
		zap.Uint16("slowdown_percent", load.Slowdown))
}

// askBody asks for the body of an offer that came without it.
func (d *Duty) askBody(id dfuident.RequestID) {
	r := d.pending[id]
	if r == nil {
		return
	}
	delete(d.pending, id)
	r.span.AddEvent("body_asked_for")
	r.span.End()
	r.wake <- order{reply: &dfumessage.Reply{ID: id, SendBody: true}}
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
		Kind:        offer.Kind,
		Remaining:   offer.Remaining,
		Objective:   offer.Objective,
		Nested:      offer.Nested,
		Idempotent:  offer.Idempotent,
		NoClaim:     offer.NoClaim,
		NoWait:      offer.NoWait,
		BodyLater:   offer.BodyLater,
		Bytes:       offer.BodyBytes,
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
