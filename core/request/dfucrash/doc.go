// Package dfucrash identifies requests that crash the targets that run them.
//
// A request is identified by its Fingerprint, a hash of the data that a target
// receives, so that it is recognized if its caller sends it again. The requests that
// were running when a target crashed become suspects, at this node and at the nodes
// that receive its report. Only one suspect runs at a time, so that a second crash can
// be attributed to a single fingerprint. A suspect that completes is cleared. A suspect
// that is running at a second crash is banned for a limited time.
package dfucrash
