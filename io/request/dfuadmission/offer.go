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
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// pendingOffer is an offer that has no reply yet. The goroutine that called Offer
// receives from instructions.
type pendingOffer struct {
	offer   *dfumessage.Offer
	event   dfugate.Offer
	arrived dfuclock.Time
	// runStarted is when the request was passed to the target.
	runStarted dfuclock.Time
	span       trace.Span
	// instructions has room for two values: the machine starts at most one run on
	// the target and gives one reply, so sending never blocks.
	instructions chan instruction
	// cancel cancels the run on the target; it is nil if none was started.
	cancel context.CancelFunc
	answer dfumessage.Answer
	// result is the result of the run on the target; zero if none was started.
	result dfutarget.Result
	// targetErr is the reason that the target returned no complete answer, or nil.
	targetErr error
	// holdsClaim is set while the request holds a claim that must be finished or
	// released.
	holdsClaim bool
}

// instruction directs the goroutine of a pending offer: if reply is set, Offer
// returns it; otherwise the goroutine runs the request on the target.
type instruction struct {
	reply     *dfumessage.Reply
	ctx       context.Context
	client    *dfutarget.Client
	targetRun targetRun
	remaining dfuclock.Duration
}

// Offer passes the request to the gate and blocks until its outcome is known or
// its body is needed.
func (c *Controller) Offer(offer *dfumessage.Offer, class dfugate.Class) *dfumessage.Reply {
	if offer.To != c.deps.Self {
		return refusalReply(offer.ID, dfuoutcome.ReasonStaleRequest)
	}
	if dfumessage.BodyChecksum(offer.ID, offer.Body) != offer.Checksum {
		return refusalReply(offer.ID, dfuoutcome.ReasonBadRequest)
	}
	if !dfuroute.IsHome(offer.Homes, c.deps.Region) {
		return c.refuseOutsideHomes(offer)
	}
	p, refused := c.admit(offer, class)
	if refused != nil {
		return refused
	}
	for {
		instr := <-p.instructions
		if instr.reply != nil {
			return instr.reply
		}
		c.runOnTarget(p, instr)
	}
}

// refuseOutsideHomes refuses an offer that may not be served in this node's region. The
// entry node had outdated data about the node at this address.
func (c *Controller) refuseOutsideHomes(offer *dfumessage.Offer) *dfumessage.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[dfuoutcome.ReasonOutsideHomes]++
	c.deps.Log.Warn("request refused outside its homes", zap.String("caller_request", offer.CallerRequest),
		zap.Stringer("request_id", offer.ID))
	return refusalReply(offer.ID, dfuoutcome.ReasonOutsideHomes)
}

// admit registers an offer as pending and passes it to the machine. It returns a
// reply instead if an offer with the same id is pending or the Controller is
// closed.
func (c *Controller) admit(offer *dfumessage.Offer, class dfugate.Class) (*pendingOffer, *dfumessage.Reply) {
	event := offerEvent(offer, class)
	span, traceparent := c.deps.Tracer.Start(offer.Traceparent, "gate")
	offer.Traceparent = traceparent
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return nil, c.replyAfterClose(offer.ID)
	}
	if c.pending[offer.ID] != nil {
		return nil, unknownReply(offer.ID, dfuoutcome.ReasonStaleRequest)
	}
	p := &pendingOffer{offer: offer, event: event, arrived: c.deps.Clock.Now(), span: span, instructions: make(chan instruction, 2)}
	c.pending[offer.ID] = p
	c.step(event)
	return p, nil
}

// replyAfterClose refuses an offer after Close. If the offer came before, its request may have
// run. The actions of the machine are not executed.
func (c *Controller) replyAfterClose(id dfuident.RequestID) *dfumessage.Reply {
	for _, action := range c.deps.Machine.Step(c.deps.Clock.Now(), dfugate.Seal{ID: id}) {
		if a, ok := action.(dfugate.SealAnswer); ok && sealState(a.State) == dfumessage.SealNever {
			return refusalReply(id, dfuoutcome.ReasonDraining)
		}
	}
	return unknownReply(id, dfuoutcome.ReasonDraining)
}

// Cancel reports to the gate that the entry node no longer waits for the request.
func (c *Controller) Cancel(cancel dfumessage.Cancel) {
	c.Notify(dfugate.Cancel{ID: cancel.ID, Reason: cancel.Reason})
}

// Seal prevents the request from starting after this call and returns its state. It
// returns nil after Close or if the machine gives no reply.
func (c *Controller) Seal(id dfuident.RequestID) *dfumessage.SealReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealReply = nil
	c.step(dfugate.Seal{ID: id})
	return c.sealReply
}

// logIncident logs an irregularity that the machine reported. The machine ignores
// an offer that it has already decided. The duplicate is answered here with the
// outcome unknown.
func (c *Controller) logIncident(a dfugate.Log) {
	c.deps.Log.Info("gate incident", zap.String("kind", string(a.Kind)), zap.Stringer("request_id", a.ID))
	if p := c.pending[a.ID]; p != nil && a.Kind == dfugate.LogDuplicateOffer {
		delete(c.pending, a.ID)
		p.instructions <- instruction{reply: unknownReply(a.ID, dfuoutcome.ReasonStaleRequest)}
	}
}

