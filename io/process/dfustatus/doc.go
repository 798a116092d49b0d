// Package dfustatus defines the parts of a node's status pages that the operators'
// client reads.
package dfustatus
