// Package dfupipeline decides how the pipelined requests of one connection are served:
// which requests may be read, in which order responses are written, which requests are
// canceled if the caller disconnects, and which response ends the connection (RFC 9112,
// sections 9.3.2 and 9.6).
package dfupipeline
