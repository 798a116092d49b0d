package dfuclaim_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/request/dfuoutcome"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// wallOrigin is the wall clock at the virtual time zero.
const wallOrigin dfuclaim.UnixMs = 1_700_000_000_000

// tickInterval is the time between two ticks of a node.
const tickInterval = 20 * dfuclock.Millisecond

// world joins several machines by a network and a store that misbehave as they
// are told, and counts what their targets ran.
type world struct {
	cfg   dfuclaim.Config
	now   dfuclock.Time
	nodes []*node
	net   []packet
	ops   []storeOp
	// admit, if set, decides which packets get onto the network.
	admit func(packet) bool
	// slow means that store calls and grants wait until they are picked.
	slow bool

	table    dfuclaim.Table
	revision dfuident.Revision
	store    storeMode
	late     []storeOp
	// deleted means that there was a table before the world began.
	deleted bool
	writes  int

	requests map[dfuident.RequestID]dfuident.Key
	notRun   map[dfuident.RequestID]bool
	ran      map[dfuident.RequestID]bool
	runs     map[dfuident.Key][]dfuident.RequestID
	outcomes map[string]int
	verdicts map[dfuident.RequestID]string
	labels   map[dfuident.Key]string
	faults   []string
	out      strings.Builder
	verbose  bool
}

type storeMode string

const (
	storeUp storeMode = "up"
	// storeDown gives no effect and an error.
	storeDown storeMode = "down"
	// storeLosing gives a write its effect but no reply. A node that has lost
	// one in this mode of its own finds the store down afterwards.
	storeLosing storeMode = "losing"
	// storeLate holds a write back without a reply. It takes effect just
	// before the next write, after which the node finds the store down.
	storeLate storeMode = "late"
)

type packet struct {
	from, to dfuident.Member
	msg      dfuclaim.Message
}

type storeOp struct {
	by    dfuident.Member
	write *dfuclaim.WriteTable
	// ghost means that the caller has given up on the reply.
	ghost bool
}

// node is a VM's slot. Its machine is replaced with the VM.
type node struct {
	place  dfuident.Place
	self   dfuident.Member
	m      *dfuclaim.Machine
	view   map[dfuident.NodeID]dfuclaim.Node
	frozen bool
	ended  bool
	// store, if set, is how the store behaves towards this node.
	store storeMode
	// inbox holds what arrives while the node is frozen.
	inbox []dfuclaim.Event
	// gate holds granted requests that were not handed to the target yet.
	gate    []dfuident.RequestID
	running []dfuident.RequestID
	skew    dfuclaim.UnixMs
}

func newWorld(shards int) *world {
	cfg := dfuclaim.DefaultConfig()
	cfg.Shards, cfg.Tolerance, cfg.Skew = shards, dfuclock.Second, 200*dfuclock.Millisecond
	cfg.RebalanceDelay, cfg.WriteSpread = 5*dfuclock.Second, 100*dfuclock.Millisecond
	cfg.WriteSpreadLimit = dfuclock.Second
	return &world{
		cfg: cfg, store: storeUp,
		requests: map[dfuident.RequestID]dfuident.Key{},
		notRun:   map[dfuident.RequestID]bool{},
		ran:      map[dfuident.RequestID]bool{},
		runs:     map[dfuident.Key][]dfuident.RequestID{},
		outcomes: map[string]int{},
		verdicts: map[dfuident.RequestID]string{},
		labels:   map[dfuident.Key]string{},
	}
}

// add puts a node into the world; everybody sees it.
func (w *world) add(id dfuident.NodeID, place dfuident.Place) *node {
	n := &node{place: place, self: dfuident.Member{Node: id}}
	w.nodes = append(w.nodes, n)
	w.boot(n)
	w.announce(n, dfuclaim.NodeAlive)
	for _, o := range w.nodes {
		n.view[o.self.Node] = dfuclaim.Node{Member: o.self, Place: o.place, State: dfuclaim.NodeAlive}
	}
	w.tellRoster(n)
	return n
}

// boot starts the next run of a node with an empty memory.
func (w *world) boot(n *node) {
	n.self.Incarnation++
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(n.self.String()), 1))
	n.m = dfuclaim.New(w.cfg, n.self, "order-desk", rng)
	n.frozen, n.ended, n.inbox, n.gate, n.running = false, false, nil, nil, nil
	n.view = map[dfuident.NodeID]dfuclaim.Node{}
}

