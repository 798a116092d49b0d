package dfuroster

import (
	"math/rand/v2"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroute"
)

// watchersPerZone is the number of nodes that watch the store in a zone.
const watchersPerZone = 2

// Config says where records are and how the two machines are set.
type Config struct {
	Membership dfumembership.Config
	Limits     dfurecord.Limits
	// CataloguePrefix and ClaimsPrefix precede a service in the keys of its
	// entry and of its claims.
	CataloguePrefix string
	ClaimsPrefix    string
	// RoutesKey is the key of the table of routes.
	RoutesKey string
	// Exchanged are the prefixes of the keys that every node holds a copy of.
	Exchanged []string
}

// Keeper keeps the view of one node: it steps the membership and the exchange
// of records, and derives the view from both. It belongs to one goroutine.
type Keeper struct {
	cfg        Config
	membership *dfumembership.Machine
	exchange   *dfurecord.Exchange
	view       *View
	// updates is what membership last said of each node in the view.
	updates map[dfuident.NodeID]dfumembership.Update
	// holders is the newest run at each peer address. A VM's address may be
	// given to another one before the node that had it is found dead.
	holders     map[dfuident.Address]dfuident.Member
	unreachable map[dfuident.Region]bool
	change      Change
	// peersStale says that the exchange's peers may have changed.
	peersStale bool
	now        dfuclock.Time
	actions    []Action
}

// NewKeeper returns the keeper of a node that knows only itself.
func NewKeeper(self dfumembership.Self, cfg Config, rng *rand.Rand) *Keeper {
	k := &Keeper{
		cfg:         cfg,
		membership:  dfumembership.New(self, cfg.Membership, rng),
		view:        New(),
		updates:     make(map[dfuident.NodeID]dfumembership.Update),
		holders:     make(map[dfuident.Address]dfuident.Member),
		unreachable: make(map[dfuident.Region]bool),
		peersStale:  true,
	}
	k.exchange = dfurecord.NewExchange(
		dfurecord.Peer{Node: self.Member.Node, Region: self.Place.Region, Address: self.Peer},
		dfurecord.New(cfg.Limits, k.checkValue),
		dfurecord.DefaultExchangeConfig(cfg.Exchanged...), rng,
	)
	k.takeUpdate(k.membership.Self())
	k.view = k.view.Apply(k.change)
	k.change = Change{}
	return k
}

// Step takes one event and returns what is to be done about it.
func (k *Keeper) Step(now dfuclock.Time, event Event) []Action {
	k.now = now
	k.actions = nil
	switch e := event.(type) {
	case Tick:
		k.tick()
	case Received:
		k.receive(e.Packet)
	case Announced:
		k.stepMembership(dfumembership.Announced{Target: e.Target, Left: e.Left}, false)
	case Seeded:
		k.stepMembership(dfumembership.Seeded{Seeds: e.Seeds}, false)
	case StoreAnswered:
		k.stepExchange(e.Answer, nil)
	}
	if !k.change.IsEmpty() {
		k.view = k.view.Apply(k.change)
		k.change = Change{}
		k.do(Publish{View: k.view})
	}
	return k.actions
}

// View returns the newest view.
func (k *Keeper) View() *View {
	return k.view
}

// Membership returns the membership, which is altered only by Step.
func (k *Keeper) Membership() *dfumembership.Machine {
	return k.membership
}

// Exchange returns the exchange of records, which is altered only by Step.
func (k *Keeper) Exchange() *dfurecord.Exchange {
	return k.exchange
}

func (k *Keeper) tick() {
	k.stepMembership(dfumembership.Tick{}, false)
	if k.peersStale {
		k.changePeers()
	}
	k.stepExchange(dfurecord.Tick{}, nil)
}

// changePeers tells the exchange whom the membership has it talk to. A node
// takes on the watch only once it knows who else is there.
func (k *Keeper) changePeers() {
	rank, size := k.membership.ZoneRank()
	joined := k.membership.Joined()
	e := dfurecord.PeersChanged{ZoneSize: size, Watcher: joined && rank < watchersPerZone}
	for _, c := range k.membership.Fingers() {
		e.Fingers = append(e.Fingers, peerOf(c))
	}
	k.peersStale = !joined
	k.stepExchange(e, nil)
}

