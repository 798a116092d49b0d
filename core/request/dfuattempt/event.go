package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

// RequestNumber identifies a request within one run of an entry node.
type RequestNumber uint64

// Event is an input of a Machine.
//
//sumtype:decl
type Event interface{ event() }

// Arrived reports a new request of a caller.
type Arrived struct {
	Request RequestNumber
	Service dfuident.Service
	Caller  dfuident.Caller
	Class   dfugate.Class
	Kind    dfuident.Kind
	// Nested is set if a running request waits for the result of this one.
	Nested     bool
	Key        dfuident.Key
	Idempotent bool
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
	// Objective is the time left until an answer loses value, or zero if the
	// request has no objective.
	Objective dfuclock.Duration
	// Body is the size of the request body.
	Body dfuident.Bytes
	// Homes are the regions in which the request may run. It is empty if any may.
	Homes []dfuident.Region
	// Allowance is the number of extra attempts granted by the upstream node.
	Allowance dfubudget.Allowance
	// Owner is the only target that may run the request; zero means any.
	Owner dfuident.Member
	// Hedge requests a second attempt if the first is slow.
	Hedge bool
	// HedgeLate allows a second attempt if the first is expected to miss the objective,
	// within Config.HedgeRatio.
	HedgeLate bool
	// Targets is the maximum number of targets that the request may be handed to; zero
	// means that only the budget limits it.
	Targets int
	// RefusedBy lists the nodes whose targets refused the request before. They are not
	// chosen.
	RefusedBy []dfuident.NodeID
}

// CallerGone reports that the caller no longer waits for the request.
type CallerGone struct {
	Request RequestNumber
}

// Replied is the gate's answer to an offer.
type Replied struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// TargetError is set if the target's answer is an error.
	TargetError bool
	// RetriedBelow is set if an extra attempt was made downstream.
	RetriedBelow bool
	// Load is the load of the target, or nil if the reply doesn't contain it.
	Load *dfuchoice.Load
	// Answer is the size of the target's answer.
	Answer dfuident.Bytes
}

// NotSent reports that no byte of the attempt was sent or will be.
type NotSent struct {
	ID dfuident.RequestID
}

// LinkLost reports that the link on which the attempt was sent is broken or no longer
// responds.
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
	// Answer is set if the reply contains the complete answer.
	Answer bool
}

// SealFailed reports that a seal was not answered.
type SealFailed struct {
	ID dfuident.RequestID
	// Gone is set if the run of the node that received the attempt has ended, so that
	// no seal will ever be answered.
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
