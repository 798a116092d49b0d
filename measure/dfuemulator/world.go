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

// afterEnd is how long a day goes on after the last caller has come: longer than any
// deadline.
const afterEnd = 10 * dfuvirtual.Second

// world is one run of one scheduler.
type world struct {
	plan      *plan
	scheduler Scheduler
	clock     dfuvirtual.Clock
	network   *network
	vms       []*vm
	byID      map[dfuident.NodeID]*vm
	// numbers counts the VMs of each zone that ever were.
	numbers map[dfuident.Zone]int
	seed    uint64
	// troubles and callers are streams of random numbers.
	troubles, callers *rand.Rand
	rosterPlanned     bool
	// seer decides in place of the nodes, or is nil.
	seer   *clairvoyant
	result *Result
}

// Run plays a scenario with a scheduler once.
func Run(s *dfuscenario.Scenario, scheduler Scheduler, seed uint64) *Result {
	w := newWorld(newPlan(s, seed), scheduler, seed)
	for _, r := range w.plan.requests {
		w.clock.After(r.at, func() { w.callerComes(r) })
	}
	w.planTroubles()
	w.clock.Run(dfuvirtual.Of(s.Length) + afterEnd)
	w.result.zoneBytes, w.result.regionBytes = w.network.zoneBytes, w.network.regionBytes
	return w.result
}

func newWorld(p *plan, scheduler Scheduler, seed uint64) *world {
	w := &world{
		plan: p, scheduler: scheduler, seed: seed,
		byID:     make(map[dfuident.NodeID]*vm),
		numbers:  make(map[dfuident.Zone]int),
		troubles: rand.New(rand.NewPCG(seed, streamTroubles)),
		callers:  rand.New(rand.NewPCG(seed, streamCallers)),
		result:   newResult(p.scenario),
	}
	if scheduler.Clairvoyant {
		w.seer = newClairvoyant(w)
	}
	w.network = newNetwork(p.scenario.Network, &w.clock)
	for _, group := range p.scenario.VMs {
		for range group.Count {
			v := w.addVM(group)
			v.startTarget(false)
			v.startNode()
		}
	}
	w.tellRoster()
	return w
}

// addVM adds a VM without a target or node.
func (w *world) addVM(group dfuscenario.VMs) *vm {
	w.numbers[group.Zone]++
	number := uint64(len(w.vms))
	v := &vm{
		world: w, id: nodeName(group.Zone, w.numbers[group.Zone]), service: w.plan.services[group.Service],
		linkMbps: group.LinkMbps, up: true,
		rng: rand.New(rand.NewPCG(w.seed+number, streamNodes)),
	}
	for _, place := range w.plan.scenario.Zones {
		if place.Zone == group.Zone {
			v.place = place
		}
	}
	until := dfuvirtual.Of(w.plan.scenario.Length) + afterEnd
	v.spells = drawSpells(v.service.Neighbors, until, rand.New(rand.NewPCG(w.seed+number, streamNeighbors)))
	w.vms = append(w.vms, v)
	w.byID[v.id] = v
	return v
}

// roster tells all nodes of changed targets, some time from now.
func (w *world) roster() {
	if w.rosterPlanned {
		return
	}
	w.rosterPlanned = true
	w.clock.After(rosterDelay, w.tellRoster)
}

// tellRoster tells all nodes the present targets.
func (w *world) tellRoster() {
	w.rosterPlanned = false
	if w.seer != nil {
		w.seer.changed()
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
			t.ColdSince = (v.target.coldUntil - dfuvirtual.Of(v.service.ColdFor)).Time()
		}
		targets[v.service.Name] = append(targets[v.service.Name], t)
	}
	for _, v := range w.vms {
		if v.node == nil {
			continue
		}
		for _, s := range w.plan.scenario.Services {
			v.node.setTargets(s.Name, targets[s.Name], nodes)
		}
	}
}

// delay returns the one-way delay between two VMs in milliseconds.
func (w *world) delay(a, b *vm) float64 {
	n := w.plan.scenario.Network
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

// retryAfter returns when a refused caller is asked to come back.
func (w *world) retryAfter(latency dfuclock.Duration, rng *rand.Rand) dfuclock.Duration {
	share := cmp.Or(w.scheduler.RetryAfterShare, dfureturn.RetryAfterShare)
	return dfureturn.RetryAfter(latency, share, rng.Float64())
}

// entryFor returns a node of a zone that callers use, or nil.
func (w *world) entryFor(zone dfuident.Zone, draw float64) *vm {
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

// targetsOf returns the VMs of a service that serve, in the order of their names.
func (w *world) targetsOf(service dfuident.Service) []*vm {
	var vms []*vm
	for _, v := range w.vms {
		if v.service.Name == service && v.target != nil && !v.leaving {
			vms = append(vms, v)
		}
	}
	slices.SortFunc(vms, func(a, b *vm) int { return cmp.Compare(a.id, b.id) })
	return vms
}
