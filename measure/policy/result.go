package policy

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuvirtual"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result collects the measurements of one run.
type Result struct {
	// latencies holds the latencies of idempotent calls from patient callers in
	// microseconds. A call without an answer counts with its deadline.
	latencies                                         *hdrhistogram.Histogram
	calls, answered                                   int
	work, wasted, extra                               float64
	measurementBytes, linkMeasurementBytes, linkBytes dfuident.Bytes
}

func newResult() *Result {
	return &Result{latencies: hdrhistogram.New(1, int64(10*dfuvirtual.Second), 3)}
}

// recordCall records the end of a call. Calls during the warm-up and from callers that
// give up early are ignored.
func (r *Result) recordCall(c *call, latency dfuvirtual.Instant, inTime bool) {
	if c.sent < warmUp || c.sent >= warmUp+measuredTime || !c.patient {
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
	// P50, P99 and P999 are latencies in milliseconds.
	P50, P99, P999 float64
	// InTime is the share of calls answered by their deadline.
	InTime float64
	// Wasted is the share of work spent on abandoned calls. Extra is the share
	// spent on attempts of calls that another attempt answered.
	Wasted, Extra float64
	// Measuring, LinkMeasuring and Link are in bytes per second: load information
	// in total, load information between regions, and all traffic between regions.
	Measuring, LinkMeasuring, Link float64
}

// Summary computes the figures of the run.
func (r *Result) Summary() Summary {
	perSecond := func(b dfuident.Bytes) float64 {
		return float64(b) * float64(dfuvirtual.Second) / float64(measuredTime)
	}
	at := func(percentile float64) float64 {
		return float64(r.latencies.ValueAtQuantile(percentile)) / float64(dfuvirtual.Millisecond)
	}
	return Summary{
		P50: at(50), P99: at(99), P999: at(99.9),
		InTime:    float64(r.answered) / float64(max(r.calls, 1)),
		Wasted:    r.wasted / max(r.work, 1),
		Extra:     r.extra / max(r.work, 1),
		Measuring: perSecond(r.measurementBytes), LinkMeasuring: perSecond(r.linkMeasurementBytes),
		Link: perSecond(r.linkBytes),
	}
}