// finishOffer removes a pending offer and sends its only reply, with the load of
// the target if the request was not run or the target is slowed down.
func (c *Controller) finishOffer(id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	p := c.pending[id]
	if p == nil {
		return
	}
	delete(c.pending, id)
	reply := &dfumessage.Reply{ID: id, Outcome: outcome, Reason: reason}
	if outcome == dfuoutcome.NotRun || c.deps.Machine.Load().Slowdown > 0 {
		reply.Load = c.load(p.offer.From)
	}
	if outcome == dfuoutcome.Answered {
		reply.Answer = p.answer
		reply.Checksum = dfumessage.BodyChecksum(id, p.answer.Body)
	}
	c.finishClaim(p, outcome)
	p.span.SetAttributes(
		attribute.String("request_id", id.String()),
		attribute.String("target", string(c.deps.Self.Node)),
		attribute.String("outcome", string(outcome)),
		attribute.String("reason", string(reason)),
		attribute.Bool("ran", p.cancel != nil),
	)
	p.span.End()
	if outcome != dfuoutcome.NotRun {
		c.replies.add(reply)
	}
	if outcome != dfuoutcome.Answered {
		c.refused[reason]++
		load := c.deps.Machine.Load()
		c.deps.Log.Info("request not answered", zap.String("caller_request", p.offer.CallerRequest),
			zap.Stringer("request_id", id),
			zap.String("service", string(p.event.Service)),
			zap.String("outcome", string(outcome)), zap.String("reason", string(reason)),
			zap.Stringer("held", c.deps.Clock.Now().Sub(p.arrived)),
			zap.Uint16("running", load.InFlight), zap.Uint16("waiting", load.Queued), zap.Uint16("slots", load.Slots),
			zap.Uint16("slowdown_percent", load.Slowdown), zap.Stringer("service_time", load.ServiceTime),
			zap.Inline(refusalFields(p.result)), zap.Error(p.targetErr))
	}
	if outcome == dfuoutcome.Answered {
		c.logSlowRun(p, id)
	}
	p.instructions <- instruction{reply: reply}
}

// refusalFields returns the log fields of a target's refusal, which show whether it can be
// the surplus answer to an earlier request. It returns none for another response.
func refusalFields(result dfutarget.Result) zapcore.ObjectMarshalerFunc {
	return func(e zapcore.ObjectEncoder) error {
		if !result.ResponseMetadata.NotRun {
			return nil
		}
		e.AddInt("status", result.Answer.Status)
		e.AddBool("identified", result.ResponseMetadata.Identified)
		e.AddInt("earlier_answers", result.Exchange.EarlierAnswers)
		e.AddInt("skipped_answers", result.Exchange.Skipped)
		return nil
	}
}

// slowRunFactor is the multiple of its typical time from which a run is logged as
// slow.
const slowRunFactor = 3

// logSlowRun logs a run that took much longer than is typical for its kind.
func (c *Controller) logSlowRun(p *pendingOffer, id dfuident.RequestID) {
	elapsed := c.deps.Clock.Now().Sub(p.runStarted)
	typical := c.deps.Machine.TypicalRunTime(p.offer.Kind)
	if p.offer.Kind == 0 || typical == 0 || elapsed < slowRunFactor*typical {
		return
	}
	load := c.deps.Machine.Load()
	c.deps.Log.Info("run took long", zap.String("caller_request", p.offer.CallerRequest),
		zap.Stringer("request_id", id), zap.String("service", string(p.event.Service)),
		zap.Stringer("took", elapsed), zap.Stringer("usual", typical), zap.Stringer("waited", p.runStarted.Sub(p.arrived)),
		zap.Uint16("running", load.InFlight), zap.Uint16("slots", load.Slots),
		zap.Uint16("slowdown_percent", load.Slowdown))
}

// requestBody ends an offer that came without its body with a reply that requests
// the body.
func (c *Controller) requestBody(id dfuident.RequestID) {
	p := c.pending[id]
	if p == nil {
		return
	}
	delete(c.pending, id)
	p.span.AddEvent("body_asked_for")
	p.span.End()
	p.instructions <- instruction{reply: &dfumessage.Reply{ID: id, SendBody: true}}
}

// setSealReply sets the result of the current call of Seal, with the reply of a
// finished request if it is still cached.
func (c *Controller) setSealReply(a dfugate.SealAnswer) {
	reply := &dfumessage.SealReply{ID: a.ID, State: sealState(a.State)}
	if reply.State == dfumessage.SealFinished {
		reply.Reply = c.replies.get(a.ID)
		if reply.Reply == nil && a.Outcome != "" {
			reply.Reply = unknownReply(a.ID, a.Reason)
		}
	}
	c.sealReply = reply
}

// load returns the encoded load to send with a reply to a region, or nil
// if the measuring budget is exhausted.
func (c *Controller) load(to dfuident.Region) []byte {
	load := dfuchoice.Load(c.deps.Machine.Load())
	spend := dfubudget.Spend{
		Cause: dfubudget.CausePiggyback,
		Bytes: dfuchoice.LoadBytes(load),
		Link:  to != c.deps.Region,
	}
	if !c.measuring.Take(c.deps.Clock.Now(), spend) {
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
		Workspace:   offer.Workspace,
		Weight:      offer.Weight,
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

// fingerprint returns a hash of the request's content. It is the same for all
// attempts of all requests with that content.
func fingerprint(offer *dfumessage.Offer) dfucrash.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(offer.Service))
	_, _ = digest.WriteString("\x00" + offer.Method + "\x00" + offer.URI + "\x00")
	_, _ = digest.Write(offer.Body)
	return dfucrash.Fingerprint(digest.Sum64())
}

func refusalReply(id dfuident.RequestID, reason dfuoutcome.Reason) *dfumessage.Reply {
	return &dfumessage.Reply{ID: id, Outcome: dfuoutcome.NotRun, Reason: reason}
}

func unknownReply(id dfuident.RequestID, reason dfuoutcome.Reason) *dfumessage.Reply {
	return &dfumessage.Reply{ID: id, Outcome: dfuoutcome.Unknown, Reason: reason}
}
