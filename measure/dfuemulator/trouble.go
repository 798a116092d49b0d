package dfuemulator

import (
	"math"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// drainTime is how long a draining target keeps running the requests it has.
const drainTime = 2 * dfuvirtual.Second

// scheduleDisruptions schedules the disruptions of a run. Those that change requests
// are already part of the workload.
func (w *simulation) scheduleDisruptions() {
	for _, t := range w.workload.scenario.Troubles {
		w.clock.After(dfuvirtual.Of(t.At), func() { w.startDisruption(t) })
	}
}

// startDisruption starts a disruption and schedules its end.
func (w *simulation) startDisruption(t dfuscenario.Trouble) {
	switch t.Kind {
	case dfuscenario.TroubleBurst, dfuscenario.TroubleShift, dfuscenario.TroubleHammer, dfuscenario.TroubleLeave:
		// newWorkload has already applied these to the requests.
	case dfuscenario.TroubleSlow:
		w.applyTemporarily(t, func(v *vm) { v.target.factor = t.Factor }, func(v *vm) { v.target.factor = 1 })
	case dfuscenario.TroubleFail:
		w.applyTemporarily(t, func(v *vm) { v.target.failShare = t.Factor }, func(v *vm) { v.target.failShare = 0 })
	case dfuscenario.TroubleLost:
		w.applyTemporarily(t, func(v *vm) { v.target.lossShare = t.Factor }, func(v *vm) { v.target.lossShare = 0 })
	case dfuscenario.TroubleCrash:
		w.crash(t)
	case dfuscenario.TroubleReplace:
		w.replace(t)
	case dfuscenario.TroubleRemove:
		for _, v := range w.pick(w.affectedTargets(t), t.Share) {
			w.drain(v)
		}
	case dfuscenario.TroubleAdd:
		w.add(t)
	case dfuscenario.TroubleRestart:
		w.restart(t)
	case dfuscenario.TroubleKill:
		for _, v := range w.pick(w.runningNodes(), t.Share) {
			v.stopNode()
			w.clock.After(dfuvirtual.Of(t.For), func() { v.startAfterDelay(v.startNode) })
		}
	case dfuscenario.TroublePower:
		for _, v := range w.pick(w.runningNodes(), t.Share) {
			v.powerOff()
			w.clock.After(dfuvirtual.Of(t.For), v.powerOn)
		}
	}
}

// runningNodes returns the VMs whose node runs.
func (w *simulation) runningNodes() []*vm {
	var vms []*vm
	for _, v := range w.vms {
		if v.node != nil {
			vms = append(vms, v)
		}
	}
	return vms
}

// affectedTargets returns the targets of a disruption's service, or of a random service
// if it has none.
func (w *simulation) affectedTargets(t dfuscenario.Trouble) []*vm {
	service := t.Service
	if service == "" {
		services := w.workload.scenario.Services
		service = services[w.disruptionRand.IntN(len(services))].Name
	}
	return w.targetsOf(service)
}

// pick returns a random share of the VMs, at least one.
func (w *simulation) pick(vms []*vm, share float64) []*vm {
	vms = slices.Clone(vms)
	w.disruptionRand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	n := int(math.Round(share * float64(len(vms))))
	return vms[:min(max(n, 1), len(vms))]
}

// applyTemporarily calls start for a share of the targets, and end after the disruption
// for those that have not been restarted meanwhile.
func (w *simulation) applyTemporarily(t dfuscenario.Trouble, start, end func(*vm)) {
	for _, v := range w.pick(w.affectedTargets(t), t.Share) {
		affected := v.target
		start(v)
		w.clock.After(dfuvirtual.Of(t.For), func() {
			if v.target == affected {
				end(v)
			}
		})
	}
}

// crash stops targets and restarts them at the end of the disruption.
func (w *simulation) crash(t dfuscenario.Trouble) {
	for _, v := range w.pick(w.affectedTargets(t), t.Share) {
		v.crashTarget()
		w.clock.After(dfuvirtual.Of(t.For), func() {
			if v.up && v.target == nil {
				v.startTarget(true)
				w.scheduleRosterUpdate()
			}
		})
	}
}

// replace starts new VMs of a service and drains as many old ones, in batches.
func (w *simulation) replace(t dfuscenario.Trouble) {
	vms := w.pick(w.affectedTargets(t), t.Share)
	batchSize := max(int(t.Factor), 1)
	for i, v := range vms {
		offset := dfuvirtual.Instant(i/batchSize) * dfuvirtual.Of(t.Gap)
		w.clock.After(offset, func() {
			w.startVM(v.place.Zone, v.service.Name, v.linkMbps)
			w.drain(v)
		})
	}
}

func (w *simulation) add(t dfuscenario.Trouble) {
	vms := w.pick(w.affectedTargets(t), t.Share)
	for i, v := range vms {
		offset := dfuvirtual.Of(t.Gap) * dfuvirtual.Instant(i) / dfuvirtual.Instant(len(vms))
		w.clock.After(offset, func() { w.startVM(v.place.Zone, v.service.Name, v.linkMbps) })
	}
}

// startVM adds a VM and starts its target and node.
func (w *simulation) startVM(zone dfuident.Zone, service dfuident.Service, mbps float64) {
	v := w.addVM(dfuscenario.VMs{Zone: zone, Service: service, LinkMbps: mbps})
	v.startTarget(true)
	v.startAfterDelay(v.startNode)
}

// drain closes the gate of a target at once and powers its VM off later.
func (w *simulation) drain(v *vm) {
	if v.leaving || v.target == nil {
		return
	}
	v.leaving = true
	if v.node != nil {
		v.node.drainGate()
	}
	w.scheduleRosterUpdate()
	w.clock.After(drainTime, func() { v.ready = false })
	w.clock.After(2*drainTime, v.powerOff)
}

// restart restarts nodes in batches. Before it stops, a node takes no new callers for a
// grace period and finishes what it has.
func (w *simulation) restart(t dfuscenario.Trouble) {
	const grace = 3 * dfuvirtual.Second
	batchSize := max(int(t.Factor), 1)
	for i, v := range w.pick(w.runningNodes(), t.Share) {
		offset := dfuvirtual.Instant(i/batchSize) * dfuvirtual.Of(t.Gap)
		w.clock.After(offset, func() { v.ready = false })
		w.clock.After(offset+grace, func() {
			v.stopNode()
			v.startAfterDelay(v.startNode)
		})
	}
}

// crashTarget stops the target and loses its work.
func (v *vm) crashTarget() {
	if v.target == nil {
		return
	}
	v.target.crash()
	v.target = nil
	if v.node != nil {
		v.node.targetCrashed()
	}
	v.simulation.scheduleRosterUpdate()
}
