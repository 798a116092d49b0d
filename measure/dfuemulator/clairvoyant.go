package dfuemulator

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// clairvoyant is a scheduler for all nodes at once that sees every queue, the work of
// every request and the coming spells of neighbors, and learns all of it at no cost.
// Requests wait for it rather than at a target. It gives a free slot to the request with
// the earliest objective (earliest deadline first); where not all can make theirs, it
// leaves out those with the least worth for their work, as Moore and Hodgson's rule
// leaves out the longest. It sends them as near as they still make their objective.
//
// It is no bound: it doesn't look at requests that have not come yet.
type clairvoyant struct {
	world   *world
	waiting map[dfuident.Service][]*seenCall
	arrived uint64
}

// seenCall is a request that waits for a slot or runs.
type seenCall struct {
	call  *entryCall
	entry *vm
	order uint64
	// objective and deadline are when an answer has to be at the entry node.
	objective, deadline dfuvirtual.Instant
	run                 *seenRun
}

// seenRun is a request on a target.
type seenRun struct {
	call   *seenCall
	vm     *vm
	target *target
	job    *job
	inner  []*seenCall
	ended  bool
}

func newClairvoyant(w *world) *clairvoyant {
	return &clairvoyant{world: w, waiting: make(map[dfuident.Service][]*seenCall)}
}

// accept takes a request at an entry node.
func (s *clairvoyant) accept(entry *vm, c *entryCall) *seenCall {
	now := s.world.clock.Now()
	k := c.request.kind
	c.remaining = min(c.remaining, k.Timeout)
	s.arrived++
	call := &seenCall{
		call: c, entry: entry, order: s.arrived,
		deadline:  now + dfuvirtual.Of(c.remaining),
		objective: now + dfuvirtual.Of(min(c.remaining, k.Latency-c.waited)),
	}
	c.seen = call
	s.waiting[k.Service] = append(s.waiting[k.Service], call)
	s.world.clock.After(dfuvirtual.Of(c.remaining), func() { s.expire(call) })
	s.dispatch(k.Service)
	return call
}

// expire ends a request at its deadline.
func (s *clairvoyant) expire(call *seenCall) {
	s.withdraw(call)
	call.call.finish(result{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonDeadline})
}

// withdraw takes a request off wherever it is.
func (s *clairvoyant) withdraw(call *seenCall) {
	service := call.call.request.kind.Service
	s.waiting[service] = slices.DeleteFunc(s.waiting[service], func(other *seenCall) bool { return other == call })
	if call.run != nil {
		s.end(call.run)
	}
}

// dispatch gives free slots of a service to the requests that wait for it.
func (s *clairvoyant) dispatch(service dfuident.Service) {
	for {
		call, to := s.next(service)
		if call == nil {
			return
		}
		s.waiting[service] = slices.DeleteFunc(s.waiting[service], func(other *seenCall) bool { return other == call })
		s.start(call, to)
	}
}

// next returns the next request to run and where, or nil.
func (s *clairvoyant) next(service dfuident.Service) (*seenCall, *vm) {
	free := s.free(service)
	if len(free) == 0 {
		return nil, nil
	}
	timely, late := s.order(service)
	for _, call := range timely {
		if to := s.place(call, free); to != nil {
			return call, to
		}
	}
	for _, call := range late {
		if to := s.soonest(call, free); s.finish(call, to) <= call.deadline {
			return call, to
		}
	}
	return nil, nil
}

// free returns the VMs of a service with a slot that may be used.
func (s *clairvoyant) free(service dfuident.Service) []*vm {
	return slices.DeleteFunc(s.world.targetsOf(service), func(v *vm) bool {
		return !v.up || len(v.target.jobs) >= usableSlots(v.service)
	})
}

// usableSlots returns how many slots of a target may be used without slowing it down.
func usableSlots(service *dfuscenario.Service) int {
	if service.FullFactor <= 1 {
		return service.Slots
	}
	return max(1, int(service.FullShare*float64(service.Slots)))
}

// order returns the requests that wait in the order in which they should run: first
// what running ones wait for, then those that can make their objective and are worth
// most; the others are late.
func (s *clairvoyant) order(service dfuident.Service) (timely, late []*seenCall) {
	var nested []*seenCall
	now := s.world.clock.Now()
	for _, call := range s.waiting[service] {
		switch {
		case call.call.nested:
			nested = append(nested, call)
		case now+call.work() <= call.objective:
			timely = append(timely, call)
		default:
			late = append(late, call)
		}
	}
	slices.SortFunc(timely, func(a, b *seenCall) int {
		return cmp.Or(cmp.Compare(a.objective, b.objective), cmp.Compare(a.order, b.order))
	})
	timely = s.feasible(service, timely)
	return append(nested, timely...), late
}

// feasible leaves out requests until the others can all make their objectives if the
// service's slots share the work evenly.
func (s *clairvoyant) feasible(service dfuident.Service, calls []*seenCall) []*seenCall {
	slots, load := 0, dfuvirtual.Instant(0)
	for _, v := range s.world.targetsOf(service) {
		slots += usableSlots(v.service)
		for _, j := range v.target.jobs {
			load += max(j.until-s.world.clock.Now(), 0)
		}
	}
	if slots == 0 {
		return nil
	}
	now := s.world.clock.Now()
	var kept []*seenCall
	sum := load
	for _, call := range calls {
		kept = append(kept, call)
		sum += call.work()
		for len(kept) > 0 && now+sum/dfuvirtual.Instant(slots)+call.work() > call.objective {
			least := leastWorth(kept)
			sum -= kept[least].work()
			kept = slices.Delete(kept, least, least+1)
			if len(kept) == 0 || kept[len(kept)-1] != call {
				break
			}
		}
	}
	return kept
}

