// Package dfuclaimer runs the claim machine of one node: one goroutine steps
// it, while calls to the store and to other nodes run in a bounded number of
// workers. It answers the gate's claims and tells entry nodes who owns a key.
package dfuclaimer
