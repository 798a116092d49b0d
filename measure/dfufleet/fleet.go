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

// Config configures a fleet. Delays are one-way.
type Config struct {
	Seed        uint64
	ZoneDelay   dfuclock.Duration
	RegionDelay dfuclock.Duration
	// LossPerMille is the number of packets lost per thousand.
	LossPerMille int
	Membership   dfumembership.Config
	// CountBytes makes the fleet encode each packet to count its bytes.
	CountBytes bool
	// RoutesKey is the key of the route table; empty if there is none.
	RoutesKey string
	// EvacuationsPrefix precedes the zones in the keys of evacuations; empty if there are
	// none.
	EvacuationsPrefix string
	// LinkRate is the bandwidth of each node's link in bytes per millisecond, and
	// CallTimeout the time after which a node no longer accepts the answer to a packet.
	// Packets take no time and no answer is too late if LinkRate is zero. Otherwise
	// CountBytes must be set.
	LinkRate    int
	CallTimeout dfuclock.Duration
}

// DefaultConfig returns a configuration with the network delays in the users'
// documentation.
func DefaultConfig() Config {
	return Config{
		Seed:        1,
		ZoneDelay:   1 * dfuclock.Millisecond,
		RegionDelay: 8 * dfuclock.Millisecond,
		Membership:  dfumembership.DefaultConfig(),
	}
}

// Node is one incarnation of a node. Only the fleet modifies its fields.
type Node struct {
	Member dfuident.Member
	Place  dfuident.Place
	Keeper *dfuroster.Keeper
	// Sent counts the packets that the node sent.
	Sent Traffic

	address      dfuident.Address
	nextTick     dfuclock.Time
	nextPageRead dfuclock.Time
	paused       bool
	dead         bool
	// heldEvents holds the events that arrived while the node was paused.
	heldEvents []dfuroster.Event
	watch      watchState
	// outboundFree and inboundFree are when the node's link has transferred all
	// earlier packets.
	outboundFree dfuclock.Time
	inboundFree  dfuclock.Time
}

// Traffic counts packets and bytes. The Link fields are the part sent to another
// region.
type Traffic struct {
	Packets     int
	Bytes       int
	LinkPackets int
	LinkBytes   int
}

// Fleet is a set of nodes and a store on one virtual clock.
type Fleet struct {
	cfg       Config
	rng       *rand.Rand
	now       dfuclock.Time
	queue     eventQueue
	sequence  uint64
	nodes     []*Node
	byID      map[dfuident.NodeID]*Node
	linksDown map[[2]dfuident.Region]bool
	pathsDown map[[2]dfuident.NodeID]bool
	store     store
	sizer     *sizer
	// callSentAt is that of the event that is being delivered.
	callSentAt dfuclock.Time

	// OnPublish, if not nil, is called with every view that a node publishes and
	// the view before.
	OnPublish func(n *Node, old, view *dfuroster.View)
	views     map[dfuident.NodeID]*dfuroster.View
}

// New returns a fleet without nodes at time zero.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		byID:      make(map[dfuident.NodeID]*Node),
		linksDown: make(map[[2]dfuident.Region]bool),
		pathsDown: make(map[[2]dfuident.NodeID]bool),
		store:     newStore(),
		sizer:     newSizer(),
		views:     make(map[dfuident.NodeID]*dfuroster.View),
	}
}

// Now returns the virtual time.
func (f *Fleet) Now() dfuclock.Time {
	return f.now
}

// Nodes returns the latest incarnation of each node, in the order the nodes were added.
func (f *Fleet) Nodes() []*Node {
	return f.nodes
}

// Node returns the latest incarnation of a node, or nil.
func (f *Fleet) Node(id dfuident.NodeID) *Node {
	return f.byID[id]
}

// Add starts a node. If the node exists, it is replaced by a new incarnation.
func (f *Fleet) Add(id dfuident.NodeID, place dfuident.Place, target dfumembership.Target) *Node {
	member := dfuident.Member{Node: id, Incarnation: 1}
	old := f.byID[id]
	if old != nil {
		member.Incarnation = old.Member.Incarnation + 1
		old.dead = true
	}
	n := f.newNode(member, place)
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
	f.step(n, dfuroster.SeedsListed{Seeds: f.seeds(n, false)})
	n.nextPageRead = f.now.Add(dfuclock.Duration(f.rng.Int64N(int64(pageWriteWindow))))
	return n
}

