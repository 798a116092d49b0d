package dfugate

import (
	"cmp"
	"container/heap"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// Config holds the bounds of a gate.
type Config struct {
	// Limits are in force until the first LimitsChanged.
	Limits Limits
	// VerdictsMax bounds the finished and sealed ids that are remembered.
	VerdictsMax int
	// EntriesMax bounds the entry nodes that are remembered.
	EntriesMax int
	// CrashWindow is how long before the report of a crash a connection to
	// the target may have broken because of it.
	CrashWindow dfuclock.Duration
	Crash       dfucrash.Config
}

// DefaultConfig returns the bounds used by a node.
func DefaultConfig() Config {
	return Config{
		Limits:      Limits{Queue: 64},
		VerdictsMax: 16384,
		EntriesMax:  4096,
		CrashWindow: dfuclock.Second,
		Crash:       dfucrash.DefaultConfig(),
	}
}

// Load is what the gate tells others about its target.
type Load struct {
	InFlight uint16 `json:"in_flight"`
	Queued   uint16 `json:"queued"`
	Slots    uint16 `json:"slots"`
	// ServiceTime is the recent mean time of a run, without queueing.
	ServiceTime dfuclock.Duration `json:"service_time"`
	// Sequence grows with every event, so that a late report is recognized.
	Sequence uint32 `json:"sequence"`
}

// Machine is a gate. It is not safe for concurrent use.
type Machine struct {
	cfg  Config
	self dfuident.Member

	limits  Limits
	rate    rateLimit
	target  target
	service serviceTime
	crash   *dfucrash.Tracker
	lost    []lostRun

	live     map[dfuident.RequestID]*record
	claiming int
	// unwanted holds ids that were refused while their claim was asked for.
	unwanted map[dfuident.RequestID]struct{}
	queue    *queue
	running  []*record
	timers   timers
	ledger   *ledger

	draining bool
	drained  bool
	arrivals uint64
	sequence uint32
	actions  []Action
}

// target is the local target as it announced itself.
type target struct {
	up      bool
	service dfuident.Service
	slots   int
	// warm is how many slots may be used; it grows to slots while a cold
	// target completes requests.
	warm    int
	crashes uint64
}

// lostRun is a run whose connection broke, perhaps in a crash.
type lostRun struct {
	fingerprint dfucrash.Fingerprint
	at          dfuclock.Time
}

// lostMax bounds the lost runs that are remembered.
const lostMax = 64

// state is where a live request stands.
type state uint8

const (
	stateClaiming state = iota
	stateQueued
	stateRunning
)

// record is a live request.
type record struct {
	id          dfuident.RequestID
	service     dfuident.Service
	caller      dfuident.Caller
	class       Class
	key         dfuident.Key
	fingerprint dfucrash.Fingerprint
	idempotent  bool
	deadline    dfuclock.Time
	arrival     uint64

	state   state
	claimed bool
	started dfuclock.Time
	// canceled is the reason for which the target was asked to stop.
	canceled   dfuoutcome.Reason
	queueIndex int
	timerIndex int
}

// New returns a gate without a target.
func New(cfg Config, self dfuident.Member) *Machine {
	m := &Machine{
		cfg:      cfg,
		self:     self,
		limits:   cfg.Limits,
		crash:    dfucrash.New(cfg.Crash),
		live:     make(map[dfuident.RequestID]*record),
		unwanted: make(map[dfuident.RequestID]struct{}),
		queue:    newQueue(),
		ledger:   newLedger(cfg.VerdictsMax, cfg.EntriesMax),
	}
	m.rate.change(0, cfg.Limits.RatePerSecond)
	return m
}

// Step takes an event and returns what is to be done. The actions are valid
// until the next Step.
func (m *Machine) Step(now dfuclock.Time, event Event) []Action {
	m.actions = m.actions[:0]
	m.sequence++
	switch e := event.(type) {
	case Offer:
		m.offer(now, e)
	case Cancel:
		m.cancel(now, e)
	case Seal:
		m.seal(now, e)
	case TargetDone:
		m.targetDone(now, e)
	case TargetFailed:
		m.targetFailed(now, e)
	case TargetAnnounced:
		m.targetAnnounced(e)
	case TargetWithdrawn:
		m.targetWithdrawn()
	case TargetCrashed:
		m.targetCrashed(now)
	case ClaimGranted:
		m.claimGranted(e.ID)
	case ClaimDenied:
		m.claimDenied(e)
	case LimitsChanged:
		m.limits = e.Limits
		m.rate.change(now, e.Limits.RatePerSecond)
	case DrainRequested:
		m.draining = true
		m.flush(dfuoutcome.ReasonDraining)
	case DrainCanceled:
		m.draining, m.drained = false, false
	case FingerprintBanned:
		m.crash.Ban(now, e.Fingerprint, e.For)
	case FingerprintCleared:
		m.crash.Completed(e.Fingerprint)
	case PeerCrashed:
		m.crash.Crashed(now, e.Crash, e.Fingerprints)
	case Tick:
		m.expire(now)
	}
	m.dispatch(now)
	m.checkDrained()
	return m.actions
}

// Next returns when the next Tick is due, if one is.
func (m *Machine) Next() (dfuclock.Time, bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].deadline, true
}

