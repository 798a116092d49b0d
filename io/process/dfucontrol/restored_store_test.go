package dfucontrol_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfustore"
)

// restorations are the ways in which the revisions of a store become smaller.
var restorations = map[string]func(s *fakeStore){
	"from an older copy": func(s *fakeStore) {
		s.restoreTo(s.heldAt("", time.Now().Add(-4*time.Second)))
	},
	"counted anew": func(s *fakeStore) {
		records, _, _ := s.since("", 0)
		for i := range records {
			records[i].Revision = dfuident.Revision(i + 1)
		}
		s.restoreTo(records, dfuident.Revision(len(records)))
	},
}

// restore takes the store away for some time and restores it.
func (f *fleet) restore(restoration func(*fakeStore), outage time.Duration) {
	if outage == 0 {
		restoration(f.store)
		return
	}
	f.store.setDown(true)
	time.Sleep(outage / 2)
	f.store.setDown(false)
	restoration(f.store)
	f.store.setDown(true)
	time.Sleep(outage / 2)
	f.store.setDown(false)
}

func (f *fleet) putRoutes(version int) {
	f.store.put(dfustore.RoutesKey, fmt.Appendf(nil, `{"version": %d}`, version))
}

// newOperatedFleet returns a fleet that replicates the routes, in four zones. Stale reads lag.
func newOperatedFleet(t *testing.T, lag time.Duration) *fleet {
	f := newFleet(t)
	f.watchWait = longWatchWait
	f.regions = 2
	f.operated = true
	stale := new(atomic.Int64)
	stale.Store(int64(lag))
	f.wrapStore = func(s *nodeStore) dfustore.Versioned { return &replica{&lossyWatches{nodeStore: s}, stale} }
	f.putRoutes(1)
	return f
}

// startOperated starts 16 nodes of such a fleet.
func startOperated(t *testing.T, lag time.Duration) (*fleet, []*dfucontrol.Controller) {
	t.Helper()
	f := newOperatedFleet(t, lag)
	return f, f.startNodes(16, 8)
}

// A store that is restored from an older copy, or counts its revisions anew, gives changes revisions
// that the nodes have held before. They must come into force in time nevertheless, no node may go
// back to an older table, and no watch may be started again and again. Load: 16 nodes, a
// change each 0.5 s.
func TestChangesAfterTheStoreIsRestoredAreInTime(t *testing.T) {
	t.Parallel()
	for name, restoration := range restorations {
		for _, c := range []struct{ outage, lag time.Duration }{
			{0, 0},
			{0, 6 * time.Second},
			{time.Second, 6 * time.Second},
			{4 * time.Second, 0},
		} {
			t.Run(fmt.Sprintf("%s, away for %v, stale reads lag by %v", name, c.outage, c.lag), func(t *testing.T) {
				t.Parallel()
				f, controllers := startOperated(t, c.lag)
				time.Sleep(2 * time.Second)
				f.putVersions(restoredVersion)
				f.restore(restoration, c.outage)
				checkRoutesInTime(f, controllers, restoredVersion, 20)
				checkNoRestarts(t, controllers)
			})
		}
	}
}

// restoredVersion is the version of the routes at which a store is restored.
const restoredVersion = 24

// putVersions writes the versions of the routes from 2 to last, four a second.
func (f *fleet) putVersions(last int) {
	for version := 2; version <= last; version++ {
		f.putRoutes(version)
		time.Sleep(250 * time.Millisecond)
	}
}

// checkRoutesInTime writes versions of the routes after a given one, right after a disturbance of the
// store, and checks that each is in force at all nodes in time and that none goes back.
func checkRoutesInTime(f *fleet, controllers []*dfucontrol.Controller, before, changes int) {
	f.t.Helper()
	const period = 500 * time.Millisecond
	began := time.Now()
	reached := make([]dfuroute.Version, len(controllers))
	late, latest := 0, time.Duration(0)
	var written []time.Time
	for version := before + 1; version <= before+changes; {
		if len(written) < changes && time.Since(began) >= time.Duration(len(written))*period {
			f.putRoutes(before + len(written) + 1)
			written = append(written, time.Now())
		}
		inForce := true
		for i, c := range controllers {
			current := c.View().Routes().Version
			if current < reached[i] {
				f.t.Fatalf("vm-%d goes back from version %d to %d", i, reached[i], current)
			}
			reached[i] = current
			inForce = inForce && int(current) >= version
		}
		if inForce && version <= before+len(written) {
			ackedAt := written[version-before-1]
			latest = max(latest, time.Since(ackedAt))
			if time.Since(ackedAt) > maxInForceDelay && time.Since(began) > maxReturnDelay {
				late++
			}
			version++
			continue
		}
		if time.Since(began) > time.Duration(changes)*period+20*time.Second {
			f.t.Fatalf("version %d is not in force", version)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Logf("the latest change is in force after %v", latest.Round(10*time.Millisecond))
	if late > 0 {
		f.t.Errorf("%d of %d changes are in force later than %v, the latest after %v", late, changes, maxInForceDelay, latest)
	}
}

// checkNoRestarts fails if watches of a quiet store are started again.
func checkNoRestarts(t *testing.T, controllers []*dfucontrol.Controller) {
	t.Helper()
	count := func() (missed uint64) {
		for _, c := range controllers {
			missed += c.Status().MissedAnswers
		}
		return missed
	}
	time.Sleep(2 * time.Second)
	before := count()
	time.Sleep(6 * time.Second)
	if restarts := count() - before; restarts > 0 {
		t.Errorf("%d watches were started again", restarts)
	}
}

// maxEvacuationDelay is the time in which an evacuation has to be in force.
const maxEvacuationDelay = 5 * time.Second

// The keys of evacuations come and go. A tombstone from before the store was restored must not hide
// a key that is written again, nor a former key outlive its deletion. Load: 16 nodes, stale reads lag.
func TestEvacuationsAfterTheStoreIsRestoredAreInTime(t *testing.T) {
	t.Parallel()
	const zone = "sued-a"
	for name, restoration := range restorations {
		for _, outage := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprintf("%s, away for %v", name, outage), func(t *testing.T) {
				t.Parallel()
				f, controllers := startOperated(t, 3*time.Second)
				time.Sleep(5 * time.Second)
				evacuate := func(active bool) {
					key := dfustore.EvacuationsPrefix + zone
					if active {
						f.store.put(key, []byte("{}"))
					} else {
						f.store.remove(key)
					}
				}
				check := func(active bool) {
					t.Helper()
					began := time.Now()
					f.wait("the evacuation is in force", func() bool {
						for _, c := range controllers {
							if c.View().IsEvacuated(zone) != active {
								return false
							}
						}
						return true
					})
					t.Logf("evacuation %v is in force after %v", active, time.Since(began).Round(10*time.Millisecond))
					if took := time.Since(began); took > maxEvacuationDelay {
						t.Errorf("evacuation %v is in force after %v", active, took)
					}
				}
				for version := 2; version < 12; version++ {
					f.putRoutes(version)
				}
				evacuate(true)
				check(true)
				evacuate(false)
				check(false)
				f.restore(restoration, outage)
				evacuate(true)
				check(true)
				evacuate(false)
				check(false)
			})
		}
	}
}

