// Package dfudispatch runs the entry side of a node: it feeds the attempt
// machine with callers' requests and carries out the attempts, cancellations
// and seals that the machine decides on.
//
// One goroutine steps the machine. Each attempt waits for its reply in a
// goroutine of its own and reports through one bounded ring.
package dfudispatch
