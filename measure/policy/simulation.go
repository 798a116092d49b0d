package policy

import (
	"fmt"
	"math/rand/v2"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuvirtual"
)

// simulation is one run of one contender.
type simulation struct {
	deployment Deployment
	scenario   Scenario
	contender  Contender
	clock      dfuvirtual.Clock
	// arrivals, faults and network are separate streams of random numbers, so
	// that contenders see the same arrivals and faults.
	arrivals, faults, network *rand.Rand
	workers                   []*worker
	entries                   []*entry
	byNode                    map[dfuident.NodeID]*worker
	// linkFree is when each direction of the link has sent what it was given.
	linkFree map[dfuident.Region]dfuvirtual.Instant
	linkCut  bool
	result   *Result
}

// Run measures one contender once.
func Run(d Deployment, s Scenario, c Contender, seed uint64) *Result {
	sim := &simulation{
		deployment: d, scenario: s, contender: c,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		faults:   rand.New(rand.NewPCG(seed, 2)),
		network:  rand.New(rand.NewPCG(seed, 3)),
		byNode:   map[dfuident.NodeID]*worker{},
		linkFree: map[dfuident.Region]dfuvirtual.Instant{},
		result:   newResult(),
	}
	sim.build(seed)
	sim.plan()
	sim.clock.Run(warmUp + measured + dfuvirtual.Second)
	return sim.result
}

// build makes the workers and the entry nodes.
func (s *simulation) build(seed uint64) {
	d := s.deployment
	budget := dfubudget.Budget{
		BytesPerSecond:     dfubudget.Rate(s.contender.BudgetShare * s.reportCost()),
		CallsPerSecond:     1,
		LinkBytesPerSecond: dfubudget.Rate(s.contender.BudgetShare * s.reportCost() / 2),
		Regions:            1, PlannedNodes: d.Workers,
	}
	for i := range d.Workers {
		w := newWorker(s, dfuident.NodeID(fmt.Sprintf("n%02d", i)), d.Zones[i%len(d.Zones)])
		w.budget.SetBudget(1, budget)
		s.view(w)
		s.workers = append(s.workers, w)
		s.byNode[w.member.Node] = w
	}
	for i := range d.Entries {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		settings := dfuchoice.DefaultSettings()
		settings.Policy, settings.Delays = s.contender.Policy, d.Delays
		s.entries = append(s.entries, &entry{
			sim: s, place: d.Zones[i%len(d.Zones)],
			member:  dfuident.Member{Node: dfuident.NodeID(fmt.Sprintf("e%02d", i)), Incarnation: 1},
			chooser: dfuchoice.New(settings, rng), retries: dfubudget.NewRetryBudget(),
		})
	}
	s.announce()
}

// view keeps a worker's view of the fleet fresh, from long before the run.
func (s *simulation) view(w *worker) {
	const interval = dfubudget.ViewLifetime / 2
	show := func(at dfuclock.Time) {
		w.budget.SetView(at, dfubudget.View{Confirmed: at, Nodes: s.deployment.Workers, Joined: 1, Member: true})
	}
	for before := 2 * dfubudget.JoinWait; before >= 0; before -= interval {
		show(dfuvirtual.Origin.Add(-before))
	}
	s.clock.After(dfuvirtual.Instant(interval)*dfuvirtual.Millisecond, func() { show(s.clock.Now().Time()) })
}

// reportCost returns the bytes per dfuvirtual.Second of full reports.
func (s *simulation) reportCost() float64 {
	pairs := float64(s.deployment.Workers * s.deployment.Entries)
	return pairs * float64(reportBytes) * float64(dfuvirtual.Second) / float64(reportPeriod)
}

// announce tells the entry nodes the present targets.
func (s *simulation) announce() {
	var targets []dfuchoice.Target
	for _, w := range s.workers {
		if w.down {
			continue
		}
		targets = append(targets, dfuchoice.Target{
			Member: w.member, Place: w.place, Slots: w.slots, Draining: w.draining, ColdSince: w.cold,
		})
	}
	for _, e := range s.entries {
		e.chooser.SetTargets(s.clock.Now().Time(), s.deployment.Service, targets)
	}
}

// plan schedules arrivals, reports and the fault.
func (s *simulation) plan() {
	s.arrive(s.meanGap())
	if s.contender.Reports {
		for _, w := range s.workers {
			s.clock.After(dfuvirtual.Instant(s.network.Int64N(int64(reportPeriod))), func() { s.report(w) })
		}
	}
	s.planFault()
}

// meanGap returns the mean time between arrivals in milliseconds at the
// scenario's load: the work that an average call asks for against the speed
// of the workers with the neighbors that they have.
func (s *simulation) meanGap() float64 {
	sample := rand.New(rand.NewPCG(7, 7))
	total, n := 0.0, 20000
	for range n {
		c := s.draw(sample)
		total += min(c.work, float64(c.leaves)/float64(dfuvirtual.Millisecond))
	}
	speed := 1.0
	if length := jumpLengths[s.scenario.Fault]; length > 0 {
		speed = (jumpGaps + jumpSpeed) / (jumpGaps + 1)
	}
	slots := float64(s.deployment.Workers * s.deployment.Slots)
	return total / float64(n) / (slots * speed * s.scenario.Load)
}

// draw returns a new call.
func (s *simulation) draw(rng *rand.Rand) *call {
	c := &call{
		work:       workBase + workTail*rng.ExpFloat64(),
		idempotent: rng.Float64() < idempotentShare,
		patient:    rng.Float64() >= impatientShare,
	}
	c.deadline = dfuvirtual.Milliseconds(minPatience + (maxPatience-minPatience)*rng.Float64())
	c.leaves = dfuvirtual.Milliseconds(impatience * rng.Float64())
	if c.patient {
		c.leaves = c.deadline
	}
	return c
}

