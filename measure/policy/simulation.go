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
	// arrivals, faults and network are separate random number streams, so that all
	// contenders get the same arrivals and faults.
	arrivals, faults, network *rand.Rand
	workers                   []*worker
	entries                   []*entry
	byNode                    map[dfuident.NodeID]*worker
	// linkFree is when each direction of the link between regions is free again.
	linkFree map[dfuident.Region]dfuvirtual.Instant
	linkCut  bool
	result   *Result
}

// Run simulates one contender once.
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
	sim.scheduleEvents()
	sim.clock.Run(warmUp + measuredTime + dfuvirtual.Second)
	return sim.result
}

// build creates the workers and the entry nodes.
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
		s.refreshView(w)
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

// refreshView keeps a worker's view of the fleet valid, starting long before the run.
func (s *simulation) refreshView(w *worker) {
	const interval = dfubudget.ViewLifetime / 2
	setView := func(at dfuclock.Time) {
		w.budget.SetView(at, dfubudget.View{Confirmed: at, Nodes: s.deployment.Workers, Joined: 1, Member: true})
	}
	for before := 2 * dfubudget.SettleTime; before >= 0; before -= interval {
		setView(dfuvirtual.Origin.Add(-before))
	}
	s.clock.After(dfuvirtual.Instant(interval)*dfuvirtual.Millisecond, func() { setView(s.clock.Now().Time()) })
}

// reportCost returns the bytes per second that periodic reports take.
func (s *simulation) reportCost() float64 {
	pairs := float64(s.deployment.Workers * s.deployment.Entries)
	return pairs * float64(reportBytes) * float64(dfuvirtual.Second) / float64(reportPeriod)
}

// announce passes the current targets to the entry nodes.
func (s *simulation) announce() {
	var targets []dfuchoice.Target
	for _, w := range s.workers {
		if w.down {
			continue
		}
		targets = append(targets, dfuchoice.Target{
			Member: w.member, Place: w.place, Slots: w.slots, Draining: w.draining, ColdSince: w.coldSince,
		})
	}
	for _, e := range s.entries {
		e.chooser.SetTargets(s.clock.Now().Time(), s.deployment.Service, targets)
	}
}

// scheduleEvents schedules arrivals, reports and the fault.
func (s *simulation) scheduleEvents() {
	s.scheduleArrivals(s.meanGap())
	if s.contender.Reports {
		for _, w := range s.workers {
			s.clock.After(dfuvirtual.Instant(s.network.Int64N(int64(reportPeriod))), func() { s.report(w) })
		}
	}
	s.scheduleFault()
}

// meanGap returns the mean time between arrivals in milliseconds for the scenario's
// load. It is the mean work of a call divided by the load and by the total speed of the
// workers, including slowdowns. The work of a call counts at most up to the time its
// caller gives up.
func (s *simulation) meanGap() float64 {
	sample := rand.New(rand.NewPCG(7, 7))
	total, n := 0.0, 20000
	for range n {
		c := s.drawCall(sample)
		total += min(c.work, float64(c.givesUpAt)/float64(dfuvirtual.Millisecond))
	}
	speed := 1.0
	if length := slowdownLengths[s.scenario.Fault]; length > 0 {
		speed = (slowdownGapFactor + slowdownSpeed) / (slowdownGapFactor + 1)
	}
	slots := float64(s.deployment.Workers * s.deployment.Slots)
	return total / float64(n) / (slots * speed * s.scenario.Load)
}

// drawCall returns a random call with times relative to its arrival.
func (s *simulation) drawCall(rng *rand.Rand) *call {
	c := &call{
		work:       workBase + workExponential*rng.ExpFloat64(),
		idempotent: rng.Float64() < idempotentShare,
		patient:    rng.Float64() >= impatientShare,
	}
	c.deadline = dfuvirtual.Milliseconds(minPatience + (maxPatience-minPatience)*rng.Float64())
	c.givesUpAt = dfuvirtual.Milliseconds(maxImpatientWait * rng.Float64())
	if c.patient {
		c.givesUpAt = c.deadline
	}
	return c
}

