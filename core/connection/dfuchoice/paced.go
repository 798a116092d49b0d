package dfuchoice

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuquantile"
)

const (
	// linkBytesPerMillisecond and zoneBytesPerMillisecond are how many bytes over
	// the link between regions and between zones are worth a millisecond of
	// latency, by the prices of the users' deployments.
	linkBytesPerMillisecond = 80
	zoneBytesPerMillisecond = 350
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

// byPace chooses the target of the least cost.
func (c *Chooser) byPace(now dfuclock.Time, q Query, state *serviceState) (Choice, bool) {
	candidates := make([]*targetState, 0, len(state.targets))
	for _, t := range state.targets {
		if !t.target.Draining && !q.rulesOut(t.target.Member.Node) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	usable, reason := c.usable(now, q, state, candidates)
	if reason == ReasonProbation {
		return Choice{Member: usable[0].target.Member, Reason: reason}, true
	}
	var best *targetState
	least := 0.0
	for _, t := range c.draw(usable, len(usable)) {
		cost, inTime := c.pacedCost(now, q, state, t)
		if inTime && (best == nil || cost < least) {
			best, least = t, cost
		}
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

// rulesOut reports whether the request must not go to a node again: it failed
// there, or found the queue full too.
func (q *Query) rulesOut(node dfuident.NodeID) bool {
	if !slices.Contains(q.Excluded, node) {
		return false
	}
	times := occurrences(q.Refused, node)
	return times == 0 || times >= waitsMax
}

// pacedCost returns the expected time in milliseconds until a target's answer,
// raised by the price of the bytes and by recent failures. It also reports
// whether the target can answer in time: one that told lately that its queue is
// too long for that is not asked again.
func (c *Chooser) pacedCost(now dfuclock.Time, q Query, state *serviceState, t *targetState) (cost float64, inTime bool) {
	work, answerBytes := t.usualService(), 0.0
	if k := state.kinds[q.Kind]; k != nil {
		work, answerBytes = k.work.Value(), k.answer
	}
	slots := t.slots()
	outstanding := float64(t.own) + t.others(now)
	service := t.usualService()
	wait := max(0, outstanding+1-slots) * service / slots
	occupied := occupancy * work * outstanding / slots
	answer := wait + work + occupied + t.pace.extra(now, work)
	network := t.networkTime(q.From, c.settings.Delays)
	bytes := float64(q.Body) + answerBytes + framingBytes
	inTime = q.Objective == 0 || wait == 0 || wait+work+network <= float64(q.Objective)
	return answer*t.health.penalty(now) + network + c.bytesPrice(q, bytes, t), inTime
}

// bytesPrice returns what the bytes to a target and back are worth, in
// milliseconds of latency.
func (c *Chooser) bytesPrice(q Query, bytes float64, t *targetState) float64 {
	switch {
	case t.target.Place == q.From:
		return 0
	case t.target.Place.Region != q.From.Region:
		return bytes / float64(max(c.settings.LinkBytesPerMillisecond, 1))
	case c.settings.ZoneBytesPerMillisecond == 0:
		return 0
	default:
		return bytes / float64(c.settings.ZoneBytesPerMillisecond)
	}
}
