package policy

import (
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// attemptState is where an attempt is.
type attemptState uint8

const (
	underWay attemptState = iota
	queued
	running
	ended
)

// attempt is one sending of a call to a worker.
type attempt struct {
	call   *call
	worker *worker
	sent   instant
	// wait says that the attempt waits for a slot if none is free.
	wait bool
	// noSlot says that it was refused for want of a free slot.
	noSlot bool
	state  attemptState
	// closed says that the entry node has noted the attempt's end.
	closed bool
	// started and finish are points of the worker's work scale.
	started, finish float64
	startedAt       instant
}

// worker is a fake target with the gate beside it.
type worker struct {
	sim    *simulation
	member dfuident.Member
	place  dfuident.Place
	slots  int
	// speed is the work in milliseconds done per millisecond; worked is the
	// work that one slot could have done until updated.
	speed    float64
	worked   float64
	updated  instant
	version  uint64
	running  []*attempt
	queue    []*attempt
	assigned int
	down     bool
	draining bool
	failing  bool
	lying    bool
	cold     dfuclock.Time
	service  float64
	sequence uint32
	budget   *dfubudget.Measuring
}

// advance brings the work scale up to now.
func (w *worker) advance() {
	w.worked += float64(w.sim.clock.now-w.updated) / float64(millisecond) * w.speed
	w.updated = w.sim.clock.now
}

// setSpeed changes the speed of everything that runs.
func (w *worker) setSpeed(speed float64) {
	w.advance()
	w.speed = speed
	w.schedule()
}

// schedule plans the next end of a run, making earlier plans void.
func (w *worker) schedule() {
	w.version++
	if len(w.running) == 0 {
		return
	}
	next := slices.MinFunc(w.running, func(a, b *attempt) int { return compare(a.finish, b.finish) })
	version := w.version
	wait := instant((next.finish-w.worked)/w.speed*float64(millisecond)) + 1
	w.sim.clock.after(wait, func() {
		if version == w.version {
			w.finish()
		}
	})
}

// finish ends the runs whose work is done and starts others.
func (w *worker) finish() {
	w.advance()
	for _, a := range slices.Clone(w.running) {
		if a.finish <= w.worked {
			w.stop(a)
			w.noteService(w.sim.clock.now - a.startedAt)
			w.sim.answer(a, dfuchoice.FeedbackAnswered, w.load())
		}
	}
	w.fill()
}

// noteService learns the time that a request holds a slot.
func (w *worker) noteService(held instant) {
	w.service += serviceSmoothing * (float64(held)/float64(millisecond) - w.service)
}

// stop takes an attempt off its slot.
func (w *worker) stop(a *attempt) {
	w.running = slices.DeleteFunc(w.running, func(other *attempt) bool { return other == a })
	w.sim.noteWork(a, w.worked-a.started)
	a.state = ended
	w.assigned--
}

// arrive is the gate's decision on an attempt.
func (w *worker) arrive(a *attempt) {
	w.advance()
	switch {
	case w.down:
		return
	case a.state == ended:
		w.assigned--
		return
	case w.failing:
		w.assigned--
		a.state = ended
		w.sim.clock.after(milliseconds(errorTime), func() {
			w.sim.answer(a, dfuchoice.FeedbackTargetError, w.load())
		})
		return
	case w.draining || w.refuses(a):
		w.assigned--
		a.state = ended
		a.noSlot = !w.draining
		w.sim.answer(a, dfuchoice.FeedbackRefused, w.load())
		return
	}
	a.state = queued
	w.queue = append(w.queue, a)
	w.fill()
}

// refuses reports whether an attempt is better off elsewhere, or can't be run
// in time.
func (w *worker) refuses(a *attempt) bool {
	if len(w.running) < w.slots && len(w.queue) == 0 {
		return false
	}
	if len(w.queue) >= queueFactor*w.slots {
		return true
	}
	if !w.sim.contender.Refuse {
		return false
	}
	wait := float64(len(w.queue)+1) * w.service / float64(w.slots)
	remaining := float64(a.call.deadline-w.sim.clock.now) / float64(millisecond)
	return !a.wait || wait+w.service > remaining
}

// fill starts what waits in the queue while slots are free.
func (w *worker) fill() {
	for len(w.queue) > 0 && len(w.running) < w.slots {
		a := w.queue[0]
		w.queue = w.queue[1:]
		a.state = running
		a.started, a.startedAt = w.worked, w.sim.clock.now
		a.finish = w.worked + a.call.work
		w.running = append(w.running, a)
	}
	w.schedule()
}

// cancel ends an attempt at once, wherever it is.
func (w *worker) cancel(a *attempt) {
	w.advance()
	switch a.state {
	case queued:
		w.queue = slices.DeleteFunc(w.queue, func(other *attempt) bool { return other == a })
		w.assigned--
	case running:
		w.stop(a)
		w.fill()
	case underWay, ended:
	}
	a.state = ended
}

// load returns the load to put on an answer or a report.
func (w *worker) load() dfuchoice.Load {
	w.sequence++
	if w.lying {
		return dfuchoice.Load{Slots: uint16(w.slots), ServiceTime: 1, Sequence: w.sequence}
	}
	return dfuchoice.Load{
		InFlight:    uint16(len(w.running)),
		Queued:      uint16(len(w.queue)),
		Slots:       uint16(w.slots),
		ServiceTime: dfuclock.Duration(w.service + 0.5),
		Sequence:    w.sequence,
	}
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
