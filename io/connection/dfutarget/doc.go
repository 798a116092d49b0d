// Package dfutarget sends requests to the local target over HTTP/1.1.
//
// A request owns its connection while it runs, and canceling it closes the
// connection, which is how a target learns that nobody waits. fasthttp's own
// client can't do so: its deadline returns while the request goes on.
package dfutarget
