package dfuroster_test

import (
	"fmt"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/measure/dfufleet"

	"github.com/matryer/is"
)

const (
	// startTestSettle is how long after its start a node counts as undisturbed, and
	// startTestFirstChange the time of the first change: it has to be in force by then.
	startTestSettle      = 3 * dfuclock.Second
	startTestFirstChange = startTestSettle - watcherTestBound
)

// restart starts all given nodes again at the same moment, as after a loss of power.
func restart(f *dfufleet.Fleet, nodes []*dfufleet.Node) []*dfufleet.Node {
	for _, n := range nodes {
		f.Kill(n.Member.Node)
	}
	f.Run(dfuclock.Second)
	started := make([]*dfufleet.Node, len(nodes))
	for i, n := range nodes {
		started[i] = f.Add(n.Member.Node, n.Place, dfumembership.Target{Service: "lager", Slots: 12})
	}
	return started
}

// nodesIn returns the nodes of a region, or of all if it is empty.
func nodesIn(f *dfufleet.Fleet, region dfuident.Region) []*dfufleet.Node {
	var nodes []*dfufleet.Node
	for _, n := range f.Nodes() {
		if region == "" || n.Place.Region == region {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Changes must come into force in time while all nodes start, when no node has joined that
// others could synchronize with. Load: a change each 0.7 s from 1 s after the start on.
func TestFleetThatStartsHearsInTime(t *testing.T) {
	for _, c := range []struct{ nodes, zones int }{{4, 2}, {16, 4}, {18, 4}, {76, 4}, {63, 6}} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", c.nodes, seed), func(t *testing.T) {
				cfg := dfufleet.DefaultConfig()
				cfg.Seed = seed
				f := dfufleet.New(cfg)
				addNodes(f, c.nodes, c.zones)
				started := restart(f, f.Nodes())
				f.Run(startTestFirstChange)
				checkSeriesInForce(t, f, started)
			})
		}
	}
}

// The nodes of a region that all start while the other region can't be reached must hear
// changes in time as well.
func TestRegionThatStartsAloneHearsInTime(t *testing.T) {
	for _, region := range []dfuident.Region{"region-0", "region-1"} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", region, seed), func(t *testing.T) {
				cfg := dfufleet.DefaultConfig()
				cfg.Seed = seed
				f := dfufleet.New(cfg)
				addNodes(f, 16, 4)
				f.SetStoreRegion(region)
				f.SetLinkDown("region-0", "region-1", true)
				started := restart(f, nodesIn(f, region))
				f.Run(startTestFirstChange)
				checkSeriesInForce(t, f, started)
			})
		}
	}
}

// maxStartCalls is the number of calls to the store that a node may cost at its start. It is
// the bound of the controllers' test of a fleet that starts at once.
const maxStartCalls = 8.8 / 3

// Load: a fleet of hundreds of nodes that starts at once. Only the first nodes of each zone may
// watch the store once the others have met them. Before that a few more may, within the bound
// on calls to the store.
func TestFewNodesOfALargeFleetWatchAfterItsStart(t *testing.T) {
	const nodes, zones = 300, 6
	is := is.New(t)
	f := dfufleet.New(dfufleet.DefaultConfig())
	addNodes(f, nodes, zones)
	before := f.StoreCalls()
	restart(f, f.Nodes())
	most := 0
	f.RunUntil(startTestSettle, func() bool {
		most = max(most, countWatchers(f))
		return false
	})
	calls := f.StoreCalls() - before
	t.Logf("%d watchers at most, %d at the end, %d calls", most, countWatchers(f), calls)
	is.True(float64(calls) < nodes*maxStartCalls)
	is.Equal(countWatchers(f), zones*dfumembership.WatchersPerZone)
}

func countWatchers(f *dfufleet.Fleet) int {
	watchers := 0
	for _, n := range f.Nodes() {
		if isWatcher(n) {
			watchers++
		}
	}
	return watchers
}
