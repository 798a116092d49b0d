package dfuchoice

import (
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroute"
)

// Limits on the state that a Chooser keeps.
const (
	MaxServices          = 512
	MaxTargetsPerService = 512
)

// Delays holds the expected one-way network delays from an entry node.
type Delays struct {
	SameZone   dfuclock.Duration `json:"same_zone"`
	SameRegion dfuclock.Duration `json:"same_region"`
	FarRegion  dfuclock.Duration `json:"far_region"`
}

// Settings holds the parameters of a Chooser.
type Settings struct {
	Policy Policy
	Delays Delays
	// LinkBytesPerMillisecond is the number of bytes over the link between
	// regions that cost as much as a millisecond of latency. Lower values save
	// bytes, higher values save latency.
	LinkBytesPerMillisecond dfuident.Bytes
	// LinkLossPerKilobyte and ZoneLossPerKilobyte are the cost for the MinLoss
	// policy of a kilobyte sent between regions and between zones, measured in
	// missed objectives: at 0.04, 25 kB cost as much as one answer that misses
	// its objective.
	LinkLossPerKilobyte float64
	ZoneLossPerKilobyte float64
}

// DefaultSettings returns the settings used in production.
func DefaultSettings() Settings {
	return Settings{
		Policy: LateBinding{Draws: 3},
		Delays: Delays{SameZone: 0, SameRegion: 1, FarRegion: 8},

		LinkBytesPerMillisecond: 1000,
	}
}

// MinLossSettings returns settings for deployments in which targets report
// their slowdown and traffic between zones and regions is billed.
func MinLossSettings() Settings {
	return Settings{
		Policy: MinLoss{},
		Delays: Delays{SameZone: 0, SameRegion: 1, FarRegion: 8},

		LinkLossPerKilobyte: linkLossPerKilobyte,
		ZoneLossPerKilobyte: zoneLossPerKilobyte,
	}
}

// Chooser chooses targets for the requests that enter at one node. It is not
// safe for concurrent use.
type Chooser struct {
	settings Settings
	rng      *rand.Rand
	// from is the location of the entry node.
	from     dfuident.Place
	services map[dfuident.Service]*serviceState
	nodes    map[dfuident.NodeID]*targetState
	// ejected is the ejection started by the last RecordOutcome, or nil.
	ejected *Ejection
}

// serviceState is the Chooser's state for one service.
type serviceState struct {
	targets []*targetState
	// turn counts the choices made by RoundRobin.
	turn  int
	spill spill
	// refusalRate is the moving average of the share of attempts that ended
	// with FeedbackRefused, among these and the answered ones.
	refusalRate float64
	// fullRate is the moving average of the share of attempts that met a target
	// without a free slot.
	fullRate float64
	// latencies holds recent latencies, from which the hedging delay is
	// derived.
	latencies latencyWindow
	// kinds holds statistics by kind of request.
	kinds map[dfuident.Kind]*kindStats
}

// New returns a Chooser without targets.
func New(settings Settings, rng *rand.Rand) *Chooser {
	return &Chooser{
		settings: settings,
		rng:      rng,
		services: map[dfuident.Service]*serviceState{},
		nodes:    map[dfuident.NodeID]*targetState{},
	}
}

// SetTargets replaces the targets of a service. Members that are still listed
// keep their state; an empty list removes the service. Targets beyond
// MaxTargetsPerService and services beyond MaxServices are ignored.
func (c *Chooser) SetTargets(now dfuclock.Time, service dfuident.Service, targets []Target) {
	state := c.services[service]
	if state == nil {
		if len(targets) == 0 || len(c.services) >= MaxServices {
			return
		}
		state = &serviceState{}
		c.services[service] = state
	}
	targets = targets[:min(len(targets), MaxTargetsPerService)]
	for _, t := range state.targets {
		if c.nodes[t.target.Member.Node] == t {
			delete(c.nodes, t.target.Member.Node)
		}
	}
	old := state.targets
	state.targets = make([]*targetState, 0, len(targets))
	for _, target := range targets {
		t := c.targetStateFor(now, old, target)
		state.targets = append(state.targets, t)
		t.service = state
		c.nodes[target.Member.Node] = t
	}
	if len(targets) == 0 {
		delete(c.services, service)
	}
}

// RecordSent records that an attempt is about to be sent to a target.
func (c *Chooser) RecordSent(now dfuclock.Time, node dfuident.Member) {
	t := c.nodes[node.Node]
	if t == nil || t.target.Member != node {
		return
	}
	t.recordSent(now)
}

// RecordOutcome records the outcome of an attempt. Feedback for an earlier
// incarnation of a target is ignored.
func (c *Chooser) RecordOutcome(now dfuclock.Time, f Feedback) {
	t := c.nodes[f.Node.Node]
	if t == nil || t.target.Member != f.Node {
		return
	}
	network := t.networkTime(c.from, c.settings.Delays)
	before := t.health.state
	t.recordDone(now, f, network)
	c.ejected = nil
	if t.health.state == ejected && before != ejected {
		e := t.ejection(now)
		c.ejected = &e
	}
	t.service.updateRefusalRate(f.Kind)
	t.service.updateFullRate(f)
	t.service.recordLate(now, f)
	if f.Kind == FeedbackAnswered {
		t.service.latencies.add(f.Latency)
		t.service.recordAnswer(f, network)
		far := t.target.Place.Region != c.from.Region
		t.service.spill.record(now, far, max(0, float64(f.Latency)-network))
	}
}