func (k *Keeper) receive(p Packet) {
	if msg := p.Membership; msg != nil {
		if p.Standing != nil {
			k.stepExchange(dfurecord.Received{Message: dfurecord.Message{
				Kind: dfurecord.Confirm, From: peerOf(msg.From), Standing: *p.Standing,
			}}, nil)
		}
		k.stepMembership(dfumembership.Received{Message: *msg}, true)
	}
	if msg := p.Records; msg != nil {
		k.stepExchange(dfurecord.Received{Message: *msg}, &msg.From)
	}
}

// stepMembership steps the membership, with a message if received is set.
func (k *Keeper) stepMembership(event dfumembership.Event, received bool) {
	for _, action := range k.membership.Step(k.now, event) {
		switch a := action.(type) {
		case dfumembership.Send:
			k.sendMembership(a, received)
		case dfumembership.Changed:
			for _, u := range a.Updates {
				k.takeUpdate(u)
			}
			k.peersStale = true
		case dfumembership.Forgotten:
			for _, id := range a.Nodes {
				k.forget(id)
			}
			k.change.Forgotten = append(k.change.Forgotten, a.Nodes...)
		case dfumembership.RegionChanged:
			k.changeRegion(a.Status)
		case dfumembership.Superseded:
			k.do(Superseded{By: a.By})
		}
	}
}

func (k *Keeper) forget(id dfuident.NodeID) {
	if u, ok := k.updates[id]; ok && k.holders[u.Details.Peer].Node == id {
		delete(k.holders, u.Details.Peer)
	}
	delete(k.updates, id)
}

func (k *Keeper) sendMembership(a dfumembership.Send, received bool) {
	kind := a.Message.Kind
	p := Packet{Membership: &a.Message}
	if kind == dfumembership.Ping || kind == dfumembership.Ack {
		standing := k.exchange.Standing(k.now)
		p.Standing = &standing
	}
	answers := kind == dfumembership.SyncReply || (kind == dfumembership.Ack && a.Message.Subject == nil)
	k.do(Send{To: a.To.Address, Packet: p, Answer: received && answers})
}

// stepExchange steps the exchange, with a message from a peer if from is set.
// Its first message back to that peer is the answer.
func (k *Keeper) stepExchange(event dfurecord.Event, from *dfurecord.Peer) {
	for _, action := range k.exchange.Step(k.now, event) {
		switch a := action.(type) {
		case dfurecord.Send:
			answer := from != nil && a.To == *from
			if answer {
				from = nil
			}
			k.do(Send{To: a.To.Address, Packet: Packet{Records: &a.Message}, Answer: answer})
		case dfurecord.Changed:
			for _, key := range a.Keys {
				k.takeRecord(key)
			}
		case dfurecord.Read:
			k.do(ReadStore{})
		}
	}
}

// takeUpdate brings a member's state into the next view.
func (k *Keeper) takeUpdate(u dfumembership.Update) {
	k.updates[u.Member.Node] = u
	replaced := k.hold(u)
	n := Node{
		Member:  u.Member,
		Place:   u.Details.Place,
		Peer:    u.Details.Peer,
		HTTP:    u.Details.HTTP,
		Service: u.Details.Target.Service,
		Slots:   u.Details.Target.Slots,
		ColdFor: u.Details.Target.ColdFor,
		State:   k.stateOf(u),
	}
	old, known := k.view.Node(n.Member.Node)
	if known && old.Member == n.Member && old.Service == n.Service {
		n.ServingSince = old.ServingSince
	} else if n.Service != "" {
		n.ServingSince = k.now
	}
	if !known || old != n {
		k.change.Nodes = append(k.change.Nodes, n)
	}
	if old, ok := k.updates[replaced]; ok {
		k.takeUpdate(old)
	}
}

// hold notes which run has a peer address, and returns the node that lost it.
func (k *Keeper) hold(u dfumembership.Update) dfuident.NodeID {
	address := u.Details.Peer
	holder, ok := k.holders[address]
	switch {
	case address == "", ok && holder.Incarnation >= u.Member.Incarnation:
		return ""
	}
	k.holders[address] = u.Member
	if holder.Node == u.Member.Node {
		return ""
	}
	return holder.Node
}

