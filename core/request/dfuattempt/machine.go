package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
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
	// Earn notes a first attempt; nested says that a running request waits for
	// it.
	Earn(now dfuclock.Time, service dfuident.Service, caller dfuident.Caller, nested bool)
	// Take charges an extra attempt and reports whether it may be sent.
	Take(now dfuclock.Time, service dfuident.Service, caller dfuident.Caller) bool
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
	// UnsentFree says that the budget is for what reaches targets alone, so that
	// an attempt after one that never left this node is not charged.
	UnsentFree bool
	// RetryErrors lets an idempotent request that a target answered with an
	// error be tried at another one. The first error is the answer if no other
	// attempt brings a better one.
	RetryErrors bool
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
	if m.timers.Len() == 0 {
		return 0, false
	}
	return m.timers.First().due, true
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