// arrive lets calls arrive one after another.
func (s *simulation) arrive(gap float64) {
	c := s.draw(s.arrivals)
	c.entry = s.entries[s.pickEntry()]
	wait := dfuvirtual.Milliseconds(gap * s.arrivals.ExpFloat64())
	s.clock.After(wait, func() {
		c.sent = s.clock.Now()
		c.deadline += s.clock.Now()
		c.leaves += s.clock.Now()
		s.clock.After(s.clientDelay(), func() {
			if c.leaves > s.clock.Now() {
				c.entry.accept(c)
			}
		})
		if s.clock.Now() < warmUp+measured {
			s.arrive(gap)
		}
	})
}

// pickEntry returns where the next call enters: anywhere, or more often in the
// first region.
func (s *simulation) pickEntry() int {
	i := s.arrivals.IntN(len(s.entries))
	lean := s.arrivals.Float64()
	if s.scenario.Fault != FaultUneven {
		return i
	}
	// Zones alternate between the regions, so even entries are in the first.
	i -= i % 2
	if lean >= unevenShare {
		i++
	}
	return i
}

// report sends a worker's load to every entry node, again and again.
func (s *simulation) report(w *worker) {
	for _, e := range s.entries {
		load := w.load()
		if s.isMeasured() {
			s.result.measuring += reportBytes
			if e.place.Region != w.place.Region {
				s.result.linkMeasuring += reportBytes
			}
		}
		s.transmit(w.place, e.place, reportBytes, func() {
			e.chooser.Report(s.clock.Now().Time(), w.member, load)
		})
	}
	if s.clock.Now() < warmUp+measured {
		s.clock.After(reportPeriod, func() { s.report(w) })
	}
}

// answer sends an attempt's end to its entry node, with the load of a refusal
// if the budget has room for it.
func (s *simulation) answer(a *attempt, kind dfuchoice.FeedbackKind, load dfuchoice.Load) {
	size := answerBytes
	if kind == dfuchoice.FeedbackRefused {
		size = 0
	}
	far := a.call.entry.place.Region != a.worker.place.Region
	var carried *dfuchoice.Load
	now := s.clock.Now().Time()
	carries := s.contender.TellAll || kind == dfuchoice.FeedbackRefused
	if carries && a.worker.budget.Take(now, dfubudget.Spend{
		Cause: dfubudget.CausePiggyback, Bytes: dfuchoice.LoadBytes(load), Link: far,
	}) {
		carried = &load
		if s.isMeasured() {
			s.result.measuring += dfuchoice.LoadBytes(load)
			if far {
				s.result.linkMeasuring += dfuchoice.LoadBytes(load)
			}
		}
	}
	s.transmit(a.worker.place, a.call.entry.place, size, func() { a.call.entry.ended(a, kind, carried) })
}

// transmit delivers a message after the network's delay. Messages over the
// link between regions queue for its bandwidth and are lost while it is cut.
func (s *simulation) transmit(from, to dfuident.Place, size dfuident.Bytes, deliver func()) {
	d := s.deployment
	delay := d.ZoneDelay
	switch {
	case from.Region != to.Region:
		if s.linkCut {
			return
		}
		free := max(s.linkFree[from.Region], s.clock.Now()) + dfuvirtual.Milliseconds(float64(size)/linkBytesPerMillisecond)
		s.linkFree[from.Region] = free
		delay = d.FarDelay + float64(free-s.clock.Now())/float64(dfuvirtual.Millisecond)
		if s.isMeasured() {
			s.result.link += size
		}
	case from.Zone != to.Zone:
		delay = d.RegionDelay
	}
	s.clock.After(dfuvirtual.Milliseconds(delay*(0.9+0.2*s.network.Float64())), deliver)
}

// isCut reports whether messages between two places are lost.
func (s *simulation) isCut(a, b dfuident.Place) bool {
	return s.linkCut && a.Region != b.Region
}

// isMeasured reports whether the warm-up is over and the end isn't reached.
func (s *simulation) isMeasured() bool {
	return s.clock.Now() >= warmUp && s.clock.Now() < warmUp+measured
}

// clientDelay returns the delay between a caller and its entry node.
func (s *simulation) clientDelay() dfuvirtual.Instant {
	return dfuvirtual.Milliseconds(s.deployment.ClientDelay)
}

// noteWork accounts for the work that a run has taken.
func (s *simulation) noteWork(a *attempt, work float64) {
	if !s.isMeasured() {
		return
	}
	s.result.work += work
	switch {
	case a.call.abandoned:
		s.result.wasted += work
	case a.call.done:
		s.result.extra += work
	}
}

// oracle chooses with exact sight of every worker, and of what is under way.
func (s *simulation) oracle(e *entry, c *call, q dfuchoice.Query) (dfuchoice.Choice, bool) {
	var best *worker
	cost := 0.0
	for _, w := range s.workers {
		if w.down || w.draining || w.failing || s.isCut(e.place, w.place) {
			continue
		}
		over := max(0, float64(w.assigned+1-w.slots))
		mean := workBase + workTail
		delay := s.deployment.ZoneDelay
		switch {
		case w.place.Region != e.place.Region:
			delay = s.deployment.FarDelay
		case w.place != e.place:
			delay = s.deployment.RegionDelay
		}
		total := over*mean/(float64(w.slots)*w.speed) + c.work/w.speed + 2*delay
		if best == nil || total < cost {
			best, cost = w, total
		}
	}
	if best == nil || len(q.Excluded) >= len(s.workers) {
		return dfuchoice.Choice{}, false
	}
	return dfuchoice.Choice{Member: best.member}, true
}
