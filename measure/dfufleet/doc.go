// Package dfufleet delivers packets among the keepers of many nodes on a
// virtual clock, with delays, pauses, deaths and cut links between regions.
//
// It serves golden sessions of the control machines and their measurement. It
// holds no decisions of its own and models neither requests nor load.
package dfufleet
