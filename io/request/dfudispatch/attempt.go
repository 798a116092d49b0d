package dfudispatch

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// outgoingOffer is an offer that is ready to be sent.
type outgoingOffer struct {
	ctx   context.Context
	to    dfuroster.Node
	offer *dfumessage.Offer
}

// attempt is an offer that has been sent and has no final result yet.
type attempt struct {
	to      dfuroster.Node
	request *request
	cancel  context.CancelFunc
	span    trace.Span
	sent    dfuclock.Time
	answer  *dfumessage.Answer
	// linkLost is set if the connection failed, so that only a seal can still return
	// the answer.
	linkLost bool
}

// handleResult passes the result of an attempt or a seal to the machine and stores
// the target's answer, if there is one.
func (d *Dispatcher) handleResult(result attemptResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.attempts[result.id]
	final := isFinal(result.event)
	if a != nil {
		a.linkLost = a.linkLost || !final
		if result.answer != nil {
			a.answer = result.answer
			a.request.saveError(result.id, a)
		}
		if isTargetRefusal(result.event) {
			a.request.refusedBy = append(a.request.refusedBy, a.to.Member.Node)
		}
	}
	d.countHedgeRefusal(a, result)
	d.step(result.event)
	if final {
		d.removeAttempt(result.id)
	}
}

