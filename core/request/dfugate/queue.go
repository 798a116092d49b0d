package dfugate

import (
	"cmp"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
)

// queue holds requests that wait for a slot: by class, then in turn among the
// callers of a class, then by deadline. A caller without a waiting request
// takes no memory.
type queue struct {
	classes [ClassCount]classQueue
	length  int
}

// classQueue takes its callers in turn; turn[0] is next.
type classQueue struct {
	turn    []*callerQueue
	callers map[dfuident.Caller]*callerQueue
	length  int
}

// callerQueue is a heap of one caller's requests by deadline.
type callerQueue struct {
	caller  dfuident.Caller
	waiting *dfuheap.Heap[*record]
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.classes {
		q.classes[i].callers = make(map[dfuident.Caller]*callerQueue)
	}
	return q
}

func (q *queue) push(r *record) {
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

// next returns the next request that may run, or nil. It ends the turn of the
// request's caller.
func (q *queue) next(may func(*record) bool) *record {
	for i := range q.classes {
		c := &q.classes[i]
		for turn, caller := range c.turn {
			r := caller.next(may)
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

// next returns the caller's request with the earliest deadline that may run.
func (c *callerQueue) next(may func(*record) bool) *record {
	if may(c.waiting.First()) {
		return c.waiting.First()
	}
	var first *record
	for _, r := range c.waiting.All() {
		if may(r) && (first == nil || sooner(r, first)) {
			first = r
		}
	}
	return first
}

func (q *queue) remove(r *record) {
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
func (q *queue) all() []*record {
	var all []*record
	for i := range q.classes {
		for _, caller := range q.classes[i].turn {
			all = append(all, caller.waiting.All()...)
		}
	}
	return all
}

// ahead returns how many waiting requests are of the class or a higher one.
func (q *queue) ahead(class Class) int {
	n := 0
	for i := range int(class) + 1 {
		n += q.classes[i].length
	}
	return n
}

// victim returns the request that gives up its place to r when the queue is
// full, or nil if r itself has to yield: one of a lower class, or one of a
// caller that would still have at least as many places as r's caller.
func (q *queue) victim(r *record) *record {
	for class := ClassCount - 1; class >= int(r.class); class-- {
		longest := q.classes[class].longest()
		if longest == nil {
			continue
		}
		if class > int(r.class) || longest.waiting.Len() > q.classes[class].places(r.caller)+1 {
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

func (c *classQueue) places(caller dfuident.Caller) int {
	if q := c.callers[caller]; q != nil {
		return q.waiting.Len()
	}
	return 0
}

// last returns the caller's request with the latest deadline.
func (c *callerQueue) last() *record {
	last := c.waiting.First()
	for _, r := range c.waiting.All()[1:] {
		if sooner(last, r) {
			last = r
		}
	}
	return last
}

// before orders records by deadline and then by arrival.
func before(a, b *record) bool {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival)) < 0
}

// sooner orders records by objective, or by deadline if they have none, and then
// by arrival.
func sooner(a, b *record) bool {
	return cmp.Or(cmp.Compare(a.wanted(), b.wanted()), cmp.Compare(a.arrival, b.arrival)) < 0
}

// wanted returns when the request should be answered.
func (r *record) wanted() dfuclock.Time {
	if r.objective > 0 {
		return r.objective
	}
	return r.deadline
}

// newWaiting returns an empty heap of waiting records by when they should be
// answered.
func newWaiting() *dfuheap.Heap[*record] {
	return dfuheap.New(sooner, func(r *record) *int { return &r.queueIndex })
}

// newTimers returns an empty heap of live records by deadline.
func newTimers() *dfuheap.Heap[*record] {
	return dfuheap.New(before, func(r *record) *int { return &r.timerIndex })
}
