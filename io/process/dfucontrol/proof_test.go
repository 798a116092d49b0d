package dfucontrol_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfustore"

	"github.com/matryer/is"
)

// jumpingClock is the boot clock of a VM, which jumps when the VM was suspended.
type jumpingClock struct {
	dfuclock.Clock
	suspended atomic.Int64
}

func (c *jumpingClock) Now() dfuclock.Time {
	return c.Clock.Now().Add(dfuclock.Duration(c.suspended.Load()))
}

func (c *jumpingClock) jump(d dfuclock.Duration) { c.suspended.Add(int64(d)) }

// testProofBound is the bound of the proofs in the tests.
const testProofBound = 5000 * dfuclock.Millisecond

// startProving starts a fleet of nodes with a route table, and waits until all prove it.
func startProving(t *testing.T, nodes int, wrap func(*nodeStore) dfustore.Versioned) (*fleet, []*dfucontrol.Controller) {
	t.Helper()
	f := newFleet(t)
	f.watchWait = longWatchWait
	f.proofBound, f.bootClocks, f.wrapStore = testProofBound, map[dfuident.NodeID]*jumpingClock{}, wrap
	f.store.put(dfustore.RoutesKey, []byte(`{"version": 1}`))
	var controllers []*dfucontrol.Controller
	for i := range nodes {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node sees all targets", allAlive(controllers, nodes))
	f.wait("every node proves the routes", func() bool { return proving(controllers) == nodes })
	f.wait("two nodes of each zone watch", func() bool { return watcherCount(controllers) == min(nodes, 4) })
	return f, controllers
}

// proving returns the number of nodes whose routes are proven.
func proving(controllers []*dfucontrol.Controller) int {
	n := 0
	for _, c := range controllers {
		if c.View().Routes() != nil && c.RoutesProven(c.View().Routes().Version) {
			n++
		}
	}
	return n
}

// alwaysProving fails unless all nodes prove the routes each time during a period.
func alwaysProving(t *testing.T, controllers []*dfucontrol.Controller, period time.Duration) {
	t.Helper()
	var longest time.Duration // between two checks, which shows whether the test itself was stopped
	last := time.Now()
	for end := last.Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		longest, last = max(longest, time.Since(last)), time.Now()
		if n := proving(controllers); n < len(controllers) {
			for i, c := range controllers {
				s := c.Status()
				t.Logf("vm-%d: proven %v, age %v, watcher %v, store error %q", i, s.Proven, s.ProofAge, s.Watcher, s.StoreError)
			}
			t.Fatalf("%d of %d nodes prove the routes; longest pause between checks %v", n, len(controllers), longest)
		}
	}
}

// While the store or a peer that it serves can be reached, no node lacks a proof: calm, and
// while the store turns nodes away, without an answer or with a refusal.
func TestProofsContinue(t *testing.T) {
	t.Parallel()
	f, controllers := startProving(t, 8, nil)
	alwaysProving(t, controllers, 2*testProofBound.Std())
	turnedAway := 0
	for i, c := range controllers {
		if c.Status().Watcher && turnedAway < 3 {
			turnedAway++
			access := f.access[dfuident.NodeID(fmt.Sprintf("vm-%d", i))]
			access.refused.Store(turnedAway%2 == 0)
			access.unanswered.Store(turnedAway%2 == 1)
		}
	}
	is.New(t).Equal(turnedAway, 3)
	alwaysProving(t, controllers, 3*testProofBound.Std())
}

// A fleet without the store has no proof after the bound, and has one again soon after it
// comes back. A table that is older than the node's own is never proven.
func TestProofsEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, controllers := startProving(t, 8, nil)
	f.store.setDown(true)
	time.Sleep(testProofBound.Std())
	is.Equal(proving(controllers), 0)
	f.store.put(dfustore.RoutesKey, []byte(`{"version": 2}`))
	f.store.setDown(false)
	f.wait("every node proves the new routes", func() bool {
		for _, c := range controllers {
			if c.View().Routes().Version != 2 {
				return false
			}
		}
		return proving(controllers) == len(controllers)
	})
	is.True(!controllers[0].RoutesProven(dfuroute.Version(1)))
}

