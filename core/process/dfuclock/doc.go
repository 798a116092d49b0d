// Package dfuclock defines time as used in the project: whole milliseconds of a
// monotonic clock with an arbitrary origin in each process.
//
// Packages in core never read a clock. The time is passed to them with every
// event, so that scripted sessions are reproducible. A Time is never sent to
// another process, since processes don't share an origin; only a Duration is.
package dfuclock
