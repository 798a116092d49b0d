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
	records    *dfurecord.Set
	view       *dfuroster.View
	// updates is what membership last said of each node in the view.
	updates     map[dfuident.NodeID]dfumembership.Update
	unreachable map[dfuident.Region]bool
	change      dfuroster.Change
	// listed holds the prefixes of which the whole list has been merged.
	listed map[string]bool
	// statusAt is when the status is next made, unless it is stale before.
	statusAt    dfuclock.Time
	statusStale bool
}

// statusPeriod is the time between two statuses while nothing changes.
const statusPeriod = dfuclock.Second

func newOwner(d *Duty, member dfuident.Member) *owner {
	self := dfumembership.Self{
		Member: member, Place: d.cfg.Place, Peer: d.cfg.Peer, HTTP: d.cfg.HTTP,
	}
	rng := rand.New(rand.NewPCG(uint64(d.jitter(1<<50)), uint64(member.Incarnation)))
	o := &owner{
		duty:        d,
		membership:  dfumembership.New(self, d.cfg.Membership, rng),
		records:     dfurecord.New(dfurecord.DefaultLimits(), checkValue),
		view:        d.View(),
		updates:     make(map[dfuident.NodeID]dfumembership.Update),
		unreachable: make(map[dfuident.Region]bool),
		listed:      make(map[string]bool),
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
			o.step(dfumembership.Tick{}, nil)
		case <-o.duty.announced:
			o.announce()
		case in := <-o.duty.inbox.Items():
			o.handle(in)
		}
		o.publish()
	}
}

func (o *owner) seed(contacts []dfumembership.Contact) {
	o.step(dfumembership.Seeded{Contacts: contacts}, nil)
}

func (o *owner) announce() {
	if a := o.duty.announcement.Load(); a != nil {
		o.step(dfumembership.Announced{Target: a.Target, Left: a.Left}, nil)
	}
}

func (o *owner) handle(in input) {
	switch in := in.(type) {
	case packetInput:
		o.receive(in)
	case recordsInput:
		o.mergeStore(in)
	case seedsInput:
		o.seed(in.contacts)
	}
}

// receive steps the machines with a packet. What they send back to the sender
// is the direct answer to its call.
func (o *owner) receive(in packetInput) {
	var answer Packet
	if msg := in.packet.Membership; msg != nil {
		answer.Membership = o.step(dfumembership.Received{Message: *msg}, &msg.From)
	}
	if in.answer != nil {
		in.answer <- answer
	} else if answer.Membership != nil {
		o.send(in.packet.Membership.From, *answer.Membership)
	}
}

// step steps the membership. Of what it sends to the member from, the first
// message that answers is returned rather than sent.
func (o *owner) step(event dfumembership.Event, from *dfumembership.Contact) *dfumembership.Message {
	var answer *dfumembership.Message
	for _, action := range o.membership.Step(o.duty.deps.Clock.Now(), event) {
		switch a := action.(type) {
		case dfumembership.Send:
			if from != nil && answer == nil && a.To == *from && isAnswer(a.Message) {
				answer = &a.Message
			} else {
				o.send(a.To, a.Message)
			}
		case dfumembership.Changed:
			for _, u := range a.Updates {
				o.takeUpdate(u)
			}
		case dfumembership.Forgotten:
			for _, id := range a.Nodes {
				delete(o.updates, id)
			}
			o.change.Forgotten = append(o.change.Forgotten, a.Nodes...)
		case dfumembership.RegionChanged:
			o.changeRegion(a.Status)
		case dfumembership.Superseded:
			o.duty.deps.Log.Error("a later run of this node lives", zap.Stringer("member", a.By))
			o.duty.superseded.Store(true)
		}
	}
	return answer
}

func isAnswer(msg dfumembership.Message) bool {
	return msg.Kind == dfumembership.Ack || msg.Kind == dfumembership.SyncReply
}

func (o *owner) send(to dfumembership.Contact, msg dfumembership.Message) {
	o.duty.outbox.Offer(outgoing{to: to, packet: Packet{Membership: &msg}})
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

// mergeStore merges what the store returned.
func (o *owner) mergeStore(in recordsInput) {
	changed := in.records
	if in.listed {
		changed = o.records.MergeList(in.prefix, in.records, in.revision)
		o.listed[in.prefix] = true
	} else {
		for _, r := range in.records {
			o.records.MergeFromStore(r)
		}
	}
	for _, r := range changed {
		o.takeRecord(r.Key)
	}
	o.statusStale = o.statusStale || in.listed || len(changed) > 0
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
	if r, ok := o.records.Get(key); ok {
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
	if r, ok := o.records.Get(key); ok {
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
