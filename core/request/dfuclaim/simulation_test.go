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

// wallOrigin is the wall-clock time at virtual time zero.
const wallOrigin dfuclaim.UnixMs = 1_700_000_000_000

// tickInterval is the time between two ticks of a node.
const tickInterval = 20 * dfuclock.Millisecond

// simulation connects several machines by a network and a store with injected
// faults, and records which requests their targets ran.
type simulation struct {
	cfg      dfuclaim.Config
	now      dfuclock.Time
	nodes    []*node
	network  []packet
	storeOps []storeOp
	// admit, if set, reports whether a packet gets onto the network.
	admit func(packet) bool
	// holdGrants is set if granted requests are not passed to their targets at once.
	holdGrants bool

	table      dfuclaim.Table
	revision   dfuident.Revision
	store      storeMode
	lateWrites []storeOp
	// deleted is set if a table existed before the simulation began.
	deleted bool
	writes  int

	requests  map[dfuident.RequestID]dfuident.Key
	notRun    map[dfuident.RequestID]bool
	ran       map[dfuident.RequestID]bool
	runs      map[dfuident.Key][]dfuident.RequestID
	outcomes  map[string]int
	verdicts  map[dfuident.RequestID]string
	keyLabels map[dfuident.Key]string
	faults    []string
	out       strings.Builder
	verbose   bool
}

type storeMode string

const (
	storeUp storeMode = "up"
	// storeDown fails each call without an effect.
	storeDown storeMode = "down"
	// storeLosing applies a write but loses its reply. For a node that is itself in
	// this mode, the store is down afterwards.
	storeLosing storeMode = "losing"
	// storeLate delays a write and reports its outcome as uncertain. The write takes
	// effect just before the next one, after which the store is down for the node.
	storeLate storeMode = "late"
)

type packet struct {
	from, to dfuident.Member
	msg      dfuclaim.Message
}

type storeOp struct {
	caller dfuident.Member
	write  *dfuclaim.WriteTable
	// abandoned is set if the caller no longer waits for the reply.
	abandoned bool
}

// node is a VM at a fixed address. Replacing the VM replaces its machine.
type node struct {
	place     dfuident.Place
	self      dfuident.Member
	m         *dfuclaim.Machine
	nodeViews map[dfuident.NodeID]dfuclaim.Node
	frozen    bool
	ended     bool
	// store, if set, overrides the store mode for this node.
	store storeMode
	// inbox holds the events that arrive while the node is frozen.
	inbox []dfuclaim.Event
	// granted holds granted requests that have not been passed to the target yet.
	granted   []dfuident.RequestID
	running   []dfuident.RequestID
	clockSkew dfuclaim.UnixMs
}

func newSimulation(shards int) *simulation {
	cfg := dfuclaim.DefaultConfig()
	cfg.Shards, cfg.Tolerance, cfg.Skew = shards, dfuclock.Second, 200*dfuclock.Millisecond
	cfg.RebalanceDelay, cfg.WriteSpread = 5*dfuclock.Second, 100*dfuclock.Millisecond
	cfg.WriteSpreadLimit = dfuclock.Second
	return &simulation{
		cfg: cfg, store: storeUp,
		requests:  map[dfuident.RequestID]dfuident.Key{},
		notRun:    map[dfuident.RequestID]bool{},
		ran:       map[dfuident.RequestID]bool{},
		runs:      map[dfuident.Key][]dfuident.RequestID{},
		outcomes:  map[string]int{},
		verdicts:  map[dfuident.RequestID]string{},
		keyLabels: map[dfuident.Key]string{},
	}
}

// add adds a node and announces it to all others.
func (s *simulation) add(id dfuident.NodeID, place dfuident.Place) *node {
	n := &node{place: place, self: dfuident.Member{Node: id}}
	s.nodes = append(s.nodes, n)
	s.startIncarnation(n)
	s.announce(n, dfuclaim.NodeAlive)
	for _, o := range s.nodes {
		n.nodeViews[o.self.Node] = dfuclaim.Node{Member: o.self, Place: o.place, State: dfuclaim.NodeAlive}
	}
	s.sendRoster(n)
	return n
}

// startIncarnation starts the next incarnation of a node with no state.
func (s *simulation) startIncarnation(n *node) {
	n.self.Incarnation++
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(n.self.String()), 1))
	n.m = dfuclaim.New(s.cfg, n.self, "order-desk", rng)
	n.frozen, n.ended, n.inbox, n.granted, n.running = false, false, nil, nil, nil
	n.nodeViews = map[dfuident.NodeID]dfuclaim.Node{}
}

// replace ends a node's process and starts another one at the same address.
func (s *simulation) replace(n *node, announce bool) {
	nodeViews := n.nodeViews
	s.startIncarnation(n)
	n.nodeViews = nodeViews
	n.nodeViews[n.self.Node] = dfuclaim.Node{Member: n.self, Place: n.place, State: dfuclaim.NodeAlive}
	s.sendRoster(n)
	if announce {
		s.announce(n, dfuclaim.NodeAlive)
	}
}