// A node that was suspended has no proof by what it read before. It gets one from a peer
// at once, without a refusal, and none if it is cut off.
func TestSuspendedNodeAsksAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, controllers := startProving(t, 4, nil)
	clock := f.bootClocks["vm-0"]
	clock.jump(10 * dfuclock.Second)
	is.True(!controllers[0].Status().Proven)
	is.True(controllers[0].RoutesProven(1))

	f.access["vm-0"].refused.Store(true)
	f.net.mu.Lock()
	f.net.nodes = map[dfuident.Address]*dfucontrol.Controller{}
	f.net.mu.Unlock()
	clock.jump(10 * dfuclock.Second)
	is.True(!controllers[0].RoutesProven(1))
}

// staleStore answers as of the time when it was frozen.
type staleStore struct {
	*nodeStore
	frozen *frozenAnswers
}

type frozenAnswers struct {
	mu       sync.Mutex
	frozen   bool
	records  []dfustore.Record
	revision dfuident.Revision
}

func (s *staleStore) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	s.frozen.mu.Lock()
	frozen, revision := s.frozen.frozen, s.frozen.revision
	s.frozen.mu.Unlock()
	if frozen {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(wait.Std()):
			return nil, revision, nil
		}
	}
	return s.nodeStore.Watch(ctx, prefix, after, wait)
}

func (s *staleStore) List(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	s.frozen.mu.Lock()
	defer s.frozen.mu.Unlock()
	if s.frozen.frozen {
		return s.frozen.records, s.frozen.revision, nil
	}
	return s.nodeStore.List(ctx, prefix)
}

// Answers that are older than a node's copy prove nothing.
func TestStaleAnswersProveNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	frozen := &frozenAnswers{}
	f, controllers := startProving(t, 2, func(s *nodeStore) dfustore.Versioned { return &staleStore{nodeStore: s, frozen: frozen} })
	records, revision, err := f.store.List(context.Background(), dfustore.RoutesKey)
	is.NoErr(err)
	f.store.put(dfustore.RoutesKey, []byte(`{"version": 2}`))
	f.wait("the new routes are in force", func() bool {
		return controllers[0].View().Routes().Version == 2 && controllers[1].View().Routes().Version == 2
	})
	frozen.mu.Lock()
	frozen.frozen, frozen.records, frozen.revision = true, records, revision
	frozen.mu.Unlock()
	time.Sleep(testProofBound.Std())
	is.Equal(proving(controllers), 0)
	is.Equal(controllers[0].View().Routes().Version, dfuroute.Version(2))
}

// lossyChecks loses a third of the answers of short watches. The call then fails at the
// end of its context.
type lossyChecks struct{ *nodeStore }

func (s *lossyChecks) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	if wait < dfuclock.Second && rand.Float64() < 0.35 {
		<-ctx.Done()
		return nil, 0, dfustore.ErrUnavailable
	}
	return s.nodeStore.Watch(ctx, prefix, after, wait)
}

// Lost answers of the store leave no node without a proof.
func TestLostAnswersDelayNoProof(t *testing.T) {
	t.Parallel()
	_, controllers := startProving(t, 8, func(s *nodeStore) dfustore.Versioned { return &lossyChecks{s} })
	alwaysProving(t, controllers, 4*testProofBound.Std())
}

// uncheckedStore proves nothing by short watches, so that only nodes that list the routes
// have a proof of their own.
type uncheckedStore struct{ *nodeStore }

func (s *uncheckedStore) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	if wait < dfuclock.Second {
		return nil, 0, dfustore.ErrUnavailable
	}
	return s.nodeStore.Watch(ctx, prefix, after, wait)
}

// Load: all nodes start at once, and the zone pages list them. A few of each zone read the
// routes and prove them. The others must get proofs from these without waiting for the next
// renewal, which is further away than the test lasts.
func TestFleetThatStartsAtOnceProvesWithoutRenewals(t *testing.T) {
	t.Parallel()
	const nodes = 16
	f := newFleet(t)
	f.watchWait = longWatchWait
	f.proofBound, f.bootClocks = dfuclock.Hour, map[dfuident.NodeID]*jumpingClock{}
	f.wrapStore = func(s *nodeStore) dfustore.Versioned { return &uncheckedStore{s} }
	f.store.put(dfustore.RoutesKey, []byte(`{"version": 1}`))
	f.listOnPages(nodes)
	var controllers []*dfucontrol.Controller
	for i := range nodes {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node proves the routes", func() bool {
		return !slices.ContainsFunc(controllers, func(c *dfucontrol.Controller) bool { return !c.Status().Proven })
	})
}
