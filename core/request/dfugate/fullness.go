package dfugate

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Some targets slow all their work down when nearly all of their slots are
// taken, others don't. A gate finds out by comparing how long requests of the
// same kind took while few and while nearly all slots were taken, and then uses
// fewer slots.
const (
	// nearlyFullPercent is the share of a target's slots up to which it is taken
	// to work at its usual speed.
	nearlyFullPercent = 80
	// fullnessSamples is how many recent times of work are kept for each kind of
	// request and each of the two levels.
	fullnessSamples = 32
	// fullnessNeeded is how many of them are needed for a comparison.
	fullnessNeeded = 20
	// fullnessQuantile is compared in place of the mean: requests that wait for
	// a call of their own are longer for another reason, and some make none.
	fullnessQuantile = 0.25
	// fullnessRatio is the ratio from which the target counts as slowed down.
	fullnessRatio = 1.4
	// fullnessSustained is how long the ratio has to be found.
	fullnessSustained = dfuclock.Second
	// fullnessSpacing is the least time between two of them. Runs that end
	// together have mostly met the same disturbance.
	fullnessSpacing = 50 * dfuclock.Millisecond
	// fullnessKinds bounds the kinds of requests that are told apart.
	fullnessKinds = 64
	// fullnessMemory is how long a finding holds before it is looked for anew.
	fullnessMemory = 30 * dfuclock.Second
)

// workTime is an amount of work in ms at the target's usual pace.
type workTime float64

// fullness finds out whether a target slows down when it is nearly full.
type fullness struct {
	kinds map[dfuident.Kind]*levels
	// exploring says that only times of work of a nearly full target are known,
	// so that fewer slots are used until others are.
	exploring bool
	// slowedUntil is when the finding that the target slows down expires.
	slowedUntil dfuclock.Time
}

// levels holds the latest times of work at both levels.
type levels struct {
	few, nearly samples
	// above is since when the ratio has been great enough, or zero.
	above dfuclock.Time
}

// samples is a ring of times of work.
type samples struct {
	values [fullnessSamples]workTime
	next   int
	n      int
	at     dfuclock.Time
}

func (s *samples) add(now dfuclock.Time, w workTime) {
	if s.n > 0 && now.Sub(s.at) < fullnessSpacing {
		return
	}
	s.at = now
	s.values[s.next] = w
	s.next = (s.next + 1) % fullnessSamples
	s.n = min(s.n+1, fullnessSamples)
}

// quantile returns the compared quantile, or false while there are too few.
func (s *samples) quantile() (workTime, bool) {
	if s.n < fullnessNeeded {
		return 0, false
	}
	sorted := s.values
	slices.Sort(sorted[:s.n])
	return sorted[int(fullnessQuantile*float64(s.n))], true
}

// note learns from a finished run that began and ended while so many of the
// slots were taken. Runs that began and ended at different levels say nothing.
func (f *fullness) note(now dfuclock.Time, kind dfuident.Kind, slots, atStart, atEnd int, w workTime) {
	limit := nearlyFull(slots)
	if (atStart > limit) != (atEnd > limit) || w <= 0 {
		return
	}
	l := f.kinds[kind]
	if l == nil {
		if len(f.kinds) >= fullnessKinds {
			return
		}
		if f.kinds == nil {
			f.kinds = make(map[dfuident.Kind]*levels)
		}
		l = &levels{}
		f.kinds[kind] = l
	}
	if atStart <= limit {
		l.few.add(now, w)
	} else {
		l.nearly.add(now, w)
	}
	few, known := l.few.quantile()
	nearly, alsoKnown := l.nearly.quantile()
	f.exploring = !known && alsoKnown
	switch {
	case !known || !alsoKnown || float64(nearly) < fullnessRatio*float64(few):
		l.above = 0
	case l.above == 0:
		l.above = now
	case now.Sub(l.above) >= fullnessSustained:
		f.slowedUntil = now.Add(fullnessMemory)
		*l = levels{few: l.few}
	}
}

// limit returns how many of the slots are to be used.
func (f *fullness) limit(now dfuclock.Time, slots int) int {
	slowed := f.slowedUntil != 0 && now.Before(f.slowedUntil)
	if slowed || f.exploring {
		return nearlyFull(slots)
	}
	return slots
}

// nearlyFull returns the number of slots up to which a target is not nearly
// full.
func nearlyFull(slots int) int {
	return max(1, slots*nearlyFullPercent/100)
}
