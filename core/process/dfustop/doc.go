// Package dfustop decides which requests a node still accepts during a planned stop.
//
// A node is stopped by a signal and killed after a grace period. Its callers move to
// other nodes only after failed readiness checks, so that it has to accept requests
// for a while. A request that could still be in progress when the node ends is
// refused as not run, because a cut request may have run.
package dfustop
