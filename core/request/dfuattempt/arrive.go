package dfuattempt

import (
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) arrived(now dfuclock.Time, e Arrived) {
	if m.requests[e.Request] != nil {
		m.emit(Log{Kind: LogDuplicateArrival, Request: e.Request})
		return
	}
	if len(m.requests) >= m.cfg.RequestsMax {
		m.emit(Finish{Request: e.Request, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonEntryOverloaded})
		return
	}
	r := m.newRequest(now, e)
	r.due = r.deadline
	m.requests[r.number] = r
	m.timers.Push(r)
	m.supersede(now, r)
	m.budget.Credit(now, r.service, r.caller, r.nested)
	if !m.send(now, r, SendFirst) {
		m.finish(now, r, dfuident.RequestID{}, r.outcomeWithoutAnswer(), r.reason)
		return
	}
	m.scheduleHedge(now, r, e.Hedge)
}

// newRequest returns the request of an event.
func (m *Machine) newRequest(now dfuclock.Time, e Arrived) *request {
	r := &request{
		number:     e.Request,
		service:    e.Service,
		caller:     e.Caller,
		kind:       e.Kind,
		class:      e.Class,
		nested:     e.Nested,
		key:        e.Key,
		idempotent: e.Idempotent,
		deadline:   now.Add(e.Remaining),
		body:       e.Body,
		homes:      e.Homes,
		allowance:  e.Allowance,
		owner:      e.Owner,
		targets:    e.Targets,
		excluded:   slices.Clone(e.RefusedBy),
		late:       e.HedgeLate && e.Idempotent && e.Objective > 0 && e.Owner.IsZero() && m.cfg.HedgeRatio > 0,
	}
	if len(e.RefusedBy) > 0 {
		r.reason = dfuoutcome.ReasonTargetRefused
	}
	if e.Objective > 0 {
		r.objective = now.Add(e.Objective)
	}
	return r
}

// Preview returns the target to which the first attempt of a request would be sent now, and
// the query that selects it. It sends nothing and changes no count. It returns false if there
// is none.
func (m *Machine) Preview(now dfuclock.Time, e Arrived) (dfuchoice.Choice, dfuchoice.Query, bool) {
	r := m.newRequest(now, e)
	q := m.query(now, r)
	if !r.owner.IsZero() {
		return dfuchoice.Choice{Member: r.owner, Wait: true}, q, true
	}
	choice, ok := m.chooser.Choose(now, q)
	return choice, q, ok
}

// supersede abandons an earlier request with the same key if r is idempotent.
func (m *Machine) supersede(now dfuclock.Time, r *request) {
	if !r.idempotent || r.key == "" {
		return
	}
	if older := m.byKey[r.supersedeKey()]; older != nil {
		m.abandon(now, older, dfuoutcome.ReasonSuperseded)
	}
	m.byKey[r.supersedeKey()] = r
}

func (r *request) supersedeKey() supersedeKey {
	return supersedeKey{service: r.service, caller: r.caller, key: r.key}
}

// scheduleHedge sets the time of a hedge, if one was requested and is possible. A request
// with an owner can't be hedged, since no other target may run it.
func (m *Machine) scheduleHedge(now dfuclock.Time, r *request, requested bool) {
	if !requested || !r.idempotent || !r.owner.IsZero() {
		return
	}
	wait, ok := m.chooser.HedgeAfter(m.query(now, r))
	if !ok {
		return
	}
	r.hedge = true
	r.hedgeAt = now.Add(wait)
	m.schedule(r)
}
