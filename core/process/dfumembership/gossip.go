package dfumembership

import (
	"cmp"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

const (
	// maxRegions limits the number of other regions tracked.
	maxRegions = 16
	// crossSends is how often a bridge sends one update to each other region.
	crossSends = 2
)

// gossipQueue holds the updates still to be sent, at most one per member.
type gossipQueue struct {
	next    dfuclock.Time
	items   []*queuedUpdate
	byNode  map[dfuident.NodeID]*queuedUpdate
	regions []queuedRegionStatus
}

// queuedUpdate is the latest update of one member.
type queuedUpdate struct {
	member *member
	// sendsLeft is how many more times to send it within this region.
	sendsLeft int
	// crossSendsLeft is how many more times a bridge sends it to each other
	// region.
	crossSendsLeft int
}

type queuedRegionStatus struct {
	status    RegionStatus
	sendsLeft int
}

func newGossipQueue() gossipQueue {
	return gossipQueue{byNode: make(map[dfuident.NodeID]*queuedUpdate)}
}

// add queues the current state of a member.
func (q *gossipQueue) add(h *member, sendsLeft int) {
	it, ok := q.byNode[h.update.Member.Node]
	if !ok {
		it = &queuedUpdate{member: h}
		q.byNode[h.update.Member.Node] = it
		q.items = append(q.items, it)
	}
	it.sendsLeft = sendsLeft
	it.crossSendsLeft = crossSends
}

func (q *gossipQueue) remove(h *member) {
	if it, ok := q.byNode[h.update.Member.Node]; ok {
		it.sendsLeft, it.crossSendsLeft = 0, 0
	}
}

func (q *gossipQueue) addRegion(status RegionStatus, sendsLeft int) {
	q.regions = slices.DeleteFunc(q.regions, func(r queuedRegionStatus) bool {
		return r.status.Observed == status.Observed
	})
	q.regions = append(q.regions, queuedRegionStatus{status: status, sendsLeft: sendsLeft})
}

// removeSent removes updates that have been sent often enough. Nodes that are
// not bridges ignore crossSendsLeft.
func (q *gossipQueue) removeSent(bridge bool) {
	q.items = slices.DeleteFunc(q.items, func(it *queuedUpdate) bool {
		done := it.sendsLeft <= 0 && (!bridge || it.crossSendsLeft <= 0)
		if done {
			delete(q.byNode, it.member.update.Member.Node)
		}
		return done
	})
	q.regions = slices.DeleteFunc(q.regions, func(r queuedRegionStatus) bool { return r.sendsLeft <= 0 })
	slices.SortStableFunc(q.items, func(a, b *queuedUpdate) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
}

// takeUpdates returns up to limit updates for a message within the region,
// least often sent first, and counts them as sent. It leaves out the update
// about except.
func (q *gossipQueue) takeUpdates(limit int, except dfuident.NodeID) []Update {
	var updates []Update
	for _, it := range q.items {
		if len(updates) >= limit {
			break
		}
		if it.sendsLeft > 0 && it.member.update.Member.Node != except {
			it.sendsLeft--
			updates = append(updates, it.member.wireUpdate())
		}
	}
	return updates
}

func (q *gossipQueue) takeRegions() []RegionStatus {
	var regionStatuses []RegionStatus
	for i := range q.regions {
		if q.regions[i].sendsLeft > 0 {
			q.regions[i].sendsLeft--
			regionStatuses = append(regionStatuses, q.regions[i].status)
		}
	}
	return regionStatuses
}

// takeCrossRegion returns up to limit updates of this region's members for
// other regions and counts them as sent. Suspicions are left out, since they
// are resolved within this region.
func (q *gossipQueue) takeCrossRegion(limit int, region dfuident.Region) []Update {
	var updates []Update
	for _, it := range q.items {
		if len(updates) >= limit {
			break
		}
		if u := it.member.update; u.Details.Place.Region != region || u.State == Suspect {
			it.crossSendsLeft = 0
		}
		if it.crossSendsLeft > 0 {
			it.crossSendsLeft--
			updates = append(updates, it.member.wireUpdate())
		}
	}
	return updates
}

// wireUpdate returns the update as it is sent. Details are included only in
// states set by the member itself; in the others, receivers know them already.
func (h *member) wireUpdate() Update {
	u := h.update
	if u.State == Suspect || u.State == Dead {
		u.Details = nil
	}
	return u
}

// stepGossip sends queued updates to a few members and, on a bridge, to other
// regions.
func (m *Machine) stepGossip(now dfuclock.Time) {
	if now.Before(m.gossipQueue.next) {
		return
	}
	m.gossipQueue.next = now.Add(m.cfg.GossipPeriod)
	l := m.currentTopology()
	m.gossipQueue.removeSent(l.bridge && len(l.remote) > 0)
	if len(m.gossipQueue.items) == 0 && len(m.gossipQueue.regions) == 0 {
		return
	}
	for _, h := range m.pickSome(l.gossipPeers, m.cfg.GossipFanout) {
		m.gossip(h)
	}
	if l.bridge {
		m.gossipToRegions(l)
	}
}

func (m *Machine) gossip(h *member) {
	msg := Message{Kind: Gossip}
	m.send(h.contact(), msg)
}

// gossipToRegions sends updates of this region's members to one member of each
// other region. Nothing is sent to an unreachable region; digests find the
// missing updates once it is reachable again.
func (m *Machine) gossipToRegions(l *topology) {
	updates := m.gossipQueue.takeCrossRegion(m.cfg.PacketUpdates, m.region)
	if len(updates) == 0 {
		return
	}
	for i := range l.remote {
		r := &l.remote[i]
		if s := m.regionStateOf(r.region); s == nil || s.status.Unreachable {
			continue
		}
		if h := m.pick(r.contactPoints(), nil); h != nil {
			m.emit(h.contact(), Message{Kind: Gossip, Updates: updates})
		}
	}
}

// broadcastSelf sends the node's own update immediately to one member of each
// zone and to the bridges of its region, which forward it to the other regions.
func (m *Machine) broadcastSelf(now dfuclock.Time) {
	l := m.currentTopology()
	to := slices.Clone(l.bridges)
	for _, zone := range l.zones {
		if h := m.pick(zone, isAlive); h != nil && !slices.Contains(to, h) {
			to = append(to, h)
		}
	}
	updates := []Update{m.self.wireUpdate()}
	for _, h := range to {
		m.emit(h.contact(), Message{Kind: Gossip, Updates: updates})
	}
	m.gossipQueue.next = now
}

// send adds as many queued updates to a message as fit, and sends it.
func (m *Machine) send(to Contact, msg Message) {
	if to.Region == m.region {
		capacity := m.cfg.PacketUpdates - len(msg.Updates)
		msg.Updates = append(msg.Updates, m.gossipQueue.takeUpdates(capacity, to.Member.Node)...)
		msg.Regions = m.gossipQueue.takeRegions()
		if msg.Kind == Ping {
			msg.Regions = m.regionStatuses()
		}
		if msg.Kind == Gossip && len(msg.Updates) == 0 && len(msg.Regions) == 0 {
			return
		}
	}
	m.emit(to, msg)
}

func (m *Machine) emit(to Contact, msg Message) {
	msg.From = m.contact
	m.addAction(Send{To: to, Message: msg})
}

func isAlive(h *member) bool {
	return h.update.State == Alive
}
