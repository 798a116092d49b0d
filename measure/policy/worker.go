package policy

import (
	"cmp"
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuvirtual"
)

// attempt is one sending of a call to a worker.
type attempt struct {
	id     dfuident.RequestID
	call   *call
	worker *worker
	sent   dfuvirtual.Instant
	// wait says that the attempt waits for a slot if none is free.
	wait bool
	// noSlot says that it was refused for want of a slot in time.
	noSlot bool
	// assigned says that it is under way to its worker, waits or runs there.
	assigned bool
	// closed says that the entry node has noted the attempt's end.
	closed bool
	// started and finish are points of the worker's work scale.
	started, finish float64
}

// worker is a fake target behind the real gate.
type worker struct {
	sim    *simulation
	member dfuident.Member
	place  dfuident.Place
	slots  int
	gate   *dfugate.Machine
	// speed is the work in milliseconds done per dfuvirtual.Millisecond; worked is the
	// work that one slot could have done until updated.
	speed    float64
	worked   float64
	updated  dfuvirtual.Instant
	version  uint64
	attempts map[dfuident.RequestID]*attempt
	running  []*attempt
	// assigned counts what is under way, waits or runs, for the oracle.
	assigned int
	down     bool
	draining bool
	failing  bool
	lying    bool
	cold     dfuclock.Time
	budget   *dfubudget.Measuring
}

// newWorker returns a warm worker.
func newWorker(s *simulation, node dfuident.NodeID, place dfuident.Place) *worker {
	cfg := dfugate.DefaultConfig()
	cfg.Limits.Queue = queueFactor * s.deployment.Slots
	w := &worker{
		sim: s, member: dfuident.Member{Node: node, Incarnation: 1}, place: place,
		slots: s.deployment.Slots, speed: 1, attempts: map[dfuident.RequestID]*attempt{},
		budget: dfubudget.NewMeasuring(1),
	}
	w.gate = dfugate.New(cfg, w.member)
	w.step(dfugate.TargetAnnounced{Service: s.deployment.Service, Slots: w.slots})
	return w
}

// advance brings the work scale up to now.
func (w *worker) advance() {
	w.worked += float64(w.sim.clock.Now()-w.updated) / float64(dfuvirtual.Millisecond) * w.speed
	w.updated = w.sim.clock.Now()
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
	next := slices.MinFunc(w.running, func(a, b *attempt) int { return cmp.Compare(a.finish, b.finish) })
	version := w.version
	wait := dfuvirtual.Instant((next.finish-w.worked)/w.speed*float64(dfuvirtual.Millisecond)) + 1
	w.sim.clock.After(wait, func() {
		if version == w.version {
			w.finish()
		}
	})
}

// finish ends the runs whose work is done.
func (w *worker) finish() {
	w.advance()
	for _, a := range slices.Clone(w.running) {
		if a.finish <= w.worked {
			w.stop(a)
			w.step(dfugate.TargetDone{ID: a.id})
		}
	}
	w.schedule()
}

// stop takes an attempt off the target.
func (w *worker) stop(a *attempt) {
	w.running = slices.DeleteFunc(w.running, func(other *attempt) bool { return other == a })
	w.sim.noteWork(a, w.worked-a.started)
}

// forget ends an attempt at this worker.
func (w *worker) forget(a *attempt) {
	delete(w.attempts, a.id)
	if a.assigned {
		a.assigned = false
		w.assigned--
	}
}

// arrive takes an attempt off the network. One that doesn't wait is refused
// before the gate if it finds no free slot.
func (w *worker) arrive(a *attempt) {
	load := w.gate.Load()
	switch {
	case w.down:
	case w.failing:
		w.forget(a)
		w.sim.clock.After(dfuvirtual.Milliseconds(errorTime), func() {
			w.sim.answer(a, dfuchoice.FeedbackTargetError, w.load())
		})
	case w.sim.contender.Refuse && !a.wait && (load.InFlight >= load.Slots || load.Queued > 0):
		w.refuse(a, dfuoutcome.ReasonQueueFull)
	default:
		remaining := (a.call.deadline - w.sim.clock.Now()).Duration()
		w.attempts[a.id] = a
		w.step(dfugate.Offer{
			ID: a.id, Service: w.sim.deployment.Service, Remaining: remaining, Idempotent: a.call.idempotent,
		})
		w.sim.clock.After(dfuvirtual.Instant(remaining+1)*dfuvirtual.Millisecond, func() { w.step(dfugate.Tick{}) })
	}
}

// cancel withdraws an attempt, wherever it is.
func (w *worker) cancel(a *attempt) {
	w.forget(a)
	w.step(dfugate.Cancel{ID: a.id, Reason: dfuoutcome.ReasonCanceled})
}

// step gives the gate an event and does what it asks for.
func (w *worker) step(event dfugate.Event) {
	w.advance()
	for _, action := range slices.Clone(w.gate.Step(w.sim.clock.Now().Time(), event)) {
		w.do(action)
	}
	w.schedule()
}

func (w *worker) do(action dfugate.Action) {
	switch action := action.(type) {
	case dfugate.AskTarget, dfugate.AskBody:
		// Workers tell no pace, and requests have no bodies.
	case dfugate.RunOnTarget:
		w.run(action.ID)
	case dfugate.AskClaim:
		w.step(dfugate.ClaimGranted{ID: action.ID})
	case dfugate.CancelOnTarget:
		i := slices.IndexFunc(w.running, func(a *attempt) bool { return a.id == action.ID })
		if i >= 0 {
			w.stop(w.running[i])
		}
		w.step(dfugate.TargetFailed{ID: action.ID})
	case dfugate.Refuse:
		if a := w.attempts[action.ID]; a != nil {
			w.refuse(a, action.Reason)
		}
	case dfugate.Complete:
		if a := w.attempts[action.ID]; a != nil {
			w.complete(a, action.Outcome)
		}
	case dfugate.ReleaseClaim, dfugate.SealAnswer, dfugate.Drained, dfugate.BanFingerprint,
		dfugate.ClearFingerprint, dfugate.ReportCrash, dfugate.Log:
	}
}

// run puts an attempt on the target.
func (w *worker) run(id dfuident.RequestID) {
	a := w.attempts[id]
	a.started = w.worked
	a.finish = w.worked + a.call.work
	w.running = append(w.running, a)
}

// complete answers an attempt that ran.
func (w *worker) complete(a *attempt, outcome dfuoutcome.Outcome) {
	w.forget(a)
	kind := dfuchoice.FeedbackAnswered
	if outcome != dfuoutcome.Answered {
		kind = dfuchoice.FeedbackTargetError
	}
	w.sim.answer(a, kind, w.load())
}

// refuse tells the entry node that an attempt was not run.
func (w *worker) refuse(a *attempt, reason dfuoutcome.Reason) {
	w.forget(a)
	a.noSlot = reason == dfuoutcome.ReasonQueueFull || reason == dfuoutcome.ReasonDeadlineTooShort
	w.sim.answer(a, dfuchoice.FeedbackRefused, w.load())
}

// load returns the load to put on an answer or a report.
func (w *worker) load() dfuchoice.Load {
	load := dfuchoice.Load(w.gate.Load())
	if w.lying {
		load.InFlight, load.Queued, load.ServiceTime = 0, 0, 1
	}
	return load
}
