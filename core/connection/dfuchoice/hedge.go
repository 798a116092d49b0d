package dfuchoice

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
)

// Hedging parameters.
const (
	// latencySamples is the number of recent latencies kept for each service.
	latencySamples = 128
	// hedgeQuantile is the quantile of the latencies after which a hedge is
	// sent.
	hedgeQuantile = 0.9
	// hedgeRefusals is the refusal rate above which no hedges are sent, since
	// the targets have no capacity for a second attempt.
	hedgeRefusals = 0.8
)

// latencyWindow holds the most recent latencies of one service.
type latencyWindow struct {
	samples [latencySamples]dfuclock.Duration
	next, n int
}

// add records a latency, overwriting the oldest.
func (w *latencyWindow) add(latency dfuclock.Duration) {
	w.samples[w.next] = latency
	w.next = (w.next + 1) % latencySamples
	w.n = min(w.n+1, latencySamples)
}

// quantile returns the given quantile, from 0 to 1, or false if there are too
// few samples.
func (w *latencyWindow) quantile(share float64) (dfuclock.Duration, bool) {
	if w.n < latencySamples/4 {
		return 0, false
	}
	sorted := slices.Clone(w.samples[:w.n])
	slices.Sort(sorted)
	return sorted[int(share*float64(w.n-1))], true
}

// HedgeAfter returns how long to wait for the first answer before sending a
// second attempt. It returns false if the request must not be hedged: it isn't
// idempotent, it has too little time left, the service refuses too many
// attempts, or there are too few latency samples. The caller of HedgeAfter
// charges the attempt to a retry budget.
func (c *Chooser) HedgeAfter(q Query) (dfuclock.Duration, bool) {
	state := c.services[q.Service]
	if state == nil || !q.Idempotent || state.refusalRate > hedgeRefusals {
		return 0, false
	}
	wait, ok := state.latencies.quantile(hedgeQuantile)
	return wait, ok && wait < q.Remaining
}
