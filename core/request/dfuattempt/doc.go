// Package dfuattempt is the state machine of an entry node: it turns each
// request of a caller into attempts at targets and ends it with one outcome.
//
// A request that isn't idempotent gets another attempt only with proof that
// the one before did not run and never will: the bytes never left, the gate
// refused it, or the gate answered a seal with never. The outcome not_run
// needs the same proof of every attempt. An idempotent request may be tried
// elsewhere as soon as a link is lost, while a seal settles the old attempt.
//
// Every extra attempt, a hedge included, needs time left, an allowance from
// the level above and a retry budget. Every Arrived gets exactly one Finish.
// Bodies and answers stay with the caller of Step, which keeps them by id.
package dfuattempt
