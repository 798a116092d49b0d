// Package dfunode wires the duties of one node: callers' front, entry, gate,
// peer links, control, claims, tracing and the operators' pages.
package dfunode
