package dfudispatch

import (
	"cmp"
	"strconv"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/request/dfumessage"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// request is a call that has no result yet.
type request struct {
	call  dfufront.Call
	event dfuattempt.Arrived
	reply chan dfufront.Result
	// sent holds the ids of the attempts sent, in order.
	sent []dfuident.RequestID
	// refusedBy holds the nodes whose targets refused the request.
	refusedBy []dfuident.NodeID
	// hedges holds the hedges among sent.
	hedges []dfuident.RequestID
	// bulk is set if the body or the answer may be large.
	bulk bool
	// noClaim is set for a non-idempotent request that runs without a claim: only
	// deduplication by its id ensures that it runs at most once.
	noClaim bool
	// firstError is the first error response of a target, or nil.
	firstError *savedAnswer
	// inlineOffer is the first attempt, which the call's goroutine sends itself.
	inlineOffer *outgoingOffer
}

// savedAnswer is a target's answer that may be returned to the caller after its
// attempt was removed.
type savedAnswer struct {
	id     dfuident.RequestID
	target dfuident.NodeID
	answer dfumessage.Answer
}

// saveError saves the answer of an attempt if it is the request's first error
// response.
func (r *request) saveError(id dfuident.RequestID, a *attempt) {
	if r.firstError == nil && a.answer.IsServerError() {
		r.firstError = &savedAnswer{id: id, target: a.to.Member.Node, answer: *a.answer}
	}
}

// Serve implements dfufront.CallHandler. It runs a call and blocks until it has a
// result.
func (d *Dispatcher) Serve(call dfufront.Call, watchClose func(gone func()) (stop func())) dfufront.Result {
	start := d.deps.Clock.Now()
	span, traceparent := d.deps.Tracer.Start(call.Traceparent, "entry")
	call.Traceparent = traceparent
	c := &callerWatch{dispatcher: d, gone: make(chan struct{})}
	stop := watchClose(c.onDisconnect)
	result := d.serve(&call, c)
	stop()
	d.recordResult(call, start, span, result)
	return result
}

// callerWatch tracks whether the caller of one call is still connected.
type callerWatch struct {
	dispatcher *Dispatcher
	gone       chan struct{}
	// request is the number of the request in progress.
	request atomic.Uint64
}

// onDisconnect cancels the caller's request in progress.
func (c *callerWatch) onDisconnect() {
	close(c.gone)
	c.dispatcher.notify(dfuattempt.CallerGone{Request: dfuattempt.RequestNumber(c.request.Load())})
}

// serve routes a call and runs it, if its workspace has quota left.
func (d *Dispatcher) serve(call *dfufront.Call, c *callerWatch) dfufront.Result {
	if refused := d.route(call); refused != nil {
		return *refused
	}
	if refused := d.refuseBeforeStop(*call); refused != nil {
		return *refused
	}
	ticket, refused := d.takeQuota(call, c)
	if refused != nil {
		return *refused
	}
	result := d.serveRouted(call, c)
	d.giveBackQuota(ticket, result)
	return result
}

// serveRouted runs a call and repeats it after a delay while no node has capacity for it.
func (d *Dispatcher) serveRouted(call *dfufront.Call, c *callerWatch) dfufront.Result {
	start := d.deps.Clock.Now()
	deadline := start.Add(call.Remaining)
	priorWait := call.Waited
	var backoff dfuattempt.RepeatBackoff
	attempts := 0
	var refusedBy []dfuident.NodeID
	for {
		result, refusals := d.tryOnce(*call, c, refusedBy)
		refusedBy = append(refusedBy, refusals...)
		attempts += result.Attempts
		result.Attempts = attempts
		now := d.deps.Clock.Now()
		call.Remaining = deadline.Sub(now)
		wait, retry := backoff.After(result.Outcome, result.Reason, waitLeft(*call, now.Sub(start)))
		if !retry {
			return result
		}
		select {
		case <-time.After(wait.Std()):
		case <-c.gone:
			return result
		}
		now = d.deps.Clock.Now()
		call.Remaining = deadline.Sub(now)
		call.Waited = priorWait + now.Sub(start)
	}
}

// waitDivisor bounds the time that a request waits for a node with capacity, which is
// at most 1/waitDivisor of its route's target latency. A caller that is refused
// within a quarter of the target latency can still retry in time.
const waitDivisor = 4

// waitLeft returns how much longer a call may wait for a node with capacity.
func waitLeft(call dfufront.Call, waited dfuclock.Duration) dfuclock.Duration {
	if call.Route == nil {
		return call.Remaining
	}
	return min(call.Remaining, call.Route.TargetLatency/waitDivisor-waited)
}

// tryOnce passes the call to the machine once and waits for the result. refusedBy lists the
// nodes whose targets refused the call before; tryOnce also returns those that refused it now.
func (d *Dispatcher) tryOnce(call dfufront.Call, c *callerWatch, refusedBy []dfuident.NodeID) (dfufront.Result, []dfuident.NodeID) {
	r, refused := d.admit(call)
	if refused != nil {
		return *refused, nil
	}
	r.event.RefusedBy = refusedBy
	result := d.await(r, c)
	d.mu.Lock()
	defer d.mu.Unlock()
	return result, r.refusedBy
}

// await passes a request to the machine and waits for its result.
func (d *Dispatcher) await(r *request, c *callerWatch) dfufront.Result {
	r.reply = make(chan dfufront.Result, 1)
	c.request.Store(uint64(r.event.Request))
	if inlineOffer := d.startRequest(r); inlineOffer != nil {
		d.offer(inlineOffer)
	}
	select {
	case <-c.gone:
		// The caller may have disconnected before the machine received the request.
		d.notify(dfuattempt.CallerGone{Request: r.event.Request})
	case result := <-r.reply:
		return result
	}
	return <-r.reply
}

// recordResult records the result of a call in metrics and its span, and logs it if
// it is an error or late.
func (d *Dispatcher) recordResult(call dfufront.Call, start dfuclock.Time, span trace.Span, result dfufront.Result) {
	d.outcomes[result.Outcome].Inc(1)
	d.countWorkspace(call.Workspace, result)
	elapsed := d.deps.Clock.Now().Sub(start)
	kind := routeKindName(call.Route)
	reason := cmp.Or(string(result.Reason), "none")
	metrics.GetOrRegisterCounter("entry.requests."+kind+"."+string(result.Outcome)+"."+reason, d.deps.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("entry.attempts."+strconv.Itoa(min(result.Attempts, maxCountedAttempts)), d.deps.Metrics).Inc(1)
	d.deps.Times.Record("entry.time."+kind+"."+string(result.Outcome), elapsed)
	span.SetAttributes(
		attribute.String("service", string(result.Service)),
		attribute.String("outcome", string(result.Outcome)),
		attribute.String("reason", string(result.Reason)),
		attribute.Int("attempts", result.Attempts),
	)
	span.End()
	message := "request finished"
	if result.Outcome == dfuoutcome.Answered && !result.Answer.IsServerError() {
		if call.Route == nil || elapsed <= call.Route.TargetLatency {
			return
		}
		message = "request late"
	}
	fields := []zap.Field{
		zap.String("caller_request", call.CallerRequest),
		zap.Stringer("request_id", result.ID),
		zap.String("service", string(result.Service)),
		zap.String("workspace", string(call.Workspace)),
		zap.String("outcome", string(result.Outcome)),
		zap.String("reason", string(result.Reason)),
		zap.String("detail", result.Detail),
		zap.Int("status", result.Answer.Status),
		zap.String("target", string(result.Target)),
		zap.Int("attempts", result.Attempts),
		zap.Stringer("took", elapsed),
		zap.Stringer("deadline", call.Remaining),
		zap.Stringer("retry_after", result.RetryAfter),
	}
	d.deps.Log.Info(message, append(fields, d.routesFields(call.Routes)...)...)
}

// routesFields describes the route table that decided on a call, if one did.
func (d *Dispatcher) routesFields(table *dfuroute.Table) []zap.Field {
	if table == nil {
		return nil
	}
	return []zap.Field{
		zap.Uint64("routes_version", uint64(table.Version)),
		zap.Uint64("routes_revision", uint64(table.Revision)),
		zap.Stringer("routes_age", d.deps.Clock.Now().Sub(table.InForceSince)),
	}
}

// maxCountedAttempts is the number of attempts from which requests share one
// counter.
const maxCountedAttempts = 9

// routeKindName returns the name of a route's kind, or "unrouted" without a route.
func routeKindName(r *dfuroute.Route) string {
	if r == nil {
		return "unrouted"
	}
	return r.Kind.String()
}

// startRequest passes a request to the machine. It returns the first attempt for the
// caller to send, or nil if the machine starts none immediately.
func (d *Dispatcher) startRequest(r *request) *outgoingOffer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		r.reply <- notRunResult(dfuoutcome.ReasonNodeDraining, "")
		return nil
	}
	r.bulk = isBulk(d.targetView, r.call)
	d.requests[r.event.Request] = r
	d.inlineRequest = r
	d.step(r.event)
	d.inlineRequest = nil
	inlineOffer := r.inlineOffer
	r.inlineOffer = nil
	return inlineOffer
}

