package dfucontrol_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfustore"

	"github.com/matryer/is"
)

const (
	// maxInForceDelay is the smallest time among the deployments in which a change has to be
	// in force at every node.
	maxInForceDelay = 2 * time.Second
	// longWatchWait is the wait of a watch in the daemon.
	longWatchWait = 25 * dfuclock.Second
)

// lossyWatches loses a share of the answers of watches that carry changes. The call then
// returns nothing until its time is over, as over a connection that has gone silent. All
// other calls are answered.
type lossyWatches struct {
	*nodeStore
	share float64
}

func (s *lossyWatches) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	began := time.Now()
	records, revision, err := s.nodeStore.Watch(ctx, prefix, after, wait)
	if len(records) == 0 || rand.Float64() >= s.share {
		return records, revision, err
	}
	ctx, cancel := context.WithTimeout(ctx, (wait+unansweredTimeout).Std()-time.Since(began))
	defer cancel()
	<-ctx.Done()
	return nil, 0, dfustore.ErrUnavailable
}

// A watch whose answer is lost looks like one that waits, so that a change must come into force
// in time without its answer, and without adding up: each loss must not leave one watcher
// less for the next change. Load: a change each 0.5 s at 16 nodes.
func TestLostWatchAnswersDelayNoChange(t *testing.T) {
	for _, share := range []float64{0.15, 0.5, 1} {
		t.Run(fmt.Sprintf("share %v", share), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.watchWait = longWatchWait
			f.wrapStore = func(s *nodeStore) dfustore.Versioned { return &lossyWatches{nodeStore: s, share: share} }
			var controllers []*dfucontrol.Controller
			for i := range 16 {
				c, _ := f.start(i)
				controllers = append(controllers, c)
			}
			f.wait("every node sees all targets", allAlive(controllers, 16))
			f.wait("two nodes of each zone watch", func() bool { return watcherCount(controllers) == 4 })
			time.Sleep(2 * time.Second)
			checkChangesInTime(f, controllers, 12)
		})
	}
}

func watcherCount(controllers []*dfucontrol.Controller) int {
	n := 0
	for _, c := range controllers {
		if c.Status().Watcher {
			n++
		}
	}
	return n
}

// checkChangesInTime writes entries at intervals that are shorter than the bound, and checks
// that each is in force at all nodes in time.
func checkChangesInTime(f *fleet, controllers []*dfucontrol.Controller, changes int) {
	f.t.Helper()
	const period = 500 * time.Millisecond
	began := time.Now()
	late := map[int]bool{}
	for i := 0; time.Since(began) < time.Duration(changes)*period+maxInForceDelay; time.Sleep(20 * time.Millisecond) {
		if i < changes && time.Since(began) >= time.Duration(i)*period {
			f.store.put(fmt.Sprintf("catalogue/service-%d", i), serviceValue(f.t, i))
			i++
		}
		for n := range i {
			if time.Since(began) > time.Duration(n)*period+maxInForceDelay && !isInForce(controllers, n) {
				late[n] = true
			}
		}
	}
	if len(late) > 0 {
		f.t.Errorf("%d of %d changes are not in force everywhere after %v", len(late), changes, maxInForceDelay)
	}
}

func isInForce(controllers []*dfucontrol.Controller, change int) bool {
	return !slices.ContainsFunc(controllers, func(c *dfucontrol.Controller) bool {
		_, revision, ok := c.View().Entry(dfuident.Service(fmt.Sprintf("service-%d", change)))
		return !ok || revision == 0
	})
}

// Load: writes of keys that no watch covers, as of the zone pages of a fleet whose nodes restart.
// Each shows the watchers a revision that they don't know, which must cost no more than a tenth
// of a read in each zone for each prefix that pings don't list, and end no watch. Besides, the watchers
// ping the store, and one of them reads its current revision.
func TestWritesOfOtherKeysCostLittle(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.watchWait = longWatchWait
	const nodes, zones, writes = 4, 2, 4
	var controllers []*dfucontrol.Controller
	for i := range nodes {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node sees all targets", allAlive(controllers, nodes))
	f.wait("two nodes of each zone watch", func() bool { return watcherCount(controllers) == nodes })
	time.Sleep(8 * time.Second)
	before, began := f.store.price(), time.Now()
	for range writes {
		f.store.put("zone/nord/nord-a", []byte("[]"))
		time.Sleep(2 * time.Second)
	}
	pings := time.Since(began).Seconds() / (dfucontrol.DefaultConfig().ProbePeriod.Std() / 2).Seconds()
	currentReads := math.Ceil(time.Since(began).Seconds() / (0.75 * dfucontrol.DefaultConfig().CurrentPeriod.Std().Seconds()))
	checks := writes * zones * (len(dfucontrol.DefaultConfig().Prefixes) - 1)
	spent := f.store.price() - before
	t.Logf("%.1f calls", spent)
	is.True(spent <= 0.1*(float64(checks)+nodes*pings)+currentReads)
	for _, c := range controllers {
		is.Equal(c.Status().MissedAnswers, uint64(0))
	}
}

// refusedChecks refuses the reads with which a node checks its watches.
type refusedChecks struct{ *nodeStore }

func (s *refusedChecks) ListStale(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	if slices.Contains(dfucontrol.DefaultConfig().Prefixes, prefix) {
		return nil, 0, dfustore.ErrUnavailable
	}
	return s.nodeStore.ListStale(ctx, prefix)
}

// A check of a watch that the store refuses says nothing about the watch. Starting it again
// would add calls to a store that has too many.
func TestRefusedCheckLeavesTheWatch(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.watchWait = longWatchWait
	f.wrapStore = func(s *nodeStore) dfustore.Versioned { return &refusedChecks{s} }
	c, _ := f.start(0)
	f.wait("the node watches", func() bool { return c.Status().Watcher })
	time.Sleep(2 * time.Second)
	f.store.put("zone/nord/nord-a", []byte("[]"))
	time.Sleep(3 * time.Second)
	is.Equal(c.Status().MissedAnswers, uint64(0))
	is.True(c.Status().Watcher)
}
