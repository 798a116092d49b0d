package dfufleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
)

// Config holds the one-way delays and the seed of a fleet.
type Config struct {
	Seed        uint64
	ZoneDelay   dfuclock.Duration
	RegionDelay dfuclock.Duration
	// LossPerMille is how many of a thousand packets are lost.
	LossPerMille int
	Membership   dfumembership.Config
	// CountBytes makes the fleet encode each packet to learn its size.
	CountBytes bool
}

// DefaultConfig returns the delays of the users' pages.
func DefaultConfig() Config {
	return Config{
		Seed:        1,
		ZoneDelay:   1 * dfuclock.Millisecond,
		RegionDelay: 8 * dfuclock.Millisecond,
		Membership:  dfumembership.DefaultConfig(),
	}
}

// Node is one run of one node. Its fields are altered only by the fleet.
type Node struct {
	Member dfuident.Member
	Place  dfuident.Place
	Keeper *dfuroster.Keeper
	// Sent counts what the node sent.
	Sent Traffic

	address dfuident.Address
	tickAt  dfuclock.Time
	seedAt  dfuclock.Time
	frozen  bool
	dead    bool
	// waiting holds what arrived while the node was frozen.
	waiting []dfuroster.Event
	watch   watchState
}

// Traffic counts packets by where they go.
type Traffic struct {
	Packets     int
	Bytes       int
	LinkPackets int
	LinkBytes   int
}

// Fleet is a set of nodes and one store on one virtual clock.
type Fleet struct {
	cfg   Config
	rng   *rand.Rand
	now   dfuclock.Time
	queue arrivals
	order uint64
	nodes []*Node
	byID  map[dfuident.NodeID]*Node
	cuts  map[[2]dfuident.Region]bool
	paths map[[2]dfuident.NodeID]bool
	store store
	sizer *sizer

	// OnPublish is called with every new view of every node.
	OnPublish func(n *Node, old, view *dfuroster.View)
	views     map[dfuident.NodeID]*dfuroster.View
}

// New returns a fleet without nodes at time zero.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		byID:  make(map[dfuident.NodeID]*Node),
		cuts:  make(map[[2]dfuident.Region]bool),
		paths: make(map[[2]dfuident.NodeID]bool),
		store: newStore(),
		sizer: newSizer(),
		views: make(map[dfuident.NodeID]*dfuroster.View),
	}
}

// Now returns the virtual time.
func (f *Fleet) Now() dfuclock.Time {
	return f.now
}

// Nodes returns the newest run of each node in the order they were added.
func (f *Fleet) Nodes() []*Node {
	return f.nodes
}

// Node returns the newest run of a node, or nil.
func (f *Fleet) Node(id dfuident.NodeID) *Node {
	return f.byID[id]
}

// Add starts a node, or a later run of it.
func (f *Fleet) Add(id dfuident.NodeID, place dfuident.Place, target dfumembership.Target) *Node {
	member := dfuident.Member{Node: id, Incarnation: 1}
	old := f.byID[id]
	if old != nil {
		member.Incarnation = old.Member.Incarnation + 1
		old.dead = true
	}
	n := f.newRun(member, place)
	if old != nil {
		n.Sent = old.Sent
	} else {
		f.nodes = append(f.nodes, n)
	}
	for i := range f.nodes {
		if f.nodes[i] == old {
			f.nodes[i] = n
		}
	}
	f.step(n, dfuroster.Announced{Target: target})
	f.step(n, dfuroster.Seeded{Seeds: f.seeds(n, false)})
	n.seedAt = f.now.Add(dfuclock.Duration(f.rng.Int64N(int64(pageSpread))))
	return n
}

// pageSpread is the time over which nodes write their zone's page.
const pageSpread = 2 * dfuclock.Second

// foreignPerZone is how many members of each other zone a page lists.
const foreignPerZone = 2

// pagePeriod is the time between two reads of the pages by a bridge.
const pagePeriod = 30 * dfuclock.Second

