package dfureturn_test

import (
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/request/dfureturn"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestFirstTriesHaveNotWaited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := dfureturn.New[string]()
		deadline := rapid.IntRange(100, 10_000).Draw(t, "deadline")
		shares := rapid.SliceOfN(rapid.IntRange(86, 100), 1, 50).Draw(t, "shares")
		is.Equal(d.EstimateWaited(0, "lookup", dfuclock.Duration(deadline)), dfuclock.Duration(0))
		for i, share := range shares {
			now := dfuclock.Time(i * 100)
			is.Equal(d.EstimateWaited(now, "lookup", dfuclock.Duration(deadline*share/100)), dfuclock.Duration(0))
		}
	})
}

// TestReturns compares the estimate with the time that callers with a deadline of
// 1500 ms have actually waited when they try again.
func TestReturns(t *testing.T) {
	is := is.New(t)
	d := dfureturn.New[string]()
	rng := rand.New(rand.NewPCG(7, 7))
	const deadline, tolerance = 1500, 1500 * 15 / 100
	for i := range 500 {
		now := dfuclock.Time(i * 20)
		first := deadline * (85 + rng.IntN(16)) / 100
		d.EstimateWaited(now, "lookup", dfuclock.Duration(first))
		if i < 20 {
			continue
		}
		passed := 250 + rng.IntN(300)
		waited := int(d.EstimateWaited(now, "lookup", dfuclock.Duration(first-passed)))
		is.True(waited > passed-tolerance) // estimate is not too short
		is.True(waited < passed+tolerance) // estimate is not too long
	}
}

func TestRoutesAreApart(t *testing.T) {
	is := is.New(t)
	d := dfureturn.New[string]()
	is.Equal(d.EstimateWaited(0, "order", 2000), dfuclock.Duration(0))
	is.Equal(d.EstimateWaited(1, "lookup", 600), dfuclock.Duration(0))
	is.Equal(d.EstimateWaited(2, "order", 1000), dfuclock.Duration(850))
}

// TestShorterDeadlines checks that callers that have shortened their deadline are
// treated as retrying for a limited time only.
func TestShorterDeadlines(t *testing.T) {
	is := is.New(t)
	d := dfureturn.New[string]()
	d.EstimateWaited(0, "lookup", 3000)
	is.True(d.EstimateWaited(29_000, "lookup", 1000) > 0)
	d.EstimateWaited(31_000, "lookup", 1000)
	is.Equal(d.EstimateWaited(61_000, "lookup", 1000), dfuclock.Duration(0))
}
