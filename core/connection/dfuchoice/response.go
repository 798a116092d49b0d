package dfuchoice

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// spread is the part of a cost that is random, so that many entry nodes with
// the same view don't all choose the same target.
const spread = 0.3

// Parameters of waiting in a queue.
const (
	// refusalSmoothing is the weight of one attempt in the refusal rate.
	refusalSmoothing = 0.05
	// busyRate is the refusal rate above which most targets have no free slot,
	// so that looking for one takes more time than it gains.
	busyRate = 0.8
	// crowdedRate is the refusal rate above which requests that wait without
	// any load known spread over all targets.
	crowdedRate = 0.6
	// lookShare is the share of requests that look for a free slot all the
	// same, so that the rate stays known.
	lookShare = 0.2
	// looks is how many attempts of a request look for a free slot.
	looks = 2
)

// byResponse chooses by expected response time: in the own region if possible,
// in the far region if the gain pays for the link.
func (c *Chooser) byResponse(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState, draws int) Choice {
	usable, reason := c.usable(now, q, state, candidates)
	if reason == ReasonProbation {
		return Choice{Member: usable[0].target.Member, Reason: reason}
	}
	wait := c.waits(q, state)
	own, far := c.split(q, usable)
	own = c.addRefused(q, state, own, wait || len(own) == 0)
	targets := own
	switch {
	case len(own) == 0:
		targets = far
	case len(far) > 0 && c.spills(now, q, state, own, far):
		targets, reason = far, ReasonSpillover
	}
	target := c.cheapest(now, q, targets, max(draws, min(q.Attempt, 1)*len(targets)))
	if wait && state.refusals > crowdedRate && !anyTold(now, targets) {
		target = targets[c.rng.IntN(len(targets))]
	}
	choice := plainChoice(q, target)
	choice.Wait = wait || slices.Contains(q.Refused, target.target.Member.Node)
	if reason != "" {
		choice.Reason = reason
	}
	return choice
}

// anyTold reports whether any target's queue is known. If none is, a request
// that waits goes to any of them: what many entry nodes infer from latencies
// would send all of them to the same queue.
func anyTold(now dfuclock.Time, targets []*targetState) bool {
	return slices.ContainsFunc(targets, func(t *targetState) bool {
		return t.signal.known && now.Sub(t.signal.toldAt) <= queueLifetime
	})
}

// waits decides whether a request waits in a queue: after a few refusals, or
// when most targets refuse anyway.
func (c *Chooser) waits(q Query, state *serviceState) bool {
	return q.Attempt >= looks || state.refusals > busyRate && c.rng.Float64() >= lookShare
}

// split divides candidates into those of the own region and the others.
func (c *Chooser) split(q Query, candidates []*targetState) (own, far []*targetState) {
	for _, t := range candidates {
		if t.target.Place.Region == q.From.Region {
			own = append(own, t)
		} else {
			far = append(far, t)
		}
	}
	return own, far
}

// addRefused adds the targets of the own region that refused the request for
// want of a free slot, if it is to wait in a queue now. Those that refused it
// twice, and so have a full queue, come last.
func (c *Chooser) addRefused(q Query, state *serviceState, own []*targetState, wait bool) []*targetState {
	if !wait || len(q.Refused) == 0 {
		return own
	}
	var full []*targetState
	for _, t := range state.targets {
		if t.target.Place.Region != q.From.Region || t.target.Draining || t.health.state != healthy {
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

// occurrences returns how often a node stands in a list.
func occurrences(nodes []dfuident.NodeID, node dfuident.NodeID) int {
	n := 0
	for _, other := range nodes {
		if other == node {
			n++
		}
	}
	return n
}

// spills decides whether a request crosses the link though its own region has
// a target for it: because a share of them does, because the targets of its
// own region refused it and waiting there costs more than crossing, or because
// it would miss its deadline.
func (c *Chooser) spills(now dfuclock.Time, q Query, state *serviceState, own, far []*targetState) bool {
	distance := 2 * float64(c.settings.Delays.FarRegion-c.settings.Delays.SameRegion)
	if state.spill.crosses(now, q, distance, c.price(q), c.rng) {
		return true
	}
	best := c.cheapest(now, q, own, len(own))
	crossing := c.cost(now, q, c.cheapest(now, q, far, len(far)))
	if seen, ok := state.spill.farLatency(now); ok {
		crossing = max(crossing, seen+2*float64(c.settings.Delays.FarRegion))
	}
	gain := c.cost(now, q, best) - crossing
	if slices.Contains(q.Refused, best.target.Member.Node) && gain > c.price(q) {
		return true
	}
	return gain > 0 && c.cost(now, q, best) > deadlineShare*float64(q.Remaining)
}

// usable returns the candidates that health allows, and the reason if health
// decides the choice. Of the cold ones a growing share of requests takes part.
func (c *Chooser) usable(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState) ([]*targetState, ChoiceReason) {
	if state.mostFail() {
		return candidates, ReasonDistrust
	}
	good := make([]*targetState, 0, len(candidates))
	for _, t := range candidates {
		switch {
		case t.health.isEjected(now):
		case t.health.state != probation:
			if warmth := t.warmth(now); warmth >= 1 || c.rng.Float64() < warmth {
				good = append(good, t)
			}
		case t.target.Place.Region == q.From.Region && t.health.takesTrial(now, q):
			return []*targetState{t}, ReasonProbation
		}
	}
	if len(good) == 0 {
		return candidates, ReasonNothingBetter
	}
	return good, ""
}

// cheapest returns the cheapest of a few drawn targets.
func (c *Chooser) cheapest(now dfuclock.Time, q Query, targets []*targetState, draws int) *targetState {
	var best *targetState
	least := 0.0
	for _, t := range c.draw(targets, draws) {
		cost := c.cost(now, q, t) * (1 + spread*c.rng.Float64())
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	return best
}

// cost returns the expected time in milliseconds until a target's answer.
func (c *Chooser) cost(now dfuclock.Time, q Query, t *targetState) float64 {
	return t.corrected(now)*t.health.penalty(now) + t.networkTime(q.From, c.settings.Delays)
}
