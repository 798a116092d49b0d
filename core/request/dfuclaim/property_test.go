package dfuclaim_test

import (
	"fmt"
	"slices"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"

	"pgregory.net/rapid"
)

// places are the places of the property test's nodes, in three zones and two
// regions.
var places = []dfuident.Place{
	{Region: "downs", Zone: "east"},
	{Region: "downs", Zone: "west"},
	{Region: "moreton", Zone: "north"},
	{Region: "downs", Zone: "east"},
}

// randomRun drives a simulation by random choices.
type randomRun struct {
	*simulation
	keys []dfuident.Key
}

// TestKeyRunsAtMostOnce drives up to four nodes through random delivery, loss and
// duplication of messages, freezes, kills, replacements, false suspicions and store
// faults. No key may run twice.
func TestKeyRunsAtMostOnce(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		r := &randomRun{simulation: newSimulation(rapid.IntRange(1, 2).Draw(t, "shards"))}
		r.verbose = true
		r.cfg.ReadInterval = 2 * dfuclock.Second
		if rapid.Bool().Draw(t, "few records") {
			r.cfg.Limits.Records = 4
		}
		for i := range rapid.IntRange(2, 4).Draw(t, "nodes") {
			n := r.add(dfuident.NodeID(fmt.Sprintf("n%d", i)), places[i])
			n.clockSkew = dfuclaim.UnixMs(50 * i)
		}
		r.runFor(3 * dfuclock.Second)
		r.holdGrants = true
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r.randomAction(t)
			if len(r.faults) > 0 {
				t.Fatalf("%v\n%s", r.faults, r.out.String())
			}
		}
		r.reclaimAllKeys()
		if len(r.faults) > 0 {
			t.Fatalf("%v\n%s", r.faults, r.out.String())
		}
		for k, v := range r.outcomes {
			totals[k] += v
		}
	})
	t.Logf("totals %v", totals)
	if totals["grant"] == 0 || totals["replay"] == 0 {
		t.Error("no request was granted or no answer was replayed")
	}
}

// reclaimAllKeys ends all faults and then claims every key again at every node.
func (r *randomRun) reclaimAllKeys() {
	r.admit = nil
	for _, n := range r.nodes {
		n.store = ""
		r.wake(n)
	}
	r.runWithoutFaults()
	for _, key := range r.keys {
		for _, n := range r.nodes {
			r.claim(n, key, dfuclock.Second)
		}
	}
	r.runWithoutFaults()
}

// runWithoutFaults runs for a while in which all messages, store calls and grants
// proceed at once.
func (r *randomRun) runWithoutFaults() {
	r.holdGrants = false
	for _, n := range r.nodes {
		for !n.ended && len(n.granted) > 0 {
			r.runGranted(n, 0)
		}
	}
	r.runFor(1500 * dfuclock.Millisecond)
	r.holdGrants = true
}

// randomAction performs one random action.
func (r *randomRun) randomAction(t *rapid.T) {
	n := rapid.SampledFrom(r.nodes).Draw(t, "node")
	switch rapid.IntRange(0, 31).Draw(t, "act") {
	case 0, 1, 2:
		if i := slices.IndexFunc(r.nodes, holdsAnyShard); i >= 0 && rapid.IntRange(0, 5).Draw(t, "any") > 0 {
			n = rapid.SampledFrom(slices.DeleteFunc(slices.Clone(r.nodes), func(n *node) bool {
				return !holdsAnyShard(n)
			})).Draw(t, "holder")
		}
		r.claim(n, r.randomKey(t, n), dfuclock.Duration(rapid.SampledFrom([]int{30, 300, 5000}).Draw(t, "remaining")))
	case 3, 4:
		r.tick(dfuclock.Duration(rapid.SampledFrom([]int{20, 60, 600, 3000}).Draw(t, "ms")))
	case 5, 6, 7:
		r.randomDeliveries(t, len(r.network))
	case 8, 9, 10:
		r.randomDeliveries(t, min(2, len(r.network)))
	case 11:
		if len(r.network) > 0 {
			i := rapid.IntRange(0, len(r.network)-1).Draw(t, "lost")
			r.network = slices.Delete(r.network, i, i+1)
		}
	case 12:
		if len(r.network) > 0 {
			r.network = append(r.network, rapid.SampledFrom(r.network).Draw(t, "repeated"))
		}
	case 13, 14, 15:
		r.randomStoreCall(t)
	case 16:
		r.randomGateEvent(t, n)
	case 17, 18:
		r.randomGateEvent(t, n)
	case 19:
		r.freezeOrWake(n)
	case 20:
		if n.frozen {
			r.wake(n)
		}
	case 21:
		r.randomLifecycleEvent(t, n)
	case 22, 23:
		o := rapid.SampledFrom(r.nodes).Draw(t, "seen")
		state := rapid.SampledFrom([]dfuclaim.NodeState{dfuclaim.NodeAlive, dfuclaim.NodeDead}).Draw(t, "state")
		if o != n && (!o.ended || state == dfuclaim.NodeDead && r.maySeeAsDead(n, o)) {
			r.setView(n, o, state)
		}
	case 24, 25, 26:
		r.holdGrants = rapid.Bool().Draw(t, "slow gates")
		r.runFor(dfuclock.Duration(rapid.SampledFrom([]int{100, 400, 1000, 7000}).Draw(t, "calm")))
		r.holdGrants = true
	case 27:
		r.suspectOtherHolder(t, n)
	case 28, 29:
		n.store = rapid.SampledFrom([]storeMode{"", storeDown, storeLosing, storeLate}).Draw(t, "store mode")
	case 30, 31:
		r.cutLink(t, n)
	}
}

