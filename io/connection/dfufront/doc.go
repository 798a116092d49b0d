// Package dfufront accepts callers' requests over HTTP/1.1 and responds to each
// with its outcome. docs/HTTP.md specifies the protocol.
package dfufront
