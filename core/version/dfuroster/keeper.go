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

// Config holds the keys of the records and the settings of the membership and
// the record exchange.
type Config struct {
	Membership dfumembership.Config
	Limits     dfurecord.Limits
	// CataloguePrefix and ClaimsPrefix are the key prefixes of catalogue
	// entries and of claims. The service name follows the prefix.
	CataloguePrefix string
	ClaimsPrefix    string
	// RoutesKey is the key of the route table.
	RoutesKey string
	// EvacuationsPrefix precedes the name of the zone in the keys of evacuations. If it
	// is empty, no zone is ever evacuated.
	EvacuationsPrefix string
	// Exchange holds the prefixes of the keys that every node holds a copy of, and the
	// intervals of their exchange.
	Exchange dfurecord.ExchangeConfig
}

// Keeper maintains the view of one node. It drives the membership and the
// record exchange and derives the view from both. A Keeper is not safe for
// concurrent use.
type Keeper struct {
	cfg        Config
	membership *dfumembership.Machine
	exchange   *dfurecord.Exchange
	view       *View
	// updates holds the latest membership update of each node in the view.
	updates map[dfuident.NodeID]dfumembership.Update
	// addressHolders holds the latest run at each peer address. A VM's address
	// may be reassigned to another VM before the node that had it is declared
	// dead.
	addressHolders map[dfuident.Address]dfuident.Member
	unreachable    map[dfuident.Region]bool
	change         Change
	// peersStale is set if the exchange's peers may have changed.
	peersStale bool
	// parsed is the route table that was parsed last.
	parsed  parsedRoutes
	now     dfuclock.Time
	actions []Action
}

// parsedRoutes is the result of parsing the value of a route table.
type parsedRoutes struct {
	value []byte
	table *dfuroute.Table
	err   error
}

// NewKeeper returns the keeper of a node whose view contains only the node
// itself.
func NewKeeper(self dfumembership.Self, cfg Config, rng *rand.Rand) *Keeper {
	k := &Keeper{
		cfg:            cfg,
		membership:     dfumembership.New(self, cfg.Membership, rng),
		view:           New(),
		updates:        make(map[dfuident.NodeID]dfumembership.Update),
		addressHolders: make(map[dfuident.Address]dfuident.Member),
		unreachable:    make(map[dfuident.Region]bool),
		peersStale:     true,
	}
	k.exchange = dfurecord.NewExchange(
		dfurecord.Peer{Node: self.Member.Node, Region: self.Place.Region, Address: self.Peer},
		dfurecord.New(cfg.Limits, k.checkValue, k.versionOf), cfg.Exchange, rng,
	)
	k.applyUpdate(k.membership.Self())
	k.view = k.view.Apply(k.change)
	k.change = Change{}
	return k
}

// Step processes one event and returns the resulting actions.
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
	case SeedsListed:
		k.stepMembership(dfumembership.SeedsListed{Seeds: e.Seeds}, false)
	case StoreChecked:
		k.stepMembership(dfumembership.StoreChecked{Lost: e.Lost}, false)
		k.peersStale = true
	case StoreResponse:
		k.stepExchange(e.Answer, nil)
	}
	k.change.Synced = k.cfg.EvacuationsPrefix != "" && !k.view.Synced() && k.exchange.Synced()
	if !k.change.IsEmpty() {
		k.view = k.view.Apply(k.change)
		k.change = Change{}
		k.emit(Publish{View: k.view})
	}
	return k.actions
}

// View returns the latest view.
func (k *Keeper) View() *View {
	return k.view
}

// Membership returns the membership. Only Step changes it.
func (k *Keeper) Membership() *dfumembership.Machine {
	return k.membership
}

// Exchange returns the record exchange. Only Step changes it.
func (k *Keeper) Exchange() *dfurecord.Exchange {
	return k.exchange
}

func (k *Keeper) tick() {
	k.stepMembership(dfumembership.Tick{}, false)
	if k.peersStale {
		k.updatePeers()
	}
	k.stepExchange(dfurecord.Tick{}, nil)
}

