package dfudispatch

import (
	"strconv"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/connection/dfufront"
)

// route sets the service, route and time limits of a call that names no service,
// from the current route table. The choice holds for all attempts of the call. It
// returns a result if the call can't be routed.
func (d *Dispatcher) route(call *dfufront.Call) *dfufront.Result {
	if call.Service != "" {
		return nil
	}
	table := d.view.Load().Routes()
	if table == nil {
		return refusedResult(dfuoutcome.ReasonNoCatalogue, "this node has no routes yet")
	}
	call.Routes = table
	path, _, _ := strings.Cut(call.URI, "?")
	r, ok := table.Match(call.Host, path)
	switch {
	case !ok:
		return refusedResult(dfuoutcome.ReasonNoRoute, "no route for host "+strconv.Quote(call.Host)+" matches the path")
	case r.Unreadable:
		return refusedResult(dfuoutcome.ReasonUnreadableRoute, "this version can't read route "+strconv.Quote(r.Name))
	case table.Limits.BodyBytes > 0 && dfuident.Bytes(len(call.Body)) > table.Limits.BodyBytes:
		return refusedResult(dfuoutcome.ReasonBodyTooLarge, "the route table allows "+strconv.FormatInt(int64(table.Limits.BodyBytes), 10)+" bytes")
	}
	if refused := d.authorize(call, table, r); refused != nil {
		return refused
	}
	call.Service = r.Pick(d.deps.Rand())
	call.Route = r
	call.Waited = d.callerWait(*call)
	call.Remaining = min(call.Remaining, r.Timeout)
	return d.setHomes(table, call)
}

// callerWait estimates how long the caller has been waiting, including earlier
// tries, from its remaining time and the longest recent deadline on the route. It
// returns zero for a nested call, which has the deadline of its parent request and
// allows no such estimate.
func (d *Dispatcher) callerWait(call dfufront.Call) dfuclock.Duration {
	if call.ParentRequest != "" {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deadlines.EstimateWaited(d.deps.Clock.Now(), call.Route.Name, call.Remaining)
}

// replyTransitReserve is the part of the target latency that is reserved for the
// transit of the answer to the caller.
const replyTransitReserve = 10 * dfuclock.Millisecond

// objective returns the time left to answer a call within its route's target
// latency. If the target latency has already passed it returns the minimum of
// 1 ms, so that the call can use a free slot but displaces no other request from a
// queue.
func objective(call dfufront.Call) dfuclock.Duration {
	return max(dfuclock.Millisecond, call.Route.TargetLatency-replyTransitReserve-call.Waited)
}

// admit checks a call against the catalogue. It returns the request to pass to the
// machine, or a result if the call is refused.
func (d *Dispatcher) admit(call dfufront.Call) (*request, *dfufront.Result) {
	view := d.view.Load()
	entry, _, ok := view.Entry(call.Service)
	switch {
	case !ok && len(view.Services()) == 0:
		return nil, refusedResult(dfuoutcome.ReasonNoCatalogue, "this node has no catalogue yet")
	case !ok:
		return nil, refusedResult(dfuoutcome.ReasonUnknownService, "the catalogue has no service "+strconv.Quote(string(call.Service)))
	case dfuident.Bytes(len(call.Body)) > entry.Limits.BodyBytes:
		return nil, refusedResult(dfuoutcome.ReasonBodyTooLarge, "the catalogue allows "+strconv.FormatInt(int64(entry.Limits.BodyBytes), 10)+" bytes")
	case entry.NonIdempotent && call.Key == "":
		return nil, refusedResult(dfuoutcome.ReasonKeyMissing, "the service is non-idempotent: send Idempotency-Key")
	}
	call.Remaining = min(call.Remaining, entry.Limits.Deadline)
	r := &request{call: call, event: d.arrivedEvent(call, entry)}
	if d.isNested(call) {
		r.event.Nested = true
		r.event.Class = 0
		r.event.Objective = 0
		r.event.HedgeLate = false
	}
	if !entry.NonIdempotent {
		r.noClaim = !r.event.Idempotent
		return r, nil
	}
	owner, ok := d.deps.OwnerLookup.Owner(view, call.Service, call.Key)
	if !ok {
		return nil, refusedResult(dfuoutcome.ReasonNotOwner, "no node owns the key's shard yet")
	}
	r.event.Owner = owner
	return r, nil
}

// arrivedEvent returns the machine's event for a new call.
func (d *Dispatcher) arrivedEvent(call dfufront.Call, entry dfucatalogue.Entry) dfuattempt.Arrived {
	event := dfuattempt.Arrived{
		Request:    dfuattempt.RequestNumber(d.lastRequest.Add(1)),
		Service:    call.Service,
		Caller:     call.Caller,
		Class:      gateClass(entry.Class),
		Key:        call.Key,
		Idempotent: !entry.NonIdempotent,
		Remaining:  call.Remaining,
		Body:       dfuident.Bytes(len(call.Body)),
		Homes:      call.Homes,
		Allowance:  clampAllowance(call.Allowance),
		Hedge:      entry.Retry.Hedge && !entry.NonIdempotent,
	}
	if r := call.Route; r != nil {
		event.Class = dfugate.Class(min(max(call.Priority, 0), dfugate.ClassCount-1))
		event.Objective = objective(call)
		event.Idempotent = event.Idempotent && dfuroute.IsRepeatable(r.Kind)
		event.Targets = r.Attempts
		event.Kind = requestKind(r)
		event.HedgeLate = event.Idempotent
		event.Key = ""
	}
	return event
}

func refusedResult(reason dfuoutcome.Reason, detail string) *dfufront.Result {
	result := notRunResult(reason, detail)
	return &result
}
