package dfuemulator

import (
	"math"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// drainTime is how long a target that leaves goes on serving what it runs.
const drainTime = 2 * dfuvirtual.Second

// planTroubles schedules what goes wrong, besides what requests were drawn with.
func (w *world) planTroubles() {
	for _, t := range w.plan.scenario.Troubles {
		w.clock.After(dfuvirtual.Of(t.At), func() { w.begin(t) })
	}
}

// begin starts a trouble and schedules its end.
func (w *world) begin(t dfuscenario.Trouble) {
	switch t.Kind {
	case dfuscenario.TroubleBurst, dfuscenario.TroubleShift, dfuscenario.TroubleHammer, dfuscenario.TroubleLeave:
		// The requests were drawn with it.
	case dfuscenario.TroubleSlow:
		w.during(t, func(v *vm) { v.target.factor = t.Factor }, func(v *vm) { v.target.factor = 1 })
	case dfuscenario.TroubleFail:
		w.during(t, func(v *vm) { v.target.fails = t.Factor }, func(v *vm) { v.target.fails = 0 })
	case dfuscenario.TroubleLost:
		w.during(t, func(v *vm) { v.target.loses = t.Factor }, func(v *vm) { v.target.loses = 0 })
	case dfuscenario.TroubleCrash:
		w.crash(t)
	case dfuscenario.TroubleReplace:
		w.replace(t)
	case dfuscenario.TroubleRemove:
		for _, v := range w.pick(w.victims(t), t.Share) {
			w.drain(v)
		}
	case dfuscenario.TroubleAdd:
		w.add(t)
	case dfuscenario.TroubleRestart:
		w.restart(t)
	case dfuscenario.TroubleKill:
		for _, v := range w.pick(w.living(), t.Share) {
			v.stopNode()
			w.clock.After(dfuvirtual.Of(t.For), func() { v.startLater(v.startNode) })
		}
	case dfuscenario.TroublePower:
		for _, v := range w.pick(w.living(), t.Share) {
			v.powerOff()
			w.clock.After(dfuvirtual.Of(t.For), v.powerOn)
		}
	}
}

// living returns the VMs whose node runs.
func (w *world) living() []*vm {
	var vms []*vm
	for _, v := range w.vms {
		if v.node != nil {
			vms = append(vms, v)
		}
	}
	return vms
}

// victims returns the targets of a trouble's service, or of one that the seed picks.
func (w *world) victims(t dfuscenario.Trouble) []*vm {
	service := t.Service
	if service == "" {
		services := w.plan.scenario.Services
		service = services[w.troubles.IntN(len(services))].Name
	}
	return w.targetsOf(service)
}

// pick returns a share of the VMs, one at least.
func (w *world) pick(vms []*vm, share float64) []*vm {
	vms = slices.Clone(vms)
	w.troubles.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	n := int(math.Round(share * float64(len(vms))))
	return vms[:min(max(n, 1), len(vms))]
}

// during lets something hold for targets that are still the same at its end.
func (w *world) during(t dfuscenario.Trouble, start, end func(*vm)) {
	for _, v := range w.pick(w.victims(t), t.Share) {
		hit := v.target
		start(v)
		w.clock.After(dfuvirtual.Of(t.For), func() {
			if v.target == hit {
				end(v)
			}
		})
	}
}

// crash takes targets down and starts them again.
func (w *world) crash(t dfuscenario.Trouble) {
	for _, v := range w.pick(w.victims(t), t.Share) {
		v.crashTarget()
		w.clock.After(dfuvirtual.Of(t.For), func() {
			if v.up && v.target == nil {
				v.startTarget(true)
				w.roster()
			}
		})
	}
}

// replace starts new VMs of a service and drains as many old ones, some at a time.
func (w *world) replace(t dfuscenario.Trouble) {
	vms := w.pick(w.victims(t), t.Share)
	atOnce := max(int(t.Factor), 1)
	for i, v := range vms {
		gap := dfuvirtual.Instant(i/atOnce) * dfuvirtual.Of(t.Gap)
		w.clock.After(gap, func() {
			w.join(v.place.Zone, v.service.Name, v.linkMbps)
			w.drain(v)
		})
	}
}

// add starts more VMs of a service.
func (w *world) add(t dfuscenario.Trouble) {
	vms := w.pick(w.victims(t), t.Share)
	for i, v := range vms {
		gap := dfuvirtual.Of(t.Gap) * dfuvirtual.Instant(i) / dfuvirtual.Instant(len(vms))
		w.clock.After(gap, func() { w.join(v.place.Zone, v.service.Name, v.linkMbps) })
	}
}

// join starts a new VM.
func (w *world) join(zone dfuident.Zone, service dfuident.Service, mbps float64) {
	v := w.addVM(dfuscenario.VMs{Zone: zone, Service: service, LinkMbps: mbps})
	v.startTarget(true)
	v.startLater(v.startNode)
}

// drain lets a target leave: the gate closes at once, the VM goes after a while.
func (w *world) drain(v *vm) {
	if v.leaving || v.target == nil {
		return
	}
	v.leaving = true
	if v.node != nil {
		v.node.drainGate()
	}
	w.roster()
	w.clock.After(drainTime, func() { v.ready = false })
	w.clock.After(2*drainTime, v.powerOff)
}

// restart stops and starts nodes one after another. Each first serves what it has.
func (w *world) restart(t dfuscenario.Trouble) {
	const grace = 3 * dfuvirtual.Second
	atOnce := max(int(t.Factor), 1)
	for i, v := range w.pick(w.living(), t.Share) {
		gap := dfuvirtual.Instant(i/atOnce) * dfuvirtual.Of(t.Gap)
		w.clock.After(gap, func() { v.ready = false })
		w.clock.After(gap+grace, func() {
			v.stopNode()
			v.startLater(v.startNode)
		})
	}
}

// crashTarget ends the target with all its work.
func (v *vm) crashTarget() {
	if v.target == nil {
		return
	}
	v.target.crash()
	v.target = nil
	if v.node != nil {
		v.node.crashed()
	}
	v.world.roster()
}
