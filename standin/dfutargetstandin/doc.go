// Package dfutargetstandin plays a target for tests and demonstrations: a server
// with slots, drain, cold start, shedding, cancellation, deadlines, crashes and
// errors on request, false load reports, and a log of every run.
//
// It uses net/http, whose request context ends when the connection does.
package dfutargetstandin
