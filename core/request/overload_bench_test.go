package request_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
)

// overloadSimulation simulates one gate with 12 slots in steps of 1 ms. Run times are 5 to
// 75 ms and deadlines 50 to 500 ms. The three classes have equal shares, and one of eight
// callers, the greedy one, makes half of the offers.
type overloadSimulation struct {
	gate    *dfugate.Machine
	rng     *rand.Rand
	now     dfuclock.Time
	offers  map[dfuident.RequestID]overloadOffer
	running map[dfuident.RequestID]overloadRun

	offered, answered [dfugate.ClassCount]int
	greedy, others    overloadShare
	busy, wasted      dfuclock.Duration
}

type overloadOffer struct {
	class  dfugate.Class
	greedy bool
}

type overloadRun struct {
	started, ends dfuclock.Time
}

// overloadShare holds the numbers of offers and of answers.
type overloadShare struct {
	offered, answered int
}

func (o *overloadSimulation) offer(sequence uint64) {
	id := dfuident.RequestID{Entry: member("entry"), Sequence: sequence}
	offer := overloadOffer{class: dfugate.Class(o.rng.IntN(dfugate.ClassCount)), greedy: o.rng.IntN(2) == 0}
	caller := dfuident.Caller("greedy")
	share := &o.greedy
	if !offer.greedy {
		caller = dfuident.Caller(fmt.Sprintf("shop-%d", o.rng.IntN(7)))
		share = &o.others
	}
	share.offered++
	o.offered[offer.class]++
	o.offers[id] = offer
	o.step(dfugate.Offer{
		ID: id, Service: testService, Caller: caller, Class: offer.class, Idempotent: true,
		Remaining: dfuclock.Duration(50 + o.rng.IntN(451)), Settled: sequence - min(sequence, 1000),
	})
}

func (o *overloadSimulation) step(event dfugate.Event) {
	var canceled []dfuident.RequestID
	for _, action := range o.gate.Step(o.now, event) {
		switch a := action.(type) {
		case dfugate.RunOnTarget:
			o.running[a.ID] = overloadRun{started: o.now, ends: o.now.Add(dfuclock.Duration(5 + o.rng.IntN(71)))}
		case dfugate.CancelOnTarget:
			canceled = append(canceled, a.ID)
		case dfugate.Complete:
			o.complete(a)
		default:
		}
	}
	for _, id := range canceled {
		o.step(dfugate.TargetFailed{ID: id})
	}
}

func (o *overloadSimulation) complete(a dfugate.Complete) {
	run, offer := o.running[a.ID], o.offers[a.ID]
	delete(o.running, a.ID)
	delete(o.offers, a.ID)
	o.busy += o.now.Sub(run.started)
	if a.Outcome != dfuoutcome.Answered {
		o.wasted += o.now.Sub(run.started)
		return
	}
	o.answered[offer.class]++
	if offer.greedy {
		o.greedy.answered++
	} else {
		o.others.answered++
	}
}

// tick advances the time by one millisecond.
func (o *overloadSimulation) tick() {
	o.now++
	o.step(dfugate.Tick{})
	var done []dfuident.RequestID
	for id, run := range o.running {
		if !o.now.Before(run.ends) {
			done = append(done, id)
		}
	}
	slices.SortFunc(done, func(a, b dfuident.RequestID) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, id := range done {
		o.step(dfugate.TargetDone{ID: id})
	}
}

// BenchmarkOverload reports, by offered load in percent of the capacity, the percentage of
// offers answered by class and by caller, and the percentage of slot time spent on runs that
// are not answered.
func BenchmarkOverload(b *testing.B) {
	for _, percent := range []int{80, 120, 200} {
		b.Run(fmt.Sprintf("load=%d", percent), func(b *testing.B) {
			for range b.N {
				simulateOverload(b, percent)
			}
		})
	}
}

func simulateOverload(b *testing.B, percent int) {
	const milliseconds = 60_000
	o := &overloadSimulation{
		gate:    dfugate.New(dfugate.DefaultConfig(), member("gate")),
		rng:     rand.New(rand.NewPCG(1, uint64(percent))),
		offers:  make(map[dfuident.RequestID]overloadOffer),
		running: make(map[dfuident.RequestID]overloadRun),
	}
	o.step(dfugate.TargetAnnounced{Service: testService, Slots: 12})
	// 12 slots of 40 ms serve 0.3 requests per ms.
	sequence := uint64(0)
	for range milliseconds {
		o.tick()
		if o.rng.Float64() < 0.3*float64(percent)/100 {
			sequence++
			o.offer(sequence)
		}
	}
	share := func(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }
	for class := range o.offered {
		b.ReportMetric(share(o.answered[class], o.offered[class]), fmt.Sprintf("class%d-%%", class))
	}
	b.ReportMetric(share(o.greedy.answered, o.greedy.offered), "greedy-%")
	b.ReportMetric(share(o.others.answered, o.others.offered), "others-%")
	b.ReportMetric(share(int(o.wasted), int(o.busy)), "wasted-%")
}
