package dfuchoice

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
)

// Parameters of hedging.
const (
	// latencySamples is how many recent latencies a quantile is taken from.
	latencySamples = 128
	// hedgeQuantile is the share of requests that are answered before a hedge.
	hedgeQuantile = 0.9
	// hedgeRefusals is the refusal rate above which there is no room for a
	// second attempt.
	hedgeRefusals = 0.8
)

// quantiles keeps the most recent latencies of one service.
type quantiles struct {
	samples [latencySamples]dfuclock.Duration
	next, n int
}

// add notes a latency in place of the oldest.
func (s *quantiles) add(latency dfuclock.Duration) {
	s.samples[s.next] = latency
	s.next = (s.next + 1) % latencySamples
	s.n = min(s.n+1, latencySamples)
}

// at returns the quantile, or false while too few latencies are known.
func (s *quantiles) at(share float64) (dfuclock.Duration, bool) {
	if s.n < latencySamples/4 {
		return 0, false
	}
	sorted := slices.Clone(s.samples[:s.n])
	slices.Sort(sorted)
	return sorted[int(share*float64(s.n-1))], true
}

// HedgeAfter returns how long a request waits for its first answer before a
// second attempt is worth sending. It is false if the request must not be
// hedged: it isn't idempotent, its remaining time is too short, or too little
// is known. The caller of HedgeAfter charges the attempt to a retry budget.
func (c *Chooser) HedgeAfter(q Query) (dfuclock.Duration, bool) {
	state := c.services[q.Service]
	if state == nil || !q.Idempotent || state.refusals > hedgeRefusals {
		return 0, false
	}
	wait, ok := state.latencies.at(hedgeQuantile)
	return wait, ok && wait < q.Remaining
}
