package dfucontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"

	"go.uber.org/zap"
)

// owner is the goroutine that owns the machines.
type owner struct {
	duty       *Duty
	membership *dfumembership.Machine
	exchange   *dfurecord.Exchange
	view       *dfuroster.View
	// updates is what membership last said of each node in the view.
	updates     map[dfuident.NodeID]dfumembership.Update
	unreachable map[dfuident.Region]bool
	change      dfuroster.Change
	// peersStale says that the exchange's peers may have changed.
	peersStale bool
	// statusAt is when the status is next made, unless it is stale before.
	statusAt    dfuclock.Time
	statusStale bool
}

const (
	// statusPeriod is the time between two statuses while nothing changes.
	statusPeriod = dfuclock.Second
	// watchersPerZone is the number of nodes that watch the store in a zone.
	watchersPerZone = 2
)

func newOwner(d *Duty, member dfuident.Member) *owner {
	self := dfumembership.Self{
		Member: member, Place: d.cfg.Place, Peer: d.cfg.Peer, HTTP: d.cfg.HTTP,
	}
	rng := rand.New(rand.NewPCG(uint64(d.jitter(1<<50)), uint64(member.Incarnation)))
	o := &owner{
		duty:       d,
		membership: dfumembership.New(self, d.cfg.Membership, rng),
		exchange: dfurecord.NewExchange(
			dfurecord.Peer{Node: member.Node, Region: d.cfg.Place.Region, Address: d.cfg.Peer},
			dfurecord.New(dfurecord.DefaultLimits(), checkValue),
			dfurecord.DefaultExchangeConfig(prefixes()...), rng,
		),
		view:        d.View(),
		updates:     make(map[dfuident.NodeID]dfumembership.Update),
		unreachable: make(map[dfuident.Region]bool),
		peersStale:  true,
	}
	o.takeUpdate(o.membership.Self())
	o.publish()
	return o
}

// run steps the machines until ctx ends.
func (o *owner) run(ctx context.Context) error {
	ticker := time.NewTicker(o.duty.cfg.Membership.TickPeriod.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			o.tick()
		case <-o.duty.announced:
			o.announce()
		case in := <-o.duty.inbox.Items():
			o.handle(in)
		}
		o.publish()
	}
}

func (o *owner) tick() {
	o.stepMembership(dfumembership.Tick{}, nil)
	if o.peersStale {
		o.changePeers()
	}
	o.stepExchange(dfurecord.Tick{}, nil)
}

// changePeers tells the exchange whom the membership has it talk to. A node
// takes on the watch only once it knows who else is there.
func (o *owner) changePeers() {
	rank, size := o.membership.ZoneRank()
	e := dfurecord.PeersChanged{
		ZoneSize: size,
		Watcher:  rank < watchersPerZone && o.membership.Joined(),
	}
	for _, c := range o.membership.Fingers() {
		e.Fingers = append(e.Fingers, peerOf(c))
	}
	o.peersStale = !o.membership.Joined()
	o.stepExchange(e, nil)
	o.duty.watcher.Store(e.Watcher)
}

func peerOf(c dfumembership.Contact) dfurecord.Peer {
	return dfurecord.Peer{Node: c.Member.Node, Region: c.Region, Address: c.Address}
}

func (o *owner) seed(contacts []dfumembership.Contact) {
	o.stepMembership(dfumembership.Seeded{Contacts: contacts}, nil)
}

func (o *owner) announce() {
	if a := o.duty.announcement.Load(); a != nil {
		o.stepMembership(dfumembership.Announced{Target: a.Target, Left: a.Left}, nil)
	}
}

func (o *owner) handle(in input) {
	switch in := in.(type) {
	case packetInput:
		o.receive(in)
	case storeInput:
		o.stepExchange(in.answer, nil)
	case seedsInput:
		o.seed(in.contacts)
	}
}

