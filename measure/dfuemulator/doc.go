// Package dfuemulator is a discrete-event simulation of a scenario on a virtual clock.
// It runs the decision code of the daemon, entry nodes (dfuattempt, dfuchoice,
// dfubudget, dfureturn) and gates (dfugate), against models of their environment:
// callers that retry, send duplicates or give up, targets with slots and noisy
// neighbors, and a network with delays and bandwidths.
//
// All requests, their work and the slow periods caused by neighbors are drawn before a
// run, so that every scheduler gets the same workload. The clairvoyant scheduler sees
// the whole state of the simulation.
//
// The emulator leaves out what does not affect these decisions: sockets, encodings, the
// store, the propagation of membership, and the processor time of nodes.
package dfuemulator
