package policy

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuvirtual"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run measured.
type Result struct {
	// latencies holds the idempotent calls of patient callers in microseconds.
	// A call without an answer counts with the time that its caller waited.
	latencies                      *hdrhistogram.Histogram
	calls, answered                int
	work, wasted, extra            float64
	measuring, linkMeasuring, link dfuident.Bytes
}

// newResult returns a result without measurements.
func newResult() *Result {
	return &Result{latencies: hdrhistogram.New(1, int64(10*dfuvirtual.Second), 3)}
}

// note takes the end of a call. Calls of the warm-up and of callers that give
// up early are left out.
func (r *Result) note(c *call, latency dfuvirtual.Instant, inTime bool) {
	if c.sent < warmUp || c.sent >= warmUp+measured || !c.patient {
		return
	}
	r.calls++
	if inTime {
		r.answered++
	}
	if c.idempotent {
		_ = r.latencies.RecordValue(int64(min(latency, 10*dfuvirtual.Second)))
	}
}

// Summary holds the figures of one run.
type Summary struct {
	// P50, P99 and P999 are in milliseconds.
	P50, P99, P999 float64
	// InTime is the share of calls that were answered in time.
	InTime float64
	// Wasted is the share of work on abandoned calls, Extra the share on
	// attempts whose call was answered by another one.
	Wasted, Extra float64
	// Measuring, LinkMeasuring and Link are in bytes per dfuvirtual.Second.
	Measuring, LinkMeasuring, Link float64
}

// Summary returns the figures of the run.
func (r *Result) Summary() Summary {
	perSecond := func(b dfuident.Bytes) float64 {
		return float64(b) * float64(dfuvirtual.Second) / float64(measured)
	}
	at := func(percentile float64) float64 {
		return float64(r.latencies.ValueAtQuantile(percentile)) / float64(dfuvirtual.Millisecond)
	}
	return Summary{
		P50: at(50), P99: at(99), P999: at(99.9),
		InTime:    float64(r.answered) / float64(max(r.calls, 1)),
		Wasted:    r.wasted / max(r.work, 1),
		Extra:     r.extra / max(r.work, 1),
		Measuring: perSecond(r.measuring), LinkMeasuring: perSecond(r.linkMeasuring),
		Link: perSecond(r.link),
	}
}
