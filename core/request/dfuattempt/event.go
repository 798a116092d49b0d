package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

// RequestNumber names a request within one entry node's run.
type RequestNumber uint64

// Event is what happens at an entry node.
//
//sumtype:decl
type Event interface{ event() }

// Arrived is a caller's request.
type Arrived struct {
	Request RequestNumber
	Service dfuident.Service
	Caller  dfuident.Caller
	Class   dfugate.Class
	Kind    dfuident.Kind
	// Nested says that a request which is running waits for this one.
	Nested     bool
	Key        dfuident.Key
	Idempotent bool
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
	// Objective is the time left within which an answer is worth most; zero if
	// there is none.
	Objective dfuclock.Duration
	// Body is the size of the request and of its expected answer.
	Body dfuident.Bytes
	// Allowance is how many extra attempts the level above grants.
	Allowance dfubudget.Allowance
	// Owner is the only target that may run the request; zero means any.
	Owner dfuident.Member
	// Hedge asks for a second attempt if the first is slow.
	Hedge bool
	// Targets is the most targets that the request may be handed to; zero means
	// that only the budget bounds them.
	Targets int
}

// CallerGone reports that nobody waits for the request any more.
type CallerGone struct {
	Request RequestNumber
}

// Replied is the gate's answer to an offer.
type Replied struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// TargetError tells that the target's answer is an error.
	TargetError bool
	// RetriedBelow tells that an extra attempt was made further down.
	RetriedBelow bool
	// Load is nil if the answer carried none.
	Load *dfuchoice.Load
	// Answer is the size of the target's answer.
	Answer dfuident.Bytes
}

// NotSent reports that no byte of the attempt left this node, nor will.
type NotSent struct {
	ID dfuident.RequestID
}

// LinkLost reports that the link on which the attempt went is broken or
// silent.
type LinkLost struct {
	ID dfuident.RequestID
}

// SealReplied is the gate's answer to a seal.
type SealReplied struct {
	ID    dfuident.RequestID
	State dfugate.SealState
	// Outcome and Reason are those of a finished attempt.
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// Answer tells that the whole answer came along.
	Answer bool
}

// SealFailed reports that a seal got no answer.
type SealFailed struct {
	ID dfuident.RequestID
	// Gone tells that the run of the node that took the attempt is over, so
	// that no seal will ever be answered.
	Gone bool
}

// Tick reports that time has passed.
type Tick struct{}

func (Arrived) event()     {}
func (CallerGone) event()  {}
func (Replied) event()     {}
func (NotSent) event()     {}
func (LinkLost) event()    {}
func (SealReplied) event() {}
func (SealFailed) event()  {}
func (Tick) event()        {}
