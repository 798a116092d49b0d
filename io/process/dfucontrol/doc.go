// Package dfucontrol runs the control plane of one node: the membership protocol
// and the exchange of the store's records. From both it publishes the immutable
// view that routing and admission read.
//
// One event loop owns the state machines of both. Other goroutines maintain the
// zone page in the store, watch the store and call peers; they exchange events
// and packets with the loop through bounded queues. An item that finds a queue
// full is dropped and counted, since the protocols recover from lost packets.
package dfucontrol
