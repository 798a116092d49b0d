package dfucontrol_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfucontrol"
)

// Only the first-ranked nodes of a zone take the role of a watcher from each other. A store that turns all
// of these away, and serves the others, must not leave the fleet without a watcher. Load: one change,
// 16 nodes in two zones.
func TestNodesThatAreNotTurnedAwayHearInTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.watchWait = longWatchWait
	f.operated = true
	f.putRoutes(1)
	controllers := f.startNodes(16, 4)
	const settle = 4 * time.Second
	for refusedAt := time.Now(); time.Since(refusedAt) < settle; time.Sleep(10 * time.Millisecond) {
		for i, c := range controllers {
			if access := f.access[dfuident.NodeID(fmt.Sprintf("vm-%d", i))]; c.Status().Watcher && access.refused.CompareAndSwap(false, true) {
				refusedAt = time.Now()
			}
		}
	}
	served := 0
	for _, access := range f.access {
		if !access.refused.Load() {
			served++
		}
	}
	t.Logf("the store serves %d of %d nodes", served, len(controllers))
	if served == 0 {
		return
	}
	f.putRoutes(2)
	began := time.Now()
	for slices.ContainsFunc(controllers, func(c *dfucontrol.Controller) bool { return c.View().Routes().Version < 2 }) {
		if time.Since(began) > maxReturnDelay {
			t.Fatalf("the change is not in force after %v", maxReturnDelay)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
