package dfuchoice

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Candidate is what a Chooser expects of one target for a request.
type Candidate struct {
	Node  dfuident.NodeID `json:"node"`
	Place dfuident.Place  `json:"place"`
	// Barred is why the target can't be chosen, or "".
	Barred string `json:"barred,omitempty"`
	// Loss is the expected loss, in missed objectives. The MinLoss policy chooses the
	// lowest of the targets that can answer in time.
	Loss float64 `json:"loss"`
	// InTime is set if the target can answer in time, as far as its load is known.
	InTime bool `json:"in_time"`
	// InFlight is the number of attempts from this node, and Others the estimated number
	// from other nodes.
	InFlight int     `json:"in_flight"`
	Others   float64 `json:"others"`
	Slots    float64 `json:"slots"`
	// Slow is set if the target was slowed down when last reported.
	Slow bool `json:"slow,omitempty"`
}

// Candidates returns what the Chooser expects of each target of a request's service, sorted
// by expected loss.
func (c *Chooser) Candidates(now dfuclock.Time, q Query) []Candidate {
	state := c.services[q.Service]
	if state == nil {
		return nil
	}
	allowed := c.candidates(q, state)
	candidates := make([]Candidate, 0, len(state.targets))
	for _, t := range state.targets {
		loss, inTime := c.lossWithRefusals(now, q, state, t)
		candidates = append(candidates, Candidate{
			Node: t.target.Member.Node, Place: t.target.Place, Barred: t.barred(now, slices.Contains(allowed, t)),
			Loss: loss, InTime: inTime, InFlight: t.ownInFlight, Others: t.others(now), Slots: t.slots(),
			Slow: t.slowdownState.isSlow(now),
		})
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Loss, b.Loss), cmp.Compare(a.Node, b.Node))
	})
	return candidates
}

// barred returns why a target can't be chosen, or "".
func (t *targetState) barred(now dfuclock.Time, allowed bool) string {
	switch {
	case allowed && t.health.isEjected(now):
		return "ejected"
	case allowed:
		return ""
	case t.target.Draining:
		return "draining"
	default:
		return "outside the homes"
	}
}