// receive steps the machines with a packet. What they send back to the sender
// is the direct answer to its call.
func (o *owner) receive(in packetInput) {
	var answer Packet
	var from dfuident.Address
	if msg := in.packet.Membership; msg != nil {
		from = msg.From.Address
		o.takeStanding(in.packet)
		o.stepMembership(dfumembership.Received{Message: *msg}, &answer)
	}
	if msg := in.packet.Records; msg != nil {
		from = msg.From.Address
		o.stepExchange(dfurecord.Received{Message: *msg}, &answer)
	}
	if in.answer != nil {
		in.answer <- answer
	} else if !answer.isEmpty() {
		o.send(from, answer)
	}
}

// takeStanding passes on the standing that rides on a probe or its answer.
func (o *owner) takeStanding(p Packet) {
	if p.Standing != nil {
		o.stepExchange(dfurecord.Received{Message: dfurecord.Message{
			Kind: dfurecord.Confirm, From: peerOf(p.Membership.From), Standing: *p.Standing,
		}}, nil)
	}
}

// stepMembership steps the membership. An answer to the event's message goes
// into the packet, unless that is nil or already holds one.
func (o *owner) stepMembership(event dfumembership.Event, answer *Packet) {
	for _, action := range o.membership.Step(o.duty.deps.Clock.Now(), event) {
		switch a := action.(type) {
		case dfumembership.Send:
			o.sendMembership(a, answer)
		case dfumembership.Changed:
			for _, u := range a.Updates {
				o.takeUpdate(u)
			}
			o.peersStale = true
		case dfumembership.Forgotten:
			for _, id := range a.Nodes {
				delete(o.updates, id)
			}
			o.change.Forgotten = append(o.change.Forgotten, a.Nodes...)
		case dfumembership.RegionChanged:
			o.changeRegion(a.Status)
		case dfumembership.Superseded:
			if !o.duty.superseded.Swap(true) {
				o.duty.deps.Log.Error("a later run of this node lives", zap.Stringer("member", a.By))
			}
		}
	}
}

func (o *owner) sendMembership(a dfumembership.Send, answer *Packet) {
	p := Packet{Membership: &a.Message}
	if a.Message.Kind == dfumembership.Ping || a.Message.Kind == dfumembership.Ack {
		standing := o.exchange.Standing(o.duty.deps.Clock.Now())
		p.Standing = &standing
	}
	isAnswer := a.Message.Kind == dfumembership.Ack || a.Message.Kind == dfumembership.SyncReply
	if answer != nil && answer.Membership == nil && isAnswer {
		answer.Membership, answer.Standing = p.Membership, p.Standing
		return
	}
	o.send(a.To.Address, p)
}

// stepExchange steps the exchange of records. Its first message to the sender
// goes into the packet, unless that is nil.
func (o *owner) stepExchange(event dfurecord.Event, answer *Packet) {
	for _, action := range o.exchange.Step(o.duty.deps.Clock.Now(), event) {
		switch a := action.(type) {
		case dfurecord.Send:
			if answer != nil && answer.Records == nil && isReply(event, a) {
				answer.Records = &a.Message
			} else {
				o.send(a.To.Address, Packet{Records: &a.Message})
			}
		case dfurecord.Changed:
			for _, key := range a.Keys {
				o.takeRecord(key)
			}
			o.statusStale = true
		case dfurecord.Read:
			select {
			case o.duty.reads <- struct{}{}:
			default:
			}
		}
	}
}

// isReply reports whether a message goes back to the sender of the event's.
func isReply(event dfurecord.Event, a dfurecord.Send) bool {
	received, ok := event.(dfurecord.Received)
	return ok && received.Message.From == a.To
}

func (o *owner) send(to dfuident.Address, p Packet) {
	o.duty.outbox.Offer(outgoing{to: to, packet: p})
}

// takeUpdate brings a member's state into the next view.
func (o *owner) takeUpdate(u dfumembership.Update) {
	o.updates[u.Member.Node] = u
	n := dfuroster.Node{
		Member:  u.Member,
		Place:   u.Details.Place,
		Peer:    u.Details.Peer,
		HTTP:    u.Details.HTTP,
		Service: u.Details.Target.Service,
		Slots:   u.Details.Target.Slots,
		ColdFor: u.Details.Target.ColdFor,
		State:   o.stateOf(u),
	}
	old, known := o.view.Node(n.Member.Node)
	if known && old.Member == n.Member && old.Service == n.Service {
		n.ServingSince = old.ServingSince
	} else if n.Service != "" {
		n.ServingSince = o.duty.deps.Clock.Now()
	}
	if !known || old != n {
		o.change.Nodes = append(o.change.Nodes, n)
	}
}

