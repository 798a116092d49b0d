// Package dfucontrol runs the control machines of one node: membership, and the
// node's copy of the store's records. From both it publishes the immutable view
// that the deciders read.
//
// One goroutine owns the machines. Others join the node's zone page in the
// store, watch the store, and make calls to peers; they are joined to the owner
// by bounded rings. What finds a ring full is dropped and counted: the protocols
// repair a loss.
package dfucontrol
