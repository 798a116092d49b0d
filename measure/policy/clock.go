package policy

import (
	"container/heap"

	"dragonflyusher/core/process/dfuclock"
)

// instant is a point on the virtual clock, in microseconds.
type instant int64

// The units of instant.
const (
	microsecond instant = 1
	millisecond         = 1000 * microsecond
	second              = 1000 * millisecond
)

// origin keeps the clock that the decisions see away from zero.
const origin dfuclock.Time = 1_000_000

// milliseconds returns a number of milliseconds as an instant.
func milliseconds(ms float64) instant {
	return instant(ms * float64(millisecond))
}

// time returns the time that the decisions are told.
func (t instant) time() dfuclock.Time {
	return origin.Add(dfuclock.Duration(t / millisecond))
}

// duration returns a length of time in milliseconds, rounded up.
func (t instant) duration() dfuclock.Duration {
	return dfuclock.Duration((t + millisecond - 1) / millisecond)
}

// event is something that happens at an instant.
type event struct {
	at       instant
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

// clock runs events in order.
type clock struct {
	now      instant
	sequence uint64
	events   events
}

// after schedules something to happen after a delay.
func (c *clock) after(delay instant, do func()) {
	c.sequence++
	heap.Push(&c.events, event{c.now + max(delay, 0), c.sequence, do})
}

// run runs all events up to an instant.
func (c *clock) run(until instant) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
}
