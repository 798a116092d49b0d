package dfutally

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
)

const (
	// candidatesPerSeries is the number of keys without a series that are observed for each
	// series. A key with more than 1/(candidatesPerSeries × size) of their events is always
	// among them (Metwally et al., Efficient Computation of Frequent and Top-k Elements in
	// Data Streams, 2005).
	candidatesPerSeries = 4
	// promotionFactor is how much larger than the least key with a series another one must
	// be to replace it, so that keys of equal size don't replace each other all the time.
	promotionFactor = 1.25
	// maxAge bounds the age of the base of weights in half-lives, so that they don't overflow.
	maxAge = 64
)

// Tally counts events by key and kind. The largest keys have a series each, whose counts
// start when it does; all other events are in the rest. If a key is replaced, its counts
// move to the rest. Hence the sum of all series and the rest is that of all events, and a
// count never decreases while its series lasts. A Tally is not safe for concurrent use.
type Tally[K cmp.Ordered] struct {
	size     int
	halfLife dfuclock.Duration
	base     dfuclock.Time
	series   map[K]*series
	// candidates holds keys without a series.
	candidates map[K]candidate
	rest       []uint64
}

type series struct {
	weight float64
	counts []uint64
}

// candidate is the weight of a key, of which at most excess may belong to others.
type candidate struct {
	weight, excess float64
}

// Series holds the counts of one key by kind.
type Series[K cmp.Ordered] struct {
	Key    K
	Counts []uint64
}

// New returns a Tally of events of several kinds, with up to size series. The weight of an
// event halves each halfLife.
func New[K cmp.Ordered](size, kinds int, halfLife dfuclock.Duration) *Tally[K] {
	return &Tally[K]{
		size:       size,
		halfLife:   halfLife,
		series:     make(map[K]*series),
		candidates: make(map[K]candidate),
		rest:       make([]uint64, kinds),
	}
}

// Add counts an event. Its time must not be less than that of the event before.
func (t *Tally[K]) Add(now dfuclock.Time, key K, kind int) {
	weight := t.weightAt(now)
	s := t.series[key]
	if s == nil && t.size > 0 {
		s = t.observe(key, weight)
	} else if s != nil {
		s.weight += weight
	}
	if s == nil {
		t.rest[kind]++
		return
	}
	s.counts[kind]++
}

// Series returns the series, sorted by key, and the counts of the rest.
func (t *Tally[K]) Series() (all []Series[K], rest []uint64) {
	for _, key := range slices.Sorted(maps.Keys(t.series)) {
		all = append(all, Series[K]{key, slices.Clone(t.series[key].counts)})
	}
	return all, slices.Clone(t.rest)
}

// weightAt returns the weight of an event, relative to those of events at the base.
func (t *Tally[K]) weightAt(now dfuclock.Time) float64 {
	age := float64(now.Sub(t.base)) / float64(t.halfLife)
	if age < maxAge {
		return math.Exp2(age)
	}
	t.base = now
	scale := math.Exp2(-age)
	for _, s := range t.series {
		s.weight *= scale
	}
	for key, c := range t.candidates {
		t.candidates[key] = candidate{c.weight * scale, c.excess * scale}
	}
	return 1
}

// observe adds the weight of an event of a key without a series. It returns the key's
// series if the key is now large enough to have one.
func (t *Tally[K]) observe(key K, weight float64) *series {
	c, ok := t.candidates[key]
	if !ok && len(t.candidates) >= t.size*candidatesPerSeries {
		least := leastKey(t.candidates, func(c candidate) float64 { return c.weight })
		c.weight = t.candidates[least].weight
		c.excess = c.weight
		delete(t.candidates, least)
	}
	c.weight += weight
	t.candidates[key] = c
	certain := c.weight - c.excess
	if len(t.series) >= t.size {
		least := leastKey(t.series, func(s *series) float64 { return s.weight })
		replaced := t.series[least]
		if certain <= replaced.weight*promotionFactor {
			return nil
		}
		for kind, n := range replaced.counts {
			t.rest[kind] += n
		}
		delete(t.series, least)
		t.candidates[least] = candidate{weight: replaced.weight}
	}
	delete(t.candidates, key)
	s := &series{weight: certain, counts: make([]uint64, len(t.rest))}
	t.series[key] = s
	return s
}

// leastKey returns the key of the least weight, and of these the first one.
func leastKey[K cmp.Ordered, V any](m map[K]V, weight func(V) float64) K {
	var least K
	leastWeight := math.Inf(1)
	for key, v := range m {
		if w := weight(v); w < leastWeight || w == leastWeight && key < least {
			least, leastWeight = key, w
		}
	}
	return least
}
