package dfuemulator

import (
	"slices"

	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// target models a service process with a number of slots. The duration of a piece of
// work depends on the VM's speed when it starts; later changes affect only later work.
type target struct {
	clock       *dfuvirtual.Clock
	service     *dfuscenario.Service
	slowPeriods []slowPeriod
	// factor is the slowdown caused by a disruption; 1 is the normal speed.
	factor    float64
	coldUntil dfuvirtual.Instant
	// failShare and lossShare are the shares of requests that fail and whose
	// answers are lost.
	failShare, lossShare float64
	jobs                 []*job
}

// job is a running request. It holds a slot from its start to its end.
type job struct {
	// factor is the slowdown of its work.
	factor float64
	// until is when its current piece of work ends.
	until dfuvirtual.Instant
	ended bool
}

// newTarget returns a target that starts now.
func newTarget(clock *dfuvirtual.Clock, service *dfuscenario.Service, slowPeriods []slowPeriod, cold bool) *target {
	t := &target{clock: clock, service: service, slowPeriods: slowPeriods, factor: 1}
	if cold {
		t.coldUntil = clock.Now() + dfuvirtual.FromDuration(service.ColdFor)
	}
	return t
}

// isCold reports whether the target has started recently.
func (t *target) isCold(at dfuvirtual.Instant) bool {
	return at < t.coldUntil
}

// hasSlowNeighbors reports whether neighbors slow the VM down at an instant.
func (t *target) hasSlowNeighbors(at dfuvirtual.Instant) bool {
	i, inside := slices.BinarySearchFunc(t.slowPeriods, at, func(s slowPeriod, at dfuvirtual.Instant) int {
		switch {
		case s.to <= at:
			return -1
		case s.from > at:
			return 1
		default:
			return 0
		}
	})
	return inside && i < len(t.slowPeriods)
}

// slowdown returns the factor by which work that starts at an instant takes longer than
// normal, not counting slot usage.
func (t *target) slowdown(at dfuvirtual.Instant) float64 {
	factor := t.factor
	if t.hasSlowNeighbors(at) {
		factor *= t.service.Neighbors.Factor
	}
	if t.isCold(at) {
		factor *= t.service.ColdFactor
	}
	return factor
}

// startJob takes a slot for a job whose work starts now.
func (t *target) startJob() *job {
	j := &job{}
	t.jobs = append(t.jobs, j)
	t.updateFactor(j)
	return j
}

// updateFactor sets the job's slowdown from the current state of the target.
func (t *target) updateFactor(j *job) {
	j.factor = t.slowdown(t.clock.Now())
	if s := t.service; s.FullFactor > 1 && float64(len(t.jobs)) > s.FullShare*float64(s.Slots) {
		j.factor *= s.FullFactor
	}
}

// work runs a piece of a job's work, given in milliseconds at the normal speed.
func (t *target) work(j *job, work float64, done func()) {
	duration := dfuvirtual.Milliseconds(work * j.factor)
	j.until = t.clock.Now() + duration
	t.clock.After(duration, func() {
		if !j.ended {
			done()
		}
	})
}

// end ends a job and frees its slot.
func (t *target) end(j *job) {
	j.ended = true
	t.jobs = slices.DeleteFunc(t.jobs, func(other *job) bool { return other == j })
}

// crash ends all jobs without calling back.
func (t *target) crash() {
	for _, j := range t.jobs {
		j.ended = true
	}
	t.jobs = nil
}

// load returns the load that the target reports.
func (t *target) load() dfugate.TargetLoad {
	const percent = 100
	return dfugate.TargetLoad{Running: len(t.jobs), Slots: t.service.Slots, Slowdown: int(percent * t.slowdown(t.clock.Now()))}
}