// scheduleArrivals schedules the next call and, when it arrives, the one after it.
func (s *simulation) scheduleArrivals(gap float64) {
	c := s.drawCall(s.arrivals)
	c.entry = s.entries[s.pickEntry()]
	wait := dfuvirtual.Milliseconds(gap * s.arrivals.ExpFloat64())
	s.clock.After(wait, func() {
		c.sent = s.clock.Now()
		c.deadline += s.clock.Now()
		c.givesUpAt += s.clock.Now()
		s.clock.After(s.clientDelay(), func() {
			if c.givesUpAt > s.clock.Now() {
				c.entry.accept(c)
			}
		})
		if s.clock.Now() < warmUp+measuredTime {
			s.scheduleArrivals(gap)
		}
	})
}

// pickEntry returns the index of the entry node of the next call. With FaultUneven,
// most calls enter in the first region.
func (s *simulation) pickEntry() int {
	i := s.arrivals.IntN(len(s.entries))
	regionDraw := s.arrivals.Float64()
	if s.scenario.Fault != FaultUneven {
		return i
	}
	// Zones alternate between the regions, so even entries are in the first.
	i -= i % 2
	if regionDraw >= unevenShare {
		i++
	}
	return i
}

// report sends a worker's load to every entry node periodically.
func (s *simulation) report(w *worker) {
	for _, e := range s.entries {
		load := w.load()
		if s.isMeasured() {
			s.result.measurementBytes += reportBytes
			if e.place.Region != w.place.Region {
				s.result.linkMeasurementBytes += reportBytes
			}
		}
		s.transmit(w.place, e.place, reportBytes, func() {
			e.chooser.RecordLoad(s.clock.Now().Time(), w.member, load)
		})
	}
	if s.clock.Now() < warmUp+measuredTime {
		s.clock.After(reportPeriod, func() { s.report(w) })
	}
}

// answer sends the end of an attempt to its entry node. It includes the load of a
// refusal, or of any answer with LoadOnAllAnswers, if the budget allows.
func (s *simulation) answer(a *attempt, kind dfuchoice.FeedbackKind, load dfuchoice.Load) {
	size := answerBytes
	if kind == dfuchoice.FeedbackRefused {
		size = 0
	}
	far := a.call.entry.place.Region != a.worker.place.Region
	var carried *dfuchoice.Load
	now := s.clock.Now().Time()
	mayCarry := s.contender.LoadOnAllAnswers || kind == dfuchoice.FeedbackRefused
	if mayCarry && a.worker.budget.Take(now, dfubudget.Spend{
		Cause: dfubudget.CausePiggyback, Bytes: dfuchoice.LoadBytes(load), Link: far,
	}) {
		carried = &load
		if s.isMeasured() {
			s.result.measurementBytes += dfuchoice.LoadBytes(load)
			if far {
				s.result.linkMeasurementBytes += dfuchoice.LoadBytes(load)
			}
		}
	}
	s.transmit(a.worker.place, a.call.entry.place, size, func() { a.call.entry.handleEnd(a, kind, carried) })
}

// transmit delivers a message after the network delay. Messages between regions queue
// for the bandwidth of the link and are lost while it is cut.
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
			s.result.linkBytes += size
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

// isMeasured reports whether the current time is after the warm-up and before the end
// of the measurement.
func (s *simulation) isMeasured() bool {
	return s.clock.Now() >= warmUp && s.clock.Now() < warmUp+measuredTime
}

// clientDelay returns the delay between a caller and its entry node.
func (s *simulation) clientDelay() dfuvirtual.Instant {
	return dfuvirtual.Milliseconds(s.deployment.ClientDelay)
}

// recordWork counts the work that an attempt took.
func (s *simulation) recordWork(a *attempt, work float64) {
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

// oracle selects a target with exact knowledge of every worker and of the attempts in
// flight.
func (s *simulation) oracle(e *entry, c *call, q dfuchoice.Query) (dfuchoice.Choice, bool) {
	var best *worker
	cost := 0.0
	for _, w := range s.workers {
		if w.down || w.draining || w.failing || s.isCut(e.place, w.place) {
			continue
		}
		excess := max(0, float64(w.assigned+1-w.slots))
		mean := workBase + workExponential
		delay := s.deployment.ZoneDelay
		switch {
		case w.place.Region != e.place.Region:
			delay = s.deployment.FarDelay
		case w.place != e.place:
			delay = s.deployment.RegionDelay
		}
		total := excess*mean/(float64(w.slots)*w.speed) + c.work/w.speed + 2*delay
		if best == nil || total < cost {
			best, cost = w, total
		}
	}
	if best == nil || len(q.Excluded) >= len(s.workers) {
		return dfuchoice.Choice{}, false
	}
	return dfuchoice.Choice{Member: best.member}, true
}
