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

// request is a call without a result yet.
type request struct {
	call  dfufront.Call
	event dfuattempt.Arrived
	reply chan dfufront.Result
	sent  []dfuident.RequestID
	bulk  bool
	// noClaim says that the request runs at most once for its id alone.
	noClaim bool
	// kept is the first error that a target answered, or nil.
	kept *keptAnswer
	// own is the attempt that the call's goroutine is to send itself.
	own *outgoing
}

// keptAnswer is a target's answer that may still be given after its attempt has
// ended.
type keptAnswer struct {
	id     dfuident.RequestID
	target dfuident.NodeID
	answer dfumessage.Answer
}

// keep remembers the first error that a target answered.
func (r *request) keep(id dfuident.RequestID, a *attempt) {
	if r.kept == nil && a.answer.BlamesTarget() {
		r.kept = &keptAnswer{id: id, target: a.to.Member.Node, answer: *a.answer}
	}
}

// Serve implements dfufront.Entry.
func (d *Duty) Serve(call dfufront.Call, watch func(gone func()) (stop func())) dfufront.Result {
	began := d.deps.Clock.Now()
	span, traceparent := d.deps.Tracer.Start(call.Traceparent, "entry")
	call.Traceparent = traceparent
	c := &caller{duty: d, gone: make(chan struct{})}
	stop := watch(c.leave)
	result := d.serve(&call, c)
	stop()
	d.finished(call, began, span, result)
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
func (d *Duty) serve(call *dfufront.Call, c *caller) dfufront.Result {
	if refused := d.route(call); refused != nil {
		return *refused
	}
	began := d.deps.Clock.Now()
	deadline := began.Add(call.Remaining)
	waited := call.Waited
	var repeat dfuattempt.Repeat
	attempts := 0
	for {
		result := d.try(*call, c)
		attempts += result.Attempts
		result.Attempts = attempts
		now := d.deps.Clock.Now()
		call.Remaining = deadline.Sub(now)
		wait, again := repeat.After(result.Outcome, result.Reason, patience(*call, now.Sub(began)))
		if !again {
			return result
		}
		select {
		case <-time.After(wait.Std()):
		case <-c.gone:
			return result
		}
		now = d.deps.Clock.Now()
		call.Remaining = deadline.Sub(now)
		call.Waited = waited + now.Sub(began)
	}
}

// patienceShare is the part of a route's target latency for which a request waits
// until a node can take it: a caller that is told earlier can come back in time.
const patienceShare = 4

// patience returns how much longer a call may wait until a node can take it.
func patience(call dfufront.Call, waited dfuclock.Duration) dfuclock.Duration {
	if call.Route == nil {
		return call.Remaining
	}
	return min(call.Remaining, call.Route.TargetLatency/patienceShare-waited)
}

// try steps the machine with the call once and waits for the outcome.
func (d *Duty) try(call dfufront.Call, c *caller) dfufront.Result {
	r, refused := d.admit(call)
	if refused != nil {
		return *refused
	}
	r.reply = make(chan dfufront.Result, 1)
	c.request.Store(uint64(r.event.Request))
	if own := d.arrive(r); own != nil {
		d.offer(own)
	}
	select {
	case <-c.gone:
		// The caller may have left before the machine knew the request.
		d.notify(dfuattempt.CallerGone{Request: r.event.Request})
	case result := <-r.reply:
		return result
	}
	return <-r.reply
}

// finished counts, logs and traces the outcome of a call.
func (d *Duty) finished(call dfufront.Call, began dfuclock.Time, span trace.Span, result dfufront.Result) {
	d.outcomes[result.Outcome].Inc(1)
	took := d.deps.Clock.Now().Sub(began)
	kind := kindName(call.Route)
	reason := cmp.Or(string(result.Reason), "none")
	metrics.GetOrRegisterCounter("entry.requests."+kind+"."+string(result.Outcome)+"."+reason, d.deps.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("entry.attempts."+strconv.Itoa(min(result.Attempts, maxAttemptsCounted)), d.deps.Metrics).Inc(1)
	d.deps.Times.Record("entry.time."+kind+"."+string(result.Outcome), took)
	span.SetAttributes(
		attribute.String("service", string(result.Service)),
		attribute.String("outcome", string(result.Outcome)),
		attribute.String("reason", string(result.Reason)),
		attribute.Int("attempts", result.Attempts),
	)
	span.End()
	message := "request finished"
	if result.Outcome == dfuoutcome.Answered && !result.Answer.BlamesTarget() {
		if call.Route == nil || took <= call.Route.TargetLatency {
			return
		}
		message = "request late"
	}
	fields := []zap.Field{
		zap.String("caller_request", call.CallerRequest),
		zap.Stringer("request_id", result.ID),
		zap.String("service", string(result.Service)),
		zap.String("outcome", string(result.Outcome)),
		zap.String("reason", string(result.Reason)),
		zap.String("detail", result.Detail),
		zap.Int("status", result.Answer.Status),
		zap.String("target", string(result.Target)),
		zap.Int("attempts", result.Attempts),
		zap.Stringer("took", took),
		zap.Stringer("deadline", call.Remaining),
		zap.Stringer("retry_after", result.RetryAfter),
	}
	if table := d.view.Load().Routes(); table != nil {
		fields = append(fields, zap.Uint64("routes_version", uint64(table.Version)))
	}
	d.deps.Log.Info(message, fields...)
}

// maxAttemptsCounted is the number of attempts from which requests are counted
// together.
const maxAttemptsCounted = 9

// kindName names the kind of a route's requests.
func kindName(r *dfuroute.Route) string {
	if r == nil {
		return "unrouted"
	}
	return r.Kind.String()
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

func (d *Duty) finish(a dfuattempt.Finish) {
	r := d.waiting[a.Request]
	if r == nil {
		return
	}
	delete(d.waiting, a.Request)
	result := dfufront.Result{Outcome: a.Outcome, Reason: a.Reason, ID: a.ID, Attempts: a.Attempts, Service: r.call.Service}
	if last := len(r.sent) - 1; last >= 0 && a.Outcome != dfuoutcome.Answered {
		result.ID = r.sent[last]
	}
	if at := d.attempts[a.ID]; at != nil {
		result.Target = at.to.Member.Node
		if at.answer != nil {
			result.Answer = *at.answer
		}
	} else if r.kept != nil && r.kept.id == a.ID {
		result.Target = r.kept.target
		result.Answer = r.kept.answer
	}
	d.release(r)
	result.RetryAfter = d.retryAfter(r, a)
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

func notRun(reason dfuoutcome.Reason, detail string) dfufront.Result {
	return dfufront.Result{Outcome: dfuoutcome.NotRun, Reason: reason, Detail: detail}
}
