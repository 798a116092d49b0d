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

// Places of the property test's nodes: three zones, two regions.
var places = []dfuident.Place{
	{Region: "downs", Zone: "east"},
	{Region: "downs", Zone: "west"},
	{Region: "moreton", Zone: "north"},
	{Region: "downs", Zone: "east"},
}

// chaos drives a world by random choices.
type chaos struct {
	*world
	keys []dfuident.Key
}

// TestKeyRunsAtMostOnce drives up to four nodes through random deliveries,
// losses, repeats, freezes, kills, replacements, suspicions and store faults.
func TestKeyRunsAtMostOnce(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := &chaos{world: newWorld(rapid.IntRange(1, 2).Draw(t, "shards"))}
		c.verbose = true
		c.cfg.ReadInterval = 2 * dfuclock.Second
		if rapid.Bool().Draw(t, "few records") {
			c.cfg.Limits.Records = 4
		}
		for i := range rapid.IntRange(2, 4).Draw(t, "nodes") {
			n := c.add(dfuident.NodeID(fmt.Sprintf("n%d", i)), places[i])
			n.skew = dfuclaim.UnixMs(50 * i)
		}
		c.calm(3 * dfuclock.Second)
		c.slow = true
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			c.act(t)
			if len(c.faults) > 0 {
				t.Fatalf("%v\n%s", c.faults, c.out.String())
			}
		}
		c.repeatAll()
		if len(c.faults) > 0 {
			t.Fatalf("%v\n%s", c.faults, c.out.String())
		}
		for k, v := range c.outcomes {
			totals[k] += v
		}
	})
	t.Logf("totals %v", totals)
	if totals["grant"] == 0 || totals["replay"] == 0 {
		t.Error("nothing was granted or replayed")
	}
}

// repeatAll lets everything that was held up go on, and sends every key to
// every node again.
func (c *chaos) repeatAll() {
	c.admit = nil
	for _, n := range c.nodes {
		n.store = ""
		c.wake(n)
	}
	c.settle()
	for _, key := range c.keys {
		for _, n := range c.nodes {
			c.claim(n, key, dfuclock.Second)
		}
	}
	c.settle()
}

// settle lets messages, store calls and gates work well for a while.
func (c *chaos) settle() {
	c.slow = false
	for _, n := range c.nodes {
		for !n.ended && len(n.gate) > 0 {
			c.handOver(n, 0)
		}
	}
	c.calm(1500 * dfuclock.Millisecond)
	c.slow = true
}

// act does one random thing.
func (c *chaos) act(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	switch rapid.IntRange(0, 31).Draw(t, "act") {
	case 0, 1, 2:
		if i := slices.IndexFunc(c.nodes, believesItHolds); i >= 0 && rapid.IntRange(0, 5).Draw(t, "any") > 0 {
			n = rapid.SampledFrom(slices.DeleteFunc(slices.Clone(c.nodes), func(n *node) bool {
				return !believesItHolds(n)
			})).Draw(t, "holder")
		}
		c.claim(n, c.someKey(t, n), dfuclock.Duration(rapid.SampledFrom([]int{30, 300, 5000}).Draw(t, "remaining")))
	case 3, 4:
		c.tick(dfuclock.Duration(rapid.SampledFrom([]int{20, 60, 600, 3000}).Draw(t, "ms")))
	case 5, 6, 7:
		c.someDeliveries(t, len(c.net))
	case 8, 9, 10:
		c.someDeliveries(t, min(2, len(c.net)))
	case 11:
		if len(c.net) > 0 {
			i := rapid.IntRange(0, len(c.net)-1).Draw(t, "lost")
			c.net = slices.Delete(c.net, i, i+1)
		}
	case 12:
		if len(c.net) > 0 {
			c.net = append(c.net, rapid.SampledFrom(c.net).Draw(t, "repeated"))
		}
	case 13, 14, 15:
		c.someCall(t)
	case 16:
		c.gates(t, n)
	case 17, 18:
		c.gates(t, n)
	case 19:
		c.freezeOrWake(n)
	case 20:
		if n.frozen {
			c.wake(n)
		}
	case 21:
		c.end(t, n)
	case 22, 23:
		o := rapid.SampledFrom(c.nodes).Draw(t, "seen")
		state := rapid.SampledFrom([]dfuclaim.NodeState{dfuclaim.NodeAlive, dfuclaim.NodeDead}).Draw(t, "state")
		if o != n && (!o.ended || state == dfuclaim.NodeDead && c.knowsRun(n, o)) {
			c.see(n, o, state)
		}
	case 24, 25, 26:
		c.slow = rapid.Bool().Draw(t, "slow gates")
		c.calm(dfuclock.Duration(rapid.SampledFrom([]int{100, 400, 1000, 7000}).Draw(t, "calm")))
		c.slow = true
	case 27:
		c.suspectHolder(t, n)
	case 28, 29:
		n.store = rapid.SampledFrom([]storeMode{"", storeDown, storeLosing, storeLate}).Draw(t, "store mode")
	case 30, 31:
		c.cutLink(t, n)
	}
}

