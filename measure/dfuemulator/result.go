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
	// windowLength is the length of the windows that worth is accounted in.
	windowLength = 2 * dfuvirtual.Second
	// worstWindows is the number of windows in the worst-window figure.
	worstWindows = 2
	// minWindowShare is the share of the mean worth of a window below which a
	// window is left out of the worst. The last window is short.
	minWindowShare   = 0.25
	bytesPerGigabyte = 1e9
	// maxLatencyMs is the upper end of the latency histograms' range.
	maxLatencyMs = 60_000
)

// account sums the possible worth of requests (Owed) and the worth reached (Earned).
type account struct {
	Owed, Earned float64
	// InTime counts requests answered within their latency objective.
	Requests, Answered, InTime int
}

// Share returns Earned as a share of Owed, or 1 if nothing was owed.
func (a *account) Share() float64 {
	if a.Owed == 0 {
		return 1
	}
	return a.Earned / a.Owed
}

// Result collects the outcomes of one run.
type Result struct {
	scenario *dfuscenario.Scenario
	total    account
	windows  []account
	kinds    map[string]*account
	zones    map[dfuident.Zone]*account
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
		windows:   make([]account, int(dfuvirtual.FromDuration(s.Length)/windowLength)+1),
		kinds:     make(map[string]*account),
		zones:     make(map[dfuident.Zone]*account),
		reasons:   make(map[dfuoutcome.Reason]int),
		latencies: make(map[string]*hdrhistogram.Histogram),
	}
	for _, k := range s.Kinds {
		if !k.Inner {
			r.kinds[k.Name] = &account{}
			r.latencies[k.Name] = hdrhistogram.New(1, maxLatencyMs, 2)
		}
	}
	for _, z := range s.Zones {
		r.zones[z.Zone] = &account{}
	}
	return r
}

// accounts returns the accounts that a request counts in.
func (r *Result) accounts(q *request) []*account {
	return []*account{&r.total, &r.windows[q.at/windowLength], r.kinds[q.kind.Name], r.zones[q.zone]}
}

// recordArrival counts a request.
func (r *Result) recordArrival(q *request) {
	for _, a := range r.accounts(q) {
		a.Owed += q.kind.Worth
		a.Requests++
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
	earned := q.kind.LateWorth
	inTime := latency <= q.kind.Latency
	if inTime {
		earned = q.kind.Worth
	}
	r.useful += q.work
	for _, call := range q.calls {
		r.useful += call.work
	}
	// Latencies above the histogram's range count as its maximum.
	if err := r.latencies[q.kind.Name].RecordValue(min(int64(latency), maxLatencyMs)); err != nil {
		panic(err)
	}
	for _, a := range r.accounts(q) {
		a.Earned += earned
		a.Answered++
		if inTime {
			a.InTime++
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
	for name, a := range r.kinds {
		s.Kinds[name] = a.Share()
		s.WorstKind = min(s.WorstKind, a.Share())
		s.P50[name] = float64(r.latencies[name].ValueAtQuantile(median))
		s.P99[name] = float64(r.latencies[name].ValueAtQuantile(tail))
	}
	for zone, a := range r.zones {
		s.Zones[zone] = a.Share()
	}
	for i := range r.windows {
		s.Windows = append(s.Windows, r.windows[i].Share())
	}
	s.Bytes = (weights.ZoneGigabyte*float64(r.zoneBytes) + weights.RegionGigabyte*float64(r.regionBytes)) /
		bytesPerGigabyte / max(r.total.Owed, 1)
	s.Worth = weights.Mean*s.Mean + weights.Windows*s.WorstWindows + weights.WorstKind*s.WorstKind + weights.Served*s.Served - s.Bytes
	return s
}

// worstWindows returns the mean share of the worst windows.
func (r *Result) worstWindows() float64 {
	minWorth := minWindowShare * r.total.Owed / float64(len(r.windows))
	var shares []float64
	for i := range r.windows {
		if r.windows[i].Owed >= minWorth {
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
