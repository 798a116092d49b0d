package dfuchoice

import (
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
)

// Parameters of spillover between regions.
const (
	// spillGain and returnGain are the gains in milliseconds above which the
	// share of spilled requests grows and below which it shrinks.
	spillGain, returnGain = 10.0, 3.0
	// spillInterval is the minimum time between two changes of the share.
	spillInterval = 100 * dfuclock.Millisecond
	// spillStep is the amount by which the share grows or shrinks.
	spillStep = 0.03
	// maxSpillShare limits the share, so that latencies in the entry node's
	// region are still measured.
	maxSpillShare = 0.8
	// spillSmoothing is the weight of one request in a region's latency.
	spillSmoothing = 0.05
	// farLatencyLifetime is how long a latency measured in the far region is
	// used.
	farLatencyLifetime = 2 * dfuclock.Second
	// deadlineShare is the share of the remaining time above which the cost of
	// the link no longer counts.
	deadlineShare = 0.7
)

// spill controls the share of a service's requests that are sent to other
// regions. It changes in small steps, based on the latencies of both sides, so
// that the load doesn't oscillate between regions.
type spill struct {
	share         float64
	adjustedAt    dfuclock.Time
	own, far      float64
	farObservedAt dfuclock.Time
}

// record records the latency of an answer in milliseconds, without the network
// delay.
func (s *spill) record(now dfuclock.Time, far bool, latency float64) {
	if far {
		s.farObservedAt = now
		s.far = smoothRegionLatency(s.far, latency)
		return
	}
	s.own = smoothRegionLatency(s.own, latency)
}

// shouldCross decides at random, by the current share, whether a request is
// sent to another region. ExtraDelay is the additional network delay of the
// other region and linkCost the cost of the request's bytes, both in
// milliseconds.
func (s *spill) shouldCross(now dfuclock.Time, q Query, extraDelay, linkCost float64, rng *rand.Rand) bool {
	if now.Sub(s.adjustedAt) >= spillInterval {
		s.adjust(now, q, extraDelay, linkCost)
	}
	return s.share > 0 && rng.Float64() < s.share
}

// adjust changes the share by one step. Without recent answers, the far region
// is assumed to be as fast as an idle local one.
func (s *spill) adjust(now dfuclock.Time, q Query, extraDelay, linkCost float64) {
	s.adjustedAt = now
	far, ok := s.farLatency(now)
	if !ok {
		far = float64(defaultServiceTime)
	}
	gain := s.own - far - extraDelay
	if s.own < deadlineShare*float64(q.Remaining) {
		gain -= linkCost
	}
	switch {
	case gain > spillGain:
		s.share = min(s.share+spillStep, maxSpillShare)
	case gain < returnGain:
		s.share = max(s.share-spillStep, 0)
	}
}

// farLatency returns the latency of the far region in milliseconds, without the
// network delay, or false if it wasn't observed recently. It also reflects load
// on the far targets that their reports don't show.
func (s *spill) farLatency(now dfuclock.Time) (float64, bool) {
	return s.far, s.far != 0 && now.Sub(s.farObservedAt) <= farLatencyLifetime
}

// linkCost returns the cost of sending a request's bytes over the link, in
// milliseconds of latency.
func (c *Chooser) linkCost(q Query) float64 {
	return float64(q.Body) / float64(max(c.settings.LinkBytesPerMillisecond, 1))
}

// smoothRegionLatency returns a region's moving average updated with a new
// latency.
func smoothRegionLatency(old, latency float64) float64 {
	if old == 0 {
		return latency
	}
	return old + spillSmoothing*(latency-old)
}