// RecordLoad records a load that didn't come with an answer or a refusal: a
// periodic report or the reply to a probe.
func (c *Chooser) RecordLoad(now dfuclock.Time, node dfuident.Member, load Load) {
	t := c.nodes[node.Node]
	if t == nil || t.target.Member != node {
		return
	}
	t.recordLoad(now, load)
}

// Choose returns a target for a request, or false if no candidate is left.
func (c *Chooser) Choose(now dfuclock.Time, q Query) (Choice, bool) {
	c.from = q.From
	state := c.services[q.Service]
	if state == nil {
		return Choice{}, false
	}
	candidates := c.candidates(q, state)
	if q.Hedge {
		candidates = c.hedgeCandidates(now, q, state, candidates)
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	switch policy := c.settings.Policy.(type) {
	case Random:
		candidates = regionalCandidates(q, candidates, policy.Regional)
		return choiceByPlace(q, candidates[c.rng.IntN(len(candidates))]), true
	case RoundRobin:
		candidates = regionalCandidates(q, candidates, policy.Regional)
		state.turn++
		return choiceByPlace(q, candidates[state.turn%len(candidates)]), true
	case LeastReported:
		return choiceByPlace(q, c.leastReported(regionalCandidates(q, candidates, policy.Regional))), true
	case TwoChoicesOnReports:
		return choiceByPlace(q, c.leastReported(c.draw(regionalCandidates(q, candidates, policy.Regional), 2))), true
	case TwoChoices:
		return c.chooseByResponse(now, q, state, candidates, 2), true
	case LateBinding:
		return c.chooseByResponse(now, q, state, candidates, policy.Draws), true
	case MinLoss:
		return c.chooseMinLoss(now, q, state, candidates)
	}
	return Choice{}, false
}

// candidates returns the targets that the request may be sent to. For the
// MinLoss policy these include targets that refused the request because they
// were busy, so that it can wait in their queue.
func (c *Chooser) candidates(q Query, state *serviceState) []*targetState {
	_, minLoss := c.settings.Policy.(MinLoss)
	candidates := make([]*targetState, 0, len(state.targets))
	for _, t := range state.targets {
		node := t.target.Member.Node
		excluded := slices.Contains(q.Excluded, node)
		if minLoss {
			excluded = q.excludes(node)
		}
		if !excluded && q.mayUse(t) {
			candidates = append(candidates, t)
		}
	}
	return candidates
}

// mayUse reports whether a target may run the request, now or after waiting in its queue.
// No policy chooses a target for which it doesn't hold.
func (q *Query) mayUse(t *targetState) bool {
	return !t.target.Draining && dfuroute.IsHome(q.Homes, t.target.Place.Region)
}

// regionalCandidates returns the candidates in the entry node's region if only
// is set and there are any. Otherwise it returns all candidates.
func regionalCandidates(q Query, candidates []*targetState, only bool) []*targetState {
	if !only {
		return candidates
	}
	var own []*targetState
	for _, t := range candidates {
		if t.target.Place.Region == q.From.Region {
			own = append(own, t)
		}
	}
	if len(own) == 0 {
		return candidates
	}
	return own
}

// updateRefusalRate updates the refusal rate with the outcome of an attempt.
func (s *serviceState) updateRefusalRate(kind FeedbackKind) {
	switch kind {
	case FeedbackRefused:
		s.refusalRate += refusalSmoothing * (1 - s.refusalRate)
	case FeedbackAnswered:
		s.refusalRate -= refusalSmoothing * s.refusalRate
	case FeedbackTargetError, FeedbackLinkFailed, FeedbackCanceled:
	}
}

// mostRefuse reports whether most attempts are refused.
func (s *serviceState) mostRefuse() bool {
	return s.refusalRate > 0.5
}

// targetStateFor returns the state of a target. The old state is reused if it
// belongs to the same incarnation.
func (c *Chooser) targetStateFor(now dfuclock.Time, old []*targetState, target Target) *targetState {
	for _, t := range old {
		if t.target.Member == target.Member {
			t.target = target
			return t
		}
	}
	return newTargetState(now, target)
}

// draw returns up to n distinct candidates in random order. It reorders
// candidates.
func (c *Chooser) draw(candidates []*targetState, n int) []*targetState {
	n = min(n, len(candidates))
	for i := range n {
		j := i + c.rng.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// leastReported returns the candidate with the lowest reported load. Ties are
// broken at random.
func (c *Chooser) leastReported(candidates []*targetState) *targetState {
	c.draw(candidates, len(candidates))
	return slices.MinFunc(candidates, func(a, b *targetState) int {
		return a.reportedLoad() - b.reportedLoad()
	})
}

// choiceByPlace returns a Choice of the target, with a reason derived from the
// target's location.
func choiceByPlace(q Query, t *targetState) Choice {
	reason := ReasonFarRegion
	switch {
	case t.target.Place == q.From:
		reason = ReasonLocalZone
	case t.target.Place.Region == q.From.Region:
		reason = ReasonLocalRegion
	}
	return Choice{Member: t.target.Member, Reason: reason, Far: t.target.Place.Region != q.From.Region}
}
