// Package dfuhistogram records times for operators: a bounded set of histograms
// by name, each in constant memory.
package dfuhistogram
