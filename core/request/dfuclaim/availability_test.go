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
	// detection is how long membership takes to declare a node dead.
	detection = 3 * dfuclock.Second
	measured  = dfuclock.Minute
)

// order is one order of a caller, tried again while it is not run.
type order struct {
	key      dfuident.Key
	id       dfuident.RequestID
	retryAt  dfuclock.Time
	deadline dfuclock.Time
}

// flow sends a steady flow of orders and counts what becomes of them.
type flow struct {
	*world
	open  []*order
	made  int
	count map[string]int
}

// scenario is a list of things that happen during the measured minute.
type scenario struct {
	name   string
	events map[dfuclock.Duration]func(f *flow)
}

func scenarios() []scenario {
	on := func(id string, do func(f *flow, n *node)) func(*flow) {
		return func(f *flow) { do(f, f.node(id)) }
	}
	kill := func(_ *flow, n *node) { n.ended = true }
	dead := func(f *flow, n *node) {
		for _, o := range f.nodes {
			if o != n && !o.ended {
				f.see(o, n, dfuclaim.NodeDead)
			}
		}
	}
	replace := func(f *flow, n *node) { f.replace(n, true) }
	leave := func(f *flow, n *node) {
		f.announce(n, dfuclaim.NodeLeaving)
		f.step(n, dfuclaim.Leaving{})
	}
	store := func(mode storeMode) func(*flow) { return func(f *flow) { f.store = mode } }
	at := 5 * dfuclock.Second
	return []scenario{
		{"no fault", nil},
		{"store down throughout", map[dfuclock.Duration]func(*flow){0: store(storeDown)}},
		{"planned restart", map[dfuclock.Duration]func(*flow){at: on("b", leave), 20 * dfuclock.Second: on("b", replace)}},
		{"planned restart, store down 40 s", map[dfuclock.Duration]func(*flow){
			0: store(storeDown), at: on("b", leave), 20 * dfuclock.Second: on("b", replace), 40 * dfuclock.Second: store(storeUp),
		}},
		{"crash", map[dfuclock.Duration]func(*flow){
			at: on("b", kill), at + detection: on("b", dead), 20 * dfuclock.Second: on("b", replace),
		}},
		{"crash, store down 40 s", map[dfuclock.Duration]func(*flow){
			0: store(storeDown), at: on("b", kill), at + detection: on("b", dead),
			20 * dfuclock.Second: on("b", replace), 40 * dfuclock.Second: store(storeUp),
		}},
		{"frozen for 20 s", map[dfuclock.Duration]func(*flow){
			at: on("b", func(_ *flow, n *node) { n.frozen = true }), at + detection: on("b", dead),
			at + 20*dfuclock.Second: on("b", func(f *flow, n *node) { f.wake(n); f.announce(n, dfuclaim.NodeAlive) }),
		}},
		{"two of four crash", map[dfuclock.Duration]func(*flow){
			at: func(f *flow) { kill(f, f.node("a")); kill(f, f.node("b")) },
			at + detection: func(f *flow) {
				dead(f, f.node("a"))
				dead(f, f.node("b"))
			},
			20 * dfuclock.Second: func(f *flow) { replace(f, f.node("a")); replace(f, f.node("b")) },
		}},
		{"region of two nodes cut off for 30 s", map[dfuclock.Duration]func(*flow){
			at: cut(true), at + 30*dfuclock.Second: cut(false),
		}},
	}
}

// cut cuts a and b, which keep the store, off from c and d, or joins them.
func cut(off bool) func(*flow) {
	return func(f *flow) {
		west := func(id dfuident.NodeID) bool { return id == "a" || id == "b" }
		state := dfuclaim.NodeAlive
		f.admit = nil
		if off {
			state = dfuclaim.NodeDead
			f.admit = func(p packet) bool { return west(p.from.Node) == west(p.to.Node) }
		}
		for _, n := range f.nodes {
			if n.store = ""; off && !west(n.self.Node) {
				n.store = storeDown
			}
			for _, o := range f.nodes {
				if west(n.self.Node) != west(o.self.Node) {
					f.see(n, o, state)
				}
			}
		}
	}
}

// TestAvailability measures what share of orders runs in each scenario, and
// compares it with the table in testdata.
func TestAvailability(t *testing.T) {
	var out strings.Builder
	fmt.Fprintf(&out, "%-40s %6s %8s %8s %8s %7s\n", "scenario", "orders", "ran", "not_run", "unknown", "writes")
	for _, sc := range scenarios() {
		f := &flow{world: newWorld(32), count: map[string]int{}}
		f.cfg.Tolerance, f.cfg.Skew = dfuclaim.DefaultConfig().Tolerance, dfuclaim.DefaultConfig().Skew
		for i, id := range []dfuident.NodeID{"a", "b", "c", "d"} {
			region := dfuident.Region([]string{"downs", "moreton"}[i/2])
			f.add(id, dfuident.Place{Region: region, Zone: dfuident.Zone(id)})
		}
		f.calm(dfuclock.Minute)
		f.measure(sc)
		if len(f.faults) > 0 {
			t.Errorf("%s: %v", sc.name, f.faults)
		}
		share := func(what string) string {
			return fmt.Sprintf("%.2f%%", 100*float64(f.count[what])/float64(f.made))
		}
		fmt.Fprintf(&out, "%-40s %6d %8s %8s %8s %7d\n", sc.name, f.made, share("ran"), share("not_run"), share("unknown"), f.writes)
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

// measure sends orders for a while, during which the scenario happens.
func (f *flow) measure(sc scenario) {
	f.writes = 0
	start := f.now
	for f.now.Sub(start) < measured+orderDeadline {
		if do := sc.events[f.now.Sub(start)]; do != nil {
			do(f)
		}
		if f.now.Sub(start) < measured {
			f.made++
			birth := wallOrigin + dfuclaim.UnixMs(f.now)
			f.open = append(f.open, &order{key: f.key(fmt.Sprint(f.made), birth), deadline: f.now.Add(orderDeadline)})
		}
		f.open = slices.DeleteFunc(f.open, f.advance)
		f.calm(orderInterval)
		for _, n := range f.nodes {
			for !n.frozen && len(n.running) > 0 {
				f.finish(n, 0, true)
			}
		}
	}
}

// advance moves an order on and reports whether it is settled.
func (f *flow) advance(o *order) bool {
	verdict := f.verdicts[o.id]
	switch {
	case verdict == "grant" || verdict == "replay":
		f.count["ran"]++
		return true
	case verdict == "unknown" || f.now >= o.deadline && o.id.Sequence > 0 && verdict == "":
		f.count["unknown"]++
		return true
	case f.now >= o.deadline:
		f.count["not_run"]++
		return true
	case verdict == "not_run" && o.retryAt <= f.now || o.id.Sequence == 0:
		o.id = dfuident.RequestID{}
		if n := f.route(o.key); n != nil {
			o.retryAt = f.now.Add(retryInterval)
			o.id = f.claim(n, o.key, o.deadline.Sub(f.now))
		}
	}
	return false
}

// route returns the node that an entry node beside a live owner would choose:
// the owner, or else the copy holder, by the owner's view.
func (f *flow) route(key dfuident.Key) *node {
	e := f.table.Entry(key)
	for _, m := range []dfuident.Member{e.Owner, e.Copy} {
		n := f.member(m)
		if n == nil {
			continue
		}
		for _, o := range f.nodes {
			v := o.view[m.Node]
			if o != n && !o.ended && !o.frozen && v.Member == m && v.State == dfuclaim.NodeAlive {
				return n
			}
		}
	}
	return nil
}
