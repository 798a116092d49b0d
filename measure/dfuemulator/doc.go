// Package dfuemulator plays a scenario on a virtual clock with the decisions of the
// product: entry nodes (dfuattempt, dfuchoice, dfubudget, dfureturn) and gates
// (dfugate) as the daemon runs them, among fakes of what surrounds them: callers that
// return, hammer or leave, targets with slots and neighbors, and a network with delays
// and bandwidths.
//
// All requests of a day, their work and the spells of neighbors are drawn before it is
// played, so that every scheduler meets the same day. Clairvoyant is a scheduler that
// sees all of it; Bound is what none can exceed.
//
// The emulator leaves out what decides nothing here: sockets, encodings, the store,
// the spreading of membership, and the processor time of nodes.
package dfuemulator
