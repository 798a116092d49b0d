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

// attempt is one attempt of a call at a worker.
type attempt struct {
	id     dfuident.RequestID
	call   *call
	worker *worker
	sent   dfuvirtual.Instant
	// wait reports whether the attempt may wait for a slot.
	wait bool
	// noSlot reports whether it was refused because no slot would be free in time.
	noSlot bool
	// assigned reports whether it is on its way to its worker, waits or runs
	// there.
	assigned bool
	// closed reports whether the entry node has handled the end of the attempt.
	closed bool
	// started and finish are values of the worker's progress.
	started, finish float64
}

// worker models a target behind the production gate code.
type worker struct {
	sim    *simulation
	member dfuident.Member
	place  dfuident.Place
	slots  int
	gate   *dfugate.Machine
	// speed is the work in milliseconds done per millisecond. progress is the work
	// that one slot could have done until progressAt.
	speed      float64
	progress   float64
	progressAt dfuvirtual.Instant
	version    uint64
	attempts   map[dfuident.RequestID]*attempt
	running    []*attempt
	// assigned counts the attempts that are in flight, wait or run, for the
	// oracle.
	assigned     int
	down         bool
	draining     bool
	failing      bool
	misreporting bool
	coldSince    dfuclock.Time
	budget       *dfubudget.MeasuringBudget
}

// newWorker returns a worker at full speed.
func newWorker(s *simulation, node dfuident.NodeID, place dfuident.Place) *worker {
	cfg := dfugate.DefaultConfig()
	cfg.Limits.Queue = queuePerSlot * s.deployment.Slots
	w := &worker{
		sim: s, member: dfuident.Member{Node: node, Incarnation: 1}, place: place,
		slots: s.deployment.Slots, speed: 1, attempts: map[dfuident.RequestID]*attempt{},
		budget: dfubudget.NewMeasuringBudget(1),
	}
	w.gate = dfugate.New(cfg, w.member)
	w.step(dfugate.TargetAnnounced{Service: s.deployment.Service, Slots: w.slots})
	return w
}

// advance updates progress to the current time.
func (w *worker) advance() {
	w.progress += float64(w.sim.clock.Now()-w.progressAt) / float64(dfuvirtual.Millisecond) * w.speed
	w.progressAt = w.sim.clock.Now()
}

// setSpeed changes the speed, also for running attempts.
func (w *worker) setSpeed(speed float64) {
	w.advance()
	w.speed = speed
	w.schedule()
}

// schedule schedules the next end of a running attempt and invalidates earlier
// schedules.
func (w *worker) schedule() {
	w.version++
	if len(w.running) == 0 {
		return
	}
	next := slices.MinFunc(w.running, func(a, b *attempt) int { return cmp.Compare(a.finish, b.finish) })
	version := w.version
	wait := dfuvirtual.Instant((next.finish-w.progress)/w.speed*float64(dfuvirtual.Millisecond)) + 1
	w.sim.clock.After(wait, func() {
		if version == w.version {
			w.finish()
		}
	})
}

// finish ends the attempts whose work is done.
func (w *worker) finish() {
	w.advance()
	for _, a := range slices.Clone(w.running) {
		if a.finish <= w.progress {
			w.stop(a)
			w.step(dfugate.TargetDone{ID: a.id})
		}
	}
	w.schedule()
}

// stop takes an attempt off the target.
func (w *worker) stop(a *attempt) {
	w.running = slices.DeleteFunc(w.running, func(other *attempt) bool { return other == a })
	w.sim.recordWork(a, w.progress-a.started)
}

// remove removes an attempt from this worker.
func (w *worker) remove(a *attempt) {
	delete(w.attempts, a.id)
	if a.assigned {
		a.assigned = false
		w.assigned--
	}
}

// receive handles an attempt from the network. If the contender refuses early, an
// attempt that must not wait is refused before the gate when no slot is free.
func (w *worker) receive(a *attempt) {
	load := w.gate.Load()
	switch {
	case w.down:
	case w.failing:
		w.remove(a)
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

// cancel cancels an attempt that waits or runs.
func (w *worker) cancel(a *attempt) {
	w.remove(a)
	w.step(dfugate.Cancel{ID: a.id, Reason: dfuoutcome.ReasonCanceled})
}

// step passes an event to the gate and performs its actions.
func (w *worker) step(event dfugate.Event) {
	w.advance()
	for _, action := range slices.Clone(w.gate.Step(w.sim.clock.Now().Time(), event)) {
		w.performAction(action)
	}
	w.schedule()
}

func (w *worker) performAction(action dfugate.Action) {
	switch action := action.(type) {
	case dfugate.RequestTargetLoad, dfugate.RequestBody:
		// Workers report no speed, and requests have no bodies.
	case dfugate.RunOnTarget:
		w.run(action.ID)
	case dfugate.RequestClaim:
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

// run starts an attempt on the target.
func (w *worker) run(id dfuident.RequestID) {
	a := w.attempts[id]
	a.started = w.progress
	a.finish = w.progress + a.call.work
	w.running = append(w.running, a)
}

// complete sends the answer of an attempt that ran.
func (w *worker) complete(a *attempt, outcome dfuoutcome.Outcome) {
	w.remove(a)
	kind := dfuchoice.FeedbackAnswered
	if outcome != dfuoutcome.Answered {
		kind = dfuchoice.FeedbackTargetError
	}
	w.sim.answer(a, kind, w.load())
}

// refuse reports to the entry node that an attempt was not run.
func (w *worker) refuse(a *attempt, reason dfuoutcome.Reason) {
	w.remove(a)
	a.noSlot = reason == dfuoutcome.ReasonQueueFull || reason == dfuoutcome.ReasonDeadlineTooShort
	w.sim.answer(a, dfuchoice.FeedbackRefused, w.load())
}

// load returns the load for an answer or a report.
func (w *worker) load() dfuchoice.Load {
	load := dfuchoice.Load(w.gate.Load())
	if w.misreporting {
		load.InFlight, load.Queued, load.ServiceTime = 0, 0, 1
	}
	return load
}
