package dfuattempt

import (
	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// Action is what the machine wants done.
//
//sumtype:decl
type Action interface{ action() }

// SendReason says why an attempt is made.
type SendReason string

// The reasons of an attempt.
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
	// Remaining is the time that the gate is given.
	Remaining dfuclock.Duration
	// Objective is what is left of the request's objective, or zero.
	Objective dfuclock.Duration
	// Attempt counts from 1.
	Attempt int
	Reason  SendReason
	// Choice is why this target was chosen; it is empty for a fixed owner.
	// Wait says that the gate may let the request wait for a free slot.
	Wait   bool
	Choice dfuchoice.ChoiceReason
	// Allowance is what the level below is granted.
	Allowance dfubudget.Allowance
	Settled   uint64
}

// SendCancel withdraws an attempt.
type SendCancel struct {
	ID dfuident.RequestID
	To dfuident.Member
}

// SendSeal asks the gate what became of an attempt, on a new link to the same
// run of the same node. Another run of that node knows nothing of it.
type SendSeal struct {
	ID dfuident.RequestID
	To dfuident.Member
}

// Finish ends a request.
type Finish struct {
	Request RequestNumber
	// ID is the attempt whose answer to give, if the outcome is answered.
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
	// Attempts is how many were sent.
	Attempts int
}

// LogKind says what a Log is about.
type LogKind string

// The kinds of Log.
const (
	LogLateReply        LogKind = "late_reply"
	LogDuplicateArrival LogKind = "duplicate_arrival"
)

// Log is an incident that is counted and logged.
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
