// Package dfutargetstandin implements a target for tests and demonstrations. It
// is an HTTP server with a fixed number of slots that sheds excess requests,
// starts cold, drains, honors deadlines and cancellation, crashes or fails on
// request, and logs the start and the end of every run.
//
// It is built on net/http, which cancels the context of a request when the
// client's connection closes.
package dfutargetstandin
