package dfugate

import (
	"cmp"
	"container/heap"

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
	waiting byDeadline
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
		caller = &callerQueue{caller: r.caller}
		c.callers[r.caller] = caller
		c.turn = append(c.turn, caller)
	}
	heap.Push(&caller.waiting, r)
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
	if may(c.waiting[0]) {
		return c.waiting[0]
	}
	var first *record
	for _, r := range c.waiting {
		if may(r) && (first == nil || before(r, first)) {
			first = r
		}
	}
	return first
}

func (q *queue) remove(r *record) {
	c := &q.classes[r.class]
	caller := c.callers[r.caller]
	heap.Remove(&caller.waiting, r.queueIndex)
	c.length--
	q.length--
	if len(caller.waiting) > 0 {
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
		if class > int(r.class) || len(longest.waiting) > q.classes[class].places(r.caller)+1 {
			return longest.last()
		}
		return nil
	}
	return nil
}

func (c *classQueue) longest() *callerQueue {
	var longest *callerQueue
	for _, caller := range c.turn {
		if longest == nil || len(caller.waiting) > len(longest.waiting) {
			longest = caller
		}
	}
	return longest
}

func (c *classQueue) places(caller dfuident.Caller) int {
	if q := c.callers[caller]; q != nil {
		return len(q.waiting)
	}
	return 0
}

// last returns the caller's request with the latest deadline.
func (c *callerQueue) last() *record {
	last := c.waiting[0]
	for _, r := range c.waiting[1:] {
		if before(last, r) {
			last = r
		}
	}
	return last
}

// before orders records by deadline and then by arrival.
func before(a, b *record) bool {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival)) < 0
}

// byDeadline is a heap of one caller's waiting records.
type byDeadline []*record

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return before(h[i], h[j]) }

func (h byDeadline) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex = i
	h[j].queueIndex = j
}

// Push adds a record.
func (h *byDeadline) Push(x any) {
	r := x.(*record)
	r.queueIndex = len(*h)
	*h = append(*h, r)
}

// Pop removes the last record.
func (h *byDeadline) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}

// timers is a heap of all live records by deadline.
type timers []*record

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return before(h[i], h[j]) }

func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex = i
	h[j].timerIndex = j
}

// Push adds a record.
func (h *timers) Push(x any) {
	r := x.(*record)
	r.timerIndex = len(*h)
	*h = append(*h, r)
}

// Pop removes the last record.
func (h *timers) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.timerIndex = -1
	return r
}
