package policy

import (
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/measure/dfuvirtual"
)

// scheduleFault schedules the fault of the scenario. A fault of a single worker affects
// the first one.
func (s *simulation) scheduleFault() {
	faulty := s.workers[0]
	switch s.scenario.Fault {
	case FaultNone, FaultUneven:
	case FaultShortSlowdowns, FaultLongSlowdowns:
		for _, w := range s.workers {
			s.scheduleSlowdown(w, slowdownLengths[s.scenario.Fault])
		}
	case FaultStraggler:
		s.scheduleFaultWindow(func() { faulty.setSpeed(stragglerSpeed) }, func() { faulty.setSpeed(1) })
	case FaultFailFast:
		s.scheduleFaultWindow(func() { faulty.failing = true }, func() { faulty.failing = false })
	case FaultColdStart:
		s.scheduleFaultWindow(func() { s.restart(faulty) }, func() {})
	case FaultDrain:
		s.scheduleFaultWindow(func() { s.setDraining(faulty, true) }, func() { s.setDraining(faulty, false) })
	case FaultMisreporting:
		s.scheduleFaultWindow(
			func() { faulty.misreporting = true; faulty.setSpeed(misreportingSpeed) },
			func() { faulty.misreporting = false; faulty.setSpeed(1) },
		)
	case FaultLinkCut:
		s.scheduleFaultWindow(func() { s.linkCut = true }, func() { s.linkCut = false })
	}
}

// scheduleFaultWindow schedules the start and the end of a fault.
func (s *simulation) scheduleFaultWindow(start, end func()) {
	s.clock.After(faultStart, start)
	s.clock.After(faultEnd, end)
}

// scheduleSlowdown slows a worker down repeatedly, as a noisy neighbor does. The pauses
// and lengths are random.
func (s *simulation) scheduleSlowdown(w *worker, mean float64) {
	gap := dfuvirtual.Milliseconds(slowdownGapFactor * mean * s.faults.ExpFloat64())
	length := dfuvirtual.Milliseconds(mean * s.faults.ExpFloat64())
	s.clock.After(gap, func() { w.setSpeed(slowdownSpeed) })
	s.clock.After(gap+length, func() {
		w.setSpeed(1)
		if s.clock.Now() < warmUp+measuredTime {
			s.scheduleSlowdown(w, mean)
		}
	})
}

// setDraining updates the gate at once; entry nodes see the change after rosterDelay.
func (s *simulation) setDraining(w *worker, draining bool) {
	w.draining = draining
	if draining {
		w.step(dfugate.DrainRequested{})
	} else {
		w.step(dfugate.DrainCanceled{})
	}
	s.clock.After(rosterDelay, s.announce)
}

// restart replaces a worker by a cold one that reaches its full speed in steps. Running
// work is lost.
func (s *simulation) restart(w *worker) {
	w.step(dfugate.TargetCrashed{})
	w.running = nil
	w.step(dfugate.TargetAnnounced{Service: s.deployment.Service, Slots: w.slots, Cold: true})
	w.member.Incarnation++
	w.coldSince = s.clock.Now().Time()
	w.setSpeed(coldSpeed)
	s.announce()
	const steps = 8
	for i := 1; i <= steps; i++ {
		share := float64(i) / steps
		s.clock.After(dfuvirtual.Instant(share*float64(faultEnd-faultStart)), func() {
			w.setSpeed(coldSpeed + share*(1-coldSpeed))
		})
	}
}
