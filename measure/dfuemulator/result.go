package dfuemulator

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the length of the windows for which worth is summed.
	windowLength = 2 * dfuvirtual.Second
	// worstWindows is the number of windows in the worst-window figure.
	worstWindows = 2
	// A window whose possible worth is below minWindowShare of the mean is not
	// counted among the worst windows, because the last window is shorter than the
	// others.
	minWindowShare   = 0.25
	bytesPerGigabyte = 1e9
	// maxLatencyMs is the upper end of the latency histograms' range.
	maxLatencyMs = 60_000
)

// worthTotals sums the possible worth of requests and the worth reached.
type worthTotals struct {
	PossibleWorth, ReachedWorth float64
	// InTime counts requests answered within their latency objective.
	Requests, Answered, InTime int
}

// Share returns ReachedWorth as a share of PossibleWorth, or 1 if no worth was
// possible.
func (t *worthTotals) Share() float64 {
	if t.PossibleWorth == 0 {
		return 1
	}
	return t.ReachedWorth / t.PossibleWorth
}

// Result collects the outcomes of one run.
type Result struct {
	scenario *dfuscenario.Scenario
	total    worthTotals
	windows  []worthTotals
	kinds    map[string]*worthTotals
	zones    map[dfuident.Zone]*worthTotals
	reasons  map[dfuoutcome.Reason]int
	// latencies holds the latencies of answers in milliseconds, by kind.
	latencies map[string]*hdrhistogram.Histogram
	// work is the work in milliseconds that targets started, useful the part of it
	// that led to answers.
	work, useful           float64
	zoneBytes, regionBytes dfuident.Bytes
}

func newResult(s *dfuscenario.Scenario) *Result {
	r := &Result{
		scenario:  s,
		windows:   make([]worthTotals, int(dfuvirtual.FromDuration(s.Length)/windowLength)+1),
		kinds:     make(map[string]*worthTotals),
		zones:     make(map[dfuident.Zone]*worthTotals),
		reasons:   make(map[dfuoutcome.Reason]int),
		latencies: make(map[string]*hdrhistogram.Histogram),
	}
	for _, k := range s.Kinds {
		if !k.Inner {
			r.kinds[k.Name] = &worthTotals{}
			r.latencies[k.Name] = hdrhistogram.New(1, maxLatencyMs, 2)
		}
	}
	for _, z := range s.Zones {
		r.zones[z.Zone] = &worthTotals{}
	}
	return r
}

// totals returns the totals that a request counts in.
func (r *Result) totals(q *request) []*worthTotals {
	return []*worthTotals{&r.total, &r.windows[q.at/windowLength], r.kinds[q.kind.Name], r.zones[q.zone]}
}

// recordArrival counts a request.
func (r *Result) recordArrival(q *request) {
	for _, t := range r.totals(q) {
		t.PossibleWorth += q.kind.Worth
		t.Requests++
	}
}

// recordStart counts the work of a request that a target starts.
func (r *Result) recordStart(q *request) {
	r.work += q.work
}

// recordOutcome counts the outcome of a request.
func (r *Result) recordOutcome(q *request, answered bool, latency dfuclock.Duration, reason dfuoutcome.Reason) {
	if !answered {
		r.reasons[reason]++
		return
	}
	worth := q.kind.LateWorth
	inTime := latency <= q.kind.Latency
	if inTime {
		worth = q.kind.Worth
	}
	r.useful += q.work
	for _, call := range q.calls {
		r.useful += call.work
	}
	// Latencies above the histogram's range count as its maximum.
	if err := r.latencies[q.kind.Name].RecordValue(min(int64(latency), maxLatencyMs)); err != nil {
		panic(err)
	}
	for _, t := range r.totals(q) {
		t.ReachedWorth += worth
		t.Answered++
		if inTime {
			t.InTime++
		}
	}
}

// Summary holds the figures of one run.
type Summary struct {
	// Worth is the weighted sum of the parts below, less Bytes.
	Worth float64
	// Mean, WorstWindows and WorstKind are shares of the possible worth. Served is
	// the share of requests that were answered at all.
	Mean, WorstWindows, WorstKind, Served float64
	// Bytes is the price of the bytes sent between zones and regions, as a share
	// of the possible worth.
	Bytes float64
	// Wasted is the share of the work that led to no answer.
	Wasted float64
	// Windows, Kinds and Zones are the shares of the possible worth reached in
	// each window, kind and zone.
	Windows []float64
	Kinds   map[string]float64
	Zones   map[dfuident.Zone]float64
	// P50 and P99 are latencies of answers by kind, in milliseconds.
	P50, P99 map[string]float64
	// Reasons counts the unanswered requests by their last reason.
	Reasons map[dfuoutcome.Reason]int
}

// Summary computes the figures of the run.
func (r *Result) Summary() Summary {
	weights := r.scenario.Goal
	s := Summary{
		Mean: r.total.Share(), WorstWindows: r.worstWindows(), WorstKind: 1,
		Served:  float64(r.total.Answered) / float64(max(r.total.Requests, 1)),
		Wasted:  1 - r.useful/max(r.work, 1),
		Kinds:   make(map[string]float64),
		Zones:   make(map[dfuident.Zone]float64),
		P50:     make(map[string]float64),
		P99:     make(map[string]float64),
		Reasons: r.reasons,
	}
	const median, tail = 50, 99
	for name, t := range r.kinds {
		s.Kinds[name] = t.Share()
		s.WorstKind = min(s.WorstKind, t.Share())
		s.P50[name] = float64(r.latencies[name].ValueAtQuantile(median))
		s.P99[name] = float64(r.latencies[name].ValueAtQuantile(tail))
	}
	for zone, t := range r.zones {
		s.Zones[zone] = t.Share()
	}
	for i := range r.windows {
		s.Windows = append(s.Windows, r.windows[i].Share())
	}
	s.Bytes = (weights.ZoneGigabyte*float64(r.zoneBytes) + weights.RegionGigabyte*float64(r.regionBytes)) /
		bytesPerGigabyte / max(r.total.PossibleWorth, 1)
	s.Worth = weights.Mean*s.Mean + weights.Windows*s.WorstWindows + weights.WorstKind*s.WorstKind + weights.Served*s.Served - s.Bytes
	return s
}

// worstWindows returns the mean share of the worst windows.
func (r *Result) worstWindows() float64 {
	minWorth := minWindowShare * r.total.PossibleWorth / float64(len(r.windows))
	var shares []float64
	for i := range r.windows {
		if r.windows[i].PossibleWorth >= minWorth {
			shares = append(shares, r.windows[i].Share())
		}
	}
	slices.Sort(shares)
	n := min(worstWindows, len(shares))
	if n == 0 {
		return 1
	}
	sum := 0.0
	for _, share := range shares[:n] {
		sum += share
	}
	return sum / float64(n)
}
