// Package dfufront takes callers' requests over HTTP/1.1 and gives each its
// outcome. docs/HTTP.md states the contract.
package dfufront
