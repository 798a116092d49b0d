package dfuidle

import "dragonflyusher/core/process/dfuclock"

// Queue holds the elements that wait, ordered by the time of their last activity. The time that
// each method takes doesn't depend on how many there are.
type Queue[T any] struct {
	least dfuclock.Duration
	// ends is the head of a ring: next is the oldest entry, and prev the newest.
	ends Entry[T]
}

// Entry is the place of an element in a Queue.
type Entry[T any] struct {
	Element    T
	since      dfuclock.Time
	next, prev *Entry[T]
}

// New returns an empty Queue. An element is taken only after it has waited for the time least.
func New[T any](least dfuclock.Duration) *Queue[T] {
	q := &Queue[T]{least: least}
	q.ends.next, q.ends.prev = &q.ends, &q.ends
	return q
}

// Holds reports whether an entry waits in the Queue.
func (q *Queue[T]) Holds(e *Entry[T]) bool {
	return e.next != nil
}

// Put makes an entry the newest one. It may be in the Queue already. The times of successive
// calls must not decrease.
func (q *Queue[T]) Put(now dfuclock.Time, e *Entry[T]) {
	q.Remove(e)
	e.since = now
	e.next, e.prev = &q.ends, q.ends.prev
	e.prev.next, e.next.prev = e, e
}

// Remove removes an entry. It does nothing if the entry isn't in the Queue.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if !q.Holds(e) {
		return
	}
	e.prev.next, e.next.prev = e.next, e.prev
	e.next, e.prev = nil, nil
}

// Take removes the oldest entry and returns its element. It returns false if none has waited
// for long enough.
func (q *Queue[T]) Take(now dfuclock.Time) (element T, ok bool) {
	oldest := q.ends.next
	if oldest == &q.ends || now.Sub(oldest.since) < q.least {
		return element, false
	}
	q.Remove(oldest)
	return oldest.Element, true
}