// isFinal reports whether an event is the last one for its attempt. A lost
// connection is not final, because a seal may still return the answer.
func isFinal(event dfuattempt.Event) bool {
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

// isTargetRefusal reports whether an event is the refusal of a target.
func isTargetRefusal(event dfuattempt.Event) bool {
	e, ok := event.(dfuattempt.Replied)
	return ok && e.Outcome == dfuoutcome.NotRun && e.Reason == dfuoutcome.ReasonTargetRefused
}

// send starts an attempt. The goroutine that is starting the request sends its first
// attempt itself; any other attempt gets a goroutine of its own.
func (d *Dispatcher) send(a dfuattempt.Send) {
	r := d.requests[a.Request]
	node, ok := d.targetView.Node(a.To.Node)
	if r == nil || !ok || node.Member != a.To {
		go d.handleResult(attemptResult{id: a.ID, event: dfuattempt.NotSent{ID: a.ID}})
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
	fields := []zap.Field{
		zap.String("caller_request", r.call.CallerRequest),
		zap.Stringer("request_id", a.ID), zap.Stringer("target", a.To), zap.Int("attempt", a.Attempt),
		zap.String("attempt_reason", string(a.Reason)), zap.String("choice_reason", string(a.Choice)),
		zap.Bool("waits", a.Wait), zap.Stringer("remaining", a.Remaining), zap.Stringer("objective", a.Objective),
	}
	d.deps.Log.Info("attempt", append(fields, d.routesFields(r.call.Routes)...)...)
	ctx, cancel := context.WithCancel(context.Background())
	r.sent = append(r.sent, a.ID)
	d.attempts[a.ID] = &attempt{to: node, request: r, cancel: cancel, span: span, sent: d.deps.Clock.Now()}
	d.countHedge(r, a)
	out := &outgoingOffer{ctx: ctx, to: node, offer: d.newOffer(a, r, traceparent)}
	if r == d.inlineRequest && r.inlineOffer == nil {
		r.inlineOffer = out
		return
	}
	go d.offer(out)
}

func (d *Dispatcher) newOffer(a dfuattempt.Send, r *request, traceparent string) *dfumessage.Offer {
	return &dfumessage.Offer{
		ID:          a.ID,
		To:          a.To,
		Service:     r.call.Service,
		Caller:      r.call.Caller,
		Key:         r.call.Key,
		Remaining:   a.Remaining,
		Objective:   a.Objective,
		Nested:      r.event.Nested,
		Settled:     a.Settled,
		Allowance:   int(a.Allowance),
		Idempotent:  r.event.Idempotent,
		NoClaim:     r.noClaim,
		Class:       r.event.Class,
		Kind:        r.event.Kind,
		NoWait:      !a.Wait,
		From:        d.deps.Place.Region,
		Bulk:        r.bulk,
		Traceparent: traceparent,
		Method:      r.call.Method,
		URI:         r.call.URI,
		Headers:     r.call.Headers,
		Body:        r.call.Body,

		CallerRequest: r.call.CallerRequest,
		CallerService: d.deps.Local(),
		Workspace:     r.call.Workspace,
		Weight:        d.quotaRate(r.call.Workspace),
		Homes:         r.call.Homes,
		Credential:    r.call.Credential,
		RoutesVersion: r.call.RoutesVersion,
		Host:          r.call.Host,

		Checksum: dfumessage.BodyChecksum(a.ID, r.call.Body),
	}
}

// offer sends one attempt and waits for its reply; an attempt sent to another node is
// awaited no longer than its context lasts. A reply that arrives later is handled in
// another goroutine.
func (d *Dispatcher) offer(out *outgoingOffer) {
	handle := func(reply *dfumessage.Reply, err error) {
		d.handleResult(offerResult(out.offer.ID, reply, err))
	}
	reply, err := d.deps.GateClient.Offer(out.ctx, out.to, out.offer, handle)
	if !errors.Is(err, dfupeer.ErrDetached) {
		handle(reply, err)
	}
}

// offerResult converts the reply or error of an offer to the machine's event. A
// reply with the wrong id or checksum counts as a lost connection.
func offerResult(id dfuident.RequestID, reply *dfumessage.Reply, err error) attemptResult {
	switch {
	case dfupeer.IsNotSent(err):
		return attemptResult{id: id, event: dfuattempt.NotSent{ID: id}}
	case err != nil, reply.ID != id:
		return attemptResult{id: id, event: dfuattempt.LinkLost{ID: id}}
	case reply.Outcome == dfuoutcome.Answered && reply.Checksum != dfumessage.BodyChecksum(id, reply.Answer.Body):
		return attemptResult{id: id, event: dfuattempt.LinkLost{ID: id}}
	}
	return attemptResult{
		id:     id,
		answer: &reply.Answer,
		event: dfuattempt.Replied{
			ID:           id,
			Outcome:      reply.Outcome,
			Reason:       reply.Reason,
			TargetError:  reply.Answer.IsServerError(),
			RetriedBelow: reply.Answer.HasHeader(dfutarget.HeaderRetried),
			Load:         replyLoad(reply),
			Answer:       dfuident.Bytes(len(reply.Answer.Body)),
		},
	}
}

// removeAttempt ends the span of an attempt, cancels its context and removes it.
func (d *Dispatcher) removeAttempt(id dfuident.RequestID) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	a.span.End()
	a.cancel()
	delete(d.attempts, id)
}

// cancelTimeout bounds the time to send a cancellation.
const cancelTimeout = time.Second

// sendCancel sends a cancellation in a new goroutine. It ignores errors.
func (d *Dispatcher) sendCancel(a dfuattempt.SendCancel) {
	node, ok := d.targetView.Node(a.To.Node)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = d.deps.GateClient.Cancel(ctx, node, dfumessage.Cancel{ID: a.ID, Reason: dfuoutcome.ReasonCanceled})
	}()
}

// sealTimeout bounds the time to send a seal and receive its reply.
const sealTimeout = 500 * time.Millisecond

// sendSeal sends a seal in a new goroutine. If the view no longer lists the target's
// incarnation, it passes a failure to the machine instead.
func (d *Dispatcher) sendSeal(a dfuattempt.SendSeal) {
	node, ok := d.targetView.Node(a.To.Node)
	if !ok || node.Member != a.To {
		go d.notify(dfuattempt.SealFailed{ID: a.ID, Gone: ok})
		return
	}
	d.deps.Log.Info("seal sent", zap.Stringer("request_id", a.ID), zap.Stringer("to", a.To))
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sealTimeout)
		defer cancel()
		reply, err := d.deps.GateClient.Seal(ctx, node, dfumessage.Seal{ID: a.ID, To: a.To})
		d.handleResult(sealResult(a.ID, reply, err))
	}()
}
