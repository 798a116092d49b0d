package dfuemulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfuscenario"
	"dragonflyusher/measure/dfuvirtual"
)

// Random number streams of one seed. Each purpose has its own stream, so that a change
// to one does not affect the others.
const (
	streamRequests uint64 = iota + 1
	streamNeighbors
	streamDisruptions
	streamNodes
	streamCallers
)

// workload is the part of a run that does not depend on the scheduler.
type workload struct {
	scenario *dfuscenario.Scenario
	kinds    map[string]*dfuscenario.Kind
	services map[dfuident.Service]*dfuscenario.Service
	requests []*request
}

// request is one request of a caller, or a call made by a running request.
type request struct {
	kind *dfuscenario.Kind
	zone dfuident.Zone
	at   dfuvirtual.Instant
	// work is in milliseconds at the normal speed.
	work          float64
	body, answer  dfuident.Bytes
	deadline      dfuclock.Duration
	calls         []*request
	callsTogether bool
	// abandonAfter is when the caller gives up, or zero. duplicates is the number
	// of additional copies it sends at once.
	abandonAfter dfuclock.Duration
	duplicates   int
	// draw in [0, 1) picks the caller's first entry node.
	draw float64
}

// newWorkload draws the requests of a run.
func newWorkload(s *dfuscenario.Scenario, seed uint64) *workload {
	w := &workload{
		scenario: s,
		kinds:    make(map[string]*dfuscenario.Kind),
		services: make(map[dfuident.Service]*dfuscenario.Service),
	}
	for i := range s.Kinds {
		w.kinds[s.Kinds[i].Name] = &s.Kinds[i]
	}
	for i := range s.Services {
		w.services[s.Services[i].Name] = &s.Services[i]
	}
	rng := rand.New(rand.NewPCG(seed, streamRequests))
	for i := range s.Traffic {
		w.drawTraffic(&s.Traffic[i], rng)
	}
	slices.SortStableFunc(w.requests, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	return w
}

// drawTraffic draws the requests of one zone. They are a Poisson process whose rate
// follows a sine wave and the disruptions, drawn by thinning a process of the maximum
// rate.
func (w *workload) drawTraffic(t *dfuscenario.Traffic, rng *rand.Rand) {
	total := 0.0
	for _, weighted := range t.Mix {
		total += weighted.Weight
	}
	bound := w.maxRate(t)
	for at := 0.0; ; {
		at += rng.ExpFloat64() / bound * float64(dfuclock.Second)
		if at >= float64(w.scenario.Length) {
			return
		}
		kept := rng.Float64()*bound < w.rate(t, at)
		pick := rng.Float64() * total
		r := w.drawRequest(w.kinds[pickKind(t.Mix, pick)], rng)
		if !kept {
			continue
		}
		r.zone = t.Zone
		r.at = dfuvirtual.Milliseconds(at)
		w.drawCallerBehavior(r, at, rng)
		w.requests = append(w.requests, r)
	}
}

// pickKind returns the kind at which the cumulative weight exceeds value.
func pickKind(mix []dfuscenario.WeightedKind, value float64) string {
	for _, weighted := range mix {
		value -= weighted.Weight
		if value < 0 {
			return weighted.Kind
		}
	}
	return mix[len(mix)-1].Kind
}

// maxRate returns an upper bound of the request rate of a zone.
func (w *workload) maxRate(t *dfuscenario.Traffic) float64 {
	bound := t.PerSecond * (1 + t.Swing)
	shifted := 0.0
	for _, disruption := range w.scenario.Troubles {
		switch disruption.Kind {
		case dfuscenario.DisruptionBurst:
			bound *= max(disruption.Factor, 1)
		case dfuscenario.DisruptionShift:
			shifted += w.totalRate()
		default:
		}
	}
	return bound + shifted
}

func (w *workload) totalRate() float64 {
	total := 0.0
	for _, t := range w.scenario.Traffic {
		total += t.PerSecond
	}
	return total
}

// rate returns a zone's requests per second at a time in milliseconds.
func (w *workload) rate(t *dfuscenario.Traffic, at float64) float64 {
	rate := t.PerSecond
	if t.PeriodMs > 0 {
		rate *= 1 + t.Swing*math.Sin(2*math.Pi*(at/t.PeriodMs+t.Phase))
	}
	for _, disruption := range w.scenario.Troubles {
		if !isActive(disruption, at) {
			continue
		}
		switch disruption.Kind {
		case dfuscenario.DisruptionBurst:
			if disruption.Zone == "" || disruption.Zone == t.Zone {
				rate *= disruption.Factor
			}
		case dfuscenario.DisruptionShift:
			rate *= 1 - disruption.Share
			if t.Zone == w.shiftZone(disruption) {
				rate += disruption.Share * w.totalRate()
			}
		default:
		}
	}
	return rate
}

// shiftZone returns the zone to which a shift moves traffic.
func (w *workload) shiftZone(d dfuscenario.Disruption) dfuident.Zone {
	return cmp.Or(d.Zone, w.scenario.Zones[0].Zone)
}

// isActive reports whether a disruption is active at a time in milliseconds.
func isActive(d dfuscenario.Disruption, at float64) bool {
	return at >= float64(d.At) && at < float64(d.At+d.For)
}

// drawRequest draws a request and the calls that it makes.
func (w *workload) drawRequest(kind *dfuscenario.Kind, rng *rand.Rand) *request {
	r := &request{
		kind:   kind,
		work:   max(draw(kind.Work, rng), 1),
		body:   dfuident.Bytes(draw(kind.Request, rng)),
		answer: dfuident.Bytes(draw(kind.Answer, rng)),
		draw:   rng.Float64(),
	}
	r.deadline = dfuclock.Duration(float64(kind.Deadline) * (1 - w.scenario.PatienceSpread*rng.Float64()))
	for _, c := range kind.Calls {
		if rng.Float64() >= c.Share {
			continue
		}
		r.callsTogether = r.callsTogether || c.Together
		for range c.Times {
			r.calls = append(r.calls, w.drawRequest(w.kinds[c.Kind], rng))
		}
	}
	return r
}

// drawCallerBehavior decides whether the caller gives up early or sends duplicates.
func (w *workload) drawCallerBehavior(r *request, at float64, rng *rand.Rand) {
	for _, d := range w.scenario.Troubles {
		if !isActive(d, at) || d.Kind != dfuscenario.DisruptionGiveUp && d.Kind != dfuscenario.DisruptionDuplicate {
			continue
		}
		affected, when := rng.Float64() < d.Share, rng.Float64()
		switch {
		case !affected:
		case d.Kind == dfuscenario.DisruptionGiveUp:
			r.abandonAfter = max(dfuclock.Duration(when*float64(r.kind.Latency)/2), 1)
		default:
			r.duplicates = int(d.Factor)
		}
	}
}

// draw returns a value of a log-normal distribution, or its mean if Sigma is zero.
func draw(s dfuscenario.Spread, rng *rand.Rand) float64 {
	normal := rng.NormFloat64()
	if s.Mean == 0 {
		return 0
	}
	value := s.Mean * math.Exp(s.Sigma*normal-s.Sigma*s.Sigma/2)
	if s.Max > 0 {
		value = min(value, s.Max)
	}
	return value
}

// slowPeriod is a time during which neighbors slow a VM down.
type slowPeriod struct {
	from, to dfuvirtual.Instant
}

// drawSlowPeriods draws the slow periods of a VM up to an instant. The neighbors' load
// is drawn anew at fixed steps with a random phase.
func drawSlowPeriods(n dfuscenario.Neighbors, until dfuvirtual.Instant, rng *rand.Rand) []slowPeriod {
	if n.Share <= 0 || n.StepMs <= 0 {
		return nil
	}
	step := dfuvirtual.Milliseconds(n.StepMs)
	var slowPeriods []slowPeriod
	for at := -dfuvirtual.Instant(rng.Float64() * float64(step)); at < until; at += step {
		if rng.Float64() >= n.Share {
			continue
		}
		if last := len(slowPeriods) - 1; last >= 0 && slowPeriods[last].to == at {
			slowPeriods[last].to = at + step
			continue
		}
		slowPeriods = append(slowPeriods, slowPeriod{max(at, 0), at + step})
	}
	return slowPeriods
}

// nodeName returns the id of a VM's node.
func nodeName(zone dfuident.Zone, number int) dfuident.NodeID {
	return dfuident.NodeID(fmt.Sprintf("%s-%02d", zone, number))
}
