package dfumembership

import (
	"encoding/binary"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of buckets that members are spread over.
	bucketCount = 64
	// patience times the sync period is how long a difference may stay
	// while there is always news on its way.
	patience = 15
)

// syncState holds when digests were last acted upon.
type syncState struct {
	// joined is set once a member that has joined told all it knows, or if
	// none did in the time of JoinPeriod.
	joined bool
	// alone says that the zone pages list no other of the region.
	alone bool
	// urgent is set after a pause until another told what was missed.
	urgent bool
	next   dfuclock.Time
	// nextJoined is next for a member that has joined, while this one has not.
	nextJoined dfuclock.Time
	last       dfuclock.Time
	changedAt  dfuclock.Time
	buckets    [bucketCount]uint64
	digest     uint64
	fresh      bool
}

// Digest covers the members that live, by incarnation and version. Suspicion
// isn't covered, for it soon becomes life or death.
func (m *Machine) Digest() uint64 {
	m.computeDigests()
	return m.sync.digest
}

// receive merges a message's news and answers it.
func (m *Machine) receive(now dfuclock.Time, msg Message) {
	across := msg.From.Region != m.region
	// What a joining node is told, the others know.
	spread := across || msg.Kind != SyncReply || m.Joined()
	for _, u := range msg.Updates {
		m.accept(now, u, spread)
	}
	if !across {
		for _, status := range msg.Regions {
			m.acceptRegion(now, status)
		}
	}
	switch msg.Kind {
	case Ping:
		m.receivePing(msg)
	case Ack:
		m.receiveAck(now, msg)
	case PingRequest:
		m.receivePingRequest(msg)
	case SyncRequest:
		m.receiveSyncRequest(msg)
	case SyncReply:
		m.receiveSyncReply(msg)
	case Gossip:
	}
}

// compareDigest begins a sync if the digest in an answer shows that something
// was lost, rather than that news is on its way.
func (m *Machine) compareDigest(now dfuclock.Time, msg Message) {
	if msg.Digest == m.Digest() {
		m.sync.joined = m.sync.joined || msg.Joined
		return
	}
	if !m.Joined() {
		m.compareToJoin(now, msg)
		return
	}
	settled := now.Sub(m.sync.changedAt) >= m.cfg.SettlePeriod
	overdue := now.Sub(m.sync.last) >= patience*m.cfg.SyncPeriod && msg.From.Region == m.region
	if now.Before(m.sync.next) || !settled && !overdue && !m.sync.urgent {
		return
	}
	m.sync.next = now.Add(m.cfg.SyncPeriod)
	m.beginSync(now, msg.From)
}

// compareToJoin syncs with one member that has joined and, until one answers,
// with one that has not either.
func (m *Machine) compareToJoin(now dfuclock.Time, msg Message) {
	next, period := &m.sync.next, m.cfg.GossipPeriod
	if msg.Joined {
		next, period = &m.sync.nextJoined, m.cfg.ProbePeriod
	}
	if !now.Before(*next) {
		*next = now.Add(period)
		m.beginSync(now, msg.From)
	}
}

func (m *Machine) beginSync(now dfuclock.Time, with Contact) {
	m.counts.Syncs++
	m.sync.last = now
	m.requestSync(with, 0)
}

func (m *Machine) requestSync(to Contact, cursor uint64) {
	m.emit(to, Message{
		Kind: SyncRequest, Cursor: cursor,
		Buckets: slices.Clone(m.bucketDigests()), Updates: []Update{m.self.wire()},
	})
}

func (m *Machine) receiveSyncRequest(msg Message) {
	updates, cursor := m.differing(msg, m.cfg.SyncUpdates)
	m.emit(msg.From, Message{
		Kind:    SyncReply,
		Cursor:  cursor,
		Joined:  m.Joined(),
		Buckets: slices.Clone(m.bucketDigests()),
		Updates: updates,
		Regions: m.statuses(),
	})
}

// receiveSyncReply asks on from the cursor or, if the reply was whole, sends
// back what the other lacks.
func (m *Machine) receiveSyncReply(msg Message) {
	m.sync.urgent = false
	m.sync.joined = m.sync.joined || (msg.Joined && msg.Cursor == 0)
	if msg.Cursor != 0 {
		m.requestSync(msg.From, msg.Cursor)
		return
	}
	// The node's own news was sent to few while it knew few.
	m.queue.add(m.self, m.sendLimit())
	theirs := make(map[dfuident.NodeID]Update, len(msg.Updates))
	for _, u := range msg.Updates {
		theirs[u.Member.Node] = u
	}
	var lacking []Update
	ours, _ := m.differing(msg, m.cfg.SyncUpdates)
	for _, u := range ours {
		if their, ok := theirs[u.Member.Node]; !ok || newer(u, their) {
			lacking = append(lacking, u)
		}
	}
	if len(lacking) > 0 {
		m.emit(msg.From, Message{Kind: Gossip, Updates: lacking})
	}
}

