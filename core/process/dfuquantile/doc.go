// Package dfuquantile estimates a quantile of a stream of numbers in constant
// memory.
package dfuquantile
