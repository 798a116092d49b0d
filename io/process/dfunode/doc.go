// Package dfunode assembles the components of one node: the HTTP server for
// callers, the dispatcher, the gate of the local target, the links to other nodes,
// the control plane, claims, tracing and the admin pages.
package dfunode
