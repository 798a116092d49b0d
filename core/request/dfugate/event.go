package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// Class ranks requests. Zero is the most important; a class beyond the last
// counts as the last.
type Class uint8

// ClassCount is the number of classes.
const ClassCount = 3

// Limits bound what the gate admits. Zero means no limit of that kind, except
// for Queue, where it means that nothing waits.
type Limits struct {
	Concurrency   int `json:"concurrency"`
	Queue         int `json:"queue"`
	RatePerSecond int `json:"rate_per_second"`
}

// Event is what happens to a gate.
//
//sumtype:decl
type Event interface{ event() }

// Offer is a request that an entry node asks the gate to run.
type Offer struct {
	ID dfuident.RequestID
	// To is the run of this node that the offer was sent to; zero means any.
	// What was sent to a former run may have run there.
	To          dfuident.Member
	Service     dfuident.Service
	Caller      dfuident.Caller
	Class       Class
	Key         dfuident.Key
	Fingerprint dfucrash.Fingerprint
	// Kind tells requests apart that take different times.
	Kind dfuident.Kind
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
	// Objective is the time left within which an answer is worth most; zero if
	// there is none.
	Objective  dfuclock.Duration
	Idempotent bool
	// NoClaim says that a non-idempotent request runs at most once for its id
	// alone, which the gate sees to without a claim.
	NoClaim bool
	// NoWait asks to refuse the request if it finds no free slot, so that its
	// entry node can look elsewhere.
	NoWait bool
	// Nested says that a request which is running waits for this one.
	Nested bool
	// BodyLater says that the request's body is large and will be sent only if the
	// gate asks for it; Bytes is its size.
	BodyLater bool
	Bytes     dfuident.Bytes
	// Settled is the sequence below which the entry node needs no answer.
	Settled uint64
}

// Cancel withdraws a request that nobody waits for any more.
type Cancel struct {
	ID     dfuident.RequestID
	Reason dfuoutcome.Reason
}

// Seal asks what became of a request, and forbids it to start from now on.
type Seal struct {
	ID dfuident.RequestID
	// To is the run of the node that the request was offered to; zero means
	// this one. A later run has forgotten what ran, so it swears nothing.
	To dfuident.Member
}

// TargetDone reports that the target's whole answer is here.
type TargetDone struct {
	ID dfuident.RequestID
	// Failed tells that the answer is an error, which says nothing about how
	// long a request takes.
	Failed bool
}

// TargetFailed reports that no answer will come.
type TargetFailed struct {
	ID dfuident.RequestID
	// Died tells that the target's process is gone.
	Died bool
	// Refused tells that the target did not run the request: it could not be
	// reached or it shed the request.
	Refused bool
}

// TargetTold reports what the target itself tells of its load, with an answer or
// when it is asked.
type TargetTold struct {
	Load TargetLoad
}

// TargetSilent reports that the target did not tell its load when it was asked.
type TargetSilent struct{}

// TargetAnnounced reports that the local target takes requests.
type TargetAnnounced struct {
	Service dfuident.Service
	Slots   int
	// Cold tells that the target has just started and is to be loaded slowly.
	Cold bool
}

// TargetWithdrawn reports that the local target takes no more requests. What
// is running goes on.
type TargetWithdrawn struct{}

// TargetCrashed reports that the target's process is gone with all its work.
type TargetCrashed struct{}

// ClaimGranted reports that a non-idempotent request may run.
type ClaimGranted struct {
	ID dfuident.RequestID
}

// ClaimDenied reports that a non-idempotent request may not run here.
type ClaimDenied struct {
	ID      dfuident.RequestID
	Outcome dfuoutcome.Outcome
	Reason  dfuoutcome.Reason
}

// LimitsChanged puts new limits in force.
type LimitsChanged struct {
	Limits Limits
}

// DrainRequested closes the gate; what is running goes on.
type DrainRequested struct{}

// DrainCanceled opens the gate again.
type DrainCanceled struct{}

// FingerprintBanned is a peer's ban.
type FingerprintBanned struct {
	Fingerprint dfucrash.Fingerprint
	For         dfuclock.Duration
}

// FingerprintCleared is a peer's report that a suspect completed.
type FingerprintCleared struct {
	Fingerprint dfucrash.Fingerprint
}

// PeerCrashed is a peer's report of what was running when its target crashed.
type PeerCrashed struct {
	Crash        dfucrash.Crash
	Fingerprints []dfucrash.Fingerprint
}

// Tick reports that time has passed.
type Tick struct{}

func (Offer) event()              {}
func (Cancel) event()             {}
func (Seal) event()               {}
func (TargetDone) event()         {}
func (TargetFailed) event()       {}
func (TargetTold) event()         {}
func (TargetSilent) event()       {}
func (TargetAnnounced) event()    {}
func (TargetWithdrawn) event()    {}
func (TargetCrashed) event()      {}
func (ClaimGranted) event()       {}
func (ClaimDenied) event()        {}
func (LimitsChanged) event()      {}
func (DrainRequested) event()     {}
func (DrainCanceled) event()      {}
func (FingerprintBanned) event()  {}
func (FingerprintCleared) event() {}
func (PeerCrashed) event()        {}
func (Tick) event()               {}
