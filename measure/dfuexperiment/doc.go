// Package dfuexperiment plays scenarios with several schedulers and seeds and gathers
// the figures: medians over the seeds with their spread.
package dfuexperiment
