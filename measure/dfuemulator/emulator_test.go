package dfuemulator_test

import (
	"os"
	"slices"
	"testing"

	"dragonflyusher/measure/dfuemulator"
	"dragonflyusher/measure/dfuscenario"

	"github.com/matryer/is"
)

// scenario reads a file of measure/scenarios.
func scenario(t *testing.T, name string) *dfuscenario.Scenario {
	t.Helper()
	path := "../scenarios/" + name + ".json"
	data, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	s, err := dfuscenario.Parse(path, data)
	is.New(t).NoErr(err)
	return s
}

func scheduler(t *testing.T, name string) dfuemulator.Scheduler {
	t.Helper()
	all := dfuemulator.Schedulers()
	i := slices.IndexFunc(all, func(s dfuemulator.Scheduler) bool { return s.Name == name })
	is.New(t).True(i >= 0)
	return all[i]
}

// meanWorth returns the mean worth of a scheduler over a few seeds.
func meanWorth(t *testing.T, s *dfuscenario.Scenario, name string) float64 {
	t.Helper()
	const seeds = 3
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += dfuemulator.Run(s, scheduler(t, name), seed).Summary().Worth
	}
	return sum / seeds
}

func TestRunRepeats(t *testing.T) {
	is := is.New(t)
	s := scenario(t, "power")
	for _, name := range []string{"current", "clairvoyant"} {
		first := dfuemulator.Run(s, scheduler(t, name), 5).Summary()
		is.Equal(first, dfuemulator.Run(s, scheduler(t, name), 5).Summary())
	}
}

// A scenario without disruptions serves every request.
func TestCalmDayIsServed(t *testing.T) {
	is := is.New(t)
	sum := dfuemulator.Run(scenario(t, "calm"), dfuemulator.Current(), 1).Summary()
	is.Equal(sum.Served, 1.0)
	is.True(sum.Mean > 0.99)
	is.Equal(len(sum.Reasons), 0)
}

// The daemon's scheduler beats common load balancing policies under overload and after
// a power loss, and does not beat the clairvoyant scheduler.
func TestSchedulersRank(t *testing.T) {
	for _, name := range []string{"overload", "power"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := scenario(t, name)
			current := meanWorth(t, s, "current")
			for _, other := range []string{"random", "round_robin_in_region", "two_choices"} {
				is.True(current > meanWorth(t, s, other)) // current against another policy
			}
			is.True(current < meanWorth(t, s, "clairvoyant"))
		})
	}
}
