// Package dfudispatch runs the entry side of a node. It passes callers' requests
// to the attempt state machine and sends the attempts, cancellations and seals
// that the machine returns. A seal prevents an attempt from starting on its target
// and asks for the attempt's state.
package dfudispatch
