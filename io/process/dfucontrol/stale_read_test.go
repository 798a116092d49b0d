package dfucontrol_test

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfustore"

	"github.com/matryer/is"
)

// replica serves stale reads from what the store held some time ago.
type replica struct {
	*lossyWatches
	lag *atomic.Int64
}

func (s *replica) ListStale(_ context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	s.count(0.1)
	records, revision := s.heldAt(prefix, time.Now().Add(-time.Duration(s.lag.Load())))
	return records, revision, nil
}

func (s *replica) Ping(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	return s.ListStale(ctx, cmp.Or(prefix, dfustore.PingPrefix))
}

// startNodes starts nodes and waits until they have met and some of them watch.
func (f *fleet) startNodes(nodes, watchers int) []*dfucontrol.Controller {
	f.t.Helper()
	var controllers []*dfucontrol.Controller
	for i := range nodes {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node sees all targets", allAlive(controllers, nodes))
	f.wait("two nodes of each zone watch", func() bool { return watcherCount(controllers) == watchers })
	return controllers
}

// Stale reads may lag by seconds, so that the revisions that pings return don't show in time that
// the answer of a watch was lost. Load: a change each 0.5 s at 16 nodes, and stale reads that lag by
// 6 s.
func TestLostWatchAnswersBesideStaleReadsDelayNoChange(t *testing.T) {
	for _, share := range []float64{0.15, 0.5} {
		t.Run(fmt.Sprintf("share %v", share), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.watchWait = longWatchWait
			f.regions = 2
			lag := new(atomic.Int64)
			lag.Store(int64(6 * time.Second))
			f.wrapStore = func(s *nodeStore) dfustore.Versioned {
				return &replica{&lossyWatches{nodeStore: s, share: share}, lag}
			}
			controllers := f.startNodes(16, 8)
			time.Sleep(2 * time.Second)
			checkChangesInTime(f, controllers, 30)
		})
	}
}

// A watcher must find that its watch is deaf by what its peers have, also if no ping shows it: the
// second watcher of a zone compares its watches with no ping.
func TestPeersShowADeafWatch(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.watchWait = longWatchWait
	const nodes = 4
	lag := new(atomic.Int64)
	f.wrapStore = func(s *nodeStore) dfustore.Versioned {
		w := &lossyWatches{nodeStore: s}
		if len(f.access) == 1 {
			w.share = 1
		}
		return &replica{w, lag}
	}
	controllers := f.startNodes(nodes, nodes)
	time.Sleep(2 * time.Second)
	lag.Store(int64(time.Hour))
	f.store.put("catalogue/service-0", serviceValue(t, 0))
	f.wait("the watch of vm-0 is started again", func() bool { return controllers[0].Status().MissedAnswers > 0 })
	for _, c := range controllers[1:] {
		is.Equal(c.Status().MissedAnswers, uint64(0))
	}
}

// All watches may end without a sign at once, as connections that go silent, while stale reads lag:
// then nobody has the next change, and no ping shows it. Load: one change at 16 nodes.
func TestChangeIsInForceAlthoughAllWatchesAreDeaf(t *testing.T) {
	for _, lag := range []time.Duration{0, 3 * time.Second, 6 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.watchWait = longWatchWait
			f.regions = 2
			stale := new(atomic.Int64)
			f.wrapStore = func(s *nodeStore) dfustore.Versioned {
				return &replica{&lossyWatches{nodeStore: s, share: 1}, stale}
			}
			controllers := f.startNodes(16, 8)
			time.Sleep(3 * time.Second)
			stale.Store(int64(lag))
			for change := range 4 {
				f.store.put(fmt.Sprintf("catalogue/service-%d", change), serviceValue(t, change))
				began := time.Now()
				f.wait("the change is in force", func() bool { return isInForce(controllers, change) })
				if took := time.Since(began); took > maxReturnDelay {
					t.Errorf("change %d is in force after %v", change, took)
				}
				time.Sleep(4 * time.Second)
			}
		})
	}
}

// deafWatches loses the answers of the watches of one prefix, while data of other answers arrive
// all the time.
type deafWatches struct{ *lossyWatches }

func (s *deafWatches) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	if prefix == dfustore.CataloguePrefix {
		return s.lossyWatches.Watch(ctx, prefix, after, wait)
	}
	return s.nodeStore.Watch(ctx, prefix, after, wait)
}

func (*deafWatches) Received() uint64 { return uint64(time.Now().UnixMilli()) / 100 }

// The answers of other watches must not postpone the check of a deaf one again and again. Load: all
// watches of one prefix are deaf, and records of another one change each 0.15 s.
func TestOtherAnswersDontHideADeafWatch(t *testing.T) {
	f := newFleet(t)
	f.watchWait = longWatchWait
	f.wrapStore = func(s *nodeStore) dfustore.Versioned { return &deafWatches{&lossyWatches{nodeStore: s, share: 1}} }
	controllers := f.startNodes(8, 4)
	time.Sleep(3 * time.Second)
	for change := range 3 {
		f.store.put(fmt.Sprintf("catalogue/service-%d", change), serviceValue(t, change))
		for began := time.Now(); !isInForce(controllers, change); time.Sleep(150 * time.Millisecond) {
			f.store.put("claims/service-0", []byte("{}"))
			if time.Since(began) > maxReturnDelay {
				t.Fatalf("change %d is not in force after %v", change, maxReturnDelay)
			}
		}
	}
}
