// Package dfudispatch runs the entry side of a node: it feeds the attempt
// machine with callers' requests and carries out the attempts, cancellations
// and seals that the machine decides on.
package dfudispatch
