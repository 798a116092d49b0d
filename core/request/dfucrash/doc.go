// Package dfucrash finds the requests that crash the targets that run them.
//
// A request is known by its Fingerprint, a hash of what a target sees of it,
// so that the same request is recognized when its caller sends it again. What
// was running when a target crashed becomes a suspect, at this node and at the
// nodes that are told. A suspect runs only while no other suspect does, so
// that a second crash points at one fingerprint. A suspect that completes is
// cleared; one that is running at a second crash is banned for a while.
package dfucrash
