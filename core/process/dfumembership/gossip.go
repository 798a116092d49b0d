package dfumembership

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

const (
	// maxRegions bounds the other regions known.
	maxRegions = 16
	// crossSends is how often a bridge sends one update over a region link.
	crossSends = 2
)

// queue holds the news still to be sent: at most one item for each member.
type queue struct {
	next    dfuclock.Time
	items   []*item
	byNode  map[dfuident.NodeID]*item
	regions []regionItem
}

// item is the news of one member.
type item struct {
	member *member
	// sends is how often it is still to be sent within this region.
	sends int
	// cross is how often a bridge still sends it to each other region.
	cross int
}

type regionItem struct {
	status RegionStatus
	sends  int
}

func newQueue() queue {
	return queue{byNode: make(map[dfuident.NodeID]*item)}
}

// add begins to send what is now known of a member.
func (q *queue) add(h *member, sends int) {
	it, ok := q.byNode[h.update.Member.Node]
	if !ok {
		it = &item{member: h}
		q.byNode[h.update.Member.Node] = it
		q.items = append(q.items, it)
	}
	it.sends = sends
	it.cross = crossSends
}

func (q *queue) remove(h *member) {
	if it, ok := q.byNode[h.update.Member.Node]; ok {
		it.sends, it.cross = 0, 0
	}
}

func (q *queue) addRegion(status RegionStatus, sends int) {
	q.regions = slices.DeleteFunc(q.regions, func(r regionItem) bool {
		return r.status.Observed == status.Observed
	})
	q.regions = append(q.regions, regionItem{status: status, sends: sends})
}

// sweep drops what has been sent often enough. What only a bridge would send
// further is dropped by the others.
func (q *queue) sweep(bridge bool) {
	q.items = slices.DeleteFunc(q.items, func(it *item) bool {
		done := it.sends <= 0 && (!bridge || it.cross <= 0)
		if done {
			delete(q.byNode, it.member.update.Member.Node)
		}
		return done
	})
	q.regions = slices.DeleteFunc(q.regions, func(r regionItem) bool { return r.sends <= 0 })
	slices.SortStableFunc(q.items, func(a, b *item) int { return cmp.Compare(b.sends, a.sends) })
}

// take returns updates for a message within the region, those sent least
// first, and counts them as sent.
func (q *queue) take(limit int, except dfuident.NodeID) []Update {
	var updates []Update
	for _, it := range q.items {
		if len(updates) >= limit {
			break
		}
		if it.sends > 0 && it.member.update.Member.Node != except {
			it.sends--
			updates = append(updates, it.member.wire())
		}
	}
	return updates
}

func (q *queue) takeRegions() []RegionStatus {
	var statuses []RegionStatus
	for i := range q.regions {
		if q.regions[i].sends > 0 {
			q.regions[i].sends--
			statuses = append(statuses, q.regions[i].status)
		}
	}
	return statuses
}

// takeCross returns the updates of this region's members for other regions.
// Suspicion is left out: this region will settle it.
func (q *queue) takeCross(limit int, region dfuident.Region) []Update {
	var updates []Update
	for _, it := range q.items {
		if len(updates) >= limit {
			break
		}
		if u := it.member.update; u.Details.Place.Region != region || u.State == Suspect {
			it.cross = 0
		}
		if it.cross > 0 {
			it.cross--
			updates = append(updates, it.member.wire())
		}
	}
	return updates
}

// wire returns the update as it is sent. Only the member's own word carries
// its details; the others know them already.
func (h *member) wire() Update {
	u := h.update
	if u.State == Suspect || u.State == Dead {
		u.Details = nil
	}
	return u
}

// stepGossip sends the news to a few members, and a bridge to other regions.
func (m *Machine) stepGossip(now dfuclock.Time) {
	if now.Before(m.queue.next) {
		return
	}
	m.queue.next = now.Add(m.cfg.GossipPeriod)
	l := m.grouped()
	m.queue.sweep(l.bridge && len(l.remote) > 0)
	if len(m.queue.items) == 0 && len(m.queue.regions) == 0 {
		return
	}
	for _, h := range m.pickSome(l.fingers, m.cfg.GossipFanout) {
		m.gossip(h)
	}
	if l.bridge {
		m.gossipAcross(l)
	}
}

func (m *Machine) gossip(h *member) {
	msg := Message{Kind: Gossip}
	m.send(h.contact(), msg)
}

// gossipAcross sends the news of this region's members to one member of each
// other region. While a region is unreachable nothing is sent: digests settle
// the difference afterwards.
func (m *Machine) gossipAcross(l *lists) {
	updates := m.queue.takeCross(m.cfg.PacketUpdates, m.region)
	if len(updates) == 0 {
		return
	}
	for i := range l.remote {
		r := &l.remote[i]
		if s := m.observe(r.region); s == nil || s.status.Unreachable {
			continue
		}
		if h := m.pick(r.doors(), nil); h != nil {
			m.emit(h.contact(), Message{Kind: Gossip, Updates: updates})
		}
	}
}

// tellZones sends the node's own update at once to a member of each zone and
// to the bridges of its region, which carry it to the other regions.
func (m *Machine) tellZones(now dfuclock.Time) {
	l := m.grouped()
	to := slices.Clone(l.bridges)
	for _, zone := range l.zones {
		if h := m.pick(zone, isAlive); h != nil && !slices.Contains(to, h) {
			to = append(to, h)
		}
	}
	updates := []Update{m.self.wire()}
	for _, h := range to {
		m.emit(h.contact(), Message{Kind: Gossip, Updates: updates})
	}
	m.queue.next = now
}

// send completes a message with the news that fits, and sends it.
func (m *Machine) send(to Contact, msg Message) {
	if to.Region == m.region {
		room := m.cfg.PacketUpdates - len(msg.Updates)
		msg.Updates = append(msg.Updates, m.queue.take(room, to.Member.Node)...)
		msg.Regions = m.queue.takeRegions()
		if msg.Kind == Ping {
			msg.Regions = m.statuses()
		}
		if msg.Kind == Gossip && len(msg.Updates) == 0 && len(msg.Regions) == 0 {
			return
		}
	}
	m.emit(to, msg)
}

func (m *Machine) emit(to Contact, msg Message) {
	msg.From = m.contact
	m.do(Send{To: to, Message: msg})
}

func isAlive(h *member) bool {
	return h.update.State == Alive
}