// isReplaced reports whether a later run of another node has the address.
func (k *Keeper) isReplaced(u dfumembership.Update) bool {
	holder := k.holders[u.Details.Peer]
	return holder.Node != "" && holder.Node != u.Member.Node && holder.Incarnation > u.Member.Incarnation
}

// stateOf derives the state that deciders see. An operator drains a target by
// listing its node in the service's entry.
func (k *Keeper) stateOf(u dfumembership.Update) State {
	switch {
	case u.State == dfumembership.Left:
		return Left
	case u.State == dfumembership.Dead, k.isReplaced(u):
		return Dead
	case k.unreachable[u.Details.Place.Region]:
		return Unreachable
	case u.Details.Target.Draining || k.drained(u):
		return Draining
	case u.State == dfumembership.Suspect:
		return Suspect
	default:
		return Alive
	}
}

func (k *Keeper) drained(u dfumembership.Update) bool {
	e, ok := k.entry(u.Details.Target.Service)
	return ok && slices.Contains(e.Drain, u.Member.Node)
}

// entry returns the entry that the next view will hold.
func (k *Keeper) entry(s dfuident.Service) (dfucatalogue.Entry, bool) {
	if e, ok := k.change.Entries[s]; ok {
		if e == nil {
			return dfucatalogue.Entry{}, false
		}
		return e.Entry, true
	}
	e, _, ok := k.view.Entry(s)
	return e, ok
}

func (k *Keeper) changeRegion(status dfumembership.RegionStatus) {
	k.unreachable[status.Observed] = status.Unreachable
	k.do(RegionJudged{Status: status})
	for _, n := range k.view.Nodes() {
		if u, ok := k.updates[n.Member.Node]; ok && n.Place.Region == status.Observed {
			k.takeUpdate(u)
		}
	}
}

// takeRecord brings the record in force under a key into the next view.
func (k *Keeper) takeRecord(key string) {
	if s, ok := strings.CutPrefix(key, k.cfg.CataloguePrefix); ok {
		k.takeEntry(dfuident.Service(s), key)
	} else if s, ok := strings.CutPrefix(key, k.cfg.ClaimsPrefix); ok {
		k.takeClaims(dfuident.Service(s), key)
	} else if key == k.cfg.RoutesKey {
		k.takeRoutes(key)
	}
}

// takeRoutes puts the newest valid table of routes in force. A table that was
// deleted stays in force, since operators only ever replace it.
func (k *Keeper) takeRoutes(key string) {
	r, ok := k.exchange.Set().Get(key)
	if !ok {
		return
	}
	if table, err := dfuroute.Parse(r.Value); err == nil {
		k.change.Routes = table
	}
}

func (k *Keeper) takeEntry(s dfuident.Service, key string) {
	var entry *Entry
	if r, ok := k.exchange.Set().Get(key); ok {
		stored, err := dfucatalogue.DecodeStored(r.Value)
		if err == nil && !stored.Deleted {
			entry = &Entry{Entry: stored.Entry, Revision: r.Revision}
		}
	}
	if k.change.Entries == nil {
		k.change.Entries = make(map[dfuident.Service]*Entry)
	}
	k.change.Entries[s] = entry
	for _, n := range k.view.Service(s) {
		if u, ok := k.updates[n.Member.Node]; ok {
			k.takeUpdate(u)
		}
	}
}

func (k *Keeper) takeClaims(s dfuident.Service, key string) {
	var claims *Claims
	if r, ok := k.exchange.Set().Get(key); ok {
		claims = &Claims{Value: r.Value, Revision: r.Revision}
	}
	if k.change.Claims == nil {
		k.change.Claims = make(map[dfuident.Service]*Claims)
	}
	k.change.Claims[s] = claims
}

// checkValue keeps invalid entries and routes from coming into force.
func (k *Keeper) checkValue(key string, value []byte) error {
	if key == k.cfg.RoutesKey {
		_, err := dfuroute.Parse(value)
		return err
	}
	if !strings.HasPrefix(key, k.cfg.CataloguePrefix) {
		return nil
	}
	_, err := dfucatalogue.DecodeStored(value)
	return err
}

func (k *Keeper) do(a Action) {
	k.actions = append(k.actions, a)
}

func peerOf(c dfumembership.Contact) dfurecord.Peer {
	return dfurecord.Peer{Node: c.Member.Node, Region: c.Region, Address: c.Address}
}