// pageWriteWindow is the time over which new nodes write their zone's page.
const pageWriteWindow = 2 * dfuclock.Second

// seedsPerZone is the number of members of each other zone that a page lists.
const seedsPerZone = 2

// pageReadInterval is the time between two reads of the pages by a bridge.
const pageReadInterval = 30 * dfuclock.Second

// CompleteMembership gives every node the complete membership at once, as gossip would
// after a long time.
func (f *Fleet) CompleteMembership() {
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

func (f *Fleet) newNode(member dfuident.Member, place dfuident.Place) *Node {
	n := &Node{Member: member, Place: place, address: dfuident.Address(member.Node)}
	self := dfumembership.Self{Member: member, Place: place, Peer: n.address, HTTP: n.address}
	cfg := dfuroster.Config{
		Membership:      f.cfg.Membership,
		Limits:          dfurecord.DefaultLimits(),
		CataloguePrefix: "catalogue/",
		ClaimsPrefix:    "claims/",
		RoutesKey:       f.cfg.RoutesKey,
		Exchange:        dfurecord.DefaultExchangeConfig(f.prefixes()...),
	}
	cfg.EvacuationsPrefix = f.cfg.EvacuationsPrefix
	n.Keeper = dfuroster.NewKeeper(self, cfg, rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())))
	n.nextTick = f.now.Add(dfuclock.Duration(f.rng.Int64N(int64(f.cfg.Membership.TickPeriod))))
	f.byID[member.Node] = n
	f.views[member.Node] = n.Keeper.View()
	f.schedule(scheduledEvent{at: n.nextTick, node: n})
	return n
}