// cutLink loses all packets of one direction between two nodes, or, if the
// choice is the same node, restores all links.
func (c *chaos) cutLink(t *rapid.T, n *node) {
	o := rapid.SampledFrom(c.nodes).Draw(t, "cut from")
	if o == n {
		c.admit = nil
		return
	}
	earlier := c.admit
	c.admit = func(p packet) bool {
		return (p.from.Node != n.self.Node || p.to.Node != o.self.Node) && (earlier == nil || earlier(p))
	}
}

// suspectHolder makes a node take for dead the other holder of a shard.
func (c *chaos) suspectHolder(t *rapid.T, n *node) {
	table, revision := n.m.Table()
	if revision == 0 {
		return
	}
	e := rapid.SampledFrom(table.Shards).Draw(t, "shard")
	for _, o := range c.nodes {
		if o != n && (o.self == e.Owner || o.self == e.Copy) && (!o.ended || c.knowsRun(n, o)) {
			c.see(n, o, dfuclaim.NodeDead)
		}
	}
}

// knowsRun reports whether n may still take the ended run for dead only.
func (c *chaos) knowsRun(n, o *node) bool {
	v := n.view[o.self.Node]
	return v.Member == o.self && v.State != dfuclaim.NodeLeft
}

// believesItHolds reports whether a node takes itself for a holder of a shard.
func believesItHolds(n *node) bool {
	table, _ := n.m.Table()
	return !n.ended && slices.ContainsFunc(table.Shards, func(e dfuclaim.ShardEntry) bool {
		return e.Owner == n.self || e.Copy == n.self
	})
}

// someKey returns a fresh key or one that was used before.
func (c *chaos) someKey(t *rapid.T, n *node) dfuident.Key {
	if len(c.keys) == 0 || rapid.IntRange(0, 2).Draw(t, "fresh") == 0 {
		age := rapid.SampledFrom([]int{-900, 0, 10, 4000}).Draw(t, "age")
		c.keys = append(c.keys, c.key(fmt.Sprintf("k%d", len(c.keys)), c.wall(n)-dfuclaim.UnixMs(age)))
		return c.keys[len(c.keys)-1]
	}
	return rapid.SampledFrom(c.keys[max(0, len(c.keys)-4):]).Draw(t, "key")
}

// someDeliveries delivers up to count packets, each the oldest or any.
func (c *chaos) someDeliveries(t *rapid.T, count int) {
	ordered := rapid.Bool().Draw(t, "ordered")
	for range count {
		if len(c.net) == 0 {
			return
		}
		i := 0
		if !ordered {
			i = rapid.IntRange(0, len(c.net)-1).Draw(t, "packet")
		}
		c.deliver(i)
	}
}

// someCall carries out a store call: well, with its reply lost, not at all, or
// later than its caller waits.
func (c *chaos) someCall(t *rapid.T) {
	if len(c.ops) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.ops)-1).Draw(t, "call")
	switch rapid.IntRange(0, 9).Draw(t, "store") {
	case 0:
		c.call(i, storeLosing)
	case 1:
		c.call(i, storeDown)
	case 2:
		op := c.ops[i]
		if op.write != nil && !op.ghost {
			late := op
			late.ghost = true
			c.call(i, storeDown)
			c.ops = append(c.ops, late)
		}
	default:
		c.call(i, storeUp)
	}
}

// gates moves a granted or running request of a node.
func (c *chaos) gates(t *rapid.T, n *node) {
	if n.frozen || n.ended {
		return
	}
	if len(n.gate) > 0 {
		i := rapid.IntRange(0, len(n.gate)-1).Draw(t, "granted")
		if rapid.IntRange(0, 4).Draw(t, "give up") > 0 {
			c.handOver(n, i)
			return
		}
		id := n.gate[i]
		n.gate = slices.Delete(n.gate, i, i+1)
		c.step(n, dfuclaim.Released{Request: id})
		return
	}
	if len(n.running) > 0 {
		i := rapid.IntRange(0, len(n.running)-1).Draw(t, "running")
		c.finish(n, i, rapid.IntRange(0, 4).Draw(t, "lost") > 0)
	}
}

func (c *chaos) freezeOrWake(n *node) {
	if n.frozen {
		c.wake(n)
		return
	}
	n.frozen = true
}

// end kills, replaces, announces, drains or stops a node.
func (c *chaos) end(t *rapid.T, n *node) {
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		n.ended = true
	case 1:
		c.replace(n, rapid.Bool().Draw(t, "announced"))
	case 2:
		if !n.ended {
			c.announce(n, rapid.SampledFrom([]dfuclaim.NodeState{dfuclaim.NodeAlive, dfuclaim.NodeLeaving}).Draw(t, "drains"))
		}
	case 3:
		if !n.ended && !n.frozen {
			c.announce(n, dfuclaim.NodeLeaving)
			c.step(n, dfuclaim.Leaving{})
		}
	}
}
