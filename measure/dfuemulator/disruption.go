package dfuemulator

import (
	"math"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// drainTime is how long after the start of a drain callers may still use the node. The
// VM is powered off after twice that time.
const drainTime = 2 * dfuvirtual.Second

// scheduleDisruptions schedules the disruptions of a run. Those that change requests
// are already part of the workload.
func (w *simulation) scheduleDisruptions() {
	for _, d := range w.workload.scenario.Troubles {
		w.clock.After(dfuvirtual.FromDuration(d.At), func() { w.startDisruption(d) })
	}
}

// startDisruption starts a disruption and schedules its end.
func (w *simulation) startDisruption(d dfuscenario.Disruption) {
	switch d.Kind {
	case dfuscenario.DisruptionBurst, dfuscenario.DisruptionShift, dfuscenario.DisruptionDuplicate, dfuscenario.DisruptionGiveUp:
		// newWorkload has already applied these to the requests.
	case dfuscenario.DisruptionSlow:
		w.applyTemporarily(d, func(v *vm) { v.target.factor = d.Factor }, func(v *vm) { v.target.factor = 1 })
	case dfuscenario.DisruptionFail:
		w.applyTemporarily(d, func(v *vm) { v.target.failShare = d.Factor }, func(v *vm) { v.target.failShare = 0 })
	case dfuscenario.DisruptionLost:
		w.applyTemporarily(d, func(v *vm) { v.target.lossShare = d.Factor }, func(v *vm) { v.target.lossShare = 0 })
	case dfuscenario.DisruptionCrash:
		w.crash(d)
	case dfuscenario.DisruptionReplace:
		w.replace(d)
	case dfuscenario.DisruptionRemove:
		for _, v := range w.pick(w.affectedTargets(d), d.Share) {
			w.drain(v)
		}
	case dfuscenario.DisruptionAdd:
		w.add(d)
	case dfuscenario.DisruptionRestart:
		w.restart(d)
	case dfuscenario.DisruptionKill:
		for _, v := range w.pick(w.runningNodes(), d.Share) {
			v.stopNode()
			w.clock.After(dfuvirtual.FromDuration(d.For), func() { v.startAfterDelay(v.startNode) })
		}
	case dfuscenario.DisruptionPower:
		for _, v := range w.pick(w.runningNodes(), d.Share) {
			v.powerOff()
			w.clock.After(dfuvirtual.FromDuration(d.For), v.powerOn)
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
func (w *simulation) affectedTargets(d dfuscenario.Disruption) []*vm {
	service := d.Service
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
func (w *simulation) applyTemporarily(d dfuscenario.Disruption, start, end func(*vm)) {
	for _, v := range w.pick(w.affectedTargets(d), d.Share) {
		affected := v.target
		start(v)
		w.clock.After(dfuvirtual.FromDuration(d.For), func() {
			if v.target == affected {
				end(v)
			}
		})
	}
}

// crash stops targets and restarts them at the end of the disruption.
func (w *simulation) crash(d dfuscenario.Disruption) {
	for _, v := range w.pick(w.affectedTargets(d), d.Share) {
		v.crashTarget()
		w.clock.After(dfuvirtual.FromDuration(d.For), func() {
			if v.up && v.target == nil {
				v.startTarget(true)
				w.scheduleRosterUpdate()
			}
		})
	}
}

// replace starts new VMs of a service and drains as many old ones, in batches.
func (w *simulation) replace(d dfuscenario.Disruption) {
	vms := w.pick(w.affectedTargets(d), d.Share)
	batchSize := max(int(d.Factor), 1)
	for i, v := range vms {
		offset := dfuvirtual.Instant(i/batchSize) * dfuvirtual.FromDuration(d.Gap)
		w.clock.After(offset, func() {
			w.startVM(v.place.Zone, v.service.Name, v.linkMbps)
			w.drain(v)
		})
	}
}

func (w *simulation) add(d dfuscenario.Disruption) {
	vms := w.pick(w.affectedTargets(d), d.Share)
	for i, v := range vms {
		offset := dfuvirtual.FromDuration(d.Gap) * dfuvirtual.Instant(i) / dfuvirtual.Instant(len(vms))
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
func (w *simulation) restart(d dfuscenario.Disruption) {
	const grace = 3 * dfuvirtual.Second
	batchSize := max(int(d.Factor), 1)
	for i, v := range w.pick(w.runningNodes(), d.Share) {
		offset := dfuvirtual.Instant(i/batchSize) * dfuvirtual.FromDuration(d.Gap)
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
