package dfuexperiment

import (
	"runtime"
	"slices"
	"sync"

	"dragonflyusher/measure/dfuemulator"
	"dragonflyusher/measure/dfuscenario"
)

// Outcome holds the summaries of one scheduler in one scenario, one for each seed.
type Outcome struct {
	Scenario  string
	Scheduler string
	Runs      []dfuemulator.Summary
}

// Run runs every scenario with every scheduler and the seeds 1 to seeds. Outcomes are
// in the order of the scenarios, then of the schedulers.
func Run(scenarios []*dfuscenario.Scenario, schedulers []dfuemulator.Scheduler, seeds int) []Outcome {
	var outcomes []Outcome
	for _, s := range scenarios {
		for _, scheduler := range schedulers {
			outcomes = append(outcomes, Outcome{
				Scenario: s.Name, Scheduler: scheduler.Name, Runs: make([]dfuemulator.Summary, seeds),
			})
		}
	}
	type job struct{ outcome, seed int }
	jobs := make(chan job)
	var workers sync.WaitGroup
	for range max(1, runtime.NumCPU()/2) {
		workers.Go(func() {
			for j := range jobs {
				s := scenarios[j.outcome/len(schedulers)]
				scheduler := schedulers[j.outcome%len(schedulers)]
				outcomes[j.outcome].Runs[j.seed] = dfuemulator.Run(s, scheduler, uint64(j.seed+1)).Summary()
			}
		})
	}
	for i := range outcomes {
		for seed := range seeds {
			jobs <- job{i, seed}
		}
	}
	close(jobs)
	workers.Wait()
	return outcomes
}

// Figure selects one number of a summary.
type Figure func(dfuemulator.Summary) float64

// Median returns the median of a figure over the seeds.
func (o *Outcome) Median(f Figure) float64 {
	values := o.sorted(f)
	return values[len(values)/2]
}

// Range returns the minimum and maximum of a figure over the seeds.
func (o *Outcome) Range(f Figure) (minimum, maximum float64) {
	values := o.sorted(f)
	return values[0], values[len(values)-1]
}

// Mean returns the mean of a figure over the seeds.
func (o *Outcome) Mean(f Figure) float64 {
	sum := 0.0
	for _, r := range o.Runs {
		sum += f(r)
	}
	return sum / float64(len(o.Runs))
}

func (o *Outcome) sorted(f Figure) []float64 {
	values := make([]float64, len(o.Runs))
	for i, r := range o.Runs {
		values[i] = f(r)
	}
	slices.Sort(values)
	return values
}

// The figures shown in tables.
var (
	Worth        Figure = func(s dfuemulator.Summary) float64 { return s.Worth }
	MeanShare    Figure = func(s dfuemulator.Summary) float64 { return s.Mean }
	WorstWindows Figure = func(s dfuemulator.Summary) float64 { return s.WorstWindows }
	WorstKind    Figure = func(s dfuemulator.Summary) float64 { return s.WorstKind }
	Served       Figure = func(s dfuemulator.Summary) float64 { return s.Served }
	BytesPrice   Figure = func(s dfuemulator.Summary) float64 { return s.Bytes }
	Wasted       Figure = func(s dfuemulator.Summary) float64 { return s.Wasted }
)
