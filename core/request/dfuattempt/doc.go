// Package dfuattempt is the request state machine of an entry node. It sends each
// request of a caller to targets in one or more attempts, and ends it with one
// outcome.
//
// A seal asks a gate for the state of an attempt and prevents it from starting later.
// A non-idempotent request is retried only if the previous attempt provably did not
// run and never will: it was never sent, the gate refused it, or the gate answered a
// seal with never or queued_withdrawn. The outcome not_run requires the same proof for
// every attempt. An idempotent request may be retried at another target as soon as a
// link is lost, while a seal determines the outcome of the previous attempt.
//
// Every attempt requires time left until the deadline. Extra attempts, including hedges,
// also require an allowance from the upstream node and retry budget, except that retries
// after refusals for lack of capacity or draining are free up to unchargedAttemptsMax
// attempts, as are retries after unsent attempts if Config.UnsentFree is set. Every
// Arrived gets exactly one Finish. The caller of Step stores bodies and answers by ID.
package dfuattempt
