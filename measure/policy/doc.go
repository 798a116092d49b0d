// Package policy measures target selection on a virtual clock.
//
// It runs the production code of dfuchoice and dfubudget with their settings against
// simple models: workers with slots whose speed changes within milliseconds, a gate for
// each worker, one-way delays, a link between regions with limited bandwidth, and
// callers that give up. All contenders of a run get the same arrivals, work and faults,
// drawn from the same seed.
package policy
