package dfuchoice

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Query describes a request that needs a target.
type Query struct {
	Service dfuident.Service
	// Kind groups requests of the service with similar cost.
	Kind dfuident.Kind
	// From is the location of the entry node.
	From dfuident.Place
	// Remaining is the time left until the request's deadline.
	Remaining dfuclock.Duration
	// Objective is the time left until the request's latency objective, or zero
	// if it has none. An answer after it is worth less.
	Objective dfuclock.Duration
	// Weight is the cost of missing this request's objective, relative to that
	// of an ordinary request. Zero counts as one.
	Weight float64
	// Nested is set if another request, already running, waits for this one.
	Nested bool
	// Idempotent is set if the request may be executed more than once.
	Idempotent bool
	// Body is the size of the request body. It determines the cost of sending
	// the request to another zone or region.
	Body dfuident.Bytes
	// Homes are the regions whose targets may be chosen. It is empty if all may.
	Homes []dfuident.Region
	// Excluded lists the nodes that the request has been sent to.
	Excluded []dfuident.NodeID
	// Refused lists the nodes in Excluded that refused the request because
	// their target was busy, once per refusal: no slot was free, the target was
	// slowed down, or the objective would have been missed. They can be chosen
	// again if waiting in their queue costs least.
	Refused []dfuident.NodeID
	// Attempt is the number of earlier attempts of the request.
	Attempt int
	// Hedge is set for a second attempt beside a running one. It is sent only to a
	// target of the same region that is expected to run it at once at normal speed.
	Hedge bool
}

// ChoiceReason is the reason why a target was chosen.
type ChoiceReason string

// Values of ChoiceReason.
const (
	// ReasonLocalZone is a target in the entry node's availability zone.
	ReasonLocalZone ChoiceReason = "local_zone"
	// ReasonLocalRegion is a target in another zone of the entry node's region.
	ReasonLocalRegion ChoiceReason = "local_region"
	// ReasonSpillover is a target in another region that costs less than a
	// local one.
	ReasonSpillover ChoiceReason = "spillover"
	// ReasonFarRegion is a target in another region, chosen because no local
	// one is available or by a policy that doesn't use spillover.
	ReasonFarRegion ChoiceReason = "far_region"
	// ReasonProbation is an ejected target that is tried again.
	ReasonProbation ChoiceReason = "probation"
	// ReasonNoUsableTarget is a target chosen although health or slow start
	// rule out all candidates.
	ReasonNoUsableTarget ChoiceReason = "nothing_better"
	// ReasonHealthIgnored is a target chosen with health ignored, because most
	// targets look unhealthy.
	ReasonHealthIgnored ChoiceReason = "distrust"
)

// Choice is the target of one attempt.
type Choice struct {
	Member dfuident.Member
	Reason ChoiceReason
	// Wait is set if the request should wait in the target's queue. Otherwise
	// the target's node refuses the request if no slot is free, so that another
	// target can be tried.
	Wait bool
	// Far is set if the target is in another region, whatever the reason.
	// Hedges are never sent to such a target.
	Far bool
}

// Load is the load of a target as reported by its node, with an answer, with a
// refusal or in a separate report.
type Load struct {
	InFlight uint16 `json:"in_flight"`
	Queued   uint16 `json:"queued"`
	Slots    uint16 `json:"slots"`
	// ServiceTime is the smoothed time for which a request occupies a slot.
	ServiceTime dfuclock.Duration `json:"service_time"`
	// Sequence increases with every Load that the target's node sends. A load
	// with a lower sequence than the last one is stale and ignored. Sequences
	// are compared modulo 1<<16, since the wire encoding of a load holds only the
	// lower half.
	Sequence uint32 `json:"sequence"`
	// Slowdown is the current processing time as a percentage of the usual one,
	// or zero if unknown.
	Slowdown uint16 `json:"slowdown,omitempty"`
}

// FeedbackKind is the outcome of an attempt.
type FeedbackKind string

// Values of FeedbackKind.
const (
	// FeedbackAnswered is a complete answer that is not a target error.
	FeedbackAnswered FeedbackKind = "answered"
	// FeedbackTargetError is an error answer from the target. Its latency
	// doesn't enter the target's latency statistics.
	FeedbackTargetError FeedbackKind = "target_error"
	// FeedbackRefused is a refusal by the target's node. The request usually
	// did not run. An unknown outcome that was caused neither by a failure of
	// the target nor by the deadline or a cancellation is reported like this
	// too.
	FeedbackRefused FeedbackKind = "refused"
	// FeedbackLinkFailed is a failure to reach the target's node.
	FeedbackLinkFailed FeedbackKind = "link_failed"
	// FeedbackCanceled is an attempt canceled by this node.
	FeedbackCanceled FeedbackKind = "canceled"
)

// Feedback reports the outcome of an attempt to the Chooser. Every call of
// RecordSent must be followed by exactly one call of RecordOutcome.
type Feedback struct {
	Node dfuident.Member
	Kind FeedbackKind
	// Latency is the time from RecordSent to the answer, refusal or failure.
	Latency dfuclock.Duration
	// Load is the load that came with the answer or refusal, or nil if there
	// was none.
	Load *Load
	// RequestKind is the kind of the request, and Answer the size of the
	// answer.
	RequestKind dfuident.Kind
	Answer      dfuident.Bytes
	// Full is set if the target's node refused for lack of a free slot. It is set only
	// where requests are hedged.
	Full bool
	// Outrun is set if the attempt was canceled because another attempt of its request
	// was answered first, so that it would have taken longer than Latency.
	Outrun bool
}

// Target is a member of the roster that runs a service.
type Target struct {
	Member   dfuident.Member
	Place    dfuident.Place
	Slots    int
	Draining bool
	// ColdSince is when the target was first seen, or zero if it is warm.
	ColdSince dfuclock.Time
}