// replace ends a node's run and starts another at the same address.
func (w *world) replace(n *node, announce bool) {
	view := n.view
	w.boot(n)
	n.view = view
	n.view[n.self.Node] = dfuclaim.Node{Member: n.self, Place: n.place, State: dfuclaim.NodeAlive}
	w.tellRoster(n)
	if announce {
		w.announce(n, dfuclaim.NodeAlive)
	}
}

// announce shows a node's present run to all others.
func (w *world) announce(n *node, state dfuclaim.NodeState) {
	for _, o := range w.nodes {
		w.see(o, n, state)
	}
}

// see sets what one node's membership says of another.
func (w *world) see(o, n *node, state dfuclaim.NodeState) {
	o.view[n.self.Node] = dfuclaim.Node{Member: n.self, Place: n.place, State: state}
	w.tellRoster(o)
}

func (w *world) tellRoster(n *node) {
	var e dfuclaim.RosterChanged
	for _, v := range n.view {
		e.Nodes = append(e.Nodes, v)
	}
	slices.SortFunc(e.Nodes, func(a, b dfuclaim.Node) int { return cmp.Compare(a.Member.Node, b.Member.Node) })
	w.step(n, e)
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if string(n.self.Node) == id {
			return n
		}
	}
	panic("no node " + id)
}

func (w *world) member(m dfuident.Member) *node {
	for _, n := range w.nodes {
		if n.self == m {
			return n
		}
	}
	return nil
}

func (w *world) wall(n *node) dfuclaim.UnixMs {
	return wallOrigin + dfuclaim.UnixMs(w.now) + n.skew
}

// key makes a UUIDv7 born at a time.
func (w *world) key(label string, birth dfuclaim.UnixMs) dfuident.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(birth)<<16)
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String(label))
	id[6], id[8] = 0x70, id[8]&0x3f|0x80
	key := dfuident.Key(id.String())
	w.labels[key] = label
	return key
}

// claim sends a request with a key to a node and returns its id.
func (w *world) claim(n *node, key dfuident.Key, remaining dfuclock.Duration) dfuident.RequestID {
	id := dfuident.RequestID{Entry: dfuident.Member{Node: "entry"}, Sequence: uint64(len(w.requests) + 1)}
	w.requests[id] = key
	w.outcomes["claims"]++
	w.step(n, dfuclaim.Claim{Request: id, Key: key, Wall: w.wall(n), Remaining: remaining})
	return id
}

// step gives a node's machine an event, later if it is frozen, never if its run
// has ended.
func (w *world) step(n *node, e dfuclaim.Event) {
	switch {
	case n.ended:
	case n.frozen:
		n.inbox = append(n.inbox, e)
	default:
		self := n.self
		for _, a := range n.m.Step(w.now, e) {
			if n.self == self {
				w.apply(n, a)
			}
		}
	}
}

func (w *world) wake(n *node) {
	inbox := n.inbox
	n.frozen, n.inbox = false, nil
	for _, e := range inbox {
		w.step(n, e)
	}
}

func (w *world) apply(n *node, a dfuclaim.Action) {
	switch a := a.(type) {
	case dfuclaim.Grant:
		w.say(n, "grant %s", w.label(a.Request))
		w.outcomes["grant"]++
		w.verdicts[a.Request] = "grant"
		n.gate = append(n.gate, a.Request)
		if !w.slow {
			w.handOver(n, 0)
		}
	case dfuclaim.Deny:
		w.say(n, "deny %s %s %s", w.label(a.Request), a.Outcome, a.Reason)
		w.outcomes[string(a.Outcome)]++
		w.verdicts[a.Request] = string(a.Outcome)
		w.outcomes[string(a.Outcome)+" "+string(a.Reason)]++
		if a.Outcome == dfuoutcome.NotRun {
			w.notRun[a.Request] = true
			w.check(!w.ran[a.Request], "%s ran before it was denied as not run", a.Request)
		}
	case dfuclaim.Replay:
		w.say(n, "replay %s %d %q", w.label(a.Request), a.Status, a.Answer)
		w.outcomes["replay"]++
		w.verdicts[a.Request] = "replay"
		key := w.requests[a.Request]
		w.check(string(a.Answer) == string(key), "%s got the answer of %s", a.Request, a.Answer)
	case dfuclaim.SendPeer:
		if p := (packet{n.self, a.To, a.Message}); w.admit == nil || w.admit(p) {
			w.net = append(w.net, p)
		}
	case dfuclaim.ReadTable:
		w.ops = append(w.ops, storeOp{by: n.self})
	case dfuclaim.WriteTable:
		w.ops = append(w.ops, storeOp{by: n.self, write: &a})
	case dfuclaim.Left:
		w.say(n, "left")
		n.ended = true
		w.announce(n, dfuclaim.NodeLeft)
	case dfuclaim.Log:
		w.outcomes[string(a.Transition)]++
		w.say(n, "shard %d gen %d %s %s", a.Shard, a.Generation, a.Transition, a.Member)
	}
}

