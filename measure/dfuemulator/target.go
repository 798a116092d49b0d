package dfuemulator

import (
	"slices"

	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// target is the fake of what a VM serves with: so many slots, and work that takes as
// long as the VM's pace says when it begins. What changes later holds for later work.
type target struct {
	clock   *dfuvirtual.Clock
	service *dfuscenario.Service
	spells  []spell
	// factor is by how much a trouble slows the target down.
	factor    float64
	coldUntil dfuvirtual.Instant
	// fails and loses are the shares of requests that fail, and whose answers are
	// lost.
	fails, loses float64
	jobs         []*job
}

// job is a run of a request. It holds a slot from its start to its end.
type job struct {
	// factor is how many times as long as usual its work takes.
	factor float64
	// until is when its present piece of work is done.
	until dfuvirtual.Instant
	ended bool
}

// newTarget returns a target that starts now.
func newTarget(clock *dfuvirtual.Clock, service *dfuscenario.Service, spells []spell, cold bool) *target {
	t := &target{clock: clock, service: service, spells: spells, factor: 1}
	if cold {
		t.coldUntil = clock.Now() + dfuvirtual.Of(service.ColdFor)
	}
	return t
}

// isCold reports whether the target has just started.
func (t *target) isCold(at dfuvirtual.Instant) bool {
	return at < t.coldUntil
}

// isDisturbed reports whether neighbors slow the VM down at an instant.
func (t *target) isDisturbed(at dfuvirtual.Instant) bool {
	i, inside := slices.BinarySearchFunc(t.spells, at, func(s spell, at dfuvirtual.Instant) int {
		switch {
		case s.to <= at:
			return -1
		case s.from > at:
			return 1
		default:
			return 0
		}
	})
	return inside && i < len(t.spells)
}

// slowdown returns how many times as long as usual work takes on the VM that begins at
// an instant, the target's own fullness apart.
func (t *target) slowdown(at dfuvirtual.Instant) float64 {
	factor := t.factor
	if t.isDisturbed(at) {
		factor *= t.service.Neighbors.Factor
	}
	if t.isCold(at) {
		factor *= t.service.ColdFactor
	}
	return factor
}

// take takes a slot for a job whose work begins now.
func (t *target) take() *job {
	j := &job{}
	t.jobs = append(t.jobs, j)
	t.pace(j)
	return j
}

// pace sets how long the job's work takes by the state of the target now.
func (t *target) pace(j *job) {
	j.factor = t.slowdown(t.clock.Now())
	if s := t.service; s.FullFactor > 1 && float64(len(t.jobs)) > s.FullShare*float64(s.Slots) {
		j.factor *= s.FullFactor
	}
}

// work lets a job do a piece of work in milliseconds at the usual pace.
func (t *target) work(j *job, work float64, done func()) {
	takes := dfuvirtual.Milliseconds(work * j.factor)
	j.until = t.clock.Now() + takes
	t.clock.After(takes, func() {
		if !j.ended {
			done()
		}
	})
}

// end takes a job off its slot.
func (t *target) end(j *job) {
	j.ended = true
	t.jobs = slices.DeleteFunc(t.jobs, func(other *job) bool { return other == j })
}

// crash ends all jobs without a word.
func (t *target) crash() {
	for _, j := range t.jobs {
		j.ended = true
	}
	t.jobs = nil
}

// load returns what the target tells of itself.
func (t *target) load() dfugate.TargetLoad {
	const percent = 100
	return dfugate.TargetLoad{Running: len(t.jobs), Slots: t.service.Slots, Slowdown: int(percent * t.slowdown(t.clock.Now()))}
}
