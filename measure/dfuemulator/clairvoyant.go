package dfuemulator

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// clairvoyant is a central scheduler with full knowledge at no cost: every queue, the
// work of every request and the future slow periods of VMs. Requests queue at it rather
// than at a target. It gives a free slot to the request with the earliest objective
// (earliest deadline first). If not all requests can meet their objectives, it passes
// over those with the least worth for their work, as the Moore-Hodgson algorithm drops
// the longest job; they stay in the queue. It picks the nearest VM at which a request
// still meets its objective.
//
// It is not an upper bound, because it does not use future arrivals.
type clairvoyant struct {
	simulation *simulation
	waiting    map[dfuident.Service][]*pendingCall
	arrivals   uint64
}

// pendingCall is a request that waits for a slot or runs.
type pendingCall struct {
	call  *entryCall
	entry *vm
	order uint64
	// objective and deadline are when the answer is due at the entry node.
	objective, deadline dfuvirtual.Instant
	run                 *clairvoyantRun
}

// clairvoyantRun is a request on a target.
type clairvoyantRun struct {
	call   *pendingCall
	vm     *vm
	target *target
	job    *job
	inner  []*pendingCall
	ended  bool
}

func newClairvoyant(w *simulation) *clairvoyant {
	return &clairvoyant{simulation: w, waiting: make(map[dfuident.Service][]*pendingCall)}
}

// accept queues a request that arrived at an entry node.
func (s *clairvoyant) accept(entry *vm, c *entryCall) *pendingCall {
	now := s.simulation.clock.Now()
	k := c.request.kind
	c.remaining = min(c.remaining, k.Timeout)
	s.arrivals++
	call := &pendingCall{
		call: c, entry: entry, order: s.arrivals,
		deadline:  now + dfuvirtual.FromDuration(c.remaining),
		objective: now + dfuvirtual.FromDuration(min(c.remaining, k.Latency-c.waited)),
	}
	c.pending = call
	s.waiting[k.Service] = append(s.waiting[k.Service], call)
	s.simulation.clock.After(dfuvirtual.FromDuration(c.remaining), func() { s.expire(call) })
	s.dispatch(k.Service)
	return call
}

// expire ends a request at its deadline.
func (s *clairvoyant) expire(call *pendingCall) {
	s.withdraw(call)
	call.call.finish(callResult{outcome: dfuoutcome.Unknown, reason: dfuoutcome.ReasonDeadline})
}

// withdraw removes a request from the queue or its target.
func (s *clairvoyant) withdraw(call *pendingCall) {
	service := call.call.request.kind.Service
	s.waiting[service] = slices.DeleteFunc(s.waiting[service], func(other *pendingCall) bool { return other == call })
	if call.run != nil {
		s.end(call.run)
	}
}

// dispatch gives free slots of a service to waiting requests.
func (s *clairvoyant) dispatch(service dfuident.Service) {
	for {
		call, to := s.next(service)
		if call == nil {
			return
		}
		s.waiting[service] = slices.DeleteFunc(s.waiting[service], func(other *pendingCall) bool { return other == call })
		s.start(call, to)
	}
}

// next returns the next request to run and its VM, or nil.
func (s *clairvoyant) next(service dfuident.Service) (*pendingCall, *vm) {
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
		if to := s.earliest(call, free); s.finish(call, to) <= call.deadline {
			return call, to
		}
	}
	return nil, nil
}

