package dfuattempt

import (
	"container/heap"
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

// Chooser picks targets and learns how attempts end.
type Chooser interface {
	Choose(now dfuclock.Time, q dfuchoice.Query) (dfuchoice.Choice, bool)
	HedgeAfter(q dfuchoice.Query) (dfuclock.Duration, bool)
	Sent(now dfuclock.Time, node dfuident.Member)
	Done(now dfuclock.Time, f dfuchoice.Feedback)
}

// Budget bounds extra attempts to a share of the requests.
type Budget interface {
	// Earn notes a first attempt.
	Earn(service dfuident.Service, caller dfuident.Caller)
	// Take charges an extra attempt and reports whether it may be sent.
	Take(service dfuident.Service, caller dfuident.Caller) bool
}

// Config holds the bounds and waits of a Machine.
type Config struct {
	// RequestsMax bounds the requests that are in progress.
	RequestsMax int
	// ReplyReserve is taken off the time that a gate is given, so that its
	// refusal at the deadline still arrives here as proof.
	ReplyReserve dfuclock.Duration
	// SealWait is the wait before a seal is repeated; it doubles up to
	// SealWaitMax.
	SealWait    dfuclock.Duration
	SealWaitMax dfuclock.Duration
}

// DefaultConfig returns the bounds used by a node.
func DefaultConfig() Config {
	return Config{
		RequestsMax:  8192,
		ReplyReserve: 5 * dfuclock.Millisecond,
		SealWait:     20 * dfuclock.Millisecond,
		SealWaitMax:  dfuclock.Second,
	}
}

// supersedeKey names what a newer request with the same key replaces.
type supersedeKey struct {
	service dfuident.Service
	caller  dfuident.Caller
	key     dfuident.Key
}

// Machine is the entry node's machine. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	self    dfuident.Member
	place   dfuident.Place
	chooser Chooser
	budget  Budget

	requests map[RequestNumber]*request
	byKey    map[supersedeKey]*request
	attempts attempts
	timers   timers
	sequence uint64
	actions  []Action
}

// New returns a machine without requests.
func New(cfg Config, self dfuident.Member, place dfuident.Place, chooser Chooser, budget Budget) *Machine {
	return &Machine{
		cfg:      cfg,
		self:     self,
		place:    place,
		chooser:  chooser,
		budget:   budget,
		requests: make(map[RequestNumber]*request),
		byKey:    make(map[supersedeKey]*request),
		attempts: attempts{byID: make(map[dfuident.RequestID]*attempt)},
		sequence: 1,
	}
}

// Step takes an event and returns what is to be done. The actions are valid
// until the next Step.
func (m *Machine) Step(now dfuclock.Time, event Event) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case Arrived:
		m.arrived(now, e)
	case CallerGone:
		if r := m.requests[e.Request]; r != nil {
			m.abandon(now, r, dfuoutcome.ReasonCanceled)
		}
	case Replied:
		if a := m.find(e.ID); a != nil {
			m.replied(now, a, e)
		}
	case NotSent:
		if a := m.find(e.ID); a != nil {
			m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackLinkFailed})
			m.proven(now, a, SendNotSent, dfuoutcome.ReasonPeerUnreachable)
		}
	case LinkLost:
		if a := m.find(e.ID); a != nil && !a.sealing {
			m.linkLost(now, a)
		}
	case SealReplied:
		if a := m.find(e.ID); a != nil && a.sealing {
			m.sealReplied(now, a, e)
		}
	case SealFailed:
		if a := m.find(e.ID); a != nil && a.sealing {
			m.sealFailed(now, a, e)
		}
	case Tick:
		m.tick(now)
	}
	return m.actions
}

// Next returns when the next Tick is due, if one is.
func (m *Machine) Next() (dfuclock.Time, bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].due, true
}

// Settled returns the sequence below which every attempt is settled.
func (m *Machine) Settled() uint64 {
	if m.attempts.oldest == nil {
		return m.sequence
	}
	return m.attempts.oldest.id.Sequence
}

