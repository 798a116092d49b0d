package dfuchoice

import (
	"cmp"
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Ejection describes a target that this node sends no requests to because
// attempts to it failed, or only a few if the target is on probation.
type Ejection struct {
	Member dfuident.Member
	// Remaining is the time until probation starts, or zero during probation.
	Remaining dfuclock.Duration
	// FailedPercent is the moving average of the share of failed attempts, in
	// percent.
	FailedPercent int
}

// Ejections returns the targets that are ejected or on probation, sorted by
// node.
func (c *Chooser) Ejections(now dfuclock.Time) []Ejection {
	var found []Ejection
	for _, t := range c.nodes {
		if t.health.state != healthy {
			found = append(found, t.ejection(now))
		}
	}
	slices.SortFunc(found, func(a, b Ejection) int {
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
	return found
}

func (t *targetState) ejection(now dfuclock.Time) Ejection {
	return Ejection{
		Member:        t.target.Member,
		Remaining:     max(0, t.health.ejectedUntil.Sub(now)),
		FailedPercent: int(math.Round(100 * t.health.failureRate)),
	}
}

// TakeNewEjection returns the ejection started by the last call of
// RecordOutcome, or false if there was none. It returns each ejection once.
func (c *Chooser) TakeNewEjection() (Ejection, bool) {
	if c.ejected == nil {
		return Ejection{}, false
	}
	e := *c.ejected
	c.ejected = nil
	return e, true
}