// differing returns the updates of the members after a message's cursor, in
// the buckets where its digests differ, ordered by score. It returns the next
// cursor if the bound was met.
func (m *Machine) differing(msg Message, limit int) (updates []Update, cursor uint64) {
	ours := m.bucketDigests()
	var members []*member
	for _, h := range m.order {
		b := h.bucket()
		same := len(msg.Buckets) == bucketCount && msg.Buckets[b] == ours[b]
		sender := h.update.Member.Node == msg.From.Member.Node && h.update.State == Alive
		if h.score > msg.Cursor && !same && !sender {
			members = append(members, h)
		}
	}
	slices.SortFunc(members, compareScores)
	for _, h := range members {
		if len(updates) >= limit && h.score != cursor {
			return updates, cursor
		}
		updates = append(updates, h.update)
		cursor = h.score
	}
	return updates, 0
}

func (m *Machine) statuses() []RegionStatus {
	var statuses []RegionStatus
	for _, r := range m.grouped().remote {
		if s, ok := m.regions[r.region]; ok && s.status.Version > 0 {
			statuses = append(statuses, s.status)
		}
	}
	return statuses
}

func (m *Machine) bucketDigests() []uint64 {
	m.computeDigests()
	return m.sync.buckets[:]
}

// stepSeeds tries to reach a member that the zone pages list, that died or that
// left, so that groups of members that lost each other meet again, and a node
// that has started again is met also while it can't read the pages.
func (m *Machine) stepSeeds(now dfuclock.Time) {
	if now.Sub(m.startedAt) >= m.cfg.JoinPeriod {
		m.sync.joined = true
	}
	if now.Before(m.seedAt) {
		return
	}
	m.seedAt = now.Add(m.cfg.SeedPeriod)
	if !m.Joined() {
		m.seedAt = now.Add(m.cfg.ProbePeriod)
	}
	if seed, ok := m.pickSeed(); ok {
		m.probe.sequence++
		m.ping(seed, m.probe.sequence)
	}
}

// pickSeed returns a member of this region, or of another one of which a
// bridge knows nobody, that isn't known to live.
func (m *Machine) pickSeed() (Contact, bool) {
	var unknown []Contact
	for _, s := range m.seeds {
		if h, ok := m.members[s.Contact.Member.Node]; (!ok || h.isGone()) && m.mayContact(s.Contact.Region) {
			unknown = append(unknown, s.Contact)
		}
	}
	for _, h := range m.order {
		if h.isGone() && h.update.Details.Place.Region == m.region {
			unknown = append(unknown, h.contact())
		}
	}
	if len(unknown) == 0 {
		return Contact{}, false
	}
	return unknown[m.rng.IntN(len(unknown))], true
}

// isGone reports whether a member died or left.
func (h *member) isGone() bool {
	return h.update.State == Dead || h.update.State == Left
}

func (m *Machine) mayContact(region dfuident.Region) bool {
	if region == m.region {
		return true
	}
	l := m.grouped()
	for i := range l.remote {
		if l.remote[i].region == region {
			return false
		}
	}
	return l.bridge
}

// seed takes the members that the zone pages list. The node pings a few of
// them if it has not joined yet, and one of each zone of which it knows nobody.
func (m *Machine) seed(seeds []Seed) {
	m.seeds = m.seeds[:0]
	for _, s := range seeds {
		if s.Contact.Member.Node != m.self.update.Member.Node && len(m.seeds) < m.cfg.Members {
			m.seeds = append(m.seeds, s)
		}
	}
	m.sync.alone = !m.listsOwnRegion()
	room := m.cfg.IndirectProbes
	if m.Joined() {
		room = 0
	}
	met := m.knownPlaces()
	for _, i := range m.rng.Perm(len(m.seeds)) {
		s := m.seeds[i]
		place := dfuident.Place{Region: s.Contact.Region, Zone: s.Zone}
		if s.Contact.Region == m.region && room > 0 {
			room--
		} else if met[place] || !m.mayContact(s.Contact.Region) {
			continue
		}
		met[place] = true
		m.probe.sequence++
		m.ping(s.Contact, m.probe.sequence)
	}
}

func (m *Machine) listsOwnRegion() bool {
	return slices.ContainsFunc(m.seeds, func(s Seed) bool { return s.Contact.Region == m.region })
}

// knownPlaces returns the zones in which another member is known to live.
func (m *Machine) knownPlaces() map[dfuident.Place]bool {
	known := make(map[dfuident.Place]bool)
	for _, h := range m.order {
		if h != m.self && h.reachable() {
			known[h.update.Details.Place] = true
		}
	}
	return known
}

func (m *Machine) computeDigests() {
	if m.sync.fresh {
		return
	}
	m.sync.fresh = true
	m.sync.buckets = [bucketCount]uint64{}
	for _, h := range m.order {
		if h.reachable() {
			m.sync.buckets[h.bucket()] += h.update.hash()
		}
	}
	b := make([]byte, 0, bucketCount*8)
	for _, sum := range m.sync.buckets {
		b = binary.LittleEndian.AppendUint64(b, sum)
	}
	m.sync.digest = xxhash.Sum64(b)
}

func (h *member) bucket() int {
	return int(h.score % bucketCount)
}

func (u Update) hash() uint64 {
	b := make([]byte, 0, len(u.Member.Node)+16)
	b = append(b, u.Member.Node...)
	b = binary.LittleEndian.AppendUint64(b, uint64(u.Member.Incarnation))
	b = binary.LittleEndian.AppendUint64(b, u.Version)
	return xxhash.Sum64(b)
}
