package dfuvirtual

import (
	"container/heap"

	"dragonflyusher/core/process/dfuclock"
)

// Instant is a point on the virtual clock, in microseconds.
type Instant int64

// The units of Instant.
const (
	Microsecond Instant = 1
	Millisecond         = 1000 * Microsecond
	Second              = 1000 * Millisecond
)

// Origin keeps the clock that the decisions see away from zero.
const Origin dfuclock.Time = 1_000_000

// Milliseconds returns a number of milliseconds as an Instant.
func Milliseconds(ms float64) Instant {
	return Instant(ms * float64(Millisecond))
}

// Of returns a length of time as an Instant.
func Of(d dfuclock.Duration) Instant {
	return Instant(d) * Millisecond
}

// Time returns the time that the decisions are told.
func (t Instant) Time() dfuclock.Time {
	return Origin.Add(dfuclock.Duration(t / Millisecond))
}

// Duration returns a length of time in milliseconds, rounded up.
func (t Instant) Duration() dfuclock.Duration {
	return dfuclock.Duration((t + Millisecond - 1) / Millisecond)
}

// At returns the Instant of a time that the decisions named.
func At(t dfuclock.Time) Instant {
	return Of(t.Sub(Origin))
}

// event is something that happens at an instant.
type event struct {
	at       Instant
	sequence uint64
	do       func()
}

// events is a heap by time, then by order of scheduling.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// Clock runs events in order. The zero value starts at zero.
type Clock struct {
	now      Instant
	sequence uint64
	events   events
}

// Now returns the present instant.
func (c *Clock) Now() Instant {
	return c.now
}

// After schedules something to happen after a delay.
func (c *Clock) After(delay Instant, do func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + max(delay, 0), c.sequence, do})
}

// Run runs all events up to an instant.
func (c *Clock) Run(until Instant) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
}
