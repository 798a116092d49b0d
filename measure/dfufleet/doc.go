// Package dfufleet simulates the membership and record exchange of many nodes on a
// virtual clock, with network delays, pauses, crashes and broken links between regions.
//
// It serves the golden sessions of the control machines and their measurement. It makes
// no decisions of its own and models neither requests nor load.
package dfufleet