// unawareStore never notices that the store was restored, as a node of an earlier version.
type unawareStore struct{ dfustore.Versioned }

func (unawareStore) Observe(dfuident.Revision)  {}
func (unawareStore) Restored(dfuident.Revision) {}
func (unawareStore) Era() dfuident.Era          { return 0 }

// While nodes of an earlier version are replaced, only some notice that the store was restored. The
// others must have the changes from these. Load: 16 nodes, of which every other one notices.
func TestNodesThatDontNoticeARestorationHearFromOthers(t *testing.T) {
	t.Parallel()
	for name, restoration := range restorations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newOperatedFleet(t, 0)
			f.number = func(i int, s dfustore.Versioned) dfucontrol.Store {
				if i%4 < 2 {
					return unawareStore{s}
				}
				return numbered(s)
			}
			controllers := f.startNodes(16, 8)
			time.Sleep(2 * time.Second)
			f.putVersions(restoredVersion)
			f.restore(restoration, time.Second)
			checkRoutesInTime(f, controllers, restoredVersion, 20)
		})
	}
}

// laggingLists serves lists from what the store held some time ago, besides stale reads.
type laggingLists struct{ *replica }

func (s *laggingLists) List(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	return s.ListStale(ctx, prefix)
}

// A list that lags must neither take a table back nor count as one of a restored store. Load: 16 nodes, half of the answers of watches are lost, so that nodes list often.
func TestListsThatLagTakeNothingBack(t *testing.T) {
	t.Parallel()
	for _, lag := range []time.Duration{time.Second, 6 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			t.Parallel()
			f := newOperatedFleet(t, 0)
			stale := new(atomic.Int64)
			var eras []dfucontrol.Store
			f.wrapStore = func(s *nodeStore) dfustore.Versioned {
				return &laggingLists{&replica{&lossyWatches{nodeStore: s, share: 0.5}, stale}}
			}
			f.number = func(_ int, s dfustore.Versioned) dfucontrol.Store {
				eras = append(eras, numbered(s))
				return eras[len(eras)-1]
			}
			controllers := f.startNodes(16, 8)
			time.Sleep(2 * time.Second)
			stale.Store(int64(lag))
			checkRoutesInTime(f, controllers, 1, 40)
			for i, s := range eras {
				t.Logf("vm-%d: %d restarts", i, controllers[i].Status().MissedAnswers)
				if s.Era() > 0 {
					t.Errorf("vm-%d assumes %d restorations", i, s.Era())
				}
			}
		})
	}
}

// A node must not prove an older table than the store had acknowledged a while before, also while the
// store is restored, and must prove the current one soon. Load: 16 nodes, a change each 0.5 s.
func TestNoOlderTableIsProvenAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	const bound = 5 * time.Second
	for name, restoration := range restorations {
		for _, outage := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprintf("%s, away for %v", name, outage), func(t *testing.T) {
				t.Parallel()
				f := newOperatedFleet(t, 3*time.Second)
				f.proofBound = dfuclock.Duration(bound.Milliseconds())
				f.bootClocks = make(map[dfuident.NodeID]*jumpingClock)
				controllers := f.startNodes(16, 8)
				f.wait("every node proves the routes", func() bool { return proving(controllers) == len(controllers) })
				f.putVersions(restoredVersion)
				f.restore(restoration, outage)
				var written []time.Time
				for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
					if time.Since(began) > time.Duration(len(written))*500*time.Millisecond && len(written) < 24 {
						f.putRoutes(restoredVersion + 1 + len(written))
						written = append(written, time.Now())
					}
					for i, c := range controllers {
						version := int(c.View().Routes().Version)
						next := version - restoredVersion
						isOlder := next >= 0 && next < len(written) && time.Since(written[next]) > bound
						if isOlder && c.RoutesProven(dfuroute.Version(version)) {
							t.Fatalf("vm-%d proves version %d, %v after the next one", i, version, time.Since(written[next]))
						}
					}
				}
				if n := proving(controllers); n != len(controllers) {
					t.Errorf("%d of %d nodes prove the routes", n, len(controllers))
				}
			})
		}
	}
}
