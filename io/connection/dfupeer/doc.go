// Package dfupeer carries calls between nodes over net/rpc.
//
// Each node opens at most one connection per lane to each peer. The lanes are
// separate so that a large body never delays a small request or the control traffic.
// net/rpc has no cancellation and no deadline: deadlines are sent as arguments, and a
// cancellation is a separate call.
//
// When a call has waited for a while and nothing was read meanwhile, a ping is sent
// on the same connection to detect a silent connection. A slow call is not
// interrupted, because the other node responds to the ping at once.
package dfupeer
