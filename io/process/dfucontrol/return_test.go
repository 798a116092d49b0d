package dfucontrol_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfustore"

	"github.com/matryer/is"
)

// maxReturnDelay is the time after a disturbance of the store from which changes have to be in
// force in time again. It is the stability window of the deployments.
const maxReturnDelay = 3 * time.Second

// outages are the ways in which the store is away for a node.
var outages = map[string]func(s *nodeStore, active bool){
	"refused":    func(s *nodeStore, active bool) { s.refused.Store(active) },
	"unanswered": func(s *nodeStore, active bool) { s.unanswered.Store(active) },
	"throttled":  func(s *nodeStore, active bool) { s.throttled.Store(active) },
}

// Changes below all prefixes must come into force in time when the store is back after it has refused
// or not answered the calls of all nodes, or refused only their lists and watches, however long that
// took: the watch of one prefix must not stay in its backoff when another one has found that the store
// answers.
func TestChangesAfterAnOutageAreInTime(t *testing.T) {
	for name, set := range outages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs []*outageRun
			for _, nodes := range []int{1, 1, 1, 2, 4, 16} {
				for length := 3 * time.Second; length <= 10*time.Second; length += time.Second {
					runs = append(runs, newOutageRun(t, nodes, length, set))
				}
			}
			for _, r := range runs {
				r.awaitStart()
			}
			time.Sleep(2 * time.Second)
			for _, r := range runs {
				r.begin()
			}
			for left := len(runs); left > 0; time.Sleep(10 * time.Millisecond) {
				for _, r := range runs {
					if r.step() {
						left--
					}
				}
			}
		})
	}
}

// outageRun is a fleet whose store is away for some time.
type outageRun struct {
	*fleet
	controllers    []*dfucontrol.Controller
	length         time.Duration
	set            func(*nodeStore, bool)
	began, endedAt time.Time
	done           bool
}

func newOutageRun(t *testing.T, nodes int, length time.Duration, set func(*nodeStore, bool)) *outageRun {
	t.Helper()
	r := &outageRun{fleet: newFleet(t), length: length, set: set}
	r.regions = 2
	r.watchWait = longWatchWait
	for i := range nodes {
		c, _ := r.start(i)
		r.controllers = append(r.controllers, c)
	}
	return r
}

func (r *outageRun) awaitStart() {
	r.t.Helper()
	r.wait("every node sees all targets", allAlive(r.controllers, len(r.controllers)))
	r.wait("two nodes of each zone watch", func() bool { return watcherCount(r.controllers) == min(len(r.controllers), 8) })
}

func (r *outageRun) begin() {
	r.began = time.Now()
	for _, access := range r.access {
		r.set(access, true)
	}
	// Watches that wait would outlast the outage.
	r.store.put("catalogue/service-1", serviceValue(r.t, 1))
	r.store.put("claims/service-1", []byte("{}"))
}

// step ends the outage when it is due and makes the changes, and reports whether they have
// come into force or are late.
func (r *outageRun) step() bool {
	switch {
	case r.done:
		return false
	case r.endedAt.IsZero():
		if time.Since(r.began) >= r.length {
			for _, access := range r.access {
				r.set(access, false)
			}
			r.store.put("catalogue/service-0", serviceValue(r.t, 0))
			r.store.put("claims/service-0", []byte("{}"))
			r.endedAt = time.Now()
		}
		return false
	case time.Since(r.endedAt) > maxReturnDelay:
		r.t.Errorf("%d nodes, %v: changes are not in force %v after the outage", len(r.controllers), r.length, maxReturnDelay)
		r.done = true
	default:
		r.done = isInForce(r.controllers, 0) && haveClaims(r.controllers, "service-0")
	}
	return r.done
}

func haveClaims(controllers []*dfucontrol.Controller, service dfuident.Service) bool {
	for _, c := range controllers {
		if _, ok := c.View().Claims(service); !ok {
			return false
		}
	}
	return true
}

// timedPings records the timeouts of a node's pings.
type timedPings struct {
	*nodeStore
	mu       sync.Mutex
	timeouts []time.Duration
}

func (s *timedPings) Ping(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	deadline, _ := ctx.Deadline()
	s.mu.Lock()
	s.timeouts = append(s.timeouts, time.Until(deadline))
	s.mu.Unlock()
	return s.nodeStore.Ping(ctx, prefix)
}

// takeTimeouts returns the timeouts since the last call.
func (s *timedPings) takeTimeouts() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.timeouts
	s.timeouts = nil
	return taken
}

// A node that takes the role of a watcher must find soon that it gets no answers either. A timeout
// that was raised in an earlier outage delayed that by up to 1.5 s.
func TestNewWatcherPingsWithTheShortTimeout(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.watchWait = longWatchWait
	stores := make(map[dfuident.NodeID]*timedPings)
	f.wrapStore = func(s *nodeStore) dfustore.Versioned {
		p := &timedPings{nodeStore: s}
		stores[dfuident.NodeID(fmt.Sprintf("vm-%d", len(stores)))] = p
		return p
	}
	controllers := make(map[dfuident.NodeID]*dfucontrol.Controller)
	var all []*dfucontrol.Controller
	for i := range 6 { // three in each of two zones
		c, _ := f.start(i)
		controllers[dfuident.NodeID(fmt.Sprintf("vm-%d", i))] = c
		all = append(all, c)
	}
	f.wait("every node sees all targets", allAlive(all, 6))
	f.wait("two nodes of each zone watch", func() bool { return watcherCount(all) == 4 })
	var idle []dfuident.NodeID
	for id, c := range controllers {
		if !c.Status().Watcher {
			idle = append(idle, id)
		}
	}
	is.Equal(len(idle), 2)
	takeOver := func() {
		for id, s := range stores {
			s.unanswered.Store(!slices.Contains(idle, id))
		}
		f.wait("the others watch", func() bool { return controllers[idle[0]].Status().Watcher && controllers[idle[1]].Status().Watcher })
		time.Sleep(2 * time.Second)
	}
	takeOver()
	for _, s := range stores {
		s.unanswered.Store(true)
	}
	time.Sleep(3 * time.Second)
	for _, s := range stores {
		s.unanswered.Store(false)
	}
	f.wait("the first nodes watch again", func() bool {
		return !controllers[idle[0]].Status().Watcher && !controllers[idle[1]].Status().Watcher && watcherCount(all) == 4
	})
	time.Sleep(2 * time.Second)
	for _, id := range idle {
		stores[id].takeTimeouts()
	}
	takeOver()
	cfg := dfucontrol.DefaultConfig()
	for _, id := range idle {
		for _, timeout := range stores[id].takeTimeouts() {
			if timeout > cfg.ProbeTimeoutMax.Std()-cfg.ProbeTimeout.Std() {
				continue // the ping before a list
			}
			is.True(timeout <= cfg.ProbeTimeout.Std())
			break // a late answer on a busy machine raises the timeout of the next one
		}
	}
}
