package dfugate

import (
	"cmp"
	"maps"
	"math"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
)

// queue holds the requests that wait for a slot. It serves the classes by priority, the
// flows of a class round-robin, and the requests of a flow by objective or deadline. Where
// flows have weights, it serves them by start-time fair queueing. Flows without waiting
// requests use no memory, once their turn has passed.
type queue struct {
	classes [ClassCount]classQueue
	length  int
}

// flow identifies the requests that share turns: those of a workspace or, if they have
// none, of a caller.
type flow struct {
	workspace dfuident.Workspace
	caller    dfuident.Caller
}

func flowOf(o Offer) flow {
	if o.Workspace != "" {
		return flow{workspace: o.Workspace}
	}
	return flow{caller: o.Caller}
}

// classQueue serves its flows round-robin, or by virtual time if they have weights. turn[0]
// is the next one.
type classQueue struct {
	turn   []*flowQueue
	flows  map[flow]*flowQueue
	length int
	// virtualTime is the start of the flow that was served last. finished holds, of flows
	// without waiting requests, the virtual times that are later.
	virtualTime float64
	finished    map[flow]float64
	// served counts the requests that were served by virtual time.
	served int
}

// flowQueue is a heap of one flow's requests, ordered by dueEarlier.
type flowQueue struct {
	flow flow
	// weight is the share of the flow among others; zero if it has none.
	weight float64
	// start is the virtual time from which the flow's next request is served.
	start   float64
	waiting *dfuheap.Heap[*request]
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.classes {
		q.classes[i].flows = make(map[flow]*flowQueue)
		q.classes[i].finished = make(map[flow]float64)
	}
	return q
}

func (q *queue) push(r *request) {
	c := &q.classes[r.class]
	f := c.flows[r.flow]
	if f == nil {
		f = &flowQueue{flow: r.flow, start: c.startOf(r.flow), waiting: newWaiting()}
		delete(c.finished, r.flow)
		c.flows[r.flow] = f
		c.turn = append(c.turn, f)
	}
	f.weight = r.weight
	f.waiting.Push(r)
	c.length++
	q.length++
}

// next returns the next eligible request, or nil. It moves the request's flow to the end of
// turn but leaves the request in the queue.
func (q *queue) next(eligible func(*request) bool) *request {
	for i := range q.classes {
		if r := q.classes[i].next(eligible); r != nil {
			return r
		}
	}
	return nil
}

// next returns the first eligible request in the order of turns or, if flows have weights,
// of virtual time.
func (c *classQueue) next(eligible func(*request) bool) *request {
	if c.maxWeight() > 0 {
		return c.nextByWeight(eligible)
	}
	for turn, f := range c.turn {
		r := f.next(eligible)
		if r == nil {
			continue
		}
		copy(c.turn[turn:], c.turn[turn+1:])
		c.turn[len(c.turn)-1] = f
		return r
	}
	return nil
}

// freeTurns is the number of requests of which one is served by objective, regardless of
// its flow, so that one that sends more than its share isn't starved.
const freeTurns = 8

func (c *classQueue) isFreeTurn() bool {
	return c.served%freeTurns == freeTurns-1
}

// nextByWeight returns the eligible request of the flow with the least start or, in a free
// turn, the one that is due first.
func (c *classQueue) nextByWeight(eligible func(*request) bool) *request {
	var first *request
	start := 0.0
	free := c.isFreeTurn()
	for _, f := range c.turn {
		if first != nil && f.start > start && !free {
			continue
		}
		r := f.next(eligible)
		if r != nil && (first == nil || f.start < start && !free || dueEarlier(r, first)) {
			first, start = r, f.start
		}
	}
	return first
}

// charge advances the virtual time by a request that gets a slot.
func (q *queue) charge(r *request) {
	c := &q.classes[r.class]
	maxWeight := c.maxWeight()
	if maxWeight == 0 {
		return
	}
	free := c.isFreeTurn()
	c.served++
	if free {
		return
	}
	f := c.flows[r.flow]
	c.virtualTime = max(c.virtualTime, f.start)
	f.start += 1 / f.weightOr(maxWeight)
	maps.DeleteFunc(c.finished, func(_ flow, at float64) bool { return at <= c.virtualTime })
}

// maxWeight returns the greatest weight of a flow, or zero if none has a weight.
func (c *classQueue) maxWeight() float64 {
	greatest := 0.0
	for _, f := range c.turn {
		greatest = max(greatest, f.weight)
	}
	return greatest
}

