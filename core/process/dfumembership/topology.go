package dfumembership

import (
	"cmp"
	"math/bits"
	"slices"

	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

// topology groups the members that messages may be sent to. It is rebuilt on
// the next use after a change.
type topology struct {
	stale bool
	// local holds the other members of this region, ordered by score.
	local []*member
	// gossipPeers are the members of the region that the node contacts on its
	// own initiative. Their number grows with the logarithm of the region's
	// size, which limits a node's connections.
	gossipPeers []*member
	// zones holds the other members of each zone of this region.
	zones [][]*member
	// remote holds the members of each other region.
	remote []remoteRegion
	// bridges are the bridges of this region other than the node itself.
	bridges []*member
	// bridge is set if the node itself is a bridge.
	bridge bool
	// lead is the first-ranked member of this region that may watch the store and reaches it;
	// nil if there is none.
	lead *member
	// watchRank is the node's position among the members of its zone that may watch the
	// store, or zoneSize if the node is not among them.
	watchRank int
	zoneSize  int
	// predecessors are the members of the zone that rank before the node if they reach the
	// store. watchers are those that watch it; empty if the node does.
	watchers []*member
	// ranked holds the members that may watch the store, in the order of their ranks.
	ranked       []*member
	predecessors []*member
}

type remoteRegion struct {
	region  dfuident.Region
	members []*member
	bridges []*member
	// hasLead is set if a watcher of the region reaches the store.
	hasLead bool
}

// contactPoints returns the members that bridges of other regions contact: the
// region's bridges, or all members if no bridge is known.
func (r *remoteRegion) contactPoints() []*member {
	if len(r.bridges) > 0 {
		return r.bridges
	}
	return r.members
}

func newMember(u Update) *member {
	return &member{update: u, score: xxhash.Sum64String(string(u.Member.Node))}
}

// currentTopology returns the topology, rebuilding it if it is stale.
func (m *Machine) currentTopology() *topology {
	if !m.topology.stale {
		return &m.topology
	}
	l := topology{}
	best := make(map[dfuident.Place]*member)
	var places []dfuident.Place
	candidates := make(map[dfuident.Place][]*member)
	byPlace := make(map[dfuident.Place][]*member)
	for _, h := range m.order {
		place := h.update.Details.Place
		if !h.reachable() {
			continue
		}
		if _, ok := byPlace[place]; !ok {
			places = append(places, place)
			byPlace[place] = nil
		}
		if h.update.State == Alive && outranks(h, best[place]) {
			best[place] = h
		}
		if h != m.self {
			byPlace[place] = append(byPlace[place], h)
		}
		if place == m.self.update.Details.Place {
			l.zoneSize++
		}
		if h.update.State == Alive || h == m.self {
			candidates[place] = append(candidates[place], h)
		}
	}
	slices.SortFunc(places, comparePlaces)
	for _, place := range places {
		l.addZone(m, place.Region, byPlace[place], best[place])
	}
	l.chooseGossipPeers(m.self)
	l.rankWatchers(m.self, candidates[m.self.update.Details.Place])
	for place, members := range candidates {
		ranked := rankCandidates(members)
		if len(ranked) > 0 && !ranked[0].update.Details.StoreLost {
			l.addLead(m.region, place.Region, ranked[0])
		}
	}
	m.topology = l
	return &m.topology
}

// addLead records that the first-ranked watcher of a zone reaches the store.
func (l *topology) addLead(own, region dfuident.Region, first *member) {
	if region == own {
		if outranks(first, l.lead) {
			l.lead = first
		}
		return
	}
	for i := range l.remote {
		if l.remote[i].region == region {
			l.remote[i].hasLead = true
		}
	}
}

func (l *topology) addZone(m *Machine, region dfuident.Region, members []*member, bridge *member) {
	if region == m.region {
		l.local = append(l.local, members...)
		l.zones = append(l.zones, members)
		if bridge == m.self {
			l.bridge = true
		} else if bridge != nil {
			l.bridges = append(l.bridges, bridge)
		}
		return
	}
	if n := len(l.remote); n == 0 || l.remote[n-1].region != region {
		l.remote = append(l.remote, remoteRegion{region: region})
	}
	r := &l.remote[len(l.remote)-1]
	r.members = append(r.members, members...)
	if bridge != nil {
		r.bridges = append(r.bridges, bridge)
	}
}

// chooseGossipPeers picks members at increasing distances after the node on a ring
// of the region's members ordered by score. Each member has its own position,
// so all of them are picked by about the same number of others.
func (l *topology) chooseGossipPeers(self *member) {
	slices.SortFunc(l.local, compareScores)
	after, _ := slices.BinarySearchFunc(l.local, self, compareScores)
	for step := 1; step <= len(l.local); step = max(step+1, step*3/2) {
		l.gossipPeers = append(l.gossipPeers, l.local[(after+step-1)%len(l.local)])
	}
}

// IsBridge reports whether the node is its zone's bridge to other regions.
func (m *Machine) IsBridge() bool {
	return m.currentTopology().bridge
}

// IsLead reports whether the node ranks first among the watchers that reach the store: those of
// the first region that has one, of those that the node can reach.
func (m *Machine) IsLead() bool {
	l := m.currentTopology()
	if l.lead != m.self {
		return false
	}
	for i := range l.remote {
		r := &l.remote[i]
		if state := m.regions[r.region]; r.region < m.region && r.hasLead && (state == nil || !state.status.Unreachable) {
			return false
		}
	}
	return true
}

// GossipPeers returns the members of the region that the node contacts on its
// own initiative, without those that have not answered it of late.
func (m *Machine) GossipPeers() []Contact {
	var contacts []Contact
	for _, h := range m.currentTopology().gossipPeers {
		if !h.unresponsive {
			contacts = append(contacts, h.contact())
		}
	}
	return contacts
}

// RemoteContacts returns, for each other region, the members that bridges of this region
// contact there. It returns nil if the node is not a bridge.
func (m *Machine) RemoteContacts() [][]Contact {
	l := m.currentTopology()
	if !l.bridge {
		return nil
	}
	contacts := make([][]Contact, len(l.remote))
	for i := range l.remote {
		for _, h := range l.remote[i].contactPoints() {
			contacts[i] = append(contacts[i], h.contact())
		}
	}
	return contacts
}

// maxWatchCandidates is the number of members of a zone that may watch the store. It bounds
// the calls of a zone to a store that is down for all.
const maxWatchCandidates = 4

// rankWatchers determines the node's rank among the members of its zone.
func (l *topology) rankWatchers(self *member, members []*member) {
	slices.SortFunc(members, func(a, b *member) int { return compareScores(b, a) })
	if position := slices.Index(members, self); position >= 0 {
		l.predecessors = slices.Clone(members[:position])
	}
	l.ranked = rankCandidates(members)
	l.watchRank = slices.Index(l.ranked, self)
	if l.watchRank < 0 {
		l.watchRank = l.zoneSize
	}
	if l.watchRank >= WatchersPerZone {
		l.watchers = l.ranked[:min(len(l.ranked), WatchersPerZone)]
	}
}

// rankCandidates ranks the first responsive members of a zone by score. Those that have lost the
// store come last.
func rankCandidates(members []*member) []*member {
	ranked := slices.DeleteFunc(slices.Clone(members), func(h *member) bool { return h.unresponsive })
	slices.SortFunc(ranked, func(a, b *member) int { return compareScores(b, a) })
	ranked = ranked[:min(len(ranked), maxWatchCandidates)]
	slices.SortStableFunc(ranked, func(a, b *member) int {
		return compareBools(a.update.Details.StoreLost, b.update.Details.StoreLost)
	})
	return ranked
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// WatchRank returns the node's rank, starting from zero, among the members of its zone that
// may watch the store on behalf of the others, and the size of the zone. Members that have
// lost the store rank behind the others. The rank of a node that may not watch is at least
// the size of the zone. See RankSettled.
func (m *Machine) WatchRank() (rank, size int) {
	l := m.currentTopology()
	return l.watchRank, l.zoneSize
}

// Joined reports whether the node has the state of the cluster: it has
// synchronized with a member that had joined, or no other members are listed.
func (m *Machine) Joined() bool {
	return m.sync.joined || m.sync.onlyMember
}

// RankSettled reports whether WatchRank may be used. A node that has not joined uses its rank
// after MeetPeriod: a rank among too few members makes one node too many watch the store,
// while waiting for a member that has joined would leave a fleet that starts without any.
func (m *Machine) RankSettled() bool {
	return m.Joined() || m.sync.met
}

// pick returns a random member for which keep returns true, or nil. A nil keep
// accepts all members.
func (m *Machine) pick(members []*member, keep func(*member) bool) *member {
	if len(members) == 0 {
		return nil
	}
	start := m.rng.IntN(len(members))
	for i := range members {
		if h := members[(start+i)%len(members)]; keep == nil || keep(h) {
			return h
		}
	}
	return nil
}

// pickSome returns up to n random distinct members.
func (m *Machine) pickSome(members []*member, n int) []*member {
	if len(members) <= n {
		return members
	}
	picked := make([]*member, 0, n)
	for len(picked) < n {
		h := members[m.rng.IntN(len(members))]
		if !slices.Contains(picked, h) {
			picked = append(picked, h)
		}
	}
	return picked
}

// sendLimit returns how often the node sends one update. The size of the region
// may be out of date, which is accurate enough here.
func (m *Machine) sendLimit() int {
	return m.cfg.SendFactor * bits.Len(uint(len(m.topology.local)+1))
}

// BridgeRank returns how many of the nodes of a zone take the role of its bridge before a
// node if all of them live.
func BridgeRank(node dfuident.NodeID, zone []dfuident.NodeID) int {
	self, rank := newMember(Update{Member: dfuident.Member{Node: node}}), 0
	for _, id := range zone {
		if outranks(newMember(Update{Member: dfuident.Member{Node: id}}), self) {
			rank++
		}
	}
	return rank
}

func outranks(a, b *member) bool {
	return b == nil || compareScores(a, b) > 0
}

func compareScores(a, b *member) int {
	if a.score != b.score {
		return cmp.Compare(a.score, b.score)
	}
	return cmp.Compare(a.update.Member.Node, b.update.Member.Node)
}

func comparePlaces(a, b dfuident.Place) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
}

func sortUpdates(updates []Update) {
	slices.SortFunc(updates, func(a, b Update) int {
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
}