// seeds returns the members that the zone pages list for a node: all members of its
// zone and two of each other zone of its region. It returns all members if there are
// none or all is set. The node itself is left out.
func (f *Fleet) seeds(self *Node, all bool) []dfumembership.Seed {
	var seeds []dfumembership.Seed
	perPlace := make(map[dfuident.Place]int)
	for _, n := range f.nodes {
		perPlace[n.Place]++
		listed := n.Place == self.Place || n.Place.Region == self.Place.Region && perPlace[n.Place] <= seedsPerZone
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

// readPages mirrors how the daemon reads the zone pages: once its page is written, the
// bridge of a zone reads all pages at pageReadInterval.
func (f *Fleet) readPages(n *Node) {
	if f.now.Before(n.nextPageRead) {
		return
	}
	n.nextPageRead = f.now.Add(pageReadInterval)
	if n.Keeper.Membership().IsBridge() && f.storeReachable(n) {
		f.step(n, dfuroster.SeedsListed{Seeds: f.seeds(n, true)})
	}
}

// Announce announces a node's target to it.
func (f *Fleet) Announce(id dfuident.NodeID, a dfuroster.Announced) {
	f.step(f.byID[id], a)
}

// Pause pauses a node. Events sent to it are held until Resume.
func (f *Fleet) Pause(id dfuident.NodeID) {
	f.byID[id].paused = true
}

// Resume resumes a paused node and delivers the held events.
func (f *Fleet) Resume(id dfuident.NodeID) {
	n := f.byID[id]
	n.paused = false
	f.schedule(scheduledEvent{at: f.now, node: n})
	for _, e := range n.heldEvents {
		f.schedule(scheduledEvent{at: f.now, node: n, event: e})
	}
	n.heldEvents = nil
}

// Kill stops a node without notice to others.
func (f *Fleet) Kill(id dfuident.NodeID) {
	f.byID[id].dead = true
}

// SetLinkDown breaks or restores the link between two regions.
func (f *Fleet) SetLinkDown(a, b dfuident.Region, down bool) {
	f.linksDown[[2]dfuident.Region{a, b}] = down
	f.linksDown[[2]dfuident.Region{b, a}] = down
}

// SetPathDown breaks or restores the path between two nodes.
func (f *Fleet) SetPathDown(a, b dfuident.NodeID, down bool) {
	f.pathsDown[[2]dfuident.NodeID{a, b}] = down
	f.pathsDown[[2]dfuident.NodeID{b, a}] = down
}

// Run advances the virtual clock.
func (f *Fleet) Run(d dfuclock.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil advances the virtual clock by d or until a condition holds, and reports
// whether it holds. The condition is checked every tick period.
func (f *Fleet) RunUntil(d dfuclock.Duration, condition func() bool) bool {
	end := f.now.Add(d)
	nextCheck := f.now
	for {
		if !f.now.Before(nextCheck) {
			nextCheck = f.now.Add(f.cfg.Membership.TickPeriod)
			if condition() {
				return true
			}
		}
		if len(f.queue) == 0 || end.Before(f.queue[0].at) {
			f.now = end
			return condition()
		}
		a := heap.Pop(&f.queue).(scheduledEvent)
		f.now = max(f.now, a.at)
		f.deliver(a)
	}
}

func (f *Fleet) deliver(a scheduledEvent) {
	n := a.node
	if n.dead {
		return
	}
	if a.event == nil {
		f.tick(n)
		return
	}
	f.callSentAt = a.callSentAt
	if n.paused {
		n.heldEvents = append(n.heldEvents, a.event)
		return
	}
	f.step(n, a.event)
}

func (f *Fleet) tick(n *Node) {
	if n.paused || f.now.Before(n.nextTick) {
		return
	}
	f.callSentAt = f.now
	f.step(n, dfuroster.Tick{})
	f.watchStore(n)
	f.readPages(n)
	n.nextTick = f.now.Add(f.cfg.Membership.TickPeriod)
	f.schedule(scheduledEvent{at: n.nextTick, node: n})
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
			f.listStore(n)
		case dfuroster.RegionStatusChanged, dfuroster.StoreRestored, dfuroster.Superseded:
		}
	}
}

// send delivers a packet after the network delay, unless it is lost. An answer is part
// of the reply to a call, so it has no packet header of its own, but it is lost with
// the link like any packet.
func (f *Fleet) send(from *Node, s dfuroster.Send) {
	to := f.byID[dfuident.NodeID(s.To)]
	if to == nil {
		return
	}
	size := f.countTraffic(from, to, s)
	down := f.linksDown[[2]dfuident.Region{from.Place.Region, to.Place.Region}] ||
		f.pathsDown[[2]dfuident.NodeID{from.Member.Node, to.Member.Node}]
	if down || f.rng.IntN(1000) < f.cfg.LossPerMille {
		return
	}
	at := f.transferEnd(f.now, &from.outboundFree, size).Add(f.delay(from.Place, to.Place))
	at = f.transferEnd(at, &to.inboundFree, size)
	event := scheduledEvent{at: at, node: to, event: dfuroster.Received{Packet: s.Packet}, callSentAt: f.now}
	if s.Answer {
		event.callSentAt = f.callSentAt
	}
	if s.Answer && f.cfg.LinkRate > 0 && at.Sub(f.callSentAt) > f.cfg.CallTimeout {
		return
	}
	f.schedule(event)
}

// transferEnd returns when a link has transferred a packet that is ready at a time,
// after all earlier ones, and updates the time at which the link is free.
func (f *Fleet) transferEnd(ready dfuclock.Time, free *dfuclock.Time, size int) dfuclock.Time {
	if f.cfg.LinkRate == 0 {
		return ready
	}
	*free = max(*free, ready).Add(dfuclock.Duration(size / f.cfg.LinkRate))
	return *free
}

// countTraffic counts a packet and returns its size, or zero if bytes aren't counted.
func (f *Fleet) countTraffic(from, to *Node, s dfuroster.Send) int {
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
	return size
}

func (f *Fleet) delay(a, b dfuident.Place) dfuclock.Duration {
	if a.Region != b.Region {
		return f.cfg.RegionDelay
	}
	return f.cfg.ZoneDelay
}

func (f *Fleet) schedule(a scheduledEvent) {
	f.sequence++
	a.sequence = f.sequence
	heap.Push(&f.queue, a)
}

// scheduledEvent is an event for a node at a time. A nil event is a tick.
type scheduledEvent struct {
	at       dfuclock.Time
	sequence uint64
	node     *Node
	event    dfuroster.Event
	// callSentAt is when the call was sent to which the event may bring an answer.
	callSentAt dfuclock.Time
}

type eventQueue []scheduledEvent

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time, then by the order in which they were scheduled.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = scheduledEvent{}
	*q = (*q)[:last]
	return a
}

// String returns the member name for transcripts.
func (n *Node) String() string {
	return fmt.Sprint(n.Member)
}
