package dfuclaim_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"
)

const (
	orderInterval = 20 * dfuclock.Millisecond
	orderDeadline = 2 * dfuclock.Second
	retryInterval = 200 * dfuclock.Millisecond
	// detectionTime is how long membership takes to declare a node dead.
	detectionTime = 3 * dfuclock.Second
	measuredTime  = dfuclock.Minute
)

// order is a request of a caller, retried while it is denied as not run.
type order struct {
	key      dfuident.Key
	id       dfuident.RequestID
	retryAt  dfuclock.Time
	deadline dfuclock.Time
}

// workload sends orders at a constant rate and counts their outcomes.
type workload struct {
	*simulation
	openOrders []*order
	created    int
	results    map[string]int
}

// scenario is a set of events during the measured minute, by the time since its
// start.
type scenario struct {
	name   string
	events map[dfuclock.Duration]func(f *workload)
}

func scenarios() []scenario {
	forNode := func(id string, do func(w *workload, n *node)) func(*workload) {
		return func(w *workload) { do(w, w.node(id)) }
	}
	kill := func(_ *workload, n *node) { n.ended = true }
	markDead := func(w *workload, n *node) {
		for _, o := range w.nodes {
			if o != n && !o.ended {
				w.setView(o, n, dfuclaim.NodeDead)
			}
		}
	}
	replace := func(w *workload, n *node) { w.replace(n, true) }
	leave := func(w *workload, n *node) {
		w.announce(n, dfuclaim.NodeLeaving)
		w.step(n, dfuclaim.Stopping{})
	}
	store := func(mode storeMode) func(*workload) { return func(w *workload) { w.store = mode } }
	faultAt := 5 * dfuclock.Second
	return []scenario{
		{"no fault", nil},
		{"store down throughout", map[dfuclock.Duration]func(*workload){0: store(storeDown)}},
		{"planned restart", map[dfuclock.Duration]func(*workload){faultAt: forNode("b", leave), 20 * dfuclock.Second: forNode("b", replace)}},
		{"planned restart, store down 40 s", map[dfuclock.Duration]func(*workload){
			0: store(storeDown), faultAt: forNode("b", leave), 20 * dfuclock.Second: forNode("b", replace), 40 * dfuclock.Second: store(storeUp),
		}},
		{"crash", map[dfuclock.Duration]func(*workload){
			faultAt: forNode("b", kill), faultAt + detectionTime: forNode("b", markDead), 20 * dfuclock.Second: forNode("b", replace),
		}},
		{"crash, store down 40 s", map[dfuclock.Duration]func(*workload){
			0: store(storeDown), faultAt: forNode("b", kill), faultAt + detectionTime: forNode("b", markDead),
			20 * dfuclock.Second: forNode("b", replace), 40 * dfuclock.Second: store(storeUp),
		}},
		{"frozen for 20 s", map[dfuclock.Duration]func(*workload){
			faultAt: forNode("b", func(_ *workload, n *node) { n.frozen = true }), faultAt + detectionTime: forNode("b", markDead),
			faultAt + 20*dfuclock.Second: forNode("b", func(w *workload, n *node) { w.wake(n); w.announce(n, dfuclaim.NodeAlive) }),
		}},
		{"two of four crash", map[dfuclock.Duration]func(*workload){
			faultAt: func(w *workload) { kill(w, w.node("a")); kill(w, w.node("b")) },
			faultAt + detectionTime: func(w *workload) {
				markDead(w, w.node("a"))
				markDead(w, w.node("b"))
			},
			20 * dfuclock.Second: func(w *workload) { replace(w, w.node("a")); replace(w, w.node("b")) },
		}},
		{"region of two nodes cut off for 30 s", map[dfuclock.Duration]func(*workload){
			faultAt: setPartition(true), faultAt + 30*dfuclock.Second: setPartition(false),
		}},
	}
}

