package dfuemulator

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfureturn"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// tailPeriod is how long a run continues after the last arrival. It exceeds every
// deadline.
const tailPeriod = 10 * dfuvirtual.Second

// simulation is one run of one scheduler.
type simulation struct {
	workload  *workload
	scheduler Scheduler
	clock     dfuvirtual.Clock
	network   *network
	vms       []*vm
	byID      map[dfuident.NodeID]*vm
	// vmCounts counts the VMs ever created in each zone.
	vmCounts map[dfuident.Zone]int
	seed     uint64
	// disruptionRand and callerRand are random number streams.
	disruptionRand, callerRand *rand.Rand
	rosterUpdatePending        bool
	// oracle, if not nil, schedules requests in place of the nodes.
	oracle *clairvoyant
	result *Result
}

// Run simulates a scenario with a scheduler once.
func Run(s *dfuscenario.Scenario, scheduler Scheduler, seed uint64) *Result {
	w := newSimulation(newWorkload(s, seed), scheduler, seed)
	for _, r := range w.workload.requests {
		w.clock.After(r.at, func() { w.startCallerRequest(r) })
	}
	w.scheduleDisruptions()
	w.clock.Run(dfuvirtual.FromDuration(s.Length) + tailPeriod)
	w.result.zoneBytes, w.result.regionBytes = w.network.zoneBytes, w.network.regionBytes
	return w.result
}

func newSimulation(wl *workload, scheduler Scheduler, seed uint64) *simulation {
	w := &simulation{
		workload: wl, scheduler: scheduler, seed: seed,
		byID:           make(map[dfuident.NodeID]*vm),
		vmCounts:       make(map[dfuident.Zone]int),
		disruptionRand: rand.New(rand.NewPCG(seed, streamDisruptions)),
		callerRand:     rand.New(rand.NewPCG(seed, streamCallers)),
		result:         newResult(wl.scenario),
	}
	if scheduler.Clairvoyant {
		w.oracle = newClairvoyant(w)
	}
	w.network = newNetwork(wl.scenario.Network, &w.clock)
	for _, group := range wl.scenario.VMs {
		for range group.Count {
			v := w.addVM(group)
			v.startTarget(false)
			v.startNode()
		}
	}
	w.updateRoster()
	return w
}

// addVM adds a VM without a target or node.
func (w *simulation) addVM(group dfuscenario.VMs) *vm {
	w.vmCounts[group.Zone]++
	number := uint64(len(w.vms))
	v := &vm{
		simulation: w, id: nodeName(group.Zone, w.vmCounts[group.Zone]), service: w.workload.services[group.Service],
		linkMbps: group.LinkMbps, up: true,
		rng: rand.New(rand.NewPCG(w.seed+number, streamNodes)),
	}
	for _, place := range w.workload.scenario.Zones {
		if place.Zone == group.Zone {
			v.place = place
		}
	}
	until := dfuvirtual.FromDuration(w.workload.scenario.Length) + tailPeriod
	v.slowPeriods = drawSlowPeriods(v.service.Neighbors, until, rand.New(rand.NewPCG(w.seed+number, streamNeighbors)))
	w.vms = append(w.vms, v)
	w.byID[v.id] = v
	return v
}

// scheduleRosterUpdate updates the targets on all nodes after rosterDelay.
func (w *simulation) scheduleRosterUpdate() {
	if w.rosterUpdatePending {
		return
	}
	w.rosterUpdatePending = true
	w.clock.After(rosterDelay, w.updateRoster)
}

// updateRoster gives all nodes the current targets.
func (w *simulation) updateRoster() {
	w.rosterUpdatePending = false
	if w.oracle != nil {
		w.oracle.targetsChanged()
	}
	targets := make(map[dfuident.Service][]dfuchoice.Target)
	nodes := 0
	for _, v := range w.vms {
		if v.node == nil {
			continue
		}
		nodes++
		if v.target == nil {
			continue
		}
		t := dfuchoice.Target{Member: v.member(), Place: v.place, Slots: v.service.Slots, Draining: v.leaving}
		if v.target.isCold(w.clock.Now()) {
			t.ColdSince = (v.target.coldUntil - dfuvirtual.FromDuration(v.service.ColdFor)).Time()
		}
		targets[v.service.Name] = append(targets[v.service.Name], t)
	}
	for _, v := range w.vms {
		if v.node == nil {
			continue
		}
		for _, s := range w.workload.scenario.Services {
			v.node.setTargets(s.Name, targets[s.Name], nodes)
		}
	}
}

// delay returns the one-way delay between two VMs in milliseconds.
func (w *simulation) delay(a, b *vm) float64 {
	n := w.workload.scenario.Network
	switch {
	case a == b:
		return 0
	case a.place.Region != b.place.Region:
		return n.FarRegionMs
	case a.place.Zone != b.place.Zone:
		return n.SameRegionMs
	default:
		return n.SameZoneMs
	}
}

// retryAfter returns the Retry-After delay for a refused caller.
func (w *simulation) retryAfter(latency dfuclock.Duration, rng *rand.Rand) dfuclock.Duration {
	share := cmp.Or(w.scheduler.RetryAfterShare, dfureturn.RetryAfterShare)
	return dfureturn.RetryAfter(latency, share, rng.Float64())
}

// entryFor returns a ready node of a zone, picked by draw in [0, 1), or nil.
func (w *simulation) entryFor(zone dfuident.Zone, draw float64) *vm {
	var ready []*vm
	for _, v := range w.vms {
		if v.place.Zone == zone && v.ready {
			ready = append(ready, v)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[min(int(draw*float64(len(ready))), len(ready)-1)]
}

// targetsOf returns the VMs of a service whose target serves requests, sorted by name.
func (w *simulation) targetsOf(service dfuident.Service) []*vm {
	var vms []*vm
	for _, v := range w.vms {
		if v.service.Name == service && v.target != nil && !v.leaving {
			vms = append(vms, v)
		}
	}
	slices.SortFunc(vms, func(a, b *vm) int { return cmp.Compare(a.id, b.id) })
	return vms
}
