package dfuchoice

import (
	"math"

	"dragonflyusher/core/process/dfuclock"
)

// Neighbors on a target's VM slow it down in spells, which pace follows as a
// process of two states: what was told of a target says less and less of its
// state as time passes.
const (
	// slowPercent is the slowdown from which a target counts as slow.
	slowPercent = 200
	// usualPercent is the slowdown of a target at its usual pace.
	usualPercent = 100
	// slowSpell is the mean length of a spell, in milliseconds.
	slowSpell = 150.0
	// slowShare is the share of the time that a target of which nothing is known
	// is taken to be slow.
	slowShare = 0.3
	// paceMixing is the time in milliseconds in which what was told loses all
	// but 1/e of its weight: the mean of the lengths of a slow and a usual spell
	// that follow from slowSpell and slowShare, taken as rates.
	paceMixing = slowSpell * (1 - slowShare)
	// usualSpell is the mean time between two spells, in milliseconds.
	usualSpell = slowSpell * (1 - slowShare) / slowShare
)

// pace is what a target's node told last of how fast the target works.
type pace struct {
	known    bool
	slowdown float64
	at       dfuclock.Time
	// slowSince is since when the target has been slow whenever it was told.
	slowSince dfuclock.Time
}

// note takes a slowdown; zero says nothing.
func (p *pace) note(now dfuclock.Time, slowdown uint16) {
	if slowdown == 0 {
		return
	}
	wasSlow := p.known && p.slowdown >= slowPercent
	p.known, p.slowdown, p.at = true, float64(slowdown), now
	if p.slowdown < slowPercent {
		p.slowSince = 0
	} else if !wasSlow {
		p.slowSince = now
	}
}

// extra returns by how many milliseconds a piece of work is expected to take
// longer than at the usual pace.
func (p *pace) extra(now dfuclock.Time, work float64) float64 {
	if !p.known {
		return 0
	}
	age := float64(now.Sub(p.at))
	if p.slowdown < slowPercent {
		likely := slowShare * (1 - math.Exp(-age/paceMixing))
		return likely * spellExtra(usualSlowdown, slowSpell, work)
	}
	// A target that has been slow for long stays so for about as long.
	spell := max(slowSpell, float64(p.at.Sub(p.slowSince)))
	likely := slowShare + (1-slowShare)*math.Exp(-age/spell)
	return likely * spellExtra(p.slowdown/usualPercent, spell, work)
}

// missing returns the chance that a piece of work takes longer than at the usual
// pace by more than the slack, in milliseconds.
func (p *pace) missing(now dfuclock.Time, work, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	begins := 1 - math.Exp(-work/usualSpell)
	unknown := slowShare + (1-slowShare)*begins
	if !p.known {
		return unknown * spellMisses(usualSlowdown, slowSpell, work, slack)
	}
	age := float64(now.Sub(p.at))
	if p.slowdown < slowPercent {
		likely := slowShare * (1 - math.Exp(-age/paceMixing))
		likely += (1 - likely) * begins
		return likely * spellMisses(usualSlowdown, slowSpell, work, slack)
	}
	spell := max(slowSpell, float64(p.at.Sub(p.slowSince)))
	likely := slowShare + (1-slowShare)*math.Exp(-age/spell)
	return likely * spellMisses(p.slowdown/usualPercent, spell, work, slack)
}

// spellMisses returns the chance that a spell of a mean length delays work that
// begins in it by more than the slack.
func spellMisses(factor, spell, work, slack float64) float64 {
	if slack >= (factor-1)*work {
		return 0
	}
	return math.Exp(-slack / (spell * (1 - 1/factor)))
}

// usualSlowdown is the factor that is expected of a spell of which nothing was
// told.
const usualSlowdown = 5.0

// spellExtra returns by how much work takes longer that begins in a spell of a
// mean length, in which everything takes factor times as long.
func spellExtra(factor, spell, work float64) float64 {
	return spell * (1 - 1/factor) * (1 - math.Exp(-factor*work/spell))
}
