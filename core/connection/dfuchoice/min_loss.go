package dfuchoice

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuquantile"
)

const (
	// linkLossPerKilobyte and zoneLossPerKilobyte are the cost of a kilobyte
	// sent between regions and between zones, measured in missed objectives: at
	// 0.04, 25 kB cost as much as one answer that misses its objective. They
	// follow from the traffic prices of the users' deployments.
	linkLossPerKilobyte = 0.04
	zoneLossPerKilobyte = 0.0075
	// lossPerMillisecond is the loss for each millisecond of latency of an
	// answer that meets its objective. It decides between targets that are
	// otherwise equal.
	lossPerMillisecond = 0.001
	// nestedLossPerMillisecond is the loss per millisecond of a request that
	// another, running request waits for. It is higher because a delay caused
	// by a slow period makes the waiting request miss its own objective in
	// about one of four cases.
	nestedLossPerMillisecond = 0.004
	// requestOverheadBytes is the size of a request and its answer without
	// their bodies: headers and the fields of the peer protocol.
	requestOverheadBytes = 700
	// maxKinds limits the kinds of requests tracked for each service.
	maxKinds = 256
	// workQuantile is the quantile of a kind's latencies that is used as its
	// processing time at normal speed.
	workQuantile = 0.3
	// maxRefusalsPerTarget is the number of refusals after which a target is no
	// longer a candidate for a request.
	maxRefusalsPerTarget = 2
)

// kindStats holds statistics of one kind of request.
type kindStats struct {
	// work is the processing time at normal speed, in milliseconds.
	work dfuquantile.Estimate
	// answerSize is a moving average of the size of an answer, in bytes.
	answerSize float64
	// late holds the latencies from which the time of hedges is derived, or nil if the
	// kind isn't hedged.
	late *lateWindow
}

// recordAnswer updates the statistics of a kind of request with the latency and
// the size of an answer. Network is the round-trip time in milliseconds.
func (s *serviceState) recordAnswer(f Feedback, network float64) {
	k := s.kinds[f.RequestKind]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		if s.kinds == nil {
			s.kinds = make(map[dfuident.Kind]*kindStats)
		}
		k = &kindStats{}
		s.kinds[f.RequestKind] = k
	}
	k.work.Add(max(1, float64(f.Latency)-network), workQuantile)
	k.answerSize = average(k.answerSize, float64(f.Answer), smoothing)
}

// chooseMinLoss implements the MinLoss policy: it returns the candidate with
// the lowest expected loss, or false if no candidate can answer in time.
func (c *Chooser) chooseMinLoss(now dfuclock.Time, q Query, state *serviceState, candidates []*targetState) (Choice, bool) {
	usableCandidates, reason := c.usableCandidates(now, q, state, candidates)
	if reason == ReasonProbation {
		return Choice{Member: usableCandidates[0].target.Member, Reason: reason}, true
	}
	best := c.minLossTarget(now, q, state, usableCandidates)
	if best == nil {
		// Fall back to cold targets.
		best = c.minLossTarget(now, q, state, notEjected(now, candidates))
	}
	if best == nil {
		return Choice{}, false
	}
	choice := choiceByPlace(q, best)
	choice.Wait = slices.Contains(q.Refused, best.target.Member.Node)
	if reason != "" {
		choice.Reason = reason
	}
	return choice, true
}

// minLossTarget returns the target with the lowest expected loss among those
// that can answer in time, or nil.
func (c *Chooser) minLossTarget(now dfuclock.Time, q Query, state *serviceState, targets []*targetState) *targetState {
	var best *targetState
	lowest := 0.0
	for _, t := range c.draw(targets, len(targets)) {
		cost, inTime := c.lossWithRefusals(now, q, state, t)
		if inTime && (best == nil || cost < lowest) {
			best, lowest = t, cost
		}
	}
	return best
}

// lossWithRefusals returns the expected loss of a target, that of refusals in other regions
// included, and whether it can answer in time.
func (c *Chooser) lossWithRefusals(now dfuclock.Time, q Query, state *serviceState, t *targetState) (cost float64, inTime bool) {
	cost, inTime = c.expectedLoss(now, q, state, t)
	if t.target.Place.Region != q.From.Region {
		chance := t.admission.chance(now)
		inTime = inTime && chance >= minFarAdmission
		cost += c.refusedOfferLoss(q, t) * (1/chance - 1)
	}
	return cost, inTime
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

// excludes reports whether the request must not be sent to a node again. It may
// be sent again only to a node that refused it because its target was busy, and
// did so fewer than maxRefusalsPerTarget times.
func (q *Query) excludes(node dfuident.NodeID) bool {
	if !slices.Contains(q.Excluded, node) {
		return false
	}
	times := occurrences(q.Refused, node)
	return times == 0 || times >= maxRefusalsPerTarget
}

// expectedLoss returns the expected loss of sending a request to a target: the
// probability that the answer misses its objective, a small cost per
// millisecond and the cost of the bytes sent. It also reports whether the
// target can answer in time. This is false if the reported queue is too long,
// so that the target isn't tried again while that report is recent.
func (c *Chooser) expectedLoss(now dfuclock.Time, q Query, state *serviceState, t *targetState) (cost float64, inTime bool) {
	work, answerBytes := t.baseServiceTime(), 0.0
	if k := state.kinds[q.Kind]; k != nil {
		work, answerBytes = k.work.Value(), k.answerSize
	}
	slots := t.slots()
	outstanding := float64(t.ownInFlight) + t.others(now)
	wait := max(0, outstanding+1-slots) * t.baseServiceTime() / slots
	network := t.networkTime(q.From, c.settings.Delays)
	latency := (wait+work)*t.health.penalty(now) + network
	inTime = q.Objective == 0 || wait == 0 || wait+work+network <= float64(q.Objective)
	occupancyDelay := occupancyWeight * work * outstanding / slots
	expected := latency + occupancyDelay + t.slowdownState.expectedDelay(now, work)
	// Within the region, targets that nothing is known about are tried soon. If most attempts
	// are refused, they are tried in other regions as well.
	if !t.slowdownState.known && t.target.Place.Region != q.From.Region && !state.mostRefuse() {
		expected += unknownDelay(work)
	}
	cost = c.transferLoss(q, float64(q.Body)+answerBytes+requestOverheadBytes, t) / cmp.Or(q.Weight, 1)
	switch {
	case q.Nested:
		cost += expected * nestedLossPerMillisecond
	case q.Objective > 0:
		cost += expected*lossPerMillisecond + t.slowdownState.slackExceededChance(now, work, float64(q.Objective)-latency)
	default:
		cost += expected*lossPerMillisecond + t.slowdownState.slackExceededChance(now, work, float64(q.Remaining)-latency)
	}
	return cost, inTime
}

// refusedOfferLoss returns the loss of an offer that is refused: the cost of
// its bytes and of the time it takes. The expected cost of refusals before an
// offer is accepted is this loss times 1/p-1, where p is the probability of
// admission, as in optimal search with reservation prices.
func (c *Chooser) refusedOfferLoss(q Query, t *targetState) float64 {
	perMillisecond := lossPerMillisecond
	if q.Nested {
		perMillisecond = nestedLossPerMillisecond
	}
	return c.transferLoss(q, float64(q.Body)+requestOverheadBytes, t)/cmp.Or(q.Weight, 1) +
		perMillisecond*t.networkTime(q.From, c.settings.Delays)
}

// transferLoss returns the cost of sending bytes between the entry node and a
// target, measured in missed objectives.
func (c *Chooser) transferLoss(q Query, bytes float64, t *targetState) float64 {
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