// handOver lets a node's gate hand a granted request to its target.
func (w *world) handOver(n *node, i int) {
	id := n.gate[i]
	n.gate = slices.Delete(n.gate, i, i+1)
	n.running = append(n.running, id)
	key := w.requests[id]
	w.ran[id] = true
	w.runs[key] = append(w.runs[key], id)
	w.check(len(w.runs[key]) == 1, "key %s ran %d times", key, len(w.runs[key]))
	w.check(!w.notRun[id], "%s ran after it was denied as not run", id)
}

// finish ends a running request.
func (w *world) finish(n *node, i int, ran bool) {
	id := n.running[i]
	n.running = slices.Delete(n.running, i, i+1)
	w.step(n, dfuclaim.Finished{Request: id, Ran: ran, Status: 200, Answer: []byte(w.requests[id])})
}

// storeFor returns how the store behaves towards a node.
func (w *world) storeFor(m dfuident.Member) storeMode {
	if n := w.member(m); n != nil && n.store != "" {
		return n.store
	}
	return w.store
}

// call carries out a store operation and removes it, unless the caller is to
// take it for lost while it takes effect later.
func (w *world) call(i int, mode storeMode) {
	op := w.ops[i]
	w.ops = slices.Delete(w.ops, i, i+1)
	n := w.member(op.by)
	reply := func(e dfuclaim.Event) {
		if n != nil && !op.ghost {
			w.step(n, e)
		}
	}
	if op.write != nil && mode == storeLate {
		if len(w.late) == 0 {
			w.late = append(w.late, op)
			w.say(n, "store holds the write")
			reply(dfuclaim.WriteResult{Status: dfuclaim.WriteUncertain})
			return
		}
		w.ops = slices.Insert(w.ops, 0, w.late[0])
		w.ops[0].ghost, w.late, mode, n.store = true, nil, storeUp, storeDown
		w.call(0, storeUp)
	}
	if op.write == nil {
		if mode == storeDown {
			reply(dfuclaim.ReadFailed{})
			return
		}
		reply(dfuclaim.TableSeen{Revision: w.revision, Table: w.table, Deleted: w.deleted && w.revision == 0})
		return
	}
	result := dfuclaim.WriteResult{Status: dfuclaim.WriteRejected}
	if mode != storeDown && op.write.Expect == w.revision {
		w.revision++
		w.writes++
		w.table = op.write.Table
		result = dfuclaim.WriteResult{Status: dfuclaim.WriteAccepted, Revision: w.revision}
		w.check(w.table.Validate() == nil, "invalid table")
	}
	if mode != storeUp {
		result = dfuclaim.WriteResult{Status: dfuclaim.WriteUncertain}
		if n != nil && n.store == storeLosing {
			n.store = storeDown
		}
	}
	if n != nil {
		w.say(n, "store %s", result.Status)
	}
	reply(result)
}

// tick lets time pass and gives every node a tick.
func (w *world) tick(d dfuclock.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		if !n.frozen {
			w.step(n, dfuclaim.Tick{Wall: w.wall(n)})
		}
	}
}

// deliver takes a packet off the network and gives it to its addressee.
func (w *world) deliver(i int) {
	p := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	if n := w.member(p.to); n != nil {
		w.step(n, dfuclaim.PeerMessage{From: p.from, Message: p.msg})
	}
}

// calm runs without further faults of the network; the store stays as it is.
func (w *world) calm(d dfuclock.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.tick(tickInterval)
		for len(w.net) > 0 {
			w.deliver(0)
		}
		for len(w.ops) > 0 {
			w.call(0, w.storeFor(w.ops[0].by))
		}
		for len(w.net) > 0 {
			w.deliver(0)
		}
	}
}

func (w *world) check(ok bool, format string, args ...any) {
	if !ok {
		fault := fmt.Sprintf(format, args...)
		w.faults = append(w.faults, fault)
		fmt.Fprintf(&w.out, "FAULT %s\n", fault)
	}
}

func (w *world) label(id dfuident.RequestID) string {
	return fmt.Sprintf("%s#%d", w.labels[w.requests[id]], id.Sequence)
}

func (w *world) say(n *node, format string, args ...any) {
	if w.verbose {
		fmt.Fprintf(&w.out, "%6d %s %s\n", w.now, n.self, fmt.Sprintf(format, args...))
	}
}
