package dfuroster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/measure/dfufleet"

	"github.com/matryer/is"
)

const (
	survivorTestChanges = 12
	survivorTestPeriod  = 700 * dfuclock.Millisecond
	survivorTestStep    = 100 * dfuclock.Millisecond
)

// killMost kills the given number of random nodes at the same moment and returns the others.
func killMost(f *dfufleet.Fleet, killed int, rng *rand.Rand) []*dfufleet.Node {
	nodes := f.Nodes()
	var survivors []*dfufleet.Node
	for i, n := range rng.Perm(len(nodes)) {
		if i < killed {
			f.Kill(nodes[n].Member.Node)
		} else {
			survivors = append(survivors, nodes[n])
		}
	}
	return survivors
}

// Changes must come into force in time at the nodes that survive the loss of most others,
// and with them of most or all watchers of the store. Load: twelve changes in quick
// succession from the moment of the loss on.
func TestSurvivorsOfALargeLossHearInTime(t *testing.T) {
	for _, c := range []struct{ nodes, zones, killed int }{
		{18, 4, 15}, {16, 4, 13}, {76, 4, 65}, {63, 6, 44},
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%d of %d, seed %d", c.killed, c.nodes, seed), func(t *testing.T) {
				cfg := dfufleet.DefaultConfig()
				cfg.Seed = seed
				f := dfufleet.New(cfg)
				addNodes(f, c.nodes, c.zones)
				survivors := killMost(f, c.killed, rand.New(rand.NewPCG(seed, 0)))
				is.New(t).Equal(len(survivors), c.nodes-c.killed)
				checkSeriesInForce(t, f, survivors)
			})
		}
	}
}

// checkSeriesInForce makes changes that overlap and checks that each node has each of them
// in time.
func checkSeriesInForce(t *testing.T, f *dfufleet.Fleet, nodes []*dfufleet.Node) {
	t.Helper()
	began := f.Now()
	end := began.Add(survivorTestChanges*survivorTestPeriod + watcherTestBound)
	made := 0
	for f.Now().Before(end) {
		if made < survivorTestChanges && !f.Now().Before(began.Add(dfuclock.Duration(made)*survivorTestPeriod)) {
			putService(f, made)
			made++
		}
		f.Run(survivorTestStep)
		for i := range made {
			if f.Now().Sub(began.Add(dfuclock.Duration(i)*survivorTestPeriod)) < watcherTestBound {
				break
			}
			for _, n := range nodes {
				if _, _, ok := n.Keeper.View().Entry(testService(i)); !ok {
					t.Fatalf("change %d is not in force at %v after %v", i, n, watcherTestBound)
				}
			}
		}
	}
}

func testService(i int) dfuident.Service {
	return dfuident.Service(fmt.Sprintf("service-%d", i))
}

// putService writes the catalogue entry of testService.
func putService(f *dfufleet.Fleet, i int) {
	service := string(testService(i))
	f.Put("catalogue/"+service, []byte(`{"change_id":"c","entry":{"service":"`+service+`","owner":"stock"}}`))
}

// watchersOfZone returns the nodes that watch the store for a zone.
func watchersOfZone(f *dfufleet.Fleet, place dfuident.Place) []*dfufleet.Node {
	var watchers []*dfufleet.Node
	for _, n := range f.Nodes() {
		if n.Place == place && isWatcher(n) {
			watchers = append(watchers, n)
		}
	}
	return watchers
}

// Nodes that watch the store in place of paused ones must hand the role back when these are
// resumed. Otherwise the calls to the store grow with every pause.
func TestWatchersReturnAfterAPause(t *testing.T) {
	is := is.New(t)
	f := dfufleet.New(dfufleet.DefaultConfig())
	addNodes(f, 76, 4)
	place := f.Nodes()[0].Place
	paused := watchersOfZone(f, place)
	is.Equal(len(paused), 2)
	for _, n := range paused {
		f.Pause(n.Member.Node)
	}
	f.Run(1500 * dfuclock.Millisecond)
	is.Equal(len(watchersOfZone(f, place)), 4) // two others besides those that are paused
	for _, n := range paused {
		f.Resume(n.Member.Node)
	}
	f.Run(1500 * dfuclock.Millisecond)
	is.Equal(watchersOfZone(f, place), paused)
}
