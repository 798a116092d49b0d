package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// Action is an output of a gate, to be carried out by the caller of Step.
//
//sumtype:decl
type Action interface{ action() }

// RunOnTarget hands a request to the target.
type RunOnTarget struct {
	ID        dfuident.RequestID
	Remaining dfuclock.Duration
}

// CancelOnTarget asks the target to stop a request. The gate still expects a
// TargetDone or TargetFailed for it, unless the target crashed.
type CancelOnTarget struct {
	ID dfuident.RequestID
}

// RequestTargetLoad requests the load of the target. The gate expects a
// TargetLoadReported or a TargetLoadUnavailable in return.
type RequestTargetLoad struct{}

// RequestBody requests the body of a request that was offered without it. The gate
// drops the request, which has to be offered again with its body.
type RequestBody struct {
	ID dfuident.RequestID
}

// RequestClaim requests the claim of a non-idempotent request.
type RequestClaim struct {
	ID      dfuident.RequestID
	Service dfuident.Service
	Key     dfuident.Key
}

// ReleaseClaim releases the claim of a request that did not run. It follows the
// Refuse if the claim is granted only afterwards.
type ReleaseClaim struct {
	ID      dfuident.RequestID
	Service dfuident.Service
	Key     dfuident.Key
}

// Refuse answers an offer that the gate did not run. The outcome is unknown if the
// gate no longer knows whether the same ID ran before.
type Refuse struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// Complete answers an offer that was handed to the target. If the outcome is
// answered, the caller of Step sends the target's answer.
type Complete struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// SealState is the state of a request when it is sealed.
type SealState string

// The states of a sealed request.
const (
	// SealNever guarantees that the request did not run and never will.
	SealNever SealState = "never"
	// SealWithdrawn guarantees the same for a request that was waiting and is now
	// withdrawn.
	SealWithdrawn SealState = "queued_withdrawn"
	// SealRunning means that the request has been handed to the target.
	SealRunning SealState = "running"
	// SealFinished means that the request ran, or that the gate no longer knows
	// whether it did. In the latter case the outcome is unknown.
	SealFinished SealState = "finished"
)

// SealAnswer answers a Seal. For a finished request, the outcome and the reason are
// those of its Complete, and the stored answer is included if there is one.
type SealAnswer struct {
	ID      dfuident.RequestID
	State   SealState
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// Drained reports that draining is complete and the target may stop.
type Drained struct{}

// BanFingerprint announces a ban to the peers.
type BanFingerprint struct {
	Fingerprint dfucrash.Fingerprint
	For         dfuclock.Duration
}

// ClearFingerprint announces to the peers that a suspect has completed.
type ClearFingerprint struct {
	Fingerprint dfucrash.Fingerprint
}

// ReportCrash announces a crash to the peers, with the fingerprints that are now
// suspects.
type ReportCrash struct {
	Crash        dfucrash.Crash
	Fingerprints []dfucrash.Fingerprint
}

// LogKind is the kind of a Log.
type LogKind string

// The kinds of Log.
const (
	LogDuplicateOffer LogKind = "duplicate_offer"
	LogStrayReport    LogKind = "stray_report"
	LogStrayClaim     LogKind = "stray_claim"
	LogOutcomeEvicted LogKind = "record_forgotten"
	LogNewIncarnation LogKind = "new_incarnation"
)

// Log reports an incident to be counted and logged.
type Log struct {
	Kind LogKind
	ID   dfuident.RequestID
}

func (RunOnTarget) action()       {}
func (CancelOnTarget) action()    {}
func (RequestTargetLoad) action() {}
func (RequestBody) action()       {}
func (RequestClaim) action()      {}
func (ReleaseClaim) action()      {}
func (Refuse) action()            {}
func (Complete) action()          {}
func (SealAnswer) action()        {}
func (Drained) action()           {}
func (BanFingerprint) action()    {}
func (ClearFingerprint) action()  {}
func (ReportCrash) action()       {}
func (Log) action()               {}
