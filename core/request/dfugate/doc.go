// Package dfugate is the state machine at a target's node that alone admits
// work to its target.
//
// The gate holds the queue and the slots, checks deadlines, limits and bans,
// asks for the claim of a non-idempotent request before it can run, and swears
// to what it says: a request that it refuses as not_run has not been handed to
// the target and never will be, also if its offer arrives again or late. Every
// offered id gets exactly one Refuse or Complete.
//
// Bodies and answers stay with the caller of Step, which keeps them by id. For
// each RunOnTarget the caller reports exactly one TargetDone or TargetFailed,
// except that TargetCrashed stands for a report on all that are running.
package dfugate
