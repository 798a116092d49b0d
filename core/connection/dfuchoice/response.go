package dfuchoice

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Parameters of crossing the link between regions.
const (
	// bytesPerMillisecond prices the link: so many bytes are worth a
	// millisecond of latency.
	bytesPerMillisecond dfuident.Bytes = 500
	// spillGain is the expected gain that starts crossing the link.
	spillGain = 20.0
	// returnGain is the expected gain below which crossing ends.
	returnGain = 5.0
	// deadlineShare is the share of the remaining time that a local target may
	// be expected to take before far ones are compared without the price.
	deadlineShare = 0.7
)

// scored is a target with its cost in milliseconds.
type scored struct {
	target *targetState
	cost   float64
}

// byResponse chooses by expected response time: locally if possible, in the
// far region if the gain pays for the link.
func (c *Chooser) byResponse(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState, draws int) Choice {
	usable, reason := c.usable(now, q, state, candidates)
	if reason == ReasonProbation {
		return Choice{Member: usable[0].target.Member, Reason: reason}
	}
	var local, far []*targetState
	for _, t := range usable {
		if t.target.Place.Region == q.From.Region {
			local = append(local, t)
		} else {
			far = append(far, t)
		}
	}
	best, crosses := c.cheapest(now, q, local, draws), false
	if len(far) > 0 {
		best, crosses = c.compare(q, state, best, c.cheapest(now, q, far, draws))
	}
	choice := plainChoice(q, best.target)
	switch {
	case reason != "":
		choice.Reason = reason
	case crosses && len(local) > 0:
		choice.Reason = ReasonSpillover
	}
	return choice
}

// usable returns the candidates that health allows, and the reason if health
// decides the choice.
func (c *Chooser) usable(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState) ([]*targetState, ChoiceReason) {
	bad := 0
	for _, t := range state.targets {
		if t.health.looksBad(now) {
			bad++
		}
	}
	if 2*bad > len(state.targets) {
		return candidates, ReasonDistrust
	}
	good := make([]*targetState, 0, len(candidates))
	for _, t := range candidates {
		switch {
		case t.health.looksBad(now):
		case !t.health.onProbation():
			good = append(good, t)
		case q.Attempt == 0 && q.Idempotent && t.health.trials == 0 && t.target.Place.Region == q.From.Region:
			return []*targetState{t}, ReasonProbation
		}
	}
	if len(good) == 0 {
		return candidates, ReasonDistrust
	}
	return good, ""
}

// cheapest returns the cheapest of a few drawn targets, or nothing if there
// are none.
func (c *Chooser) cheapest(now dfuclock.Time, q Query, targets []*targetState, draws int) scored {
	var best scored
	for _, t := range c.draw(targets, draws) {
		cost := t.corrected(now) + t.networkTime(q.From, c.settings.Delays)
		if best.target == nil || cost < best.cost {
			best = scored{t, cost}
		}
	}
	return best
}

// compare returns the local target unless the far one's gain pays for the
// bytes over the link. Starting to cross takes a greater gain than going on,
// so that requests don't swing between the regions.
func (c *Chooser) compare(q Query, state *serviceState, local, far scored) (scored, bool) {
	if local.target == nil {
		return far, true
	}
	gain := local.cost - far.cost
	if local.cost < deadlineShare*float64(q.Remaining) {
		gain -= float64(q.Body / bytesPerMillisecond)
	}
	switch {
	case gain > spillGain:
		state.spilling = true
	case gain < returnGain:
		state.spilling = false
	}
	if state.spilling {
		return far, true
	}
	return local, false
}
