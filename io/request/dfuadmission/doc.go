// Package dfuadmission runs the gate of a node: it feeds the gate machine with
// offers from entry nodes and reports from the local target, and carries out
// what the machine decides. Bodies and connections stay here; the machine sees
// ids only.
package dfuadmission
