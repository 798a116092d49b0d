package dfudispatch

import (
	"context"
	"time"

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

// outgoing is an offer about to be sent.
type outgoing struct {
	ctx   context.Context
	to    dfuroster.Node
	offer *dfumessage.Offer
}

// attempt is one offer under way.
type attempt struct {
	to      dfuroster.Node
	request *request
	cancel  context.CancelFunc
	span    trace.Span
	answer  *dfumessage.Answer
	// lost says that the link failed, so that only a seal can bring the answer.
	lost bool
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
			a.request.keep(in.id, a)
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
	d.deps.Log.Info("attempt", zap.String("caller_request", r.call.CallerRequest),
		zap.Stringer("request_id", a.ID), zap.Stringer("target", a.To), zap.Int("attempt", a.Attempt),
		zap.String("attempt_reason", string(a.Reason)), zap.String("choice_reason", string(a.Choice)),
		zap.Bool("waits", a.Wait), zap.Stringer("remaining", a.Remaining), zap.Stringer("objective", a.Objective))
	ctx, cancel := context.WithCancel(context.Background())
	r.sent = append(r.sent, a.ID)
	d.attempts[a.ID] = &attempt{to: node, request: r, cancel: cancel, span: span}
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
		Host:          r.call.Host,

		Checksum: dfumessage.Sum(a.ID, r.call.Body),
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
	case dfupeer.IsNotSent(err):
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
			TargetError:  reply.Answer.BlamesTarget(),
			RetriedBelow: reply.Answer.Has(dfutarget.HeaderRetried),
			Load:         loadOf(reply),
			Answer:       dfuident.Bytes(len(reply.Answer.Body)),
		},
	}
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