// cutLink drops all further packets from n to a random node, or restores all links
// if that node is n itself.
func (r *randomRun) cutLink(t *rapid.T, n *node) {
	o := rapid.SampledFrom(r.nodes).Draw(t, "cut from")
	if o == n {
		r.admit = nil
		return
	}
	earlier := r.admit
	r.admit = func(p packet) bool {
		return (p.from.Node != n.self.Node || p.to.Node != o.self.Node) && (earlier == nil || earlier(p))
	}
}

// suspectOtherHolder makes n see the other holders of a random shard as dead.
func (r *randomRun) suspectOtherHolder(t *rapid.T, n *node) {
	table, revision := n.m.Table()
	if revision == 0 {
		return
	}
	e := rapid.SampledFrom(table.Shards).Draw(t, "shard")
	for _, o := range r.nodes {
		if o != n && (o.self == e.Owner || o.self == e.Copy) && (!o.ended || r.maySeeAsDead(n, o)) {
			r.setView(n, o, dfuclaim.NodeDead)
		}
	}
}

// maySeeAsDead reports whether n may see the ended process of o as dead, because it
// knows neither that it left nor a later incarnation.
func (r *randomRun) maySeeAsDead(n, o *node) bool {
	v := n.nodeViews[o.self.Node]
	return v.Member == o.self && v.State != dfuclaim.NodeLeft
}

// holdsAnyShard reports whether a node holds a shard according to the table that it
// knows.
func holdsAnyShard(n *node) bool {
	table, _ := n.m.Table()
	return !n.ended && slices.ContainsFunc(table.Shards, func(e dfuclaim.ShardEntry) bool {
		return e.Owner == n.self || e.Copy == n.self
	})
}

// randomKey returns a new key or one of the last four.
func (r *randomRun) randomKey(t *rapid.T, n *node) dfuident.Key {
	if len(r.keys) == 0 || rapid.IntRange(0, 2).Draw(t, "fresh") == 0 {
		age := rapid.SampledFrom([]int{-900, 0, 10, 4000}).Draw(t, "age")
		r.keys = append(r.keys, r.key(fmt.Sprintf("k%d", len(r.keys)), r.wall(n)-dfuclaim.UnixMs(age)))
		return r.keys[len(r.keys)-1]
	}
	return rapid.SampledFrom(r.keys[max(0, len(r.keys)-4):]).Draw(t, "key")
}

// randomDeliveries delivers up to count packets, either in order or in random
// order.
func (r *randomRun) randomDeliveries(t *rapid.T, count int) {
	ordered := rapid.Bool().Draw(t, "ordered")
	for range count {
		if len(r.network) == 0 {
			return
		}
		i := 0
		if !ordered {
			i = rapid.IntRange(0, len(r.network)-1).Draw(t, "packet")
		}
		r.deliver(i)
	}
}

// randomStoreCall runs a random store call: successfully, with its reply lost, not
// at all, or after its caller has stopped waiting for it.
func (r *randomRun) randomStoreCall(t *rapid.T) {
	if len(r.storeOps) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.storeOps)-1).Draw(t, "call")
	switch rapid.IntRange(0, 9).Draw(t, "store") {
	case 0:
		r.runStoreOp(i, storeLosing)
	case 1:
		r.runStoreOp(i, storeDown)
	case 2:
		op := r.storeOps[i]
		if op.write != nil && !op.abandoned {
			late := op
			late.abandoned = true
			r.runStoreOp(i, storeDown)
			r.storeOps = append(r.storeOps, late)
		}
	default:
		r.runStoreOp(i, storeUp)
	}
}

// randomGateEvent starts or releases a granted request of a node or, if there is
// none, ends a running one.
func (r *randomRun) randomGateEvent(t *rapid.T, n *node) {
	if n.frozen || n.ended {
		return
	}
	if len(n.granted) > 0 {
		i := rapid.IntRange(0, len(n.granted)-1).Draw(t, "granted")
		if rapid.IntRange(0, 4).Draw(t, "give up") > 0 {
			r.runGranted(n, i)
			return
		}
		id := n.granted[i]
		n.granted = slices.Delete(n.granted, i, i+1)
		r.step(n, dfuclaim.Released{Request: id})
		return
	}
	if len(n.running) > 0 {
		i := rapid.IntRange(0, len(n.running)-1).Draw(t, "running")
		r.finish(n, i, rapid.IntRange(0, 4).Draw(t, "lost") > 0)
	}
}

func (r *randomRun) freezeOrWake(n *node) {
	if n.frozen {
		r.wake(n)
		return
	}
	n.frozen = true
}

// randomLifecycleEvent kills, replaces, announces, drains or stops a node.
func (r *randomRun) randomLifecycleEvent(t *rapid.T, n *node) {
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		n.ended = true
	case 1:
		r.replace(n, rapid.Bool().Draw(t, "announced"))
	case 2:
		if !n.ended {
			r.announce(n, rapid.SampledFrom([]dfuclaim.NodeState{dfuclaim.NodeAlive, dfuclaim.NodeLeaving}).Draw(t, "drains"))
		}
	case 3:
		if !n.ended && !n.frozen {
			r.announce(n, dfuclaim.NodeLeaving)
			r.step(n, dfuclaim.Stopping{})
		}
	}
}
