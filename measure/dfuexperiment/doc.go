// Package dfuexperiment runs scenarios with several schedulers and seeds and aggregates
// their figures over the seeds.
package dfuexperiment
