// Package dfuclaimer runs the claim state machine of one node. One goroutine steps
// the machine; a fixed number of other goroutines call the store and other nodes. The
// package decides on the gate's claims and looks up the owner of a key for entry
// nodes.
package dfuclaimer