// free returns the VMs of a service with a free usable slot.
func (s *clairvoyant) free(service dfuident.Service) []*vm {
	return slices.DeleteFunc(s.simulation.targetsOf(service), func(v *vm) bool {
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

// order returns the waiting requests in the order in which they should run: first
// nested calls, as running requests wait for them, then, earliest objective first, the
// requests that feasible keeps. late holds the requests that can no longer meet their
// objective. Requests that feasible leaves out are in neither list.
func (s *clairvoyant) order(service dfuident.Service) (timely, late []*pendingCall) {
	var nested []*pendingCall
	now := s.simulation.clock.Now()
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
	slices.SortFunc(timely, func(a, b *pendingCall) int {
		return cmp.Or(cmp.Compare(a.objective, b.objective), cmp.Compare(a.order, b.order))
	})
	timely = s.feasible(service, timely)
	return append(nested, timely...), late
}

// feasible leaves out requests until the remaining ones can all meet their objectives
// if the service's slots share the work evenly.
func (s *clairvoyant) feasible(service dfuident.Service, calls []*pendingCall) []*pendingCall {
	slots, load := 0, dfuvirtual.Instant(0)
	for _, v := range s.simulation.targetsOf(service) {
		slots += usableSlots(v.service)
		for _, j := range v.target.jobs {
			load += max(j.until-s.simulation.clock.Now(), 0)
		}
	}
	if slots == 0 {
		return nil
	}
	now := s.simulation.clock.Now()
	var kept []*pendingCall
	sum := load
	for _, call := range calls {
		kept = append(kept, call)
		sum += call.work()
		for len(kept) > 0 && now+sum/dfuvirtual.Instant(slots)+call.work() > call.objective {
			lowest := lowestDensity(kept)
			sum -= kept[lowest].work()
			kept = slices.Delete(kept, lowest, lowest+1)
			if len(kept) == 0 || kept[len(kept)-1] != call {
				break
			}
		}
	}
	return kept
}

// lowestDensity returns the index of the request with the least worth for its work.
func lowestDensity(calls []*pendingCall) int {
	lowest := 0
	for i, call := range calls {
		if call.density() < calls[lowest].density() {
			lowest = i
		}
	}
	return lowest
}

// work returns how long the request takes at the normal speed, including its calls.
func (c *pendingCall) work() dfuvirtual.Instant {
	return dfuvirtual.Milliseconds(slotTime(c.call.request))
}

// density returns the request's worth per millisecond of work.
func (c *pendingCall) density() float64 {
	return c.call.request.kind.Worth / slotTime(c.call.request)
}

// slotTime returns how long a request holds its slot at the normal speed, in
// milliseconds.
func slotTime(r *request) float64 {
	calls := 0.0
	for _, call := range r.calls {
		if r.callsTogether {
			calls = max(calls, slotTime(call))
		} else {
			calls += slotTime(call)
		}
	}
	return r.work + calls
}

// place returns the nearest VM at which the request meets its objective, or nil.
func (s *clairvoyant) place(call *pendingCall, free []*vm) *vm {
	if call.call.nested {
		return s.earliest(call, free)
	}
	var best *vm
	for _, v := range free {
		if s.finish(call, v) > call.objective {
			continue
		}
		if best == nil || s.simulation.delay(call.entry, v) < s.simulation.delay(call.entry, best) {
			best = v
		}
	}
	return best
}

// earliest returns the VM at which the request ends first.
func (s *clairvoyant) earliest(call *pendingCall, free []*vm) *vm {
	return slices.MinFunc(free, func(a, b *vm) int { return cmp.Compare(s.finish(call, a), s.finish(call, b)) })
}

// finish returns when the answer arrives if the request is sent to a VM now.
func (s *clairvoyant) finish(call *pendingCall, v *vm) dfuvirtual.Instant {
	networkDelay := dfuvirtual.Milliseconds(s.simulation.delay(call.entry, v))
	at := s.simulation.clock.Now() + networkDelay
	return v.target.finishAt(at, slotTime(call.call.request)) + networkDelay
}

// finishAt returns when work, in milliseconds at the normal speed, ends if it starts at
// the given instant.
func (t *target) finishAt(at dfuvirtual.Instant, work float64) dfuvirtual.Instant {
	return at + dfuvirtual.Milliseconds(work*t.slowdown(at))
}

// start sends a request to a VM and reserves its slot at once.
func (s *clairvoyant) start(call *pendingCall, to *vm) {
	r := &clairvoyantRun{call: call, vm: to, target: to.target}
	call.run = r
	request := call.call.request
	s.simulation.result.recordStart(request)
	r.job = to.target.startJob()
	s.simulation.network.send(call.entry, to, framingBytes+request.body, func() {
		if !r.ended && to.target == r.target {
			r.target.updateFactor(r.job)
			r.target.work(r.job, request.work/2, func() { s.callInner(r, 0) })
		}
	})
}

// callInner makes the calls of a running request, starting at index next.
func (s *clairvoyant) callInner(r *clairvoyantRun, next int) {
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

func (s *clairvoyant) callOne(r *clairvoyantRun, request *request, answered func()) {
	left := (r.call.deadline - s.simulation.clock.Now()).Duration()
	if left <= 0 || r.ended {
		return
	}
	c := &entryCall{request: request, remaining: min(request.kind.Deadline, left), nested: true}
	settled := false
	c.finish = func(got callResult) {
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
func (s *clairvoyant) fail(r *clairvoyantRun) {
	s.end(r)
	r.call.call.finish(callResult{outcome: dfuoutcome.Answered, failed: true})
}

// answer ends a run with its answer.
func (s *clairvoyant) answer(r *clairvoyantRun) {
	s.end(r)
	size := framingBytes + r.call.call.request.answer
	s.simulation.network.send(r.vm, r.call.entry, size, func() { r.call.call.finish(callResult{outcome: dfuoutcome.Answered}) })
}

// end frees the slot of a run and withdraws its calls.
func (s *clairvoyant) end(r *clairvoyantRun) {
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

// abandon withdraws the request of a caller that gave up.
func (s *clairvoyant) abandon(c *entryCall) {
	if c.pending != nil {
		s.withdraw(c.pending)
	}
}

// targetsChanged reschedules all services after targets were added or removed.
func (s *clairvoyant) targetsChanged() {
	for _, service := range s.simulation.workload.scenario.Services {
		s.dispatch(service.Name)
	}
}
