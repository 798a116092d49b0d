// Package dfugate is the admission control state machine of a target's node.
// All requests to the target pass through it.
//
// The gate manages the queue and the slots, checks deadlines, limits and bans,
// and obtains the claim of a non-idempotent request before it runs it. A request
// that the gate refuses as not_run has not been handed to the target and never
// will be, even if its offer is repeated or delayed. Every offered ID gets exactly
// one Refuse or Complete, with two exceptions: each stale offer gets a Refuse with an
// unknown outcome, and a RequestBody drops the request without an answer until it is
// offered again with its body.
//
// The caller of Step stores bodies and answers by ID. For each RunOnTarget it
// reports exactly one TargetDone or TargetFailed, except that a TargetCrashed
// covers all running requests.
package dfugate
