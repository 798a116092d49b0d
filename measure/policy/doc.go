// Package policy measures the choice of targets under a virtual clock.
//
// It drives the real dfuchoice, dfubudget and their settings against small
// fakes: workers with slots whose speed changes within milliseconds, a gate
// beside each, one-way delays, a link between regions with a bandwidth, and
// callers that give up. All contenders of a run see the same arrivals, work
// and faults, drawn from the same seed.
package policy
