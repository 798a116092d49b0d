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

// The streams of random numbers of one seed. Each purpose has its own, so that a
// change of one leaves the others as they were.
const (
	streamRequests uint64 = iota + 1
	streamNeighbors
	streamTroubles
	streamNodes
	streamCallers
)

// plan is everything of a day that no scheduler has a part in.
type plan struct {
	scenario *dfuscenario.Scenario
	kinds    map[string]*dfuscenario.Kind
	services map[dfuident.Service]*dfuscenario.Service
	requests []*request
}

// request is one request of a caller, or a call of a running one.
type request struct {
	kind *dfuscenario.Kind
	zone dfuident.Zone
	at   dfuvirtual.Instant
	// work is in milliseconds at the usual pace.
	work          float64
	body, answer  dfuident.Bytes
	deadline      dfuclock.Duration
	calls         []*request
	callsTogether bool
	// leaves is when the caller leaves, or zero, and hammers how many more times
	// it sends the request at once.
	leaves  dfuclock.Duration
	hammers int
	// draw picks the caller's node, as a part of one.
	draw float64
}

// newPlan draws a day.
func newPlan(s *dfuscenario.Scenario, seed uint64) *plan {
	p := &plan{
		scenario: s,
		kinds:    make(map[string]*dfuscenario.Kind),
		services: make(map[dfuident.Service]*dfuscenario.Service),
	}
	for i := range s.Kinds {
		p.kinds[s.Kinds[i].Name] = &s.Kinds[i]
	}
	for i := range s.Services {
		p.services[s.Services[i].Name] = &s.Services[i]
	}
	rng := rand.New(rand.NewPCG(seed, streamRequests))
	for i := range s.Traffic {
		p.drawTraffic(&s.Traffic[i], rng)
	}
	slices.SortStableFunc(p.requests, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	return p
}

// drawTraffic draws the requests of one zone: a Poisson process whose rate follows a
// wave and the troubles of the day, by thinning one of the greatest rate.
func (p *plan) drawTraffic(t *dfuscenario.Traffic, rng *rand.Rand) {
	total := 0.0
	for _, part := range t.Mix {
		total += part.Weight
	}
	most := p.mostTraffic(t)
	for at := 0.0; ; {
		at += rng.ExpFloat64() / most * float64(dfuclock.Second)
		if at >= float64(p.scenario.Length) {
			return
		}
		kept := rng.Float64()*most < p.rate(t, at)
		pick := rng.Float64() * total
		r := p.drawRequest(p.kinds[pickKind(t.Mix, pick)], rng)
		if !kept {
			continue
		}
		r.zone = t.Zone
		r.at = dfuvirtual.Milliseconds(at)
		p.disturbCaller(r, at, rng)
		p.requests = append(p.requests, r)
	}
}

// pickKind returns the kind at which the running sum of the weights passes a value.
func pickKind(mix []dfuscenario.Part, value float64) string {
	for _, part := range mix {
		value -= part.Weight
		if value < 0 {
			return part.Kind
		}
	}
	return mix[len(mix)-1].Kind
}

// mostTraffic returns a rate that the traffic of a zone never passes.
func (p *plan) mostTraffic(t *dfuscenario.Traffic) float64 {
	most := t.PerSecond * (1 + t.Swing)
	moved := 0.0
	for _, trouble := range p.scenario.Troubles {
		switch trouble.Kind {
		case dfuscenario.TroubleBurst:
			most *= max(trouble.Factor, 1)
		case dfuscenario.TroubleShift:
			moved += p.totalRate()
		default:
		}
	}
	return most + moved
}

func (p *plan) totalRate() float64 {
	total := 0.0
	for _, t := range p.scenario.Traffic {
		total += t.PerSecond
	}
	return total
}

// rate returns the requests a second of a zone at a time in milliseconds.
func (p *plan) rate(t *dfuscenario.Traffic, at float64) float64 {
	rate := t.PerSecond
	if t.PeriodMs > 0 {
		rate *= 1 + t.Swing*math.Sin(2*math.Pi*(at/t.PeriodMs+t.Phase))
	}
	for _, trouble := range p.scenario.Troubles {
		if !isActive(trouble, at) {
			continue
		}
		switch trouble.Kind {
		case dfuscenario.TroubleBurst:
			if trouble.Zone == "" || trouble.Zone == t.Zone {
				rate *= trouble.Factor
			}
		case dfuscenario.TroubleShift:
			rate *= 1 - trouble.Share
			if t.Zone == p.shiftTo(trouble) {
				rate += trouble.Share * p.totalRate()
			}
		default:
		}
	}
	return rate
}

// shiftTo returns the zone to which a shift moves the traffic.
func (p *plan) shiftTo(t dfuscenario.Trouble) dfuident.Zone {
	return cmp.Or(t.Zone, p.scenario.Zones[0].Zone)
}

// isActive reports whether a trouble lasts at a time in milliseconds.
func isActive(t dfuscenario.Trouble, at float64) bool {
	return at >= float64(t.At) && at < float64(t.At+t.For)
}

// drawRequest draws a request with the calls that it makes.
func (p *plan) drawRequest(kind *dfuscenario.Kind, rng *rand.Rand) *request {
	r := &request{
		kind:   kind,
		work:   max(draw(kind.Work, rng), 1),
		body:   dfuident.Bytes(draw(kind.Request, rng)),
		answer: dfuident.Bytes(draw(kind.Answer, rng)),
		draw:   rng.Float64(),
	}
	r.deadline = dfuclock.Duration(float64(kind.Deadline) * (1 - p.scenario.PatienceSpread*rng.Float64()))
	for _, c := range kind.Calls {
		if rng.Float64() >= c.Share {
			continue
		}
		r.callsTogether = r.callsTogether || c.Together
		for range c.Times {
			r.calls = append(r.calls, p.drawRequest(p.kinds[c.Kind], rng))
		}
	}
	return r
}

// disturbCaller decides whether the caller leaves early or repeats.
func (p *plan) disturbCaller(r *request, at float64, rng *rand.Rand) {
	for _, t := range p.scenario.Troubles {
		if !isActive(t, at) || t.Kind != dfuscenario.TroubleLeave && t.Kind != dfuscenario.TroubleHammer {
			continue
		}
		hit, when := rng.Float64() < t.Share, rng.Float64()
		switch {
		case !hit:
		case t.Kind == dfuscenario.TroubleLeave:
			r.leaves = max(dfuclock.Duration(when*float64(r.kind.Latency)/2), 1)
		default:
			r.hammers = int(t.Factor)
		}
	}
}

// draw returns a value of a log-normal distribution, of its mean while no deviation is
// given.
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

// spell is a time in which neighbors slow a VM down.
type spell struct {
	from, to dfuvirtual.Instant
}

// drawSpells draws the spells of a VM's neighbors until an instant: their load is drawn
// anew at fixed steps, from a random phase on.
func drawSpells(n dfuscenario.Neighbors, until dfuvirtual.Instant, rng *rand.Rand) []spell {
	if n.Share <= 0 || n.StepMs <= 0 {
		return nil
	}
	step := dfuvirtual.Milliseconds(n.StepMs)
	var spells []spell
	for at := -dfuvirtual.Instant(rng.Float64() * float64(step)); at < until; at += step {
		if rng.Float64() >= n.Share {
			continue
		}
		if last := len(spells) - 1; last >= 0 && spells[last].to == at {
			spells[last].to = at + step
			continue
		}
		spells = append(spells, spell{max(at, 0), at + step})
	}
	return spells
}

// nodeName names the node of a VM.
func nodeName(zone dfuident.Zone, number int) dfuident.NodeID {
	return dfuident.NodeID(fmt.Sprintf("%s-%02d", zone, number))
}
