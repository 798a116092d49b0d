package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// Action is an output of a Machine, to be carried out by the caller of Step.
//
//sumtype:decl
type Action interface{ action() }

// SendReason is the reason for an attempt.
type SendReason string

// The reasons for an attempt.
const (
	SendFirst      SendReason = "first"
	SendRefused    SendReason = "refused_before"
	SendNotSent    SendReason = "not_sent_before"
	SendSealed     SendReason = "sealed_before"
	SendLinkLost   SendReason = "link_lost_before"
	SendTargetDied SendReason = "target_died_before"
	SendFailed     SendReason = "target_failed_before"
	SendHedge      SendReason = "hedge"
)

// Send offers the request to a target's gate.
type Send struct {
	ID      dfuident.RequestID
	Request RequestNumber
	To      dfuident.Member
	// Remaining is the time left for the gate to answer.
	Remaining dfuclock.Duration
	// Objective is the time left until the request's objective, or zero if it has
	// none.
	Objective dfuclock.Duration
	// Attempt counts from 1.
	Attempt int
	Reason  SendReason
	// Choice is why this target was chosen; it is empty if the request has an owner.
	// Wait is set if the gate may queue the request when no slot is free.
	Wait   bool
	Choice dfuchoice.ChoiceReason
	// Allowance is the number of extra attempts granted to the downstream node.
	Allowance dfubudget.Allowance
	// Settled is the sequence number below which this node needs no more answers: all
	// attempts below it have ended.
	Settled uint64
}

// SendCancel cancels an attempt.
type SendCancel struct {
	ID dfuident.RequestID
	To dfuident.Member
}

// SendSeal asks the gate for the state of an attempt, on a new link to the same run of
// the same node. Other runs of that node don't know the attempt.
type SendSeal struct {
	ID dfuident.RequestID
	To dfuident.Member
}

// Finish ends a request.
type Finish struct {
	Request RequestNumber
	// ID is the attempt whose answer is returned to the caller, if the outcome is
	// answered.
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// Attempts is the number of attempts sent.
	Attempts int
}

// LogKind is the kind of a Log.
type LogKind string

// The kinds of Log.
const (
	LogLateReply        LogKind = "late_reply"
	LogDuplicateArrival LogKind = "duplicate_arrival"
)

// Log reports an incident to be counted and logged.
type Log struct {
	Kind    LogKind
	ID      dfuident.RequestID
	Request RequestNumber
}

func (Send) action()       {}
func (SendCancel) action() {}
func (SendSeal) action()   {}
func (Finish) action()     {}
func (Log) action()        {}
