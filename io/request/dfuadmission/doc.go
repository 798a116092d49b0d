// Package dfuadmission runs the admission gate of a node. It passes offers from
// entry nodes and results from the local target to the gate's state machine and
// executes the actions that the machine returns. Request bodies and connections
// are held here; the machine handles request ids only.
package dfuadmission
