package dfuchoice

import (
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
)

// Parameters of crossing the link between regions.
const (
	// spillGain and returnGain are the gains in milliseconds above which a
	// greater share crosses, and below which a smaller one does.
	spillGain, returnGain = 10.0, 3.0
	// spillInterval is the least time between two changes of the share.
	spillInterval = 100 * dfuclock.Millisecond
	// spillStep is how much a change adds, and what a return takes off.
	spillStep = 0.03
	// spillMax bounds the share, so that the own region stays measured.
	spillMax = 0.8
	// spillSmoothing is the weight of one request in a region's latency.
	spillSmoothing = 0.05
	// farLifetime is how long the far region's latency counts.
	farLifetime = 2 * dfuclock.Second
	// deadlineShare is the share of the remaining time above which the price
	// of the bytes no longer counts.
	deadlineShare = 0.7
)

// spill is the share of a service's requests that cross to the far region. It
// moves in small steps by the latencies of both regions, so that requests
// don't swing from one region to the other and back.
type spill struct {
	share     float64
	adjusted  dfuclock.Time
	own, far  float64
	farRecent dfuclock.Time
}

// note learns the latency of an answer, without the network's part.
func (s *spill) note(now dfuclock.Time, far bool, latency float64) {
	if far {
		s.farRecent = now
		s.far = blend(s.far, latency)
		return
	}
	s.own = blend(s.own, latency)
}

// crosses draws whether a request goes to the far region, whose network takes
// the distance longer, and whose bytes are worth the price.
func (s *spill) crosses(now dfuclock.Time, q Query, distance, price float64, rng *rand.Rand) bool {
	if now.Sub(s.adjusted) >= spillInterval {
		s.adjust(now, q, distance, price)
	}
	return s.share > 0 && rng.Float64() < s.share
}

// adjust moves the share by one step. Without recent answers the far region is
// taken to be as good as an own one without load.
func (s *spill) adjust(now dfuclock.Time, q Query, distance, price float64) {
	s.adjusted = now
	far, ok := s.farLatency(now)
	if !ok {
		far = float64(defaultServiceTime)
	}
	gain := s.own - far - distance
	if s.own < deadlineShare*float64(q.Remaining) {
		gain -= price
	}
	switch {
	case gain > spillGain:
		s.share = min(s.share+spillStep, spillMax)
	case gain < returnGain:
		s.share = max(s.share-spillStep, 0)
	}
}

// farLatency returns the latency of the far region without the network's part,
// if it was observed lately. It tells of a load there that no signal tells of.
func (s *spill) farLatency(now dfuclock.Time) (float64, bool) {
	return s.far, s.far != 0 && now.Sub(s.farRecent) <= farLifetime
}

// price returns what the bytes of a request over the link are worth, in
// milliseconds of latency.
func (c *Chooser) price(q Query) float64 {
	return float64(q.Body) / float64(max(c.settings.LinkBytesPerMillisecond, 1))
}

// blend returns a region's moving average with a new latency.
func blend(old, latency float64) float64 {
	if old == 0 {
		return latency
	}
	return old + spillSmoothing*(latency-old)
}
