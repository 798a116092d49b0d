package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// Chooser selects targets and receives feedback on attempts.
type Chooser interface {
	// Choose selects a target, or returns false if there is none.
	Choose(now dfuclock.Time, q dfuchoice.Query) (dfuchoice.Choice, bool)
	// HedgeAfter returns the time after which to send a hedge, or false for none.
	HedgeAfter(q dfuchoice.Query) (dfuclock.Duration, bool)
	// LateHedgeAfter returns the time after which a request that is still unanswered is
	// worth a hedge if hedges are limited to the share of the requests, or false if no
	// hedge is expected to help.
	LateHedgeAfter(now dfuclock.Time, q dfuchoice.Query, share float64) (dfuclock.Duration, bool)
	// RecordSent records an attempt at a node.
	RecordSent(now dfuclock.Time, node dfuident.Member)
	// RecordOutcome records the end of an attempt.
	RecordOutcome(now dfuclock.Time, f dfuchoice.Feedback)
}

// Budget limits extra attempts to a share of the requests.
type Budget interface {
	// Credit records a first attempt. nested is set if a running request waits
	// for its result.
	Credit(now dfuclock.Time, service dfuident.Service, caller dfuident.Caller, nested bool)
	// Take charges an extra attempt and reports whether it may be sent.
	Take(now dfuclock.Time, service dfuident.Service, caller dfuident.Caller) bool
	// TakeHedge is like Take for a hedge that is limited by Config.HedgeRatio.
	TakeHedge(now dfuclock.Time, service dfuident.Service, caller dfuident.Caller) bool
}

// Config holds the limits and wait times of a Machine.
type Config struct {
	// RequestsMax is the maximum number of requests in progress.
	RequestsMax int
	// ReplyReserve is subtracted from the time that a gate gets, so that its refusal
	// at the deadline still arrives in time to prove that the request did not run.
	ReplyReserve dfuclock.Duration
	// SealWait is the wait before a seal is repeated. It doubles with each repetition
	// up to SealWaitMax.
	SealWait    dfuclock.Duration
	SealWaitMax dfuclock.Duration
	// UnsentFree limits the budget to attempts that may reach a target: a retry after
	// an attempt that was never sent isn't charged.
	UnsentFree bool
	// RetryErrors makes the machine retry an idempotent request at another target if a
	// target answers with an error. The first error is the answer if no other attempt
	// succeeds.
	RetryErrors bool
	// HedgeRatio is the maximum share of hedges among the requests of a service that have
	// an objective. Zero means none. It doesn't apply to Arrived.Hedge.
	HedgeRatio float64
}

// DefaultConfig returns the configuration used by a node.
func DefaultConfig() Config {
	return Config{
		RequestsMax:  8192,
		ReplyReserve: 5 * dfuclock.Millisecond,
		SealWait:     20 * dfuclock.Millisecond,
		SealWaitMax:  dfuclock.Second,
	}
}

// supersedeKey identifies idempotent requests of which a newer one replaces the older.
type supersedeKey struct {
	service dfuident.Service
	caller  dfuident.Caller
	key     dfuident.Key
}

// Machine is the request state machine of an entry node. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	self    dfuident.Member
	place   dfuident.Place
	chooser Chooser
	budget  Budget

	requests map[RequestNumber]*request
	byKey    map[supersedeKey]*request
	attempts attempts
	timers   *dfuheap.Heap[*request]
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
		timers:   newTimers(),
		sequence: 1,
	}
}

// Step processes an event and returns the resulting actions. The returned slice is valid
// until the next call.
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
		if a := m.findLive(e.ID); a != nil {
			m.replied(now, a, e)
		}
	case NotSent:
		if a := m.findLive(e.ID); a != nil {
			m.report(now, a, dfuchoice.Feedback{Kind: dfuchoice.FeedbackLinkFailed})
			m.attemptNotRun(now, a, SendNotSent, dfuoutcome.ReasonPeerUnreachable)
		}
	case LinkLost:
		if a := m.findLive(e.ID); a != nil && !a.sealing {
			m.linkLost(now, a)
		}
	case SealReplied:
		if a := m.findLive(e.ID); a != nil && a.sealing {
			m.sealReplied(now, a, e)
		}
	case SealFailed:
		if a := m.findLive(e.ID); a != nil && a.sealing {
			m.sealFailed(now, a, e)
		}
	case Tick:
		m.tick(now)
	}
	return m.actions
}

// Next returns the time of the next Tick, or false if none is needed.
func (m *Machine) Next() (dfuclock.Time, bool) {
	if m.timers.Len() == 0 {
		return 0, false
	}
	return m.timers.Peek().due, true
}

// Settled returns the sequence number below which this node needs no more answers: all
// attempts below it have ended.
func (m *Machine) Settled() uint64 {
	if m.attempts.oldest == nil {
		return m.sequence
	}
	return m.attempts.oldest.id.Sequence
}

// Len returns the number of requests in progress.
func (m *Machine) Len() int {
	return len(m.requests)
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

// findLive returns the live attempt with the ID. For any other ID it logs a late reply and
// returns nil.
func (m *Machine) findLive(id dfuident.RequestID) *attempt {
	a := m.attempts.byID[id]
	if a == nil {
		m.emit(Log{Kind: LogLateReply, ID: id})
	}
	return a
}
