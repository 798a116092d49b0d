// Package dfutarget sends requests to the local target over HTTP/1.1.
//
// A request uses its connection exclusively. Canceling the request closes the
// connection, so that the target notices that the response is no longer needed.
// fasthttp's client can't cancel a request: after its deadline it returns while the
// request continues in the background.
package dfutarget