// setPartition separates a and b, which still reach the store, from c and d, or
// ends the partition.
func setPartition(partitioned bool) func(*workload) {
	return func(w *workload) {
		hasStore := func(id dfuident.NodeID) bool { return id == "a" || id == "b" }
		state := dfuclaim.NodeAlive
		w.admit = nil
		if partitioned {
			state = dfuclaim.NodeDead
			w.admit = func(p packet) bool { return hasStore(p.from.Node) == hasStore(p.to.Node) }
		}
		for _, n := range w.nodes {
			if n.store = ""; partitioned && !hasStore(n.self.Node) {
				n.store = storeDown
			}
			for _, o := range w.nodes {
				if hasStore(n.self.Node) != hasStore(o.self.Node) {
					w.setView(n, o, state)
				}
			}
		}
	}
}

// TestAvailability measures which share of the orders runs in each scenario and
// compares it with the table in testdata.
func TestAvailability(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-40s %6s %8s %8s %8s %7s\n", "scenario", "orders", "ran", "not_run", "unknown", "writes")
	for _, sc := range scenarios() {
		w := &workload{simulation: newSimulation(32), results: map[string]int{}}
		w.cfg.Tolerance, w.cfg.Skew = dfuclaim.DefaultConfig().Tolerance, dfuclaim.DefaultConfig().Skew
		for i, id := range []dfuident.NodeID{"a", "b", "c", "d"} {
			region := dfuident.Region([]string{"downs", "moreton"}[i/2])
			w.add(id, dfuident.Place{Region: region, Zone: dfuident.Zone(id)})
		}
		w.runFor(dfuclock.Minute)
		w.measure(sc)
		if len(w.faults) > 0 {
			t.Errorf("%s: %v", sc.name, w.faults)
		}
		share := func(what string) string {
			return fmt.Sprintf("%.2f%%", 100*float64(w.results[what])/float64(w.created))
		}
		fmt.Fprintf(&out, "%-40s %6d %8s %8s %8s %7d\n", sc.name, w.created, share("ran"), share("not_run"), share("unknown"), w.writes)
	}
	const file = "testdata/availability.txt"
	if *update {
		if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(file); err != nil || string(want) != out.String() {
		t.Errorf("%s differs; got:\n%s", file, out.String())
	}
}

// measure sends orders for measuredTime while the events of the scenario occur.
func (w *workload) measure(sc scenario) {
	w.writes = 0
	start := w.now
	for w.now.Sub(start) < measuredTime+orderDeadline {
		if do := sc.events[w.now.Sub(start)]; do != nil {
			do(w)
		}
		if w.now.Sub(start) < measuredTime {
			w.created++
			birth := wallOrigin + dfuclaim.UnixMs(w.now)
			w.openOrders = append(w.openOrders, &order{key: w.key(fmt.Sprint(w.created), birth), deadline: w.now.Add(orderDeadline)})
		}
		w.openOrders = slices.DeleteFunc(w.openOrders, w.advance)
		w.runFor(orderInterval)
		for _, n := range w.nodes {
			for !n.frozen && len(n.running) > 0 {
				w.finish(n, 0, true)
			}
		}
	}
}

// advance sends or retries an order if that is due, and reports whether the order
// has ended.
func (w *workload) advance(o *order) bool {
	verdict := w.verdicts[o.id]
	switch {
	case verdict == "grant" || verdict == "replay":
		w.results["ran"]++
		return true
	case verdict == "unknown" || w.now >= o.deadline && o.id.Sequence > 0 && verdict == "":
		w.results["unknown"]++
		return true
	case w.now >= o.deadline:
		w.results["not_run"]++
		return true
	case verdict == "not_run" && o.retryAt <= w.now || o.id.Sequence == 0:
		o.id = dfuident.RequestID{}
		if n := w.route(o.key); n != nil {
			o.retryAt = w.now.Add(retryInterval)
			o.id = w.claim(n, o.key, o.deadline.Sub(w.now))
		}
	}
	return false
}

// route returns the node that an entry node would choose: the owner if any other
// live node sees it alive, else the copy holder likewise, else nil.
func (w *workload) route(key dfuident.Key) *node {
	e := w.table.Entry(key)
	for _, m := range []dfuident.Member{e.Owner, e.Copy} {
		n := w.nodeOf(m)
		if n == nil {
			continue
		}
		for _, o := range w.nodes {
			v := o.nodeViews[m.Node]
			if o != n && !o.ended && !o.frozen && v.Member == m && v.State == dfuclaim.NodeAlive {
				return n
			}
		}
	}
	return nil
}