// updatePeers passes the membership's current peers to the exchange.
func (k *Keeper) updatePeers() {
	rank, size := k.membership.WatchRank()
	joined := k.membership.Joined()
	e := dfurecord.PeersChanged{ZoneSize: size, Watcher: k.membership.RankSettled() && rank < dfumembership.WatchersPerZone}
	for _, c := range k.membership.GossipPeers() {
		e.GossipPeers = append(e.GossipPeers, peerOf(c))
	}
	for _, contacts := range k.membership.RemoteContacts() {
		var peers []dfurecord.Peer
		for _, c := range contacts {
			peers = append(peers, peerOf(c))
		}
		e.RemotePeers = append(e.RemotePeers, peers)
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

// stepMembership passes an event to the membership and processes its actions.
// received is set if the event is a received message.
func (k *Keeper) stepMembership(event dfumembership.Event, received bool) {
	for _, action := range k.membership.Step(k.now, event) {
		switch a := action.(type) {
		case dfumembership.Send:
			k.sendMembership(a, received)
		case dfumembership.Changed:
			for _, u := range a.Updates {
				k.applyUpdate(u)
			}
			k.peersStale = true
		case dfumembership.Forgotten:
			for _, id := range a.Nodes {
				k.removeMember(id)
			}
			k.change.Forgotten = append(k.change.Forgotten, a.Nodes...)
		case dfumembership.RegionChanged:
			k.updateRegion(a.Status)
		case dfumembership.RanksChanged:
			k.peersStale = true
		case dfumembership.Superseded:
			k.emit(Superseded{By: a.By})
		}
	}
}

func (k *Keeper) removeMember(id dfuident.NodeID) {
	if u, ok := k.updates[id]; ok && k.addressHolders[u.Details.Peer].Node == id {
		delete(k.addressHolders, u.Details.Peer)
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
	isAnswer := kind == dfumembership.SyncReply || (kind == dfumembership.Ack && a.Message.Subject == nil)
	k.emit(Send{To: a.To.Address, Packet: p, Answer: received && isAnswer})
}

// stepExchange passes an event to the exchange and processes its actions. from
// is the sender if the event is a received message, otherwise nil. The first
// message back to the sender is marked as the answer.
func (k *Keeper) stepExchange(event dfurecord.Event, from *dfurecord.Peer) {
	for _, action := range k.exchange.Step(k.now, event) {
		switch a := action.(type) {
		case dfurecord.Send:
			answer := from != nil && a.To == *from
			if answer {
				from = nil
			}
			k.emit(Send{To: a.To.Address, Packet: Packet{Records: &a.Message}, Answer: answer})
		case dfurecord.Changed:
			for _, key := range a.Keys {
				k.applyRecord(key)
			}
		case dfurecord.Read:
			k.emit(ReadStore{})
		case dfurecord.StoreRestored:
			k.emit(StoreRestored{Revision: a.Revision})
		}
	}
}

// applyUpdate adds the state of a member to the next view.
func (k *Keeper) applyUpdate(u dfumembership.Update) {
	k.updates[u.Member.Node] = u
	replaced := k.assignAddress(u)
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
	old, exists := k.view.Node(n.Member.Node)
	becameCold := old.ColdFor == 0 && n.ColdFor > 0
	if exists && old.Member == n.Member && old.Service == n.Service && !becameCold {
		n.ServingSince = old.ServingSince
	} else if n.Service != "" {
		n.ServingSince = k.now
	}
	if !exists || old != n {
		k.change.Nodes = append(k.change.Nodes, n)
	}
	if old, ok := k.updates[replaced]; ok {
		k.applyUpdate(old)
	}
}

// assignAddress records the run that uses a peer address. It returns the node
// that used the address before, or "" if there is none.
func (k *Keeper) assignAddress(u dfumembership.Update) dfuident.NodeID {
	address := u.Details.Peer
	holder, ok := k.addressHolders[address]
	switch {
	case address == "", ok && holder.Incarnation >= u.Member.Incarnation:
		return ""
	}
	k.addressHolders[address] = u.Member
	if holder.Node == u.Member.Node {
		return ""
	}
	return holder.Node
}

// addressReused reports whether a later run of another node uses the address.
func (k *Keeper) addressReused(u dfumembership.Update) bool {
	holder := k.addressHolders[u.Details.Peer]
	return holder.Node != "" && holder.Node != u.Member.Node && holder.Incarnation > u.Member.Incarnation
}

// stateOf returns the state for the view. Operators drain a target by listing
// its node in the service's catalogue entry.
func (k *Keeper) stateOf(u dfumembership.Update) State {
	switch {
	case u.State == dfumembership.Left:
		return Left
	case u.State == dfumembership.Dead, k.addressReused(u):
		return Dead
	case k.unreachable[u.Details.Place.Region]:
		return Unreachable
	case u.Details.Target.Draining || k.drainedByOperator(u):
		return Draining
	case u.State == dfumembership.Suspect:
		return Suspect
	default:
		return Alive
	}
}

func (k *Keeper) drainedByOperator(u dfumembership.Update) bool {
	e, ok := k.entry(u.Details.Target.Service)
	return ok && slices.Contains(e.Drain, u.Member.Node)
}

// entry returns the catalogue entry of a service in the next view.
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

func (k *Keeper) updateRegion(status dfumembership.RegionStatus) {
	k.unreachable[status.Observed] = status.Unreachable
	k.emit(RegionStatusChanged{Status: status})
	for _, n := range k.view.Nodes() {
		if u, ok := k.updates[n.Member.Node]; ok && n.Place.Region == status.Observed {
			k.applyUpdate(u)
		}
	}
}

// applyRecord adds the record in force under a key to the next view.
func (k *Keeper) applyRecord(key string) {
	if s, ok := strings.CutPrefix(key, k.cfg.CataloguePrefix); ok {
		k.applyEntry(dfuident.Service(s), key)
	} else if s, ok := strings.CutPrefix(key, k.cfg.ClaimsPrefix); ok {
		k.applyClaims(dfuident.Service(s), key)
	} else if key == k.cfg.RoutesKey {
		k.applyRoutes(key)
	} else if zone, ok := strings.CutPrefix(key, k.cfg.EvacuationsPrefix); ok && k.cfg.EvacuationsPrefix != "" {
		k.applyEvacuation(dfuident.Zone(zone), key)
	}
}

// applyEvacuation adds the evacuation of a zone, or its end, to the next view. The value of
// the record has no meaning.
func (k *Keeper) applyEvacuation(zone dfuident.Zone, key string) {
	_, active := k.exchange.Set().Get(key)
	if k.view.IsEvacuated(zone) == active {
		return
	}
	if k.change.Evacuations == nil {
		k.change.Evacuations = make(map[dfuident.Zone]*Evacuation)
	}
	k.change.Evacuations[zone] = &Evacuation{Active: active, Since: k.now}
}

// applyRoutes adds the latest readable route table to the next view. A deleted
// table stays in force, since operators only ever replace it.
func (k *Keeper) applyRoutes(key string) {
	r, ok := k.exchange.Set().Get(key)
	if !ok {
		return
	}
	if current := k.view.Routes(); current != nil && current.Revision == r.Revision {
		return
	}
	if parsed, err := k.parseRoutes(r.Value); err == nil {
		table := *parsed
		table.Revision, table.InForceSince = r.Revision, k.now
		k.change.Routes = &table
	}
}

func (k *Keeper) applyEntry(s dfuident.Service, key string) {
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
			k.applyUpdate(u)
		}
	}
}

func (k *Keeper) applyClaims(s dfuident.Service, key string) {
	var claims *Claims
	if r, ok := k.exchange.Set().Get(key); ok {
		claims = &Claims{Value: r.Value, Revision: r.Revision}
	}
	if k.change.Claims == nil {
		k.change.Claims = make(map[dfuident.Service]*Claims)
	}
	k.change.Claims[s] = claims
}

// checkValue rejects invalid catalogue entries and route tables, so that they
// do not come into force.
func (k *Keeper) checkValue(key string, value []byte) error {
	if key == k.cfg.RoutesKey {
		_, err := k.parseRoutes(value)
		return err
	}
	if !strings.HasPrefix(key, k.cfg.CataloguePrefix) {
		return nil
	}
	_, err := dfucatalogue.DecodeStored(value)
	return err
}

// versionOf returns the version of a route table, and zero for any other key.
func (k *Keeper) versionOf(key string, value []byte) dfurecord.Version {
	if key != k.cfg.RoutesKey {
		return 0
	}
	table, err := k.parseRoutes(value)
	if err != nil {
		return 0
	}
	return dfurecord.Version(table.Version)
}

// parseRoutes parses a route table. It keeps the result, since a value is checked before it
// comes into force.
func (k *Keeper) parseRoutes(value []byte) (*dfuroute.Table, error) {
	if p := &k.parsed; p.value == nil || !isSameSlice(p.value, value) {
		p.value = value
		p.table, p.err = dfuroute.ParseReadable(value)
	}
	return k.parsed.table, k.parsed.err
}

func isSameSlice(a, b []byte) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

func (k *Keeper) emit(a Action) {
	k.actions = append(k.actions, a)
}

func peerOf(c dfumembership.Contact) dfurecord.Peer {
	return dfurecord.Peer{Node: c.Member.Node, Region: c.Region, Address: c.Address}
}
