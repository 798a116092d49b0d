package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfustop"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// Class is the priority of a request. Zero is the highest; a value beyond the last
// class is treated as the last.
type Class uint8

// ClassCount is the number of classes.
const ClassCount = 3

// Limits limit what the gate admits. Zero means unlimited, except for Queue, where
// it means that requests are never queued.
type Limits struct {
	Concurrency   int `json:"concurrency"`
	Queue         int `json:"queue"`
	RatePerSecond int `json:"rate_per_second"`
}

// Event is an input of a gate.
//
//sumtype:decl
type Event interface{ event() }

// Offer is a request that an entry node sends to the gate.
type Offer struct {
	ID dfuident.RequestID
	// To is the run of this node that the offer was sent to; zero means any. An
	// offer addressed to a previous run may have been executed by that run.
	To      dfuident.Member
	Service dfuident.Service
	Caller  dfuident.Caller
	// Workspace is the workspace on whose behalf the request runs; empty if there is none.
	Workspace dfuident.Workspace
	// Weight is the workspace's share of the slots among other workspaces that wait; zero
	// stands for the greatest of theirs.
	Weight      float64
	Class       Class
	Key         dfuident.Key
	Fingerprint dfucrash.Fingerprint
	// Kind groups requests with similar run times.
	Kind dfuident.Kind
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
	// Objective is the time left until an answer loses value, or zero if the
	// request has no objective.
	Objective  dfuclock.Duration
	Idempotent bool
	// NoClaim is set for a non-idempotent request that has to run at most once per
	// ID only. The gate ensures that without a claim.
	NoClaim bool
	// NoWait makes the gate refuse the request instead of queueing it if no slot is
	// free, so that the entry node can try another target.
	NoWait bool
	// Nested is set if a running request waits for the result of this one.
	Nested bool
	// BodyLater is set if the request's body is large and is sent only after the
	// gate asks for it. Bytes is the size of the body.
	BodyLater bool
	Bytes     dfuident.Bytes
	// Settled is the sequence number below which the entry node needs no more
	// answers.
	Settled uint64
}

// Cancel cancels a request whose answer is no longer needed.
type Cancel struct {
	ID     dfuident.RequestID
	Reason dfuoutcome.Reason
}

// Seal queries the state of a request and prevents it from starting later.
type Seal struct {
	ID dfuident.RequestID
	// To is the run of the node that the request was offered to; zero means the
	// current one. A later run doesn't know what earlier runs executed, so it answers
	// with the outcome unknown.
	To dfuident.Member
}

// TargetDone reports that the target's complete answer has been received.
type TargetDone struct {
	ID dfuident.RequestID
	// Failed is set if the answer is an error. The run time is then not used as a
	// sample.
	Failed bool
	// Limit is the rate limit that the answer advertises, or zero.
	Limit Rate
}

// TargetFailed reports that a request ended without an answer from the target.
type TargetFailed struct {
	ID dfuident.RequestID
	// Died is set if the target's process has exited.
	Died bool
	// Refused is set if the target did not run the request because it was
	// unreachable or shed the request.
	Refused bool
	// Reason is why the node itself did not pass the request on, or ReasonNone.
	Reason dfuoutcome.Reason
	// Limit is the rate limit that a target advertises in the answer with which it
	// sheds the request, or zero.
	Limit Rate
}

// TargetLoadReported reports the load that the target sent with an answer or in
// response to a RequestTargetLoad.
type TargetLoadReported struct {
	Load TargetLoad
}

// TargetLoadUnavailable reports that the target did not answer a RequestTargetLoad.
type TargetLoadUnavailable struct{}

// TargetAnnounced reports that the local target accepts requests.
type TargetAnnounced struct {
	Service dfuident.Service
	Slots   int
	// NewRun is set if this is another run of the target than the one announced before.
	NewRun bool
	// Cold is set if the target has just started and its load has to be increased
	// gradually.
	Cold bool
	// Limit is the rate limit that the target advertised in a health check before the
	// announcement took effect, or zero.
	Limit Rate
	// ColdFor is how much longer the target states that it is cold, and ColdLimit what it
	// tolerates meanwhile.
	ColdFor   dfuclock.Duration
	ColdLimit ColdLimit
}

// ColdLimitChanged sets what the target tolerates while it is cold.
type ColdLimitChanged struct {
	Limit ColdLimit
}

// TargetWithdrawn reports that the local target accepts no more requests. Running
// requests continue.
type TargetWithdrawn struct{}

// TargetCrashed reports that the target's process has exited and that all running
// requests are lost.
type TargetCrashed struct{}

// ClaimGranted reports that a non-idempotent request may run here.
type ClaimGranted struct {
	ID dfuident.RequestID
}

// ClaimDenied reports that a non-idempotent request may not run here.
type ClaimDenied struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// LimitsChanged sets new limits.
type LimitsChanged struct {
	Limits Limits
}

// DrainRequested starts draining: new and waiting requests are refused, running
// requests continue.
type DrainRequested struct{}

// DrainCanceled ends draining.
type DrainCanceled struct{}

// EvacuationChanged reports whether the zone of the gate is evacuated. New and waiting
// requests are refused while it is, running requests continue.
type EvacuationChanged struct {
	Active bool
}

// StopScheduled reports that the node has begun a planned stop. Requests that could
// still run when the node ends are refused.
type StopScheduled struct {
	Schedule dfustop.Schedule
}

// FingerprintBanned reports that a peer has banned a fingerprint.
type FingerprintBanned struct {
	Fingerprint dfucrash.Fingerprint
	For         dfuclock.Duration
}

// FingerprintCleared reports that a suspect has completed at a peer.
type FingerprintCleared struct {
	Fingerprint dfucrash.Fingerprint
}

// PeerCrashed reports what was running when the target of a peer crashed.
type PeerCrashed struct {
	Crash        dfucrash.Crash
	Fingerprints []dfucrash.Fingerprint
}

// Tick reports that time has passed.
type Tick struct{}

func (Offer) event()                 {}
func (Cancel) event()                {}
func (Seal) event()                  {}
func (TargetDone) event()            {}
func (TargetFailed) event()          {}
func (TargetLoadReported) event()    {}
func (TargetLoadUnavailable) event() {}
func (TargetAnnounced) event()       {}
func (ColdLimitChanged) event()      {}
func (TargetWithdrawn) event()       {}
func (TargetCrashed) event()         {}
func (ClaimGranted) event()          {}
func (ClaimDenied) event()           {}
func (LimitsChanged) event()         {}
func (DrainRequested) event()        {}
func (DrainCanceled) event()         {}
func (EvacuationChanged) event()     {}
func (StopScheduled) event()         {}
func (FingerprintBanned) event()     {}
func (FingerprintCleared) event()    {}
func (PeerCrashed) event()           {}
func (Tick) event()                  {}
