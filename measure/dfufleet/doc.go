// Package dfufleet simulates the membership and record exchange of many nodes on a
// virtual clock, with network delays, pauses, crashes and broken links between regions.
//
// It is used by golden session tests and measurements of these state machines. It makes
// no decisions of its own and models neither requests nor load.
package dfufleet
