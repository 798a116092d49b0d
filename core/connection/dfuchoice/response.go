package dfuchoice

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// costJitter is the random part of a cost, as a share of it. It keeps entry
// nodes with the same information from all choosing the same target.
const costJitter = 0.3

// Parameters of waiting in a queue.
const (
	// refusalSmoothing is the weight of one attempt in the refusal rate.
	refusalSmoothing = 0.05
	// busyRate is the refusal rate above which most targets have no free slot,
	// so that searching for one costs more time than it saves.
	busyRate = 0.8
	// crowdedRate is the refusal rate above which requests that wait in a queue
	// are spread evenly over all targets if no queue lengths are known.
	crowdedRate = 0.6
	// exploreShare is the share of requests that search for a free slot even
	// above busyRate, so that the refusal rate is still measured.
	exploreShare = 0.2
	// freeSlotAttempts is the number of attempts of a request that search for a
	// free slot.
	freeSlotAttempts = 2
)

// chooseByResponse chooses by expected response time: a target of the entry
// node's region if possible, or of another region if the gain exceeds the cost
// of the link.
func (c *Chooser) chooseByResponse(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState, draws int) Choice {
	usableCandidates, reason := c.usableCandidates(now, q, state, candidates)
	if reason == ReasonProbation {
		return Choice{Member: usableCandidates[0].target.Member, Reason: reason}
	}
	wait := c.shouldWait(q, state)
	own, far := c.splitByRegion(q, usableCandidates)
	own = c.addRefused(q, state, own, wait || len(own) == 0)
	targets := own
	switch {
	case len(own) == 0:
		targets = far
	case len(far) > 0 && c.shouldSpill(now, q, state, own, far):
		targets, reason = far, ReasonSpillover
	}
	target := c.cheapest(now, q, targets, max(draws, min(q.Attempt, 1)*len(targets)))
	if wait && state.refusalRate > crowdedRate && !anyQueueKnown(now, targets) {
		target = targets[c.rng.IntN(len(targets))]
	}
	choice := choiceByPlace(q, target)
	choice.Wait = wait || slices.Contains(q.Refused, target.target.Member.Node)
	if reason != "" {
		choice.Reason = reason
	}
	return choice
}

// anyQueueKnown reports whether the queue length of any target is known. If
// none is, waiting requests are spread at random: estimates from latencies
// alone would lead many entry nodes to the same queue.
func anyQueueKnown(now dfuclock.Time, targets []*targetState) bool {
	return slices.ContainsFunc(targets, func(t *targetState) bool {
		return t.signal.known && now.Sub(t.signal.loadAt) <= queueLifetime
	})
}

// shouldWait reports whether a request waits in a queue: after freeSlotAttempts
// attempts, or if most targets refuse requests anyway.
func (c *Chooser) shouldWait(q Query, state *serviceState) bool {
	return q.Attempt >= freeSlotAttempts || state.refusalRate > busyRate && c.rng.Float64() >= exploreShare
}

// splitByRegion divides candidates into those in the entry node's region and
// those in other regions.
func (c *Chooser) splitByRegion(q Query, candidates []*targetState) (own, far []*targetState) {
	for _, t := range candidates {
		if t.target.Place.Region == q.From.Region {
			own = append(own, t)
		} else {
			far = append(far, t)
		}
	}
	return own, far
}

// addRefused adds the targets in the entry node's region that refused the
// request once because they were busy, if the request is to wait in a queue.
// Targets that refused it more than once are assumed to have a full queue and
// are returned only if there are no others.
func (c *Chooser) addRefused(q Query, state *serviceState, own []*targetState, wait bool) []*targetState {
	if !wait || len(q.Refused) == 0 {
		return own
	}
	var full []*targetState
	for _, t := range state.targets {
		if t.target.Place.Region != q.From.Region || !q.mayUse(t) || t.health.state != healthy {
			continue
		}
		switch times := occurrences(q.Refused, t.target.Member.Node); {
		case times == 1:
			own = append(own, t)
		case times > 1:
			full = append(full, t)
		}
	}
	if len(own) == 0 {
		return full
	}
	return own
}

// occurrences returns the number of times a node occurs in a list.
func occurrences(nodes []dfuident.NodeID, node dfuident.NodeID) int {
	n := 0
	for _, other := range nodes {
		if other == node {
			n++
		}
	}
	return n
}

// shouldSpill reports whether a request is sent to another region although the
// entry node's region has a candidate: because it falls into the share of
// requests that spill over, because the local region's best target refused it
// and waiting there costs more than crossing the link, or because that target
// would take more than deadlineShare of the remaining time and the far one
// costs less.
func (c *Chooser) shouldSpill(now dfuclock.Time, q Query, state *serviceState, own, far []*targetState) bool {
	extraDelay := 2 * float64(c.settings.Delays.FarRegion-c.settings.Delays.SameRegion)
	if state.spill.shouldCross(now, q, extraDelay, c.linkCost(q), c.rng) {
		return true
	}
	best := c.cheapest(now, q, own, len(own))
	crossing := c.cost(now, q, c.cheapest(now, q, far, len(far)))
	if seen, ok := state.spill.farLatency(now); ok {
		crossing = max(crossing, seen+2*float64(c.settings.Delays.FarRegion))
	}
	gain := c.cost(now, q, best) - crossing
	if slices.Contains(q.Refused, best.target.Member.Node) && gain > c.linkCost(q) {
		return true
	}
	return gain > 0 && c.cost(now, q, best) > deadlineShare*float64(q.Remaining)
}

// usableCandidates returns the candidates that are healthy. The reason is set
// if health determined the choice. During a target's slow start, a growing
// share of requests considers it.
func (c *Chooser) usableCandidates(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState) ([]*targetState, ChoiceReason) {
	if state.mostTargetsFail() {
		return candidates, ReasonHealthIgnored
	}
	good := make([]*targetState, 0, len(candidates))
	for _, t := range candidates {
		switch {
		case t.health.isEjected(now):
		case t.health.state != probation:
			if slowStartShare := t.slowStartShare(now); slowStartShare >= 1 || c.rng.Float64() < slowStartShare {
				good = append(good, t)
			}
		case t.target.Place.Region == q.From.Region && t.health.allowsTrial(now, q):
			return []*targetState{t}, ReasonProbation
		}
	}
	if len(good) == 0 {
		return candidates, ReasonNoUsableTarget
	}
	return good, ""
}

// cheapest returns the target with the lowest randomized cost among a number of
// targets drawn at random.
func (c *Chooser) cheapest(now dfuclock.Time, q Query, targets []*targetState, draws int) *targetState {
	var best *targetState
	lowest := 0.0
	for _, t := range c.draw(targets, draws) {
		cost := c.cost(now, q, t) * (1 + costJitter*c.rng.Float64())
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	return best
}

// cost returns the expected time until the target's answer, in milliseconds.
func (c *Chooser) cost(now dfuclock.Time, q Query, t *targetState) float64 {
	return t.correctedResponse(now)*t.health.penalty(now) + t.networkTime(q.From, c.settings.Delays)
}