// leastWorth returns the index of the request that is worth least for its work.
func leastWorth(calls []*seenCall) int {
	least := 0
	for i, call := range calls {
		if call.density() < calls[least].density() {
			least = i
		}
	}
	return least
}

// work returns how long the request takes at the usual pace, its calls included.
func (c *seenCall) work() dfuvirtual.Instant {
	return dfuvirtual.Milliseconds(length(c.call.request))
}

// density returns the worth of the request for its work.
func (c *seenCall) density() float64 {
	return c.call.request.kind.Worth / length(c.call.request)
}

// length returns how long a request holds its slot at the usual pace, in milliseconds.
func length(r *request) float64 {
	calls := 0.0
	for _, call := range r.calls {
		if r.callsTogether {
			calls = max(calls, length(call))
		} else {
			calls += length(call)
		}
	}
	return r.work + calls
}

// place returns the nearest VM at which the request makes its objective, or nil.
func (s *clairvoyant) place(call *seenCall, free []*vm) *vm {
	if call.call.nested {
		return s.soonest(call, free)
	}
	var best *vm
	for _, v := range free {
		if s.finish(call, v) > call.objective {
			continue
		}
		if best == nil || s.world.delay(call.entry, v) < s.world.delay(call.entry, best) {
			best = v
		}
	}
	return best
}

// soonest returns the VM at which the request ends first.
func (s *clairvoyant) soonest(call *seenCall, free []*vm) *vm {
	return slices.MinFunc(free, func(a, b *vm) int { return cmp.Compare(s.finish(call, a), s.finish(call, b)) })
}

// finish returns when the answer of a request that is sent to a VM now is back.
func (s *clairvoyant) finish(call *seenCall, v *vm) dfuvirtual.Instant {
	way := dfuvirtual.Milliseconds(s.world.delay(call.entry, v))
	at := s.world.clock.Now() + way
	return v.target.finishOf(at, length(call.call.request)) + way
}

// finishOf returns when work in milliseconds that begins at an instant is done.
func (t *target) finishOf(at dfuvirtual.Instant, work float64) dfuvirtual.Instant {
	return at + dfuvirtual.Milliseconds(work*t.slowdown(at))
}

// start sends a request to a VM, whose slot is taken from now on.
func (s *clairvoyant) start(call *seenCall, to *vm) {
	r := &seenRun{call: call, vm: to, target: to.target}
	call.run = r
	request := call.call.request
	s.world.result.ran(request)
	r.job = to.target.take()
	s.world.network.send(call.entry, to, framingBytes+request.body, func() {
		if !r.ended && to.target == r.target {
			r.target.pace(r.job)
			r.target.work(r.job, request.work/2, func() { s.callInner(r, 0) })
		}
	})
}

// callInner makes the calls of a running request from the next one on.
func (s *clairvoyant) callInner(r *seenRun, next int) {
	request := r.call.call.request
	switch {
	case r.ended:
	case next >= len(request.calls):
		r.target.work(r.job, request.work/2, func() { s.answer(r) })
	case request.callsTogether:
		left := len(request.calls)
		for _, call := range request.calls {
			s.callOne(r, call, func() {
				if left--; left == 0 {
					s.callInner(r, len(request.calls))
				}
			})
		}
	default:
		s.callOne(r, request.calls[next], func() { s.callInner(r, next+1) })
	}
}

func (s *clairvoyant) callOne(r *seenRun, request *request, answered func()) {
	left := (r.call.deadline - s.world.clock.Now()).Duration()
	if left <= 0 || r.ended {
		return
	}
	c := &entryCall{request: request, remaining: min(request.kind.Deadline, left), nested: true}
	settled := false
	c.finish = func(got result) {
		switch {
		case r.ended || settled:
		case got.outcome == dfuoutcome.Answered:
			settled = true
			answered()
		default:
			settled = true
			s.fail(r)
		}
	}
	r.inner = append(r.inner, s.accept(r.vm, c))
}

// fail ends a run whose call failed.
func (s *clairvoyant) fail(r *seenRun) {
	s.end(r)
	r.call.call.finish(result{outcome: dfuoutcome.Answered, failed: true})
}

// answer ends a run with its answer.
func (s *clairvoyant) answer(r *seenRun) {
	s.end(r)
	size := framingBytes + r.call.call.request.answer
	s.world.network.send(r.vm, r.call.entry, size, func() { r.call.call.finish(result{outcome: dfuoutcome.Answered}) })
}

// end frees the slot of a run and ends its calls.
func (s *clairvoyant) end(r *seenRun) {
	if r.ended {
		return
	}
	r.ended = true
	if r.vm.target == r.target {
		r.target.end(r.job)
	}
	for _, inner := range r.inner {
		s.withdraw(inner)
	}
	s.dispatch(r.vm.service.Name)
}

// leave withdraws the request of a caller that has gone.
func (s *clairvoyant) leave(c *entryCall) {
	if c.seen != nil {
		s.withdraw(c.seen)
	}
}

// changed looks again at all services: targets have come or gone.
func (s *clairvoyant) changed() {
	for _, service := range s.world.plan.scenario.Services {
		s.dispatch(service.Name)
	}
}
