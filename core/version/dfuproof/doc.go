// Package dfuproof tracks for how long a node's copy of a record is known to have had the
// newest value.
package dfuproof
