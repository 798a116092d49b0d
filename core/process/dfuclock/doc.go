// Package dfuclock holds the project's one notion of time: whole milliseconds
// on a monotonic scale that starts at an arbitrary origin in each process.
//
// The decisions in core never read a clock. They are told the time with every
// event, so that a scripted session replays to the same transcript. Values of
// Time are never sent to another process, since two processes share no origin;
// only a Duration crosses the wire.
package dfuclock
