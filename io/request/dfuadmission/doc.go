// Package dfuadmission runs the gate of a node: it feeds the gate machine with
// offers from entry nodes and reports from the local target, and carries out
// what the machine decides. Bodies and connections stay here; the machine sees
// ids only.
//
// One goroutine steps the machine. Offers wait in goroutines of their own, runs
// on the target in others, and all reach the machine through one bounded ring.
package dfuadmission
