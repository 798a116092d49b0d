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

// route chooses the service of a call that names none, by the table of routes
// in force. The choice holds for all attempts of the call.
func (d *Duty) route(call *dfufront.Call) *dfufront.Result {
	if call.Service != "" {
		return nil
	}
	table := d.view.Load().Routes()
	if table == nil {
		return refused(dfuoutcome.ReasonNoCatalogue, "this node has no routes yet")
	}
	path, _, _ := strings.Cut(call.URI, "?")
	r, ok := table.Match(call.Host, path)
	switch {
	case !ok:
		return refused(dfuoutcome.ReasonNoRoute, "no route of host "+strconv.Quote(call.Host)+" begins the path")
	case table.Limits.BodyBytes > 0 && dfuident.Bytes(len(call.Body)) > table.Limits.BodyBytes:
		return refused(dfuoutcome.ReasonBodyTooLarge, "the routes allow "+strconv.FormatInt(int64(table.Limits.BodyBytes), 10)+" bytes")
	}
	call.Service = r.Pick(d.deps.Rand())
	call.Route = r
	call.Waited = d.waited(*call)
	call.Remaining = min(call.Remaining, r.Timeout)
	return nil
}

// waited returns for how long the caller of a call has probably been waiting. What a
// running request waits for has that one's deadline, which says nothing.
func (d *Duty) waited(call dfufront.Call) dfuclock.Duration {
	if call.ParentRequest != "" {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deadlines.Waited(d.deps.Clock.Now(), call.Route.Name, call.Remaining)
}

// objectiveReserve is taken off the target latency for the way of the answer to the
// caller.
const objectiveReserve = 10 * dfuclock.Millisecond

// objective returns the time within which a call is to be answered. One whose caller
// has been waiting for too long already has next to none, so that it takes a free
// slot but nobody's place in a queue.
func objective(call dfufront.Call) dfuclock.Duration {
	return max(dfuclock.Millisecond, call.Route.TargetLatency-objectiveReserve-call.Waited)
}

// admit checks a call against the catalogue and returns the request that the
// machine is given.
func (d *Duty) admit(call dfufront.Call) (*request, *dfufront.Result) {
	view := d.view.Load()
	entry, _, ok := view.Entry(call.Service)
	switch {
	case !ok && len(view.Services()) == 0:
		return nil, refused(dfuoutcome.ReasonNoCatalogue, "this node has no catalogue yet")
	case !ok:
		return nil, refused(dfuoutcome.ReasonUnknownService, "the catalogue has no service "+strconv.Quote(string(call.Service)))
	case dfuident.Bytes(len(call.Body)) > entry.Limits.BodyBytes:
		return nil, refused(dfuoutcome.ReasonBodyTooLarge, "the catalogue allows "+strconv.FormatInt(int64(entry.Limits.BodyBytes), 10)+" bytes")
	case entry.NonIdempotent && call.Key == "":
		return nil, refused(dfuoutcome.ReasonKeyMissing, "the service is non-idempotent: send Idempotency-Key")
	}
	call.Remaining = min(call.Remaining, entry.Limits.Deadline)
	r := &request{call: call, event: d.arrival(call, entry)}
	if call.ParentRequest != "" && d.deps.Runs(call.ParentRequest) {
		r.event.Nested = true
		r.event.Class = 0
		r.event.Objective = 0
	}
	if !entry.NonIdempotent {
		r.noClaim = !r.event.Idempotent
		return r, nil
	}
	owner, ok := d.deps.Owners.Owner(view, call.Service, call.Key)
	if !ok {
		return nil, refused(dfuoutcome.ReasonNotOwner, "no node owns the key's shard yet")
	}
	r.event.Owner = owner
	return r, nil
}

// arrival returns the event that tells the machine of a call.
func (d *Duty) arrival(call dfufront.Call, entry dfucatalogue.Entry) dfuattempt.Arrived {
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
	if r := call.Route; r != nil {
		event.Class = dfugate.Class(min(max(r.Priority, 0), dfugate.ClassCount-1))
		event.Objective = objective(call)
		event.Idempotent = event.Idempotent && dfuroute.Repeats(r.Kind)
		event.Targets = r.Attempts
		event.Kind = kind(r)
		event.Key = ""
	}
	return event
}

func refused(reason dfuoutcome.Reason, detail string) *dfufront.Result {
	result := notRun(reason, detail)
	return &result
}
