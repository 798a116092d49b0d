// Package dfuident names the ids and units that every other package shares.
//
// An id is comparable and prints in one stable form, so that it can serve as a
// map key, in a log line and in a golden file.
package dfuident