// announce makes all nodes see the current incarnation of n in the given state.
func (s *simulation) announce(n *node, state dfuclaim.NodeState) {
	for _, o := range s.nodes {
		s.setView(o, n, state)
	}
}

// setView sets the state of n as reported by o's membership.
func (s *simulation) setView(o, n *node, state dfuclaim.NodeState) {
	o.nodeViews[n.self.Node] = dfuclaim.Node{Member: n.self, Place: n.place, State: state}
	s.sendRoster(o)
}

func (s *simulation) sendRoster(n *node) {
	var e dfuclaim.RosterChanged
	for _, v := range n.nodeViews {
		e.Nodes = append(e.Nodes, v)
	}
	slices.SortFunc(e.Nodes, func(a, b dfuclaim.Node) int { return cmp.Compare(a.Member.Node, b.Member.Node) })
	s.step(n, e)
}

func (s *simulation) node(id string) *node {
	for _, n := range s.nodes {
		if string(n.self.Node) == id {
			return n
		}
	}
	panic("unknown node " + id)
}

func (s *simulation) nodeOf(m dfuident.Member) *node {
	for _, n := range s.nodes {
		if n.self == m {
			return n
		}
	}
	return nil
}

func (s *simulation) wall(n *node) dfuclaim.UnixMs {
	return wallOrigin + dfuclaim.UnixMs(s.now) + n.clockSkew
}

// key returns a UUIDv7 with the given creation time.
func (s *simulation) key(label string, birth dfuclaim.UnixMs) dfuident.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(birth)<<16)
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String(label))
	id[6], id[8] = 0x70, id[8]&0x3f|0x80
	key := dfuident.Key(id.String())
	s.keyLabels[key] = label
	return key
}

// claim sends a node a request with a key and returns the request's id.
func (s *simulation) claim(n *node, key dfuident.Key, remaining dfuclock.Duration) dfuident.RequestID {
	id := dfuident.RequestID{Entry: dfuident.Member{Node: "entry"}, Sequence: uint64(len(s.requests) + 1)}
	s.requests[id] = key
	s.outcomes["claims"]++
	s.step(n, dfuclaim.Claim{Request: id, Key: key, Wall: s.wall(n), Remaining: remaining})
	return id
}

// step passes an event to a node's machine: later if the node is frozen, never if
// its process has ended.
func (s *simulation) step(n *node, e dfuclaim.Event) {
	switch {
	case n.ended:
	case n.frozen:
		n.inbox = append(n.inbox, e)
	default:
		self := n.self
		for _, a := range n.m.Step(s.now, e) {
			if n.self == self {
				s.applyAction(n, a)
			}
		}
	}
}

func (s *simulation) wake(n *node) {
	inbox := n.inbox
	n.frozen, n.inbox = false, nil
	for _, e := range inbox {
		s.step(n, e)
	}
}

func (s *simulation) applyAction(n *node, a dfuclaim.Action) {
	switch a := a.(type) {
	case dfuclaim.Grant:
		s.logf(n, "grant %s", s.label(a.Request))
		s.outcomes["grant"]++
		s.verdicts[a.Request] = "grant"
		n.granted = append(n.granted, a.Request)
		if !s.holdGrants {
			s.runGranted(n, 0)
		}
	case dfuclaim.Deny:
		s.logf(n, "deny %s %s %s", s.label(a.Request), a.Outcome, a.Reason)
		s.outcomes[string(a.Outcome)]++
		s.verdicts[a.Request] = string(a.Outcome)
		s.outcomes[string(a.Outcome)+" "+string(a.Reason)]++
		if a.Outcome == dfuoutcome.NotRun {
			s.notRun[a.Request] = true
			s.assertf(!s.ran[a.Request], "%s ran before it was denied as not run", a.Request)
		}
	case dfuclaim.Replay:
		s.logf(n, "replay %s %d %q", s.label(a.Request), a.Status, a.Answer)
		s.outcomes["replay"]++
		s.verdicts[a.Request] = "replay"
		key := s.requests[a.Request]
		s.assertf(string(a.Answer) == string(key), "%s got the answer of %s", a.Request, a.Answer)
	case dfuclaim.SendMessage:
		if p := (packet{n.self, a.To, a.Message}); s.admit == nil || s.admit(p) {
			s.network = append(s.network, p)
		}
	case dfuclaim.ReadTable:
		s.storeOps = append(s.storeOps, storeOp{caller: n.self})
	case dfuclaim.WriteTable:
		s.storeOps = append(s.storeOps, storeOp{caller: n.self, write: &a})
	case dfuclaim.HandoverDone:
		s.logf(n, "left")
		n.ended = true
		s.announce(n, dfuclaim.NodeLeft)
	case dfuclaim.Log:
		s.outcomes[string(a.Transition)]++
		s.logf(n, "shard %d gen %d %s %s", a.Shard, a.Generation, a.Transition, a.Member)
	}
}

