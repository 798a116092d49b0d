package dfuoutcome

// Outcome is the outcome of a request as reported to its caller.
type Outcome string

const (
	// Answered means that the target's complete answer was received.
	Answered Outcome = "answered"
	// NotRun means that no target ran the request and none ever will. It is reported
	// only with proof: the request was never sent from the entry node, or the target's
	// node refused or sealed it.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is why a request was not answered. It is sent to the caller and used in logs and
// metrics, so its values are limited to the constants below.
type Reason string

// Reasons that arise at the entry node.
const (
	ReasonNone            Reason = ""
	ReasonBadRequest      Reason = "bad_request"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonNoRoute         Reason = "no_route"
	ReasonNoCatalogue     Reason = "no_catalogue"
	ReasonNoTarget        Reason = "no_target"
	ReasonDeadline        Reason = "deadline_exceeded"
	ReasonCanceled        Reason = "canceled"
	ReasonSuperseded      Reason = "superseded"
	ReasonRetryBudget     Reason = "retry_budget_spent"
	ReasonEntryOverloaded Reason = "entry_overloaded"
	ReasonNodeDraining    Reason = "node_draining"
	ReasonPeerUnreachable Reason = "peer_unreachable"
	ReasonAnswerTooLarge  Reason = "answer_too_large"
	ReasonBodyTooLarge    Reason = "body_too_large"

	ReasonUnreadableRoute Reason = "unreadable_route"
	ReasonKeyRejected     Reason = "key_rejected"
	ReasonRoutesStale     Reason = "routes_stale"
	ReasonQuotaExceeded   Reason = "quota_exceeded"
	ReasonQuotaUnknown    Reason = "quota_unknown"
	ReasonNoHome          Reason = "no_home"
	ReasonMemoryFull      Reason = "memory_full"
	ReasonRequestTimeout  Reason = "request_timeout"
)

// Reasons that arise at the target's node.
const (
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadlineTooShort Reason = "deadline_too_short"
	ReasonObjectiveMissed  Reason = "objective_missed"
	ReasonDraining         Reason = "draining"
	ReasonNoLocalTarget    Reason = "no_local_target"
	ReasonRateLimited      Reason = "rate_limited"
	ReasonCrashSuspect     Reason = "crash_suspect"
	ReasonSealed           Reason = "sealed"
	ReasonStaleRequest     Reason = "stale_request"
	ReasonTargetDied       Reason = "target_died"
	ReasonTargetLinkLost   Reason = "target_link_lost"
	ReasonTargetRefused    Reason = "target_refused"
	ReasonTargetSlow       Reason = "target_slow"
	ReasonTargetLimited    Reason = "target_limited"
	ReasonClassShed        Reason = "class_shed"
	ReasonOutsideHomes     Reason = "outside_homes"
	ReasonZoneEvacuated    Reason = "zone_evacuated"
	ReasonTargetCold       Reason = "target_cold"
)

// Reasons that arise when a non-idempotent request is claimed.
const (
	ReasonKeyMissing    Reason = "key_missing"
	ReasonKeyFromFuture Reason = "key_from_future"
	ReasonKeyTooOld     Reason = "key_too_old"
	ReasonAlreadyRun    Reason = "already_run"
	ReasonKeyRunning    Reason = "key_running"
	ReasonNotOwner      Reason = "not_owner"
	ReasonNoCopy        Reason = "no_copy"
	ReasonOwnerLost     Reason = "owner_lost"
)

// IsNoRoom reports whether a request that did not run was refused because there was too
// little capacity for it.
func (r Reason) IsNoRoom() bool {
	switch r {
	case ReasonQueueFull, ReasonClassShed, ReasonEntryOverloaded, ReasonMemoryFull, ReasonRateLimited,
		ReasonTargetLimited, ReasonTargetSlow, ReasonTargetCold, ReasonTargetRefused,
		ReasonObjectiveMissed, ReasonDeadlineTooShort:
		return true
	default:
		return false
	}
}