// weightOr returns the flow's weight, or the given one if it has none.
func (f *flowQueue) weightOr(other float64) float64 {
	if f.weight > 0 {
		return f.weight
	}
	return other
}

// next returns the flow's eligible request that is due first, or nil.
func (f *flowQueue) next(eligible func(*request) bool) *request {
	if eligible(f.waiting.Peek()) {
		return f.waiting.Peek()
	}
	var first *request
	for _, r := range f.waiting.All() {
		if eligible(r) && (first == nil || dueEarlier(r, first)) {
			first = r
		}
	}
	return first
}

func (q *queue) remove(r *request) {
	c := &q.classes[r.class]
	f := c.flows[r.flow]
	f.waiting.Remove(r)
	c.length--
	q.length--
	if f.waiting.Len() > 0 {
		return
	}
	delete(c.flows, r.flow)
	if f.start > c.virtualTime {
		c.finished[r.flow] = f.start
	}
	if c.length == 0 {
		clear(c.finished)
	}
	for i, other := range c.turn {
		if other == f {
			c.turn = append(c.turn[:i], c.turn[i+1:]...)
			return
		}
	}
}

// all returns every waiting request.
func (q *queue) all() []*request {
	var all []*request
	for i := range q.classes {
		for _, f := range q.classes[i].turn {
			all = append(all, f.waiting.All()...)
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
// be refused. The victim is of a lower class, or of the flow in r's class with the most
// queued requests by its weight, if others remain to it. It has to have more than r's flow
// will have, unless none of that flow waits.
func (q *queue) victim(r *request) *request {
	for class := ClassCount - 1; class > int(r.class); class-- {
		c := &q.classes[class]
		if longest := c.longest(c.maxWeight(), 1); longest != nil {
			return longest.last()
		}
	}
	c := &q.classes[r.class]
	maxWeight := max(c.maxWeight(), r.weight)
	longest := c.longest(maxWeight, 2)
	queued := c.queuedBy(r.flow)
	own := &flowQueue{weight: r.weight}
	if longest == nil || queued > 0 && longest.length(maxWeight) <= float64(queued+1)/own.share(maxWeight) {
		return nil
	}
	return longest.last()
}

// longest returns the flow with the most queued requests by its weight, of those with at
// least n.
func (c *classQueue) longest(maxWeight float64, n int) *flowQueue {
	var longest *flowQueue
	for _, f := range c.turn {
		if f.waiting.Len() >= n && (longest == nil || f.length(maxWeight) > longest.length(maxWeight)) {
			longest = f
		}
	}
	return longest
}

// startOf returns the virtual time from which a request of a flow without others is served.
func (c *classQueue) startOf(fl flow) float64 {
	return max(c.virtualTime, c.finished[fl])
}

// share returns the flow's weight as a share of the greatest one.
func (f *flowQueue) share(maxWeight float64) float64 {
	if maxWeight == 0 {
		return 1
	}
	return f.weightOr(maxWeight) / maxWeight
}

// length returns the number of the flow's queued requests, divided by its share.
func (f *flowQueue) length(maxWeight float64) float64 {
	return float64(f.waiting.Len()) / f.share(maxWeight)
}

func (c *classQueue) queuedBy(fl flow) int {
	if q := c.flows[fl]; q != nil {
		return q.waiting.Len()
	}
	return 0
}

// aheadOf returns the number of queued requests that run before a new one of r's flow, by
// turns or by the weights of the flows.
func (c *classQueue) aheadOf(r *request) int {
	maxWeight := max(c.maxWeight(), r.weight)
	queued := c.queuedBy(r.flow)
	start := c.startOf(r.flow)
	if f := c.flows[r.flow]; f != nil && maxWeight > 0 {
		start = f.start + float64(queued)/f.weightOr(maxWeight)
	}
	n := queued
	for _, f := range c.turn {
		turns := float64(queued + 1)
		if maxWeight > 0 {
			turns = max(0, math.Ceil((start-f.start)*f.weightOr(maxWeight)))
		}
		if f.flow != r.flow {
			n += int(min(float64(f.waiting.Len()), turns))
		}
	}
	return n
}

// last returns the flow's request that is due last.
func (f *flowQueue) last() *request {
	last := f.waiting.Peek()
	for _, r := range f.waiting.All()[1:] {
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
