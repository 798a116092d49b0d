package dfugate

import (
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Adaptive concurrency: some targets process all requests more slowly when nearly all
// of their slots are in use. The gate detects this by comparing the run times of
// requests of the same kind at low and at high load, and then uses fewer slots.
const (
	// lowLoadPercent is the percentage of slots in use up to which a target is
	// assumed to run at its normal speed.
	lowLoadPercent = 80
	// samplesKept is the number of recent run times kept per kind of request and load
	// level.
	samplesKept = 32
	// samplesNeeded is the minimum number of samples for a comparison.
	samplesNeeded = 12
	// lowQuantile is compared instead of the mean. The mean would include the time of
	// nested calls, which doesn't depend on this target's load. The low quantile
	// consists mostly of requests without calls.
	lowQuantile = 0.125
	// medianQuantile is compared as well.
	medianQuantile = 0.5
	// slowdownRatioMin is the ratio of high-load to low-load run times from which the
	// target counts as slowed down.
	slowdownRatioMin = 1.4
	// rankScoreMin is the minimum rank score, in standard deviations. Chance alone
	// reaches it about once in a thousand comparisons.
	rankScoreMin = 3.0
	// slowdownSustained is how long the slowdown has to be observed.
	slowdownSustained = dfuclock.Second
	// sampleSpacing is the minimum time between two samples. Runs that end together
	// were mostly affected by the same interference.
	sampleSpacing = 50 * dfuclock.Millisecond
	// exploreSlotsMin is the minimum number of slots of a target that is limited to low
	// load until enough low-load samples exist. With fewer slots, the fifth that is
	// held back is less than one slot.
	exploreSlotsMin = 5
	// sampledKindsMax is the maximum number of request kinds sampled.
	sampledKindsMax = 64
	// saturationValidity is how long a detected slowdown is assumed to last before it
	// has to be detected again.
	saturationValidity = 30 * dfuclock.Second
)

// normalizedTime is a run time in ms, converted to the target's normal speed.
type normalizedTime float64

// saturationDetector detects whether a target slows down at high load.
type saturationDetector struct {
	kinds map[dfuident.Kind]*loadSamples
	// low and high are set once there have been enough samples of some kind at that
	// load level.
	low, high bool
	// slowedUntil is when the detected slowdown expires, or zero if none was detected.
	slowedUntil dfuclock.Time
}

// loadSamples holds the latest run times of a kind at low and at high load.
type loadSamples struct {
	low, high samples
	// slowedSince is when slowed started to hold without interruption, or zero.
	slowedSince dfuclock.Time
}

// samples is a ring buffer of run times.
type samples struct {
	values [samplesKept]normalizedTime
	next   int
	n      int
	lastAt dfuclock.Time
}

func (s *samples) add(now dfuclock.Time, normalized normalizedTime) {
	if s.n > 0 && now.Sub(s.lastAt) < sampleSpacing {
		return
	}
	s.lastAt = now
	s.values[s.next] = normalized
	s.next = (s.next + 1) % samplesKept
	s.n = min(s.n+1, samplesKept)
}

// sufficient reports whether there are enough samples for a comparison.
func (s *samples) sufficient() bool {
	return s.n >= samplesNeeded
}

// quantile returns the quantile q of the samples.
func (s *samples) quantile(q float64) float64 {
	sorted := s.values
	slices.Sort(sorted[:s.n])
	return float64(sorted[int(q*float64(s.n))])
}

// slowed reports whether runs take longer at high load, both at the low quantile and at
// the median. The difference has to be statistically significant, since requests of one
// kind may vary widely.
func (l *loadSamples) slowed() bool {
	if l.rankScore() < rankScoreMin {
		return false
	}
	for _, q := range []float64{lowQuantile, medianQuantile} {
		if l.high.quantile(q) < slowdownRatioMin*l.low.quantile(q) {
			return false
		}
	}
	return true
}

// rankScore compares the run times at both load levels with the Mann-Whitney U test. It
// returns by how many standard deviations the rank sum of the high-load samples exceeds
// the value expected if load makes no difference.
func (l *loadSamples) rankScore() float64 {
	u := 0.0
	for _, a := range l.high.values[:l.high.n] {
		for _, b := range l.low.values[:l.low.n] {
			switch {
			case a > b:
				u++
			case a == b:
				u += 0.5
			}
		}
	}
	n, m := float64(l.high.n), float64(l.low.n)
	const varianceParts = 12
	return (u - n*m/2) / math.Sqrt(n*m*(n+m+1)/varianceParts)
}

// observe adds the normalized time of a finished run. usedAtStart and usedAtEnd are the numbers
// of slots in use when it started and ended. Runs that started and ended at different
// load levels are ignored.
func (d *saturationDetector) observe(now dfuclock.Time, kind dfuident.Kind, slots, usedAtStart, usedAtEnd int, normalized normalizedTime) {
	limit := lowLoadSlots(slots)
	if (usedAtStart > limit) != (usedAtEnd > limit) || normalized <= 0 {
		return
	}
	l := d.kinds[kind]
	if l == nil {
		if len(d.kinds) >= sampledKindsMax {
			return
		}
		if d.kinds == nil {
			d.kinds = make(map[dfuident.Kind]*loadSamples)
		}
		l = &loadSamples{}
		d.kinds[kind] = l
	}
	if usedAtStart <= limit {
		l.low.add(now, normalized)
	} else {
		l.high.add(now, normalized)
	}
	d.low = d.low || l.low.sufficient()
	d.high = d.high || l.high.sufficient()
	switch {
	case !l.low.sufficient() || !l.high.sufficient() || !l.slowed():
		l.slowedSince = 0
	case l.slowedSince == 0:
		l.slowedSince = now
	case now.Sub(l.slowedSince) >= slowdownSustained:
		d.slowedUntil = now.Add(saturationValidity)
		*l = loadSamples{low: l.low}
	}
}

// limit returns the number of slots to use. It is limited to low load while a slowdown is
// detected and, in two cases, until there are enough low-load samples: for a target that
// reports its slowdown from the start, so that a gate that starts under overload detects
// saturation early; for other targets once there are enough high-load samples.
func (d *saturationDetector) limit(now dfuclock.Time, slots int, reportsSlowdown bool) int {
	slowed := d.slowedUntil != 0 && now.Before(d.slowedUntil)
	unexplored := !d.low && (d.high || reportsSlowdown && slots >= exploreSlotsMin)
	if slowed || unexplored {
		return lowLoadSlots(slots)
	}
	return slots
}

// lowLoadSlots returns the number of slots in use up to which the load is low.
func lowLoadSlots(slots int) int {
	return max(1, slots*lowLoadPercent/100)
}
