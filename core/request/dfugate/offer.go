package dfugate

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) offer(now dfuclock.Time, o Offer) {
	if m.sentToOtherRun(o.To) {
		m.refuseStale(o.ID)
		return
	}
	if _, ok := m.live[o.ID]; ok {
		m.log(LogDuplicateOffer, o.ID)
		return
	}
	if v, ok := m.outcomes.byID[o.ID]; ok {
		m.offerWithOutcome(o.ID, v)
		return
	}
	m.bodyWindow.removeBody(o.ID)
	e := m.observeEntryNode(now, o.ID.Entry)
	if e != nil {
		e.settle(o.Settled)
	}
	if e == nil || o.ID.Sequence < e.floor {
		m.refuseStale(o.ID)
		return
	}
	r := m.newRequest(now, o)
	if reason := m.admit(now, r); reason != dfuoutcome.ReasonNone {
		m.storeOutcome(r.id, storedOutcome{outcome: dfuoutcome.NotRun, reason: reason, offered: true})
		m.emit(Refuse{ID: r.id, Outcome: dfuoutcome.NotRun, Reason: reason})
		return
	}
	m.live[r.id] = r
	m.timers.Push(r)
	if r.idempotent || o.NoClaim {
		m.enqueueWhenLoadKnown(now, r)
		return
	}
	m.awaitingClaim++
	m.emit(RequestClaim{ID: r.id, Service: r.service, Key: r.key})
}

// refuseStale refuses, with the outcome unknown, an offer that may have run before, so that
// it doesn't run again.
func (m *Machine) refuseStale(id dfuident.RequestID) {
	m.emit(Refuse{ID: id, Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonStaleRequest})
}

// offerWithOutcome answers the first offer of an ID that was sealed or canceled before the
// offer arrived. Later offers are only logged.
func (m *Machine) offerWithOutcome(id dfuident.RequestID, v storedOutcome) {
	if v.offered {
		m.log(LogDuplicateOffer, id)
		return
	}
	v.offered = true
	m.outcomes.byID[id] = v
	m.emit(Refuse{ID: id, Outcome: v.outcome, Reason: v.reason})
}

// observeEntryNode records a message from an entry node. If the node has a new incarnation,
// it withdraws the requests of the previous ones. It returns nil for a stale incarnation.
func (m *Machine) observeEntryNode(now dfuclock.Time, member dfuident.Member) *entryNode {
	e, status := m.outcomes.observeEntryNode(now, member)
	if status == incarnationNewer {
		m.log(LogNewIncarnation, dfuident.RequestID{Entry: member})
		m.withdrawPreviousRun(member)
	}
	return e
}

func (m *Machine) withdrawPreviousRun(member dfuident.Member) {
	var previous []*request
	for id, r := range m.live {
		if id.Entry.Node == member.Node && id.Entry.Incarnation < member.Incarnation {
			previous = append(previous, r)
		}
	}
	slices.SortFunc(previous, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, r := range previous {
		if r.state != stateRunning {
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonStaleRequest)
		} else if r.idempotent {
			m.cancelRunning(r, dfuoutcome.ReasonStaleRequest)
		}
	}
}

func (m *Machine) newRequest(now dfuclock.Time, o Offer) *request {
	m.arrivals++
	r := &request{
		id:          o.ID,
		service:     o.Service,
		flow:        flowOf(o),
		weight:      o.Weight,
		class:       min(o.Class, ClassCount-1),
		key:         o.Key,
		fingerprint: o.Fingerprint,
		kind:        o.Kind,
		idempotent:  o.Idempotent,
		noWait:      o.NoWait,
		nested:      o.Nested,
		bodyLater:   o.BodyLater,
		bytes:       o.Bytes,
		deadline:    now.Add(o.Remaining),
		arrival:     m.arrivals,
	}
	if o.Objective > 0 {
		r.objective = now.Add(o.Objective)
	}
	return r
}

// admit returns the reason to refuse a request, or ReasonNone. It may shed a queued request
// to make room.
func (m *Machine) admit(now dfuclock.Time, r *request) dfuoutcome.Reason {
	switch {
	case !m.target.up || r.service != m.target.service:
		return dfuoutcome.ReasonNoLocalTarget
	case m.evacuated != dfuoutcome.ReasonNone:
		return m.evacuated
	case m.draining, !m.stop.Admits(now, r.deadline.Sub(now)):
		return dfuoutcome.ReasonDraining
	case !now.Before(r.deadline):
		return dfuoutcome.ReasonDeadline
	case m.crash.CountOffer(now, r.fingerprint):
		return dfuoutcome.ReasonCrashSuspect
	case !m.rate.allows(now):
		return dfuoutcome.ReasonRateLimited
	case m.limitRefusal(now, r) != dfuoutcome.ReasonNone:
		return m.limitRefusal(now, r)
	case m.wouldMissDeadline(now, r):
		return dfuoutcome.ReasonDeadlineTooShort
	case m.wouldMissObjective(now, r):
		return dfuoutcome.ReasonObjectiveMissed
	}
	occupied := len(m.running) + m.waiting()
	if r.noWait && occupied >= m.slots() {
		return dfuoutcome.ReasonQueueFull
	}
	if r.noWait && m.slowdown.fresh(now) && m.slowdown.slow() {
		return dfuoutcome.ReasonTargetSlow
	}
	if occupied >= m.slots()+m.limits.Queue {
		victim := m.queue.victim(r)
		if victim == nil {
			return dfuoutcome.ReasonQueueFull
		}
		m.shed(victim, r)
	}
	m.rate.take()
	return dfuoutcome.ReasonNone
}

// wouldMissDeadline reports whether a request would have to queue and would probably miss
// its deadline. A request that finds a free slot is always admitted, so that a wrong run
// time estimate is corrected.
func (m *Machine) wouldMissDeadline(now dfuclock.Time, r *request) bool {
	slots := m.slots()
	if len(m.running)+m.waiting() < slots || slots == 0 {
		return false
	}
	return m.expectedWait(r)+m.expectedRunTime(r) > r.deadline.Sub(now)
}

// expectedWait returns the expected time until a newly arrived request gets a slot.
func (m *Machine) expectedWait(r *request) dfuclock.Duration {
	position := dfuclock.Duration(m.aheadOf(r) + 1)
	return m.meanServiceTime.mean() * position / dfuclock.Duration(max(m.slots(), 1))
}

// ahead returns the number of waiting requests that may run before a newly arrived one of
// a class.
func (m *Machine) ahead(class Class) int {
	return m.queue.ahead(class) + m.awaitingClaim + len(m.awaitingLoad) + len(m.bodyWindow.pending) + len(m.bodyWindow.inFlight)
}

// aheadOf returns the number of waiting requests that probably run before a newly arrived
// one.
func (m *Machine) aheadOf(r *request) int {
	if r.flow.workspace == "" {
		return m.ahead(r.class)
	}
	return m.ahead(r.class) - m.queue.classes[r.class].length + m.queue.classes[r.class].aheadOf(r)
}

func (m *Machine) shed(victim, r *request) {
	reason := dfuoutcome.ReasonQueueFull
	if victim.class > r.class {
		reason = dfuoutcome.ReasonClassShed
	}
	m.refuse(victim, dfuoutcome.NotRun, reason)
}

func (m *Machine) enqueue(r *request) {
	if r.bodyLater {
		m.awaitBody(m.now, r)
		return
	}
	r.state = stateQueued
	m.queue.push(r)
}
