package dfugate

import (
	"cmp"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
)

// queue holds the requests that wait for a slot. It serves the classes by priority, the
// callers of a class round-robin, and the requests of a caller by objective or deadline.
// Callers without waiting requests use no memory.
type queue struct {
	classes [ClassCount]classQueue
	length  int
}

// classQueue serves its callers round-robin. turn[0] is the next one.
type classQueue struct {
	turn    []*callerQueue
	callers map[dfuident.Caller]*callerQueue
	length  int
}

// callerQueue is a heap of one caller's requests, ordered by dueEarlier.
type callerQueue struct {
	caller  dfuident.Caller
	waiting *dfuheap.Heap[*request]
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.classes {
		q.classes[i].callers = make(map[dfuident.Caller]*callerQueue)
	}
	return q
}

func (q *queue) push(r *request) {
	c := &q.classes[r.class]
	caller := c.callers[r.caller]
	if caller == nil {
		caller = &callerQueue{caller: r.caller, waiting: newWaiting()}
		c.callers[r.caller] = caller
		c.turn = append(c.turn, caller)
	}
	caller.waiting.Push(r)
	c.length++
	q.length++
}

// next returns the next eligible request, or nil. It moves the request's caller to the end of
// turn but leaves the request in the queue.
func (q *queue) next(eligible func(*request) bool) *request {
	for i := range q.classes {
		c := &q.classes[i]
		for turn, caller := range c.turn {
			r := caller.next(eligible)
			if r == nil {
				continue
			}
			copy(c.turn[turn:], c.turn[turn+1:])
			c.turn[len(c.turn)-1] = caller
			return r
		}
	}
	return nil
}

// next returns the caller's eligible request that is due first, or nil.
func (c *callerQueue) next(eligible func(*request) bool) *request {
	if eligible(c.waiting.Peek()) {
		return c.waiting.Peek()
	}
	var first *request
	for _, r := range c.waiting.All() {
		if eligible(r) && (first == nil || dueEarlier(r, first)) {
			first = r
		}
	}
	return first
}

func (q *queue) remove(r *request) {
	c := &q.classes[r.class]
	caller := c.callers[r.caller]
	caller.waiting.Remove(r)
	c.length--
	q.length--
	if caller.waiting.Len() > 0 {
		return
	}
	delete(c.callers, r.caller)
	for i, other := range c.turn {
		if other == caller {
			c.turn = append(c.turn[:i], c.turn[i+1:]...)
			return
		}
	}
}

// all returns every waiting request.
func (q *queue) all() []*request {
	var all []*request
	for i := range q.classes {
		for _, caller := range q.classes[i].turn {
			all = append(all, caller.waiting.All()...)
		}
	}
	return all
}

// ahead returns the number of waiting requests of the class and of higher ones.
func (q *queue) ahead(class Class) int {
	n := 0
	for i := range int(class) + 1 {
		n += q.classes[i].length
	}
	return n
}

// victim returns the request to shed in favor of r if the queue is full, or nil if r is to
// be refused. The victim is of a lower class, or of a caller in r's class that keeps at
// least as many queued requests as r's caller will have.
func (q *queue) victim(r *request) *request {
	for class := ClassCount - 1; class >= int(r.class); class-- {
		longest := q.classes[class].longest()
		if longest == nil {
			continue
		}
		if class > int(r.class) || longest.waiting.Len() > q.classes[class].queuedBy(r.caller)+1 {
			return longest.last()
		}
		return nil
	}
	return nil
}

func (c *classQueue) longest() *callerQueue {
	var longest *callerQueue
	for _, caller := range c.turn {
		if longest == nil || caller.waiting.Len() > longest.waiting.Len() {
			longest = caller
		}
	}
	return longest
}

func (c *classQueue) queuedBy(caller dfuident.Caller) int {
	if q := c.callers[caller]; q != nil {
		return q.waiting.Len()
	}
	return 0
}

// last returns the caller's request that is due last.
func (c *callerQueue) last() *request {
	last := c.waiting.Peek()
	for _, r := range c.waiting.All()[1:] {
		if dueEarlier(last, r) {
			last = r
		}
	}
	return last
}

// deadlineEarlier orders requests by deadline and then by arrival.
func deadlineEarlier(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival)) < 0
}

// dueEarlier orders requests by objective, or by deadline if they have none, and then by
// arrival.
func dueEarlier(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.dueTime(), b.dueTime()), cmp.Compare(a.arrival, b.arrival)) < 0
}

// dueTime returns the request's objective, or its deadline if it has none.
func (r *request) dueTime() dfuclock.Time {
	if r.objective > 0 {
		return r.objective
	}
	return r.deadline
}

// newWaiting returns an empty heap of queued requests, ordered by dueEarlier.
func newWaiting() *dfuheap.Heap[*request] {
	return dfuheap.New(dueEarlier, func(r *request) *int { return &r.queueIndex })
}

// newTimers returns an empty heap of live requests, ordered by deadline.
func newTimers() *dfuheap.Heap[*request] {
	return dfuheap.New(deadlineEarlier, func(r *request) *int { return &r.timerIndex })
}
