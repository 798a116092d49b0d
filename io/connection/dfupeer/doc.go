// Package dfupeer carries calls between nodes over net/rpc.
//
// Each pair of nodes uses up to one connection for each lane, so that a large
// body never delays a small request or the control traffic. net/rpc has no
// cancellation and no deadline: a deadline travels as an argument, and a
// cancellation is a call of its own.
//
// A connection that went silent is found by a ping on the same connection once
// a call has waited for a while and nothing was read meanwhile. A slow call
// costs nothing then, because the other node answers the ping at once.
package dfupeer
