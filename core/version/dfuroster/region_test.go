package dfuroster_test

import (
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/measure/dfufleet"

	"github.com/matryer/is"
)

const (
	watcherTestChanges = 10
	watcherTestPeriod  = 1300 * dfuclock.Millisecond
	// watcherTestBound is the smallest time among the deployments in which a change has
	// to be in force.
	watcherTestBound = 2000 * dfuclock.Millisecond
)

// newFleetWithFailures returns a fleet of 20 nodes in two regions, after fail has been called
// for those nodes for which selected returns true.
func newFleetWithFailures(t *testing.T, selected func(*dfufleet.Node) bool, fail func(*dfufleet.Fleet, dfuident.NodeID)) *dfufleet.Fleet {
	t.Helper()
	cfg := dfufleet.DefaultConfig()
	cfg.LossPerMille = 20
	f := dfufleet.New(cfg)
	addNodes(f, 20, 4)
	failed := 0
	for _, n := range f.Nodes() {
		if selected(n) {
			fail(f, n.Member.Node)
			failed++
		}
	}
	is.New(t).True(failed > 0)
	return f
}

// checkChangesInForce checks that each change of a series is in every view in time.
func checkChangesInForce(t *testing.T, f *dfufleet.Fleet) {
	t.Helper()
	for i := range watcherTestChanges {
		putService(f, i)
		inForce := inAllViews(f, func(v *dfuroster.View) bool {
			_, _, ok := v.Entry(testService(i))
			return ok
		})
		if !f.RunUntil(watcherTestBound, inForce) {
			t.Fatalf("change %d is not in force everywhere after %v", i, watcherTestBound)
		}
		f.Run(watcherTestPeriod)
	}
}

// Changes must come into force in time in a region none of whose nodes gets answers from
// the store, while other regions do. Load: ten changes in quick succession.
func TestRegionWithoutStoreHearsInTime(t *testing.T) {
	for _, region := range []dfuident.Region{"region-0", "region-1"} {
		t.Run(string(region), func(t *testing.T) {
			isLocal := func(n *dfufleet.Node) bool { return n.Place.Region == region }
			checkChangesInForce(t, newFleetWithFailures(t, isLocal, silence))
		})
	}
}

func silence(f *dfufleet.Fleet, id dfuident.NodeID) { f.SetStoreUnanswered(id, true) }

func refuse(f *dfufleet.Fleet, id dfuident.NodeID) { f.SetStoreRefused(id, true) }

func isWatcher(n *dfufleet.Node) bool { return n.Keeper.Exchange().Watcher() }

// Changes must come into force in time although the store refuses all watchers of all
// regions, while it would answer other nodes. Load: ten changes in quick succession.
func TestRefusedWatchersAreReplaced(t *testing.T) {
	checkChangesInForce(t, newFleetWithFailures(t, isWatcher, refuse))
}

// Changes must come into force in time although no watcher of any region gets answers
// from the store, while other nodes would. Load: ten changes in quick succession.
func TestFleetWithoutWatchersHearsInTime(t *testing.T) {
	checkChangesInForce(t, newFleetWithFailures(t, isWatcher, silence))
}