// Len returns how many requests are in progress.
func (m *Machine) Len() int {
	return len(m.requests)
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

// find returns the live attempt with the id. A reply to any other is dropped.
func (m *Machine) find(id dfuident.RequestID) *attempt {
	a := m.attempts.byID[id]
	if a == nil {
		m.emit(Log{Kind: LogLateReply, ID: id})
	}
	return a
}

func (m *Machine) arrived(now dfuclock.Time, e Arrived) {
	if m.requests[e.Request] != nil {
		m.emit(Log{Kind: LogDuplicateArrival, Request: e.Request})
		return
	}
	if len(m.requests) >= m.cfg.RequestsMax {
		m.emit(Finish{Request: e.Request, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonEntryOverloaded})
		return
	}
	r := &request{
		number:     e.Request,
		service:    e.Service,
		caller:     e.Caller,
		key:        e.Key,
		idempotent: e.Idempotent,
		deadline:   now.Add(e.Remaining),
		body:       e.Body,
		allowance:  e.Allowance,
		owner:      e.Owner,
	}
	r.due = r.deadline
	m.requests[r.number] = r
	heap.Push(&m.timers, r)
	m.supersede(now, r)
	m.budget.Earn(r.service, r.caller)
	if !m.send(now, r, SendFirst) {
		m.finish(now, r, dfuident.RequestID{}, r.unanswered(), r.reason)
		return
	}
	m.planHedge(now, r, e.Hedge)
}

// supersede abandons an older idempotent request with the same key.
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

// planHedge sets the time of a second attempt. The owner of a request that is
// bound to one can't be hedged.
func (m *Machine) planHedge(now dfuclock.Time, r *request, asked bool) {
	if !asked || !r.idempotent || !r.owner.IsZero() {
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

func (m *Machine) schedule(r *request) {
	due := r.nextDue()
	if due != r.due {
		r.due = due
		heap.Fix(&m.timers, r.index)
	}
}

func (m *Machine) query(now dfuclock.Time, r *request) dfuchoice.Query {
	return dfuchoice.Query{
		Service:    r.service,
		From:       m.place,
		Remaining:  r.deadline.Sub(now),
		Idempotent: r.idempotent,
		Body:       r.body,
		Excluded:   r.excluded,
		Attempt:    r.sent,
	}
}

// send makes an attempt and reports whether it did; otherwise r.reason tells
// why not.
func (m *Machine) send(now dfuclock.Time, r *request, reason SendReason) bool {
	remaining := r.deadline.Sub(now) - m.cfg.ReplyReserve
	if remaining <= 0 {
		r.reason = dfuoutcome.ReasonDeadline
		return false
	}
	choice, ok := m.choose(now, r, reason)
	if !ok {
		return false
	}
	r.sent++
	a := &attempt{
		id:       dfuident.RequestID{Entry: m.self, Sequence: m.sequence},
		to:       choice.Member,
		request:  r,
		sent:     now,
		sealWait: m.cfg.SealWait,
	}
	m.sequence++
	m.attempts.add(a)
	r.live = append(r.live, a)
	r.excluded = append(r.excluded, a.to.Node)
	m.chooser.Sent(now, a.to)
	m.emit(Send{
		ID:        a.id,
		Request:   r.number,
		To:        a.to,
		Remaining: remaining,
		Attempt:   r.sent,
		Reason:    reason,
		Choice:    choice.Reason,
		Allowance: r.allowance,
		Settled:   m.Settled(),
	})
	return true
}

// choose picks a target and, for an extra attempt, charges for it.
func (m *Machine) choose(now dfuclock.Time, r *request, reason SendReason) (dfuchoice.Choice, bool) {
	choice := dfuchoice.Choice{Member: r.owner}
	if r.owner.IsZero() {
		var ok bool
		choice, ok = m.chooser.Choose(now, m.query(now, r))
		if !ok {
			r.keepReason(dfuoutcome.ReasonNoTarget)
			return choice, false
		}
	}
	if reason == SendHedge && paid(choice.Reason) {
		return choice, false
	}
	return choice, reason == SendFirst || m.charge(r)
}

// paid reports whether a choice crosses the link between the regions.
func paid(reason dfuchoice.ChoiceReason) bool {
	return reason == dfuchoice.ReasonSpillover || reason == dfuchoice.ReasonFarRegion
}

// charge takes an extra attempt off the allowance and the budget.
func (m *Machine) charge(r *request) bool {
	allowance, ok := r.allowance.Extra(false)
	if !ok || !m.budget.Take(r.service, r.caller) {
		r.keepReason(dfuoutcome.ReasonRetryBudget)
		return false
	}
	r.allowance = allowance
	return true
}

// keepReason sets the reason unless an attempt has already given a better one.
func (r *request) keepReason(reason dfuoutcome.Reason) {
	if r.reason == dfuoutcome.ReasonNone {
		r.reason = reason
	}
}

func (m *Machine) replied(now dfuclock.Time, a *attempt, e Replied) {
	switch e.Outcome {
	case dfuoutcome.Answered:
		kind := dfuchoice.FeedbackAnswered
		if e.TargetError {
			kind = dfuchoice.FeedbackTargetError
		}
		m.report(now, a, dfuchoice.Feedback{Kind: kind, Load: e.Load})
		m.finish(now, a.request, a.id, dfuoutcome.Answered, dfuoutcome.ReasonNone)
	case dfuoutcome.NotRun:
		m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackRefused, Load: e.Load})
		if final(e.Reason) || !a.request.owner.IsZero() {
			m.drop(a)
			m.conclude(now, a.request, e.Reason)
			return
		}
		m.proven(now, a, SendRefused, e.Reason)
	default:
		m.report(now, a, dfuchoice.Feedback{Kind: unknownKind(e.Reason), Load: e.Load})
		if e.RetriedBelow {
			a.request.allowance = 0
		}
		m.ended(now, a, e.Reason)
	}
}

// unknownKind returns what an unknown outcome tells about the target.
func unknownKind(reason dfuoutcome.Reason) dfuchoice.FeedbackKind {
	switch reason {
	case dfuoutcome.ReasonTargetDied, dfuoutcome.ReasonTargetLinkLost:
		return dfuchoice.FeedbackTargetError
	case dfuoutcome.ReasonDeadline, dfuoutcome.ReasonCanceled, dfuoutcome.ReasonSuperseded:
		return dfuchoice.FeedbackCanceled
	default:
		return dfuchoice.FeedbackRefused
	}
}

// final reports whether another target would refuse for the same reason.
func final(reason dfuoutcome.Reason) bool {
	switch reason {
	case dfuoutcome.ReasonCrashSuspect, dfuoutcome.ReasonAlreadyRun, dfuoutcome.ReasonKeyRunning,
		dfuoutcome.ReasonKeyMissing, dfuoutcome.ReasonKeyTooOld, dfuoutcome.ReasonKeyFromFuture,
		dfuoutcome.ReasonNotOwner, dfuoutcome.ReasonNoCopy, dfuoutcome.ReasonOwnerLost,
		dfuoutcome.ReasonDeadline, dfuoutcome.ReasonBadRequest, dfuoutcome.ReasonAnswerTooLarge:
		return true
	default:
		return false
	}
}

// proven drops an attempt that provably never ran and tries elsewhere.
func (m *Machine) proven(now dfuclock.Time, a *attempt, retry SendReason, reason dfuoutcome.Reason) {
	r := a.request
	m.drop(a)
	if !r.unproven {
		r.reason = reason
	}
	if r.mayRepeat() && m.send(now, r, retry) {
		return
	}
	m.conclude(now, r, r.reason)
}

// ended drops an attempt that may have run without an answer.
func (m *Machine) ended(now dfuclock.Time, a *attempt, reason dfuoutcome.Reason) {
	r := a.request
	m.drop(a)
	r.unproven = true
	r.reason = reason
	if r.mayRepeat() && m.send(now, r, SendTargetDied) {
		return
	}
	m.conclude(now, r, r.reason)
}

// conclude finishes a request that has no live attempt left.
func (m *Machine) conclude(now dfuclock.Time, r *request, reason dfuoutcome.Reason) {
	if len(r.live) > 0 {
		m.schedule(r)
		return
	}
	m.finish(now, r, dfuident.RequestID{}, r.unanswered(), reason)
}

func (m *Machine) linkLost(now dfuclock.Time, a *attempt) {
	m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackLinkFailed})
	a.sealing = true
	m.emit(SendSeal{ID: a.id, To: a.to})
	r := a.request
	r.reason = dfuoutcome.ReasonPeerUnreachable
	if r.mayRepeat() {
		m.send(now, r, SendLinkLost)
	}
}