// Load returns the present load.
func (m *Machine) Load() Load {
	return Load{
		InFlight:    uint16(len(m.running)),
		Queued:      uint16(m.waiting()),
		Slots:       uint16(m.slots()),
		ServiceTime: m.service.mean(),
		Sequence:    m.sequence,
	}
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) log(kind LogKind, id dfuident.RequestID) {
	m.emit(Log{Kind: kind, ID: id})
}

// waiting returns how many requests wait for a claim or a slot.
func (m *Machine) waiting() int {
	return m.claiming + m.queue.length
}

// slots returns how many requests may run at once now.
func (m *Machine) slots() int {
	if !m.target.up {
		return 0
	}
	n := min(m.target.slots, m.target.warm)
	if m.limits.Concurrency > 0 {
		n = min(n, m.limits.Concurrency)
	}
	return n
}

func (m *Machine) offer(now dfuclock.Time, o Offer) {
	if !o.To.IsZero() && o.To != m.self {
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
	heap.Push(&m.timers, r)
	if r.idempotent {
		m.enqueue(r)
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
	return &record{
		id:          o.ID,
		service:     o.Service,
		caller:      o.Caller,
		class:       min(o.Class, ClassCount-1),
		key:         o.Key,
		fingerprint: o.Fingerprint,
		idempotent:  o.Idempotent,
		deadline:    now.Add(o.Remaining),
		arrival:     m.arrivals,
	}
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
	}
	if len(m.running)+m.waiting() >= m.slots()+m.limits.Queue {
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
	mean := m.service.mean()
	turns := dfuclock.Duration(m.queue.ahead(r.class) + m.claiming + 1)
	wait := mean * turns / dfuclock.Duration(slots)
	return wait+mean > r.deadline.Sub(now)
}

func (m *Machine) shed(victim, r *record) {
	reason := dfuoutcome.ReasonQueueFull
	if victim.class > r.class {
		reason = dfuoutcome.ReasonClassShed
	}
	m.refuse(victim, dfuoutcome.NotRun, reason)
}

func (m *Machine) enqueue(r *record) {
	r.state = stateQueued
	m.queue.push(r)
}

// dispatch hands waiting requests to the target while slots are free. A
// deadline is checked once more right here, since this process may have been
// paused for any length of time.
func (m *Machine) dispatch(now dfuclock.Time) {
	for len(m.running) < m.slots() {
		suspect := m.suspectRunning(now)
		r := m.queue.pop(func(r *record) bool {
			return !suspect || !m.crash.Suspected(now, r.fingerprint)
		})
		if r == nil {
			return
		}
		switch {
		case !now.Before(r.deadline):
			m.refusePopped(r, dfuoutcome.ReasonDeadline)
		case m.crash.Banned(now, r.fingerprint):
			m.refusePopped(r, dfuoutcome.ReasonCrashSuspect)
		default:
			m.run(now, r)
		}
	}
}

func (m *Machine) suspectRunning(now dfuclock.Time) bool {
	return slices.ContainsFunc(m.running, func(r *record) bool {
		return m.crash.Suspected(now, r.fingerprint)
	})
}

func (m *Machine) run(now dfuclock.Time, r *record) {
	r.state = stateRunning
	r.started = now
	m.running = append(m.running, r)
	m.emit(RunOnTarget{ID: r.id, Remaining: r.deadline.Sub(now)})
}

func (m *Machine) cancel(now dfuclock.Time, c Cancel) {
	r := m.live[c.ID]
	switch {
	case r == nil:
		m.forbid(now, c.ID, c.Reason)
	case r.state == stateRunning:
		m.cancelRunning(r, c.Reason)
	default:
		m.refuse(r, dfuoutcome.NotRun, c.Reason)
	}
}

// forbid makes sure that an id that was not seen so far never runs, and
// returns the verdict on it. Below the floor nothing is known.
func (m *Machine) forbid(now dfuclock.Time, id dfuident.RequestID, reason dfuoutcome.Reason) verdict {
	if v, ok := m.ledger.verdicts[id]; ok {
		return v
	}
	e := m.meet(now, id.Entry)
	if e == nil || id.Sequence < e.floor {
		return verdict{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonStaleRequest}
	}
	v := verdict{outcome: dfuoutcome.NotRun, reason: reason}
	m.decide(id, v)
	return v
}

func (m *Machine) cancelRunning(r *record, reason dfuoutcome.Reason) {
	if r.canceled != dfuoutcome.ReasonNone {
		return
	}
	r.canceled = reason
	m.emit(CancelOnTarget{ID: r.id})
}

func (m *Machine) seal(now dfuclock.Time, e Seal) {
	id := e.ID
	if e.To != m.self {
		m.answerSeal(id, verdict{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonStaleRequest})
		return
	}
	r := m.live[id]
	if r == nil {
		m.answerSeal(id, m.forbid(now, id, dfuoutcome.ReasonSealed))
		return
	}
	if r.state == stateRunning {
		m.emit(SealAnswer{ID: id, State: SealRunning})
		return
	}
	m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonSealed)
	m.emit(SealAnswer{ID: id, State: SealWithdrawn, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonSealed})
}

func (m *Machine) answerSeal(id dfuident.RequestID, v verdict) {
	state := SealFinished
	if v.outcome == dfuoutcome.NotRun {
		state = SealNever
	}
	m.emit(SealAnswer{ID: id, State: state, Outcome: v.outcome, Reason: v.reason})
}

func (m *Machine) claimGranted(id dfuident.RequestID) {
	if _, ok := m.unwanted[id]; ok {
		delete(m.unwanted, id)
		m.emit(ReleaseClaim{ID: id})
		return
	}
	r := m.live[id]
	if r == nil || r.state != stateClaiming {
		m.log(LogStrayClaim, id)
		return
	}
	m.claiming--
	r.claimed = true
	m.enqueue(r)
}

func (m *Machine) claimDenied(e ClaimDenied) {
	r := m.live[e.ID]
	if r == nil || r.state != stateClaiming {
		delete(m.unwanted, e.ID)
		m.log(LogStrayClaim, e.ID)
		return
	}
	m.refuse(r, e.Outcome, e.Reason)
	delete(m.unwanted, e.ID)
}

// disown makes sure that the claim of a request that is refused while it waits
// for the claim is given back, should it be granted.
func (m *Machine) disown(id dfuident.RequestID) {
	if len(m.unwanted) < m.cfg.VerdictsMax {
		m.unwanted[id] = struct{}{}
	}
}

func (m *Machine) expire(now dfuclock.Time) {
	for len(m.timers) > 0 && !now.Before(m.timers[0].deadline) {
		r := m.timers[0]
		if r.state != stateRunning {
			m.refuse(r, dfuoutcome.NotRun, dfuoutcome.ReasonDeadline)
			continue
		}
		heap.Pop(&m.timers)
		m.cancelRunning(r, dfuoutcome.ReasonDeadline)
	}
}

// refuse answers a live request that did not run and takes it off wherever it
// stands.
func (m *Machine) refuse(r *record, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	switch r.state {
	case stateClaiming:
		m.claiming--
		m.disown(r.id)
	case stateQueued:
		m.queue.remove(r)
	case stateRunning:
		m.stopRunning(r)
	}
	m.forget(r, verdict{outcome: outcome, reason: reason, offered: true})
	if r.claimed {
		m.emit(ReleaseClaim{ID: r.id})
	}
	m.emit(Refuse{ID: r.id, Outcome: outcome, Reason: reason})
}

// refusePopped refuses a request that was just taken off the queue.
func (m *Machine) refusePopped(r *record, reason dfuoutcome.Reason) {
	m.forget(r, verdict{outcome: dfuoutcome.NotRun, reason: reason, offered: true})
	if r.claimed {
		m.emit(ReleaseClaim{ID: r.id})
	}
	m.emit(Refuse{ID: r.id, Outcome: dfuoutcome.NotRun, Reason: reason})
}

// complete answers a request that was handed to the target.
func (m *Machine) complete(r *record, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	m.stopRunning(r)
	m.forget(r, verdict{outcome: outcome, reason: reason, offered: true})
	m.emit(Complete{ID: r.id, Outcome: outcome, Reason: reason})
}

func (m *Machine) stopRunning(r *record) {
	i := slices.Index(m.running, r)
	m.running = slices.Delete(m.running, i, i+1)
}

func (m *Machine) forget(r *record, v verdict) {
	delete(m.live, r.id)
	if r.timerIndex >= 0 {
		heap.Remove(&m.timers, r.timerIndex)
	}
	m.decide(r.id, v)
}

func (m *Machine) decide(id dfuident.RequestID, v verdict) {
	if forgotten, ok := m.ledger.keep(id, v); ok {
		m.log(LogForgotten, forgotten)
	}
}

// flush refuses everything that waits.
func (m *Machine) flush(reason dfuoutcome.Reason) {
	var waiting []*record
	for _, r := range m.live {
		if r.state != stateRunning {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *record) int { return cmp.Compare(a.arrival, b.arrival) })
	for _, r := range waiting {
		m.refuse(r, dfuoutcome.NotRun, reason)
	}
}

func (m *Machine) checkDrained() {
	if m.draining && !m.drained && len(m.live) == 0 {
		m.drained = true
		m.emit(Drained{})
	}
}
