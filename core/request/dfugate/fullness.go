package dfugate

import (
	"math"
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
	fullnessNeeded = 12
	// fullnessQuantile is compared in place of the mean: requests that wait for
	// a call of their own are longer for another reason, and some make none.
	fullnessQuantile = 0.125
	// fullnessMedian is compared too.
	fullnessMedian = 0.5
	// fullnessRatio is the ratio from which the target counts as slowed down.
	fullnessRatio = 1.4
	// fullnessScore is the least rank score: one that chance reaches about once in
	// a thousand comparisons.
	fullnessScore = 3.0
	// fullnessSustained is how long the ratio has to be found.
	fullnessSustained = dfuclock.Second
	// fullnessSpacing is the least time between two of them. Runs that end
	// together have mostly met the same disturbance.
	fullnessSpacing = 50 * dfuclock.Millisecond
	// fullnessSlots is the number of slots from which a target is explored before
	// all of them are used: of fewer, a fifth is not even one.
	fullnessSlots = 5
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
	// few and nearly say that enough times of work are known of some kind of
	// requests at either level.
	few, nearly bool
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

// known reports whether there are enough of them to compare.
func (s *samples) known() bool {
	return s.n >= fullnessNeeded
}

// quantile returns a quantile of the samples.
func (s *samples) quantile(q float64) float64 {
	sorted := s.values
	slices.Sort(sorted[:s.n])
	return float64(sorted[int(q*float64(s.n))])
}

// slowed reports whether the target takes longer for the same when it is nearly full,
// for short runs and for middling ones, and by more than chance explains: requests of
// one kind may be very different.
func (l *levels) slowed() bool {
	if l.rankScore() < fullnessScore {
		return false
	}
	for _, q := range []float64{fullnessQuantile, fullnessMedian} {
		if l.nearly.quantile(q) < fullnessRatio*l.few.quantile(q) {
			return false
		}
	}
	return true
}

// rankScore compares the times of work at both levels by the rank-sum test of Mann and
// Whitney: it returns by how many standard deviations those with nearly all slots taken
// rank above what is expected if the level makes no difference.
func (l *levels) rankScore() float64 {
	above := 0.0
	for _, a := range l.nearly.values[:l.nearly.n] {
		for _, b := range l.few.values[:l.few.n] {
			switch {
			case a > b:
				above++
			case a == b:
				above += 0.5
			}
		}
	}
	n, m := float64(l.nearly.n), float64(l.few.n)
	const varianceParts = 12
	return (above - n*m/2) / math.Sqrt(n*m*(n+m+1)/varianceParts)
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
	f.few = f.few || l.few.known()
	f.nearly = f.nearly || l.nearly.known()
	switch {
	case !l.few.known() || !l.nearly.known() || !l.slowed():
		l.above = 0
	case l.above == 0:
		l.above = now
	case now.Sub(l.above) >= fullnessSustained:
		f.slowedUntil = now.Add(fullnessMemory)
		*l = levels{few: l.few}
	}
}

// limit returns how many of the slots are to be used. While no times of work are known
// with few slots taken, no more are used if the target tells its pace, so that a gate
// that starts under overload finds out soon; of any other target once those of a
// nearly full one are known.
func (f *fullness) limit(now dfuclock.Time, slots int, tells bool) int {
	slowed := f.slowedUntil != 0 && now.Before(f.slowedUntil)
	unexplored := !f.few && (f.nearly || tells && slots >= fullnessSlots)
	if slowed || unexplored {
		return nearlyFull(slots)
	}
	return slots
}

// nearlyFull returns the number of slots up to which a target is not nearly
// full.
func nearlyFull(slots int) int {
	return max(1, slots*nearlyFullPercent/100)
}
