package dfuroster_test

import (
	"fmt"
	"testing"

	"dragonflyusher/core/process/dfuclock"
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

// Nodes that all start while they can't reach the others must hear changes in time as well: a
// region, a zone, and a node whose zone page lists only nodes that are gone.
func TestPartOfAFleetThatStartsAloneHearsInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		starts func(n *dfufleet.Node) bool
	}{
		{"region of the store", func(n *dfufleet.Node) bool { return n.Place.Region == "region-0" }},
		{"other region", func(n *dfufleet.Node) bool { return n.Place.Region == "region-1" }},
		{"zone", func(n *dfufleet.Node) bool { return n.Place.Zone == "zone-2" }},
		{"node", func(n *dfufleet.Node) bool { return n.Member.Node == nodeID(5) }},
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				cfg := dfufleet.DefaultConfig()
				cfg.Seed = seed
				f := dfufleet.New(cfg)
				addNodes(f, 16, 4)
				starting, others := partition(f.Nodes(), c.starts)
				for _, n := range starting {
					for _, other := range others {
						f.SetPathDown(n.Member.Node, other.Member.Node, true)
					}
				}
				started := restart(f, starting)
				f.Run(startTestFirstChange)
				checkSeriesInForce(t, f, started)
			})
		}
	}
}

// partition returns the nodes for which a condition holds, and the others.
func partition(nodes []*dfufleet.Node, holds func(*dfufleet.Node) bool) (selected, others []*dfufleet.Node) {
	for _, n := range nodes {
		if holds(n) {
			selected = append(selected, n)
		} else {
			others = append(others, n)
		}
	}
	return selected, others
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
