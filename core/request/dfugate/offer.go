package dfugate

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

func (m *Machine) offer(now dfuclock.Time, o Offer) {
	if m.former(o.To) {
		m.refuseStale(o.ID)
		return
	}
	if _, ok := m.live[o.ID]; ok {
		m.log(LogDuplicateOffer, o.ID)
		return
	}
	if v, ok := m.ledger.verdicts[o.ID]; ok {
		m.offerDecided(o.ID, v)
		return
	}
	m.bodies.arrived(o.ID)
	e := m.meet(now, o.ID.Entry)
	if e != nil {
		e.settle(o.Settled)
	}
	if e == nil || o.ID.Sequence < e.floor {
		m.refuseStale(o.ID)
		return
	}
	r := m.newRecord(now, o)
	if reason := m.admit(now, r); reason != dfuoutcome.ReasonNone {
		m.decide(r.id, verdict{outcome: dfuoutcome.NotRun, reason: reason, offered: true})
		m.emit(Refuse{ID: r.id, Outcome: dfuoutcome.NotRun, Reason: reason})
		return
	}
	m.live[r.id] = r
	m.timers.Push(r)
	if r.idempotent || o.NoClaim {
		m.enqueueOnceTold(now, r)
		return
	}
	m.claiming++
	m.emit(AskClaim{ID: r.id, Service: r.service, Key: r.key})
}

// refuseStale refuses an offer that may have run before, so that it doesn't run
// again, and swears nothing about it.
func (m *Machine) refuseStale(id dfuident.RequestID) {
	m.emit(Refuse{ID: id, Outcome: dfuoutcome.Unknown, Reason: dfuoutcome.ReasonStaleRequest})
}

// offerDecided answers the first offer of an id that was sealed or canceled
// before it arrived. An id that was answered isn't answered again.
func (m *Machine) offerDecided(id dfuident.RequestID, v verdict) {
	if v.offered {
		m.log(LogDuplicateOffer, id)
		return
	}
	v.offered = true
	m.ledger.verdicts[id] = v
	m.emit(Refuse{ID: id, Outcome: v.outcome, Reason: v.reason})
}

// meet records that an entry node was heard from, and withdraws what a former
// incarnation of it left behind. It returns nil for a former incarnation.
func (m *Machine) meet(now dfuclock.Time, member dfuident.Member) *entry {
	e, standing := m.ledger.meet(now, member)
	if standing == standingNewer {
		m.log(LogNewIncarnation, dfuident.RequestID{Entry: member})
		m.withdrawFormer(member)
	}
	return e
}

func (m *Machine) withdrawFormer(member dfuident.Member) {
	var former []*record
	for id, r := range m.live {
		if id.Entry.Node == member.Node && id.Entry.Incarnation < member.Incarnation {
			former = append(former, r)
		}
	}
	slices.SortFunc(former, func(a, b *record) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, r := range former {
		if r.state != stateRunning {
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonStaleRequest)
		} else if r.idempotent {
			m.cancelRunning(r, dfuoutcome.ReasonStaleRequest)
		}
	}
}

func (m *Machine) newRecord(now dfuclock.Time, o Offer) *record {
	m.arrivals++
	r := &record{
		id:          o.ID,
		service:     o.Service,
		caller:      o.Caller,
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

// admit returns why a request can't wait here, or makes room for it.
func (m *Machine) admit(now dfuclock.Time, r *record) dfuoutcome.Reason {
	switch {
	case !m.target.up || r.service != m.target.service:
		return dfuoutcome.ReasonNoLocalTarget
	case m.draining:
		return dfuoutcome.ReasonDraining
	case !now.Before(r.deadline):
		return dfuoutcome.ReasonDeadline
	case m.crash.Offered(now, r.fingerprint):
		return dfuoutcome.ReasonCrashSuspect
	case !m.rate.allows(now):
		return dfuoutcome.ReasonRateLimited
	case m.tooLate(now, r):
		return dfuoutcome.ReasonDeadlineTooShort
	case m.missesObjective(now, r):
		return dfuoutcome.ReasonObjectiveMissed
	}
	occupied := len(m.running) + m.waiting()
	if r.noWait && occupied >= m.slots() {
		return dfuoutcome.ReasonQueueFull
	}
	if r.noWait && m.pace.fresh(now) && m.pace.slow() {
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

// tooLate reports whether a request would have to wait and would probably not
// be answered in time. One that finds a free slot is always let in, so that a
// wrong mean corrects itself.
func (m *Machine) tooLate(now dfuclock.Time, r *record) bool {
	slots := m.slots()
	if len(m.running)+m.waiting() < slots || slots == 0 {
		return false
	}
	return m.wait(r)+m.runTime(r) > r.deadline.Sub(now)
}

// wait returns the expected time until a request that comes now gets a slot.
func (m *Machine) wait(r *record) dfuclock.Duration {
	turns := dfuclock.Duration(m.queue.ahead(r.class) + m.claiming + len(m.asking) + len(m.bodies.held) + len(m.bodies.expected) + 1)
	return m.service.mean() * turns / dfuclock.Duration(max(m.slots(), 1))
}

func (m *Machine) shed(victim, r *record) {
	reason := dfuoutcome.ReasonQueueFull
	if victim.class > r.class {
		reason = dfuoutcome.ReasonClassShed
	}
	m.refuse(victim, dfuoutcome.NotRun, reason)
}

func (m *Machine) enqueue(r *record) {
	if r.bodyLater {
		m.hold(m.now, r)
		return
	}
	r.state = stateQueued
	m.queue.push(r)
}
