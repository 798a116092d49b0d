// Package dfustatus holds the parts of a node's status pages that the node
// writes and the operators' client reads.
package dfustatus
