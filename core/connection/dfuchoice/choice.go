package dfuchoice

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Query describes the request that a target is wanted for.
type Query struct {
	Service dfuident.Service
	// Kind is the kind of the request.
	Kind dfuident.Kind
	// From is the place of the entry node.
	From dfuident.Place
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
	// Objective is the time left within which an answer is worth most; zero if
	// there is none.
	Objective dfuclock.Duration
	// Weight is how many times the loss of an ordinary request the loss of this
	// one counts; zero counts as one.
	Weight float64
	// Nested says that a request which is running waits for this one.
	Nested bool
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Body is the size of the request and of its expected answer, which
	// crossing the link between regions is priced by.
	Body dfuident.Bytes
	// Excluded lists targets that have refused or failed the request already.
	Excluded []dfuident.NodeID
	// Refused lists those of Excluded whose node refused the request for want
	// of a free slot, once for each refusal. They are chosen again when waiting
	// there costs least.
	Refused []dfuident.NodeID
	// Attempt counts the earlier attempts of the request.
	Attempt int
}

// ChoiceReason says why a target was chosen.
type ChoiceReason string

// The reasons of a Choice.
const (
	// ReasonLocalZone means a target in the entry node's availability zone.
	ReasonLocalZone ChoiceReason = "local_zone"
	// ReasonLocalRegion means a target in another zone of the region.
	ReasonLocalRegion ChoiceReason = "local_region"
	// ReasonSpillover means a far target that was cheaper than a local one.
	ReasonSpillover ChoiceReason = "spillover"
	// ReasonFarRegion means a far target because no local one was left.
	ReasonFarRegion ChoiceReason = "far_region"
	// ReasonProbation means an ejected target that is being tried again.
	ReasonProbation ChoiceReason = "probation"
	// ReasonNothingBetter means that health allowed no target at all.
	ReasonNothingBetter ChoiceReason = "nothing_better"
	// ReasonDistrust means that health was ignored since most targets look bad.
	ReasonDistrust ChoiceReason = "distrust"
)

// Choice is a target for one attempt.
type Choice struct {
	Member dfuident.Member
	Reason ChoiceReason
	// Wait says that the request should wait in the target's queue. Without
	// it, the target's node refuses a request that finds no free slot, so that
	// it can be tried elsewhere.
	Wait bool
	// Far says that the target is in another region, whatever the reason is. A
	// hedge is never sent there.
	Far bool
}

// Load is what a target's node tells of its target with a refusal, or by
// itself.
type Load struct {
	InFlight uint16 `json:"in_flight"`
	Queued   uint16 `json:"queued"`
	Slots    uint16 `json:"slots"`
	// ServiceTime is the smoothed time that a request holds a slot.
	ServiceTime dfuclock.Duration `json:"service_time"`
	// Sequence grows with every Load that the target's node sends, so that
	// an answer that arrives late doesn't replace a newer one's load.
	Sequence uint32 `json:"sequence"`
	// Slowdown is how long work takes at the moment in percent of the usual
	// time; zero if that is not known.
	Slowdown uint16 `json:"slowdown,omitempty"`
}

// FeedbackKind says how an attempt ended.
type FeedbackKind string

// The ends of an attempt.
const (
	// FeedbackAnswered means a whole answer that is no error of the target.
	FeedbackAnswered FeedbackKind = "answered"
	// FeedbackTargetError means that the target answered with an error. Its
	// latency is never taken for a good one.
	FeedbackTargetError FeedbackKind = "target_error"
	// FeedbackRefused means that the target's node didn't run the request.
	FeedbackRefused FeedbackKind = "refused"
	// FeedbackLinkFailed means that the target's node could not be reached.
	FeedbackLinkFailed FeedbackKind = "link_failed"
	// FeedbackCanceled means that this node gave the attempt up.
	FeedbackCanceled FeedbackKind = "canceled"
)

// Feedback tells the Chooser how an attempt ended. Every Sent is followed by
// exactly one Done.
type Feedback struct {
	Node dfuident.Member
	Kind FeedbackKind
	// Latency is the time from Sent to the answer, refusal or failure.
	Latency dfuclock.Duration
	// Load is nil if the answer carried none.
	Load *Load
	// RequestKind is the kind of the request, and Answer the size of its answer.
	RequestKind dfuident.Kind
	Answer      dfuident.Bytes
}

// Target is a member of the roster that serves a service.
type Target struct {
	Member   dfuident.Member
	Place    dfuident.Place
	Slots    int
	Draining bool
	// ColdSince is when the target was first seen, or zero if it is warm.
	ColdSince dfuclock.Time
}