// Meet lets every node know every other at once, as after a long time.
func (f *Fleet) Meet() {
	updates := make([]dfumembership.Update, len(f.nodes))
	for i, n := range f.nodes {
		updates[i] = n.Keeper.Membership().Self()
	}
	for i, n := range f.nodes {
		from := f.nodes[(i+1)%len(f.nodes)]
		f.step(n, dfuroster.Received{Packet: dfuroster.Packet{Membership: &dfumembership.Message{
			Kind:    dfumembership.SyncReply,
			From:    dfumembership.Contact{Member: from.Member, Region: from.Place.Region, Address: from.address},
			Joined:  true,
			Updates: updates,
		}}})
	}
}

func (f *Fleet) newRun(member dfuident.Member, place dfuident.Place) *Node {
	n := &Node{Member: member, Place: place, address: dfuident.Address(member.Node)}
	self := dfumembership.Self{Member: member, Place: place, Peer: n.address, HTTP: n.address}
	cfg := dfuroster.Config{
		Membership:      f.cfg.Membership,
		Limits:          dfurecord.DefaultLimits(),
		CataloguePrefix: "catalogue/",
		ClaimsPrefix:    "claims/",
		Exchanged:       []string{"catalogue/", "claims/"},
	}
	n.Keeper = dfuroster.NewKeeper(self, cfg, rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())))
	n.tickAt = f.now.Add(dfuclock.Duration(f.rng.Int64N(int64(f.cfg.Membership.TickPeriod))))
	f.byID[member.Node] = n
	f.views[member.Node] = n.Keeper.View()
	f.push(arrival{at: n.tickAt, node: n})
	return n
}

// seeds returns what the zone pages list but for the node itself: its zone and
// two members of each other zone of its region or, if there are none or all
// pages are read, every other.
func (f *Fleet) seeds(self *Node, all bool) []dfumembership.Seed {
	var seeds []dfumembership.Seed
	foreign := make(map[dfuident.Place]int)
	for _, n := range f.nodes {
		foreign[n.Place]++
		listed := n.Place == self.Place || n.Place.Region == self.Place.Region && foreign[n.Place] <= foreignPerZone
		if n != self && (all || listed) {
			contact := dfumembership.Contact{Member: n.Member, Region: n.Place.Region, Address: n.address}
			seeds = append(seeds, dfumembership.Seed{Contact: contact, Zone: n.Place.Zone})
		}
	}
	if len(seeds) == 0 && !all {
		return f.seeds(self, true)
	}
	return seeds
}

// readPages does what the daemon's page duty does: once the node's page is
// written, its zone's bridge reads them all.
func (f *Fleet) readPages(n *Node) {
	if f.now.Before(n.seedAt) {
		return
	}
	n.seedAt = f.now.Add(pagePeriod)
	if n.Keeper.Membership().IsBridge() && f.storeReachable(n) {
		f.step(n, dfuroster.Seeded{Seeds: f.seeds(n, true)})
	}
}

// Announce tells a node what its target is.
func (f *Fleet) Announce(id dfuident.NodeID, a dfuroster.Announced) {
	f.step(f.byID[id], a)
}

// Freeze pauses a node: it does nothing, and what is sent to it waits.
func (f *Fleet) Freeze(id dfuident.NodeID) {
	f.byID[id].frozen = true
}

// Wake lets a frozen node go on with what has waited.
func (f *Fleet) Wake(id dfuident.NodeID) {
	n := f.byID[id]
	n.frozen = false
	f.push(arrival{at: f.now, node: n})
	for _, e := range n.waiting {
		f.push(arrival{at: f.now, node: n, event: e})
	}
	n.waiting = nil
}

// Kill ends a node.
func (f *Fleet) Kill(id dfuident.NodeID) {
	f.byID[id].dead = true
}

// SetCut cuts or heals the link between two regions.
func (f *Fleet) SetCut(a, b dfuident.Region, cut bool) {
	f.cuts[[2]dfuident.Region{a, b}] = cut
	f.cuts[[2]dfuident.Region{b, a}] = cut
}

// SetPathCut cuts or heals the path between two nodes.
func (f *Fleet) SetPathCut(a, b dfuident.NodeID, cut bool) {
	f.paths[[2]dfuident.NodeID{a, b}] = cut
	f.paths[[2]dfuident.NodeID{b, a}] = cut
}

