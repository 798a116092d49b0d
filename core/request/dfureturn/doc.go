// Package dfureturn estimates how long the caller of a request has been waiting.
//
// A request states the time left until the caller's deadline, not when the caller
// started. A caller that was refused and retries has less time left than on its
// first try, but its answer is worth most within the same objective. The package
// records for each route how much time callers have left on their first try. What
// a request has less than that is taken as the time the caller has waited.
package dfureturn
