package dfuchoice

import (
	"cmp"
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Ejection is a target that this node sends no requests to, or on probation
// only a few, because its attempts failed.
type Ejection struct {
	Member dfuident.Member
	// Remaining is the time until its probation, zero during it.
	Remaining dfuclock.Duration
	// FailedPercent is the moving share of failed attempts.
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
		Remaining:     max(0, t.health.until.Sub(now)),
		FailedPercent: int(math.Round(100 * t.health.rate)),
	}
}

// TakeEjected returns the ejection that the last Done began, if it did.
func (c *Chooser) TakeEjected() (Ejection, bool) {
	if c.ejected == nil {
		return Ejection{}, false
	}
	e := *c.ejected
	c.ejected = nil
	return e, true
}