// finishRequest removes a request and sends its result. An answer comes from the
// attempt that the machine names or, if that was removed, from the saved answer.
func (d *Dispatcher) finishRequest(a dfuattempt.Finish) {
	r := d.requests[a.Request]
	if r == nil {
		return
	}
	delete(d.requests, a.Request)
	result := dfufront.Result{Outcome: a.Outcome, Reason: a.Reason, ID: a.ID, Attempts: a.Attempts, Service: r.call.Service}
	if last := len(r.sent) - 1; last >= 0 && a.Outcome != dfuoutcome.Answered {
		result.ID = r.sent[last]
	}
	if at := d.attempts[a.ID]; at != nil {
		result.Target = at.to.Member.Node
		if at.answer != nil {
			result.Answer = *at.answer
		}
	} else if r.firstError != nil && r.firstError.id == a.ID {
		result.Target = r.firstError.target
		result.Answer = r.firstError.answer
	}
	d.countHedgeEnd(r, a)
	d.endAttempts(r)
	result.RetryAfter = d.retryAfter(r, a)
	r.reply <- result
}

// endAttempts stops waiting for the remaining attempts of a finished request. Later
// replies are still passed to the machine. Attempts whose connection was lost are
// removed.
func (d *Dispatcher) endAttempts(r *request) {
	for _, id := range r.sent {
		a := d.attempts[id]
		switch {
		case a == nil:
		case a.linkLost:
			d.removeAttempt(id)
		default:
			a.cancel()
		}
	}
}

func notRunResult(reason dfuoutcome.Reason, detail string) dfufront.Result {
	return dfufront.Result{Outcome: dfuoutcome.NotRun, Reason: reason, Detail: detail}
}
