package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// Action is what a gate wants done.
//
//sumtype:decl
type Action interface{ action() }

// RunOnTarget hands a request to the target.
type RunOnTarget struct {
	ID        dfuident.RequestID
	Remaining dfuclock.Duration
}

// CancelOnTarget asks the target to stop a request. The gate still expects the
// report on it, unless the target crashed.
type CancelOnTarget struct {
	ID dfuident.RequestID
}

// AskTarget asks the target for its load. The gate expects a TargetTold or a
// TargetSilent.
type AskTarget struct{}

// AskBody asks for the body of a request that was offered without it. The gate knows
// nothing of the request any more until it is offered again, whole.
type AskBody struct {
	ID dfuident.RequestID
}

// AskClaim asks whether a non-idempotent request may run.
type AskClaim struct {
	ID      dfuident.RequestID
	Service dfuident.Service
	Key     dfuident.Key
}

// ReleaseClaim gives back the claim of a request that did not run. It may come
// after the Refuse, if the claim is granted only then.
type ReleaseClaim struct {
	ID      dfuident.RequestID
	Service dfuident.Service
	Key     dfuident.Key
}

// Refuse answers an offer that was not run, or that the gate can't run because
// it no longer knows whether it did, which the outcome unknown tells.
type Refuse struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// Complete answers an offer that was handed to the target. With the outcome
// answered the caller of Step sends the target's answer.
type Complete struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// SealState is what a gate knows about a sealed request.
type SealState string

// The states of a sealed request.
const (
	// SealNever swears that the request did not run and never will.
	SealNever SealState = "never"
	// SealWithdrawn swears the same of a request that was waiting until now.
	SealWithdrawn SealState = "queued_withdrawn"
	// SealRunning tells that the target has the request.
	SealRunning SealState = "running"
	// SealFinished tells that the request ran, or that the gate has forgotten
	// whether it did, in which case the outcome is unknown.
	SealFinished SealState = "finished"
)

// SealAnswer answers a Seal. The outcome and the reason are those of the
// Complete of a finished request, whose answer is sent along if it is kept.
type SealAnswer struct {
	ID      dfuident.RequestID
	State   SealState
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// Drained tells that nothing is running and that the target may stop.
type Drained struct{}

// BanFingerprint is to be told to the peers.
type BanFingerprint struct {
	Fingerprint dfucrash.Fingerprint
	For         dfuclock.Duration
}

// ClearFingerprint is to be told to the peers.
type ClearFingerprint struct {
	Fingerprint dfucrash.Fingerprint
}

// ReportCrash is to be told to the peers.
type ReportCrash struct {
	Crash        dfucrash.Crash
	Fingerprints []dfucrash.Fingerprint
}

// LogKind says what a Log is about.
type LogKind string

// The kinds of Log.
const (
	LogDuplicateOffer LogKind = "duplicate_offer"
	LogStrayReport    LogKind = "stray_report"
	LogStrayClaim     LogKind = "stray_claim"
	LogForgotten      LogKind = "record_forgotten"
	LogNewIncarnation LogKind = "new_incarnation"
)

// Log is an incident that is counted and logged.
type Log struct {
	Kind LogKind
	ID   dfuident.RequestID
}

func (RunOnTarget) action()      {}
func (CancelOnTarget) action()   {}
func (AskTarget) action()        {}
func (AskBody) action()          {}
func (AskClaim) action()         {}
func (ReleaseClaim) action()     {}
func (Refuse) action()           {}
func (Complete) action()         {}
func (SealAnswer) action()       {}
func (Drained) action()          {}
func (BanFingerprint) action()   {}
func (ClearFingerprint) action() {}
func (ReportCrash) action()      {}
func (Log) action()              {}