// Run lets time pass.
func (f *Fleet) Run(d dfuclock.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil lets time pass until a condition holds, and reports whether it
// does. The condition is checked every tick period.
func (f *Fleet) RunUntil(d dfuclock.Duration, holds func() bool) bool {
	end := f.now.Add(d)
	check := f.now
	for {
		if !f.now.Before(check) {
			check = f.now.Add(f.cfg.Membership.TickPeriod)
			if holds() {
				return true
			}
		}
		if len(f.queue) == 0 || end.Before(f.queue[0].at) {
			f.now = end
			return holds()
		}
		a := heap.Pop(&f.queue).(arrival)
		f.now = max(f.now, a.at)
		f.arrive(a)
	}
}

func (f *Fleet) arrive(a arrival) {
	n := a.node
	if n.dead {
		return
	}
	if a.event == nil {
		f.tick(n)
		return
	}
	if n.frozen {
		n.waiting = append(n.waiting, a.event)
		return
	}
	f.step(n, a.event)
}

func (f *Fleet) tick(n *Node) {
	if n.frozen || f.now.Before(n.tickAt) {
		return
	}
	f.step(n, dfuroster.Tick{})
	f.watchStore(n)
	f.readPages(n)
	n.tickAt = f.now.Add(f.cfg.Membership.TickPeriod)
	f.push(arrival{at: n.tickAt, node: n})
}

func (f *Fleet) step(n *Node, event dfuroster.Event) {
	for _, action := range n.Keeper.Step(f.now, event) {
		switch a := action.(type) {
		case dfuroster.Send:
			f.send(n, a)
		case dfuroster.Publish:
			if f.OnPublish != nil {
				f.OnPublish(n, f.views[n.Member.Node], a.View)
			}
			f.views[n.Member.Node] = a.View
		case dfuroster.ReadStore:
			f.list(n)
		case dfuroster.RegionJudged, dfuroster.Superseded:
		}
	}
}

// send puts a packet on its way. An answer rides on its call's reply, so it
// costs no packet header of its own, but it is lost with the link all the same.
func (f *Fleet) send(from *Node, s dfuroster.Send) {
	to := f.byID[dfuident.NodeID(s.To)]
	if to == nil {
		return
	}
	f.count(from, to, s)
	cut := f.cuts[[2]dfuident.Region{from.Place.Region, to.Place.Region}] ||
		f.paths[[2]dfuident.NodeID{from.Member.Node, to.Member.Node}]
	if cut || f.rng.IntN(1000) < f.cfg.LossPerMille {
		return
	}
	f.push(arrival{at: f.now.Add(f.delay(from.Place, to.Place)), node: to, event: dfuroster.Received{Packet: s.Packet}})
}

func (f *Fleet) count(from, to *Node, s dfuroster.Send) {
	size := 0
	if f.cfg.CountBytes {
		size = f.sizer.size(s.Packet) + overhead(s.Answer)
	}
	from.Sent.Packets++
	from.Sent.Bytes += size
	if from.Place.Region != to.Place.Region {
		from.Sent.LinkPackets++
		from.Sent.LinkBytes += size
	}
}

func (f *Fleet) delay(a, b dfuident.Place) dfuclock.Duration {
	if a.Region != b.Region {
		return f.cfg.RegionDelay
	}
	return f.cfg.ZoneDelay
}

func (f *Fleet) push(a arrival) {
	f.order++
	a.order = f.order
	heap.Push(&f.queue, a)
}

// arrival is an event for a node at a time. A nil event is a tick.
type arrival struct {
	at    dfuclock.Time
	order uint64
	node  *Node
	event dfuroster.Event
}

type arrivals []arrival

// Len returns the number of arrivals.
func (q arrivals) Len() int { return len(q) }

// Less orders arrivals by time and then by the order they were sent in.
func (q arrivals) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

// Swap exchanges two arrivals.
func (q arrivals) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an arrival.
func (q *arrivals) Push(x any) { *q = append(*q, x.(arrival)) }

// Pop removes the last arrival.
func (q *arrivals) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = arrival{}
	*q = (*q)[:last]
	return a
}

// String names the run for a transcript.
func (n *Node) String() string {
	return fmt.Sprint(n.Member)
}