// runGranted passes a granted request to the node's target, and reports a fault if
// the key has run before.
func (s *simulation) runGranted(n *node, i int) {
	id := n.granted[i]
	n.granted = slices.Delete(n.granted, i, i+1)
	n.running = append(n.running, id)
	key := s.requests[id]
	s.ran[id] = true
	s.runs[key] = append(s.runs[key], id)
	s.assertf(len(s.runs[key]) == 1, "key %s ran %d times", key, len(s.runs[key]))
	s.assertf(!s.notRun[id], "%s ran after it was denied as not run", id)
}

// finish ends a running request.
func (s *simulation) finish(n *node, i int, ran bool) {
	id := n.running[i]
	n.running = slices.Delete(n.running, i, i+1)
	s.step(n, dfuclaim.Finished{Request: id, Ran: ran, Status: 200, Answer: []byte(s.requests[id])})
}

// storeFor returns the store mode for a node.
func (s *simulation) storeFor(m dfuident.Member) storeMode {
	if n := s.nodeOf(m); n != nil && n.store != "" {
		return n.store
	}
	return s.store
}

// runStoreOp removes and runs a store operation. In mode storeLate it reports a
// write as uncertain instead and runs it before the next write.
func (s *simulation) runStoreOp(i int, mode storeMode) {
	op := s.storeOps[i]
	s.storeOps = slices.Delete(s.storeOps, i, i+1)
	n := s.nodeOf(op.caller)
	reply := func(e dfuclaim.Event) {
		if n != nil && !op.abandoned {
			s.step(n, e)
		}
	}
	if op.write != nil && mode == storeLate {
		if len(s.lateWrites) == 0 {
			s.lateWrites = append(s.lateWrites, op)
			s.logf(n, "store holds the write")
			reply(dfuclaim.WriteResult{Status: dfuclaim.WriteUncertain, Expect: op.write.Expect})
			return
		}
		s.storeOps = slices.Insert(s.storeOps, 0, s.lateWrites[0])
		s.storeOps[0].abandoned, s.lateWrites, mode, n.store = true, nil, storeUp, storeDown
		s.runStoreOp(0, storeUp)
	}
	if op.write == nil {
		if mode == storeDown {
			reply(dfuclaim.ReadFailed{})
			return
		}
		reply(dfuclaim.TableRead{Revision: s.revision, Table: s.table, Deleted: s.deleted && s.revision == 0})
		return
	}
	result := dfuclaim.WriteResult{Status: dfuclaim.WriteRejected}
	if mode != storeDown && op.write.Expect == s.revision {
		s.revision++
		s.writes++
		s.table = op.write.Table
		result = dfuclaim.WriteResult{Status: dfuclaim.WriteAccepted, Revision: s.revision}
		s.assertf(s.table.Validate() == nil, "invalid table")
	}
	if mode != storeUp {
		result = dfuclaim.WriteResult{Status: dfuclaim.WriteUncertain}
		if n != nil && n.store == storeLosing {
			n.store = storeDown
		}
	}
	result.Expect = op.write.Expect
	if n != nil {
		s.logf(n, "store %s", result.Status)
	}
	reply(result)
}

// tick advances the time and sends every node a Tick.
func (s *simulation) tick(d dfuclock.Duration) {
	s.now = s.now.Add(d)
	for _, n := range s.nodes {
		if !n.frozen {
			s.step(n, dfuclaim.Tick{Wall: s.wall(n)})
		}
	}
}

// deliver removes a packet from the network and delivers it to its recipient.
func (s *simulation) deliver(i int) {
	p := s.network[i]
	s.network = slices.Delete(s.network, i, i+1)
	if n := s.nodeOf(p.to); n != nil {
		s.step(n, dfuclaim.PeerMessage{From: p.from, Message: p.msg})
	}
}

// runFor runs for a time in which all packets are delivered in order and all store
// operations are run. The store modes stay as they are.
func (s *simulation) runFor(d dfuclock.Duration) {
	for end := s.now.Add(d); s.now < end; {
		s.tick(tickInterval)
		for len(s.network) > 0 {
			s.deliver(0)
		}
		for len(s.storeOps) > 0 {
			s.runStoreOp(0, s.storeFor(s.storeOps[0].caller))
		}
		for len(s.network) > 0 {
			s.deliver(0)
		}
	}
}

func (s *simulation) assertf(ok bool, format string, args ...any) {
	if !ok {
		fault := fmt.Sprintf(format, args...)
		s.faults = append(s.faults, fault)
		fmt.Fprintf(&s.out, "FAULT %s\n", fault)
	}
}

func (s *simulation) label(id dfuident.RequestID) string {
	return fmt.Sprintf("%s#%d", s.keyLabels[s.requests[id]], id.Sequence)
}

func (s *simulation) logf(n *node, format string, args ...any) {
	if s.verbose {
		fmt.Fprintf(&s.out, "%6d %s %s\n", s.now, n.self, fmt.Sprintf(format, args...))
	}
}
