package dfuchoice

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuquantile"
)

const (
	// linkLossPerKilobyte and zoneLossPerKilobyte are how many answers that miss
	// their objective a kilobyte over the link between regions and between zones
	// is worth, by the prices of the users' deployments.
	linkLossPerKilobyte = 0.04
	zoneLossPerKilobyte = 0.0075
	// lossPerMillisecond is the loss for each millisecond of an answer that
	// makes its objective all the same: it decides between targets that are
	// otherwise equal.
	lossPerMillisecond = 0.001
	// nestedLossPerMillisecond is the same for a request that a running one
	// waits for: a delay of a neighbor's spell makes that one miss its own
	// objective in about one case of four.
	nestedLossPerMillisecond = 0.004
	// framingBytes is what a request and its answer take besides their bodies:
	// headers and the peer link's own fields.
	framingBytes = 700
	// kindsMax bounds the kinds of requests of a service that are told apart.
	kindsMax = 256
	// workQuantile is the quantile of the latencies of a kind that stands for
	// its work at the usual pace.
	workQuantile = 0.3
	// waitsMax is how often a target may refuse a request that would wait there.
	waitsMax = 2
)

// kindState is what is known of one kind of requests.
type kindState struct {
	// work is the time in milliseconds that a target takes at its usual pace.
	work dfuquantile.Estimate
	// answer is a moving average of the size of an answer.
	answer float64
}

// learn takes the latency and the size of an answer.
func (s *serviceState) learn(f Feedback, network float64) {
	k := s.kinds[f.RequestKind]
	if k == nil {
		if len(s.kinds) >= kindsMax {
			return
		}
		if s.kinds == nil {
			s.kinds = make(map[dfuident.Kind]*kindState)
		}
		k = &kindState{}
		s.kinds[f.RequestKind] = k
	}
	k.work.Add(max(1, float64(f.Latency)-network), workQuantile)
	k.answer = average(k.answer, float64(f.Answer), smoothing)
}

// byPace chooses the candidate of the least cost.
func (c *Chooser) byPace(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState) (Choice, bool) {
	usable, reason := c.usable(now, q, state, candidates)
	if reason == ReasonProbation {
		return Choice{Member: usable[0].target.Member, Reason: reason}, true
	}
	best := c.cheapestPaced(now, q, state, usable)
	if best == nil {
		// A cold target is better than none.
		best = c.cheapestPaced(now, q, state, notEjected(now, candidates))
	}
	if best == nil {
		return Choice{}, false
	}
	choice := plainChoice(q, best)
	choice.Wait = slices.Contains(q.Refused, best.target.Member.Node)
	if reason != "" {
		choice.Reason = reason
	}
	return choice, true
}

// cheapestPaced returns the target of the least cost among those that can answer in
// time, or nil.
func (c *Chooser) cheapestPaced(now dfuclock.Time, q Query, state *serviceState, targets []*targetState) *targetState {
	var best *targetState
	least := 0.0
	for _, t := range c.draw(targets, len(targets)) {
		cost, inTime := c.pacedCost(now, q, state, t)
		if t.target.Place.Region != q.From.Region {
			chance := t.room.chance(now)
			inTime = inTime && chance >= farChance
			cost += c.lossInVain(q, t) * (1/chance - 1)
		}
		if inTime && (best == nil || cost < least) {
			best, least = t, cost
		}
	}
	return best
}

// notEjected returns the targets that are not ejected.
func notEjected(now dfuclock.Time, targets []*targetState) []*targetState {
	var kept []*targetState
	for _, t := range targets {
		if !t.health.isEjected(now) {
			kept = append(kept, t)
		}
	}
	return kept
}

// rulesOut reports whether the request must not go to a node again: it failed
// there, or found the queue full too.
func (q *Query) rulesOut(node dfuident.NodeID) bool {
	if !slices.Contains(q.Excluded, node) {
		return false
	}
	times := occurrences(q.Refused, node)
	return times == 0 || times >= waitsMax
}

// pacedCost returns the expected loss of sending a request to a target: the
// chance that the answer misses its objective, a little for each millisecond, and
// the price of the bytes. It also reports whether the target can answer in time:
// one that told lately that its queue is too long for that is not asked again.
func (c *Chooser) pacedCost(now dfuclock.Time, q Query, state *serviceState, t *targetState) (cost float64, inTime bool) {
	work, answerBytes := t.usualService(), 0.0
	if k := state.kinds[q.Kind]; k != nil {
		work, answerBytes = k.work.Value(), k.answer
	}
	slots := t.slots()
	outstanding := float64(t.own) + t.others(now)
	wait := max(0, outstanding+1-slots) * t.usualService() / slots
	network := t.networkTime(q.From, c.settings.Delays)
	latency := (wait+work)*t.health.penalty(now) + network
	inTime = q.Objective == 0 || wait == 0 || wait+work+network <= float64(q.Objective)
	occupied := occupancy * work * outstanding / slots
	expected := latency + occupied + t.pace.extra(now, work)
	cost = c.bytesPrice(q, float64(q.Body)+answerBytes+framingBytes, t) / cmp.Or(q.Weight, 1)
	switch {
	case q.Nested:
		cost += expected * nestedLossPerMillisecond
	case q.Objective > 0:
		cost += expected*lossPerMillisecond + t.pace.missing(now, work, float64(q.Objective)-latency)
	default:
		cost += expected*lossPerMillisecond + t.pace.missing(now, work, float64(q.Remaining)-latency)
	}
	return cost, inTime
}

// lossInVain returns the loss by an offer that is refused: its bytes and the time
// that it takes. Divided by the chance of room it is what a try costs until one is
// let in, as in the optimal search for an alternative by reservation prices.
func (c *Chooser) lossInVain(q Query, t *targetState) float64 {
	perMillisecond := lossPerMillisecond
	if q.Nested {
		perMillisecond = nestedLossPerMillisecond
	}
	return c.bytesPrice(q, float64(q.Body)+framingBytes, t)/cmp.Or(q.Weight, 1) +
		perMillisecond*t.networkTime(q.From, c.settings.Delays)
}

// bytesPrice returns what the bytes to a target and back are worth, in answers
// that miss their objective.
func (c *Chooser) bytesPrice(q Query, bytes float64, t *targetState) float64 {
	const kilobyte = 1000
	switch {
	case t.target.Place == q.From:
		return 0
	case t.target.Place.Region != q.From.Region:
		return bytes / kilobyte * c.settings.LinkLossPerKilobyte
	default:
		return bytes / kilobyte * c.settings.ZoneLossPerKilobyte
	}
}
