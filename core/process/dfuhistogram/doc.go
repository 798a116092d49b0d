// Package dfuhistogram records durations for operators in a limited number of
// named histograms, each using constant memory.
package dfuhistogram