// stateOf derives the state that deciders see. An operator drains a target by
// listing its node in the service's entry.
func (o *owner) stateOf(u dfumembership.Update) dfuroster.State {
	switch {
	case u.State == dfumembership.Left:
		return dfuroster.Left
	case u.State == dfumembership.Dead:
		return dfuroster.Dead
	case o.unreachable[u.Details.Place.Region]:
		return dfuroster.Unreachable
	case u.Details.Target.Draining || o.drained(u):
		return dfuroster.Draining
	case u.State == dfumembership.Suspect:
		return dfuroster.Suspect
	default:
		return dfuroster.Alive
	}
}

func (o *owner) drained(u dfumembership.Update) bool {
	e, ok := o.entry(u.Details.Target.Service)
	if !ok {
		return false
	}
	for _, id := range e.Entry.Drain {
		if id == u.Member.Node {
			return true
		}
	}
	return false
}

// entry returns the entry that the next view will hold.
func (o *owner) entry(s dfuident.Service) (dfuroster.Entry, bool) {
	if e, ok := o.change.Entries[s]; ok {
		if e == nil {
			return dfuroster.Entry{}, false
		}
		return *e, true
	}
	e, revision, ok := o.view.Entry(s)
	return dfuroster.Entry{Entry: e, Revision: revision}, ok
}

func (o *owner) changeRegion(status dfumembership.RegionStatus) {
	o.unreachable[status.Observed] = status.Unreachable
	o.duty.deps.Log.Info("region status",
		zap.String("region", string(status.Observed)), zap.Bool("unreachable", status.Unreachable))
	for _, u := range o.updates {
		if u.Details.Place.Region == status.Observed {
			o.takeUpdate(u)
		}
	}
}

// takeRecord brings the record in force under a key into the next view.
func (o *owner) takeRecord(key string) {
	if s, ok := serviceOf(key, dfustore.CataloguePrefix); ok {
		o.takeEntry(s, key)
	} else if s, ok := serviceOf(key, dfustore.ClaimsPrefix); ok {
		o.takeClaims(s, key)
	}
}

func (o *owner) takeEntry(s dfuident.Service, key string) {
	var entry *dfuroster.Entry
	if r, ok := o.exchange.Set().Get(key); ok {
		stored, err := dfucatalogue.DecodeStored(r.Value)
		if err == nil && !stored.Deleted {
			entry = &dfuroster.Entry{Entry: stored.Entry, Revision: r.Revision}
		}
	}
	if o.change.Entries == nil {
		o.change.Entries = make(map[dfuident.Service]*dfuroster.Entry)
	}
	o.change.Entries[s] = entry
	for _, n := range o.view.Service(s) {
		if u, ok := o.updates[n.Member.Node]; ok {
			o.takeUpdate(u)
		}
	}
}

func (o *owner) takeClaims(s dfuident.Service, key string) {
	var claims *dfuroster.Claims
	if r, ok := o.exchange.Set().Get(key); ok {
		claims = &dfuroster.Claims{Value: r.Value, Revision: r.Revision}
	}
	if o.change.Claims == nil {
		o.change.Claims = make(map[dfuident.Service]*dfuroster.Claims)
	}
	o.change.Claims[s] = claims
}

// publish makes the next view if anything changed, and the status.
func (o *owner) publish() {
	d := o.duty
	d.bridge.Store(o.membership.IsBridge())
	if !o.change.IsEmpty() {
		o.view = o.view.Apply(o.change)
		o.change = dfuroster.Change{}
		o.statusStale = true
		d.view.Store(o.view)
		if d.deps.Publish != nil {
			d.deps.Publish(o.view)
		}
	}
	if now := d.deps.Clock.Now(); o.statusStale || !now.Before(o.statusAt) {
		o.statusStale = false
		o.statusAt = now.Add(statusPeriod)
		d.status.Store(o.status())
	}
}