// mayRepeat reports whether another attempt is safe and of use: no attempt has
// a working link, and if the request isn't idempotent, each has provably not
// run and never will.
func (r *request) mayRepeat() bool {
	if !r.idempotent {
		return len(r.live) == 0 && !r.unproven
	}
	return !slices.ContainsFunc(r.live, func(a *attempt) bool { return !a.sealing })
}

func (m *Machine) sealReplied(now dfuclock.Time, a *attempt, e SealReplied) {
	switch e.State {
	case dfugate.SealNever, dfugate.SealWithdrawn:
		m.proven(now, a, SendSealed, dfuoutcome.ReasonPeerUnreachable)
	case dfugate.SealRunning:
		m.sealLater(now, a)
	case dfugate.SealFinished:
		if e.Outcome == dfuoutcome.Answered && e.Answer {
			m.finish(now, a.request, a.id, dfuoutcome.Answered, dfuoutcome.ReasonNone)
			return
		}
		m.ended(now, a, e.Reason)
	}
}

func (m *Machine) sealFailed(now dfuclock.Time, a *attempt, e SealFailed) {
	if e.Gone {
		m.ended(now, a, dfuoutcome.ReasonPeerUnreachable)
		return
	}
	m.sealLater(now, a)
}

func (m *Machine) sealLater(now dfuclock.Time, a *attempt) {
	a.sealAt = now.Add(a.sealWait)
	a.sealWait = min(2*a.sealWait, m.cfg.SealWaitMax)
	m.schedule(a.request)
}

