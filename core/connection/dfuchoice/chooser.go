package dfuchoice

import (
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// The bounds of what a Chooser remembers.
const (
	MaxServices          = 512
	MaxTargetsPerService = 512
)

// Delays are the expected one-way network delays from an entry node.
type Delays struct {
	SameZone   dfuclock.Duration `json:"same_zone"`
	SameRegion dfuclock.Duration `json:"same_region"`
	FarRegion  dfuclock.Duration `json:"far_region"`
}

// Settings are the parameters of a Chooser.
type Settings struct {
	Policy Policy
	Delays Delays
	// LinkBytesPerMillisecond prices the link between regions: so many bytes
	// over it are worth a millisecond of latency. Fewer save bytes, more save
	// latency.
	LinkBytesPerMillisecond dfuident.Bytes
	// LinkLossPerKilobyte and ZoneLossPerKilobyte price the bytes between regions
	// and between zones for Paced: so many answers that miss their objective are
	// worth a kilobyte.
	LinkLossPerKilobyte float64
	ZoneLossPerKilobyte float64
}

// DefaultSettings returns the settings of a node in production.
func DefaultSettings() Settings {
	return Settings{
		Policy: LateBinding{Draws: 3},
		Delays: Delays{SameZone: 0, SameRegion: 1, FarRegion: 8},

		LinkBytesPerMillisecond: 1000,
	}
}

// PacedSettings returns the settings of a node whose targets tell their pace and
// whose bytes between zones and regions are paid for.
func PacedSettings() Settings {
	return Settings{
		Policy: Paced{},
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
	// from is the place of the entry node.
	from     dfuident.Place
	services map[dfuident.Service]*serviceState
	nodes    map[dfuident.NodeID]*targetState
	// ejected is the ejection that the last Done began.
	ejected *Ejection
}

// serviceState is what the Chooser knows of one service.
type serviceState struct {
	targets []*targetState
	// turn is the position of RoundRobin.
	turn  int
	spill spill
	// refusals is the share of attempts that found no free slot.
	refusals float64
	// latencies holds recent latencies of answers, which hedging starts from.
	latencies quantiles
	// kinds holds what is known of the kinds of requests.
	kinds map[dfuident.Kind]*kindState
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

// SetTargets replaces the targets of a service. What is known of a member that
// stays is kept; an empty list forgets the service. Targets above
// MaxTargetsPerService and services above MaxServices are ignored.
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
		t := c.adopt(now, old, target)
		state.targets = append(state.targets, t)
		t.service = state
		c.nodes[target.Member.Node] = t
	}
	if len(targets) == 0 {
		delete(c.services, service)
	}
}

// Sent notes that an attempt is about to be sent to a target.
func (c *Chooser) Sent(now dfuclock.Time, node dfuident.Member) {
	t := c.nodes[node.Node]
	if t == nil || t.target.Member != node {
		return
	}
	t.noteSent(now)
}

// Done notes how an attempt ended. Feedback for a former incarnation of a
// target is dropped.
func (c *Chooser) Done(now dfuclock.Time, f Feedback) {
	t := c.nodes[f.Node.Node]
	if t == nil || t.target.Member != f.Node {
		return
	}
	network := t.networkTime(c.from, c.settings.Delays)
	before := t.health.state
	t.noteDone(now, f, network)
	c.ejected = nil
	if t.health.state == ejected && before != ejected {
		e := t.ejection(now)
		c.ejected = &e
	}
	t.service.noteRefusal(f.Kind)
	if f.Kind == FeedbackAnswered {
		t.service.latencies.add(f.Latency)
		t.service.learn(f, network)
		far := t.target.Place.Region != c.from.Region
		t.service.spill.note(now, far, max(0, float64(f.Latency)-network))
	}
}

// Report notes a load that came by itself: a periodic report or the reply to a
// probe.
func (c *Chooser) Report(now dfuclock.Time, node dfuident.Member, load Load) {
	t := c.nodes[node.Node]
	if t == nil || t.target.Member != node {
		return
	}
	t.noteLoad(now, load)
}

// Choose returns a target for a request, or false if none is left.
func (c *Chooser) Choose(now dfuclock.Time, q Query) (Choice, bool) {
	c.from = q.From
	state := c.services[q.Service]
	if state == nil {
		return Choice{}, false
	}
	candidates := c.candidates(q, state)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	switch policy := c.settings.Policy.(type) {
	case Random:
		candidates = regional(q, candidates, policy.Regional)
		return plainChoice(q, candidates[c.rng.IntN(len(candidates))]), true
	case RoundRobin:
		candidates = regional(q, candidates, policy.Regional)
		state.turn++
		return plainChoice(q, candidates[state.turn%len(candidates)]), true
	case LeastReported:
		return plainChoice(q, c.leastReported(regional(q, candidates, policy.Regional))), true
	case TwoChoicesOnReports:
		return plainChoice(q, c.leastReported(c.draw(regional(q, candidates, policy.Regional), 2))), true
	case TwoChoices:
		return c.byResponse(now, q, state, candidates, 2), true
	case LateBinding:
		return c.byResponse(now, q, state, candidates, policy.Draws), true
	case Paced:
		return c.byPace(now, q, state, candidates)
	}
	return Choice{}, false
}

// candidates returns the targets that the request may go to. For Paced, those that had
// no room for it are among them, to wait there.
func (c *Chooser) candidates(q Query, state *serviceState) []*targetState {
	_, paced := c.settings.Policy.(Paced)
	candidates := make([]*targetState, 0, len(state.targets))
	for _, t := range state.targets {
		node := t.target.Member.Node
		ruledOut := slices.Contains(q.Excluded, node)
		if paced {
			ruledOut = q.rulesOut(node)
		}
		if !t.target.Draining && !ruledOut {
			candidates = append(candidates, t)
		}
	}
	return candidates
}

// regional returns the candidates of the own region if only those are wanted
// and there are any.
func regional(q Query, candidates []*targetState, only bool) []*targetState {
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

// noteRefusal learns whether an attempt found a free slot.
func (s *serviceState) noteRefusal(kind FeedbackKind) {
	switch kind {
	case FeedbackRefused:
		s.refusals += refusalSmoothing * (1 - s.refusals)
	case FeedbackAnswered:
		s.refusals -= refusalSmoothing * s.refusals
	case FeedbackTargetError, FeedbackLinkFailed, FeedbackCanceled:
	}
}

// adopt returns the state of a target, taken over from the old ones if the
// same incarnation is among them.
func (c *Chooser) adopt(now dfuclock.Time, old []*targetState, target Target) *targetState {
	for _, t := range old {
		if t.target.Member == target.Member {
			t.target = target
			return t
		}
	}
	return newTargetState(now, target)
}

// draw returns up to n different candidates in random order. It reorders the
// candidates.
func (c *Chooser) draw(candidates []*targetState, n int) []*targetState {
	n = min(n, len(candidates))
	for i := range n {
		j := i + c.rng.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}

// leastReported returns the candidate with the least reported load; ties are
// broken at random.
func (c *Chooser) leastReported(candidates []*targetState) *targetState {
	c.draw(candidates, len(candidates))
	return slices.MinFunc(candidates, func(a, b *targetState) int {
		return a.reported() - b.reported()
	})
}

// plainChoice returns the choice of a target with the reason that its place
// gives.
func plainChoice(q Query, t *targetState) Choice {
	reason := ReasonFarRegion
	switch {
	case t.target.Place == q.From:
		reason = ReasonLocalZone
	case t.target.Place.Region == q.From.Region:
		reason = ReasonLocalRegion
	}
	return Choice{Member: t.target.Member, Reason: reason, Far: t.target.Place.Region != q.From.Region}
}
