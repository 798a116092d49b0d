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

// Origin is the dfuclock.Time of Instant zero. It is far above zero, because the zero
// Time often means "not set".
const Origin dfuclock.Time = 1_000_000

// Milliseconds converts milliseconds to an Instant.
func Milliseconds(ms float64) Instant {
	return Instant(ms * float64(Millisecond))
}

// FromDuration converts a duration to an Instant.
func FromDuration(d dfuclock.Duration) Instant {
	return Instant(d) * Millisecond
}

// Time converts t to a dfuclock.Time, rounded down to milliseconds.
func (t Instant) Time() dfuclock.Time {
	return Origin.Add(dfuclock.Duration(t / Millisecond))
}

// Duration converts t to milliseconds, rounded up.
func (t Instant) Duration() dfuclock.Duration {
	return dfuclock.Duration((t + Millisecond - 1) / Millisecond)
}

// FromTime converts a dfuclock.Time to an Instant.
func FromTime(t dfuclock.Time) Instant {
	return FromDuration(t.Sub(Origin))
}

// event is a function to call at an instant.
type event struct {
	at       Instant
	sequence uint64
	fn       func()
}

// events is a heap ordered by time, then by order of scheduling.
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

// Clock runs scheduled events in order. The zero value starts at Instant zero.
type Clock struct {
	now      Instant
	sequence uint64
	events   events
}

// Now returns the current instant.
func (c *Clock) Now() Instant {
	return c.now
}

// After schedules a call after a delay; negative delays count as zero.
func (c *Clock) After(delay Instant, fn func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + max(delay, 0), c.sequence, fn})
}

// Run runs all events up to and including the given instant.
func (c *Clock) Run(until Instant) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.fn()
	}
}
