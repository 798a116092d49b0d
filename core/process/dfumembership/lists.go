package dfumembership

import (
	"cmp"
	"math/bits"
	"slices"

	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

// lists groups the members that may be sent messages. It is made anew after
// changes, when it is next needed.
type lists struct {
	stale bool
	// own holds the other members of this region, ordered by score.
	own []*member
	// fingers are the members of the region that the node talks to by
	// itself. Their number grows with the logarithm of the region's size,
	// which bounds the connections of a node.
	fingers []*member
	// zones holds, for each zone of this region, its other members.
	zones [][]*member
	// remote holds the members of each other region.
	remote []remoteList
	// bridges are the bridges of this region but for the node itself.
	bridges []*member
	// bridge reports whether the node itself is one.
	bridge bool
	// rank counts the members of the node's zone that outrank it.
	rank     int
	zoneSize int
}

type remoteList struct {
	region  dfuident.Region
	members []*member
	bridges []*member
}

// doors returns the members that bridges of other regions talk to.
func (r *remoteList) doors() []*member {
	if len(r.bridges) > 0 {
		return r.bridges
	}
	return r.members
}

func newMember(u Update) *member {
	return &member{update: u, score: xxhash.Sum64String(string(u.Member.Node))}
}

// grouped returns the lists as of now.
func (m *Machine) grouped() *lists {
	if !m.lists.stale {
		return &m.lists
	}
	l := lists{}
	best := make(map[dfuident.Place]*member)
	var places []dfuident.Place
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
			if h.update.State == Alive && outranks(h, m.self) {
				l.rank++
			}
		}
	}
	slices.SortFunc(places, comparePlaces)
	for _, place := range places {
		l.addZone(m, place.Region, byPlace[place], best[place])
	}
	l.chooseFingers(m.self)
	m.lists = l
	return &m.lists
}

func (l *lists) addZone(m *Machine, region dfuident.Region, members []*member, bridge *member) {
	if region == m.region {
		l.own = append(l.own, members...)
		l.zones = append(l.zones, members)
		if bridge == m.self {
			l.bridge = true
		} else if bridge != nil {
			l.bridges = append(l.bridges, bridge)
		}
		return
	}
	if n := len(l.remote); n == 0 || l.remote[n-1].region != region {
		l.remote = append(l.remote, remoteList{region: region})
	}
	r := &l.remote[len(l.remote)-1]
	r.members = append(r.members, members...)
	if bridge != nil {
		r.bridges = append(r.bridges, bridge)
	}
}

// chooseFingers takes members at growing distances after the node on the ring
// of the region's members ordered by score. Each member is on the ring at its
// own place, so each is somebody's finger, about as often as every other.
func (l *lists) chooseFingers(self *member) {
	slices.SortFunc(l.own, compareScores)
	after, _ := slices.BinarySearchFunc(l.own, self, compareScores)
	for step := 1; step <= len(l.own); step = max(step+1, step*3/2) {
		l.fingers = append(l.fingers, l.own[(after+step-1)%len(l.own)])
	}
}

// IsBridge reports whether the node is its zone's bridge to other regions.
func (m *Machine) IsBridge() bool {
	return m.grouped().bridge
}

// Fingers returns the members of the region that the node talks to by itself.
func (m *Machine) Fingers() []Contact {
	fingers := m.grouped().fingers
	contacts := make([]Contact, len(fingers))
	for i, h := range fingers {
		contacts[i] = h.contact()
	}
	return contacts
}

// ZoneRank returns how many members of the node's zone come before it when a
// role is given to the first few, and the size of the zone.
func (m *Machine) ZoneRank() (rank, size int) {
	l := m.grouped()
	return l.rank, l.zoneSize
}

// Joined reports whether the node knows what others know: one that does has
// told it, or there is none.
func (m *Machine) Joined() bool {
	return m.sync.joined || m.sync.alone
}

// pick returns a random member of a list for which keep is true, or nil.
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

// pickSome returns up to n random distinct members of a list.
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

// sendLimit returns how often the node sends one update. It goes by the region's
// size as of the last grouping, which is near enough.
func (m *Machine) sendLimit() int {
	return m.cfg.SendFactor * bits.Len(uint(len(m.lists.own)+1))
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
