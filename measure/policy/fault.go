package policy

import (
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/measure/dfuvirtual"
)

// planFault schedules what goes wrong. The first worker is the one that fails.
func (s *simulation) planFault() {
	victim := s.workers[0]
	switch s.scenario.Fault {
	case FaultNone, FaultUneven:
	case FaultShortJumps, FaultLongJumps:
		for _, w := range s.workers {
			s.jump(w, jumpLengths[s.scenario.Fault])
		}
	case FaultStraggler:
		s.during(func() { victim.setSpeed(stragglerSpeed) }, func() { victim.setSpeed(1) })
	case FaultFailFast:
		s.during(func() { victim.failing = true }, func() { victim.failing = false })
	case FaultColdStart:
		s.during(func() { s.restart(victim) }, func() {})
	case FaultDrain:
		s.during(func() { s.setDraining(victim, true) }, func() { s.setDraining(victim, false) })
	case FaultLying:
		s.during(
			func() { victim.lying = true; victim.setSpeed(lyingSpeed) },
			func() { victim.lying = false; victim.setSpeed(1) },
		)
	case FaultLinkCut:
		s.during(func() { s.linkCut = true }, func() { s.linkCut = false })
	}
}

// during schedules the start and the end of a fault.
func (s *simulation) during(start, end func()) {
	s.clock.After(faultStarts, start)
	s.clock.After(faultEnds, end)
}

// jump lets a neighbor slow a worker down now and then.
func (s *simulation) jump(w *worker, mean float64) {
	gap := dfuvirtual.Milliseconds(jumpGaps * mean * s.faults.ExpFloat64())
	length := dfuvirtual.Milliseconds(mean * s.faults.ExpFloat64())
	s.clock.After(gap, func() { w.setSpeed(jumpSpeed) })
	s.clock.After(gap+length, func() {
		w.setSpeed(1)
		if s.clock.Now() < warmUp+measured {
			s.jump(w, mean)
		}
	})
}

// setDraining changes a gate at once; the entry nodes learn of it later.
func (s *simulation) setDraining(w *worker, draining bool) {
	w.draining = draining
	if draining {
		w.step(dfugate.DrainRequested{})
	} else {
		w.step(dfugate.DrainCanceled{})
	}
	s.clock.After(rosterDelay, s.announce)
}

// restart replaces a worker by a cold one that reaches its full speed in
// steps. What ran there is lost.
func (s *simulation) restart(w *worker) {
	w.step(dfugate.TargetCrashed{})
	w.running = nil
	w.step(dfugate.TargetAnnounced{Service: s.deployment.Service, Slots: w.slots, Cold: true})
	w.member.Incarnation++
	w.cold = s.clock.Now().Time()
	w.setSpeed(coldSpeed)
	s.announce()
	const steps = 8
	for i := 1; i <= steps; i++ {
		share := float64(i) / steps
		s.clock.After(dfuvirtual.Instant(share*float64(faultEnds-faultStarts)), func() {
			w.setSpeed(coldSpeed + share*(1-coldSpeed))
		})
	}
}