// abandon finishes a request that nobody waits for.
func (m *Machine) abandon(now dfuclock.Time, r *request, reason dfuoutcome.Reason) {
	m.finish(now, r, dfuident.RequestID{}, r.unanswered(), reason)
}

// finish ends a request and cancels what is left of it.
func (m *Machine) finish(now dfuclock.Time, r *request, id dfuident.RequestID, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	m.emit(Finish{Request: r.number, ID: id, Outcome: outcome, Reason: reason, Attempts: r.sent})
	for _, a := range r.live {
		m.attempts.remove(a)
		if outcome == dfuoutcome.Answered && a.id == id {
			continue
		}
		m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackCanceled})
		m.emit(SendCancel{ID: a.id, To: a.to})
	}
	r.live = nil
	heap.Remove(&m.timers, r.index)
	delete(m.requests, r.number)
	if r.idempotent && m.byKey[r.supersedeKey()] == r {
		delete(m.byKey, r.supersedeKey())
	}
}

// drop forgets an attempt that has ended.
func (m *Machine) drop(a *attempt) {
	m.attempts.remove(a)
	r := a.request
	r.live = slices.Delete(r.live, slices.Index(r.live, a), slices.Index(r.live, a)+1)
}

// report tells the chooser how an attempt ended, once.
func (m *Machine) report(now dfuclock.Time, a *attempt, f dfuchoice.Feedback) {
	if a.reported {
		return
	}
	a.reported = true
	f.Node = a.to
	f.Latency = now.Sub(a.sent)
	m.chooser.Done(now, f)
}

func (m *Machine) tick(now dfuclock.Time) {
	for len(m.timers) > 0 && !now.Before(m.timers[0].due) {
		r := m.timers[0]
		if !now.Before(r.deadline) {
			m.abandon(now, r, dfuoutcome.ReasonDeadline)
			continue
		}
		m.sealDue(now, r)
		m.hedgeDue(now, r)
		m.schedule(r)
	}
}

func (m *Machine) sealDue(now dfuclock.Time, r *request) {
	for _, a := range r.live {
		if a.sealAt > 0 && !now.Before(a.sealAt) {
			a.sealAt = 0
			m.emit(SendSeal{ID: a.id, To: a.to})
		}
	}
}

// hedgeDue sends the one extra attempt of a request whose only attempt is
// still waiting for its answer.
func (m *Machine) hedgeDue(now dfuclock.Time, r *request) {
	if !r.hedge || now.Before(r.hedgeAt) {
		return
	}
	r.hedge = false
	if r.sent == 1 && len(r.live) == 1 {
		m.send(now, r, SendHedge)
	}
}
