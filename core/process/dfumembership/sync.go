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
	patience = 5
)

// syncState holds when digests were last acted upon.
type syncState struct {
	joined    bool
	next      dfuclock.Time
	last      dfuclock.Time
	changedAt dfuclock.Time
	buckets   [bucketCount]uint64
	digest    uint64
	fresh     bool
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
	spread := across || (msg.Kind != SyncReply && msg.Kind != SyncRequest) || len(msg.Updates) <= m.cfg.GossipFanout
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
		m.receiveSyncReply(now, msg)
	case Gossip:
	}
}

// compareDigest begins a sync if the digest in an answer shows that something
// was lost, rather than that news is on its way.
func (m *Machine) compareDigest(now dfuclock.Time, msg Message) {
	if msg.Digest == m.Digest() || now.Before(m.sync.next) {
		return
	}
	settled := now.Sub(m.sync.changedAt) >= m.cfg.SettlePeriod
	overdue := now.Sub(m.sync.last) >= patience*m.cfg.SyncPeriod
	if m.sync.joined && !settled && !overdue {
		return
	}
	m.requestSync(now, msg.From)
}

func (m *Machine) requestSync(now dfuclock.Time, to Contact) {
	m.counts.Syncs++
	m.sync.last = now
	m.sync.next = now.Add(m.cfg.SyncPeriod)
	m.emit(to, Message{
		Kind: SyncRequest, Buckets: slices.Clone(m.bucketDigests()), Updates: []Update{m.self.wire()},
	})
}

func (m *Machine) receiveSyncRequest(msg Message) {
	m.emit(msg.From, Message{
		Kind:    SyncReply,
		Buckets: slices.Clone(m.bucketDigests()),
		Updates: m.differing(msg.Buckets, msg.From.Member.Node),
		Regions: m.statuses(),
	})
}

// receiveSyncReply sends back what the other lacks, and asks on while the
// reply was too small to hold all that differs.
func (m *Machine) receiveSyncReply(now dfuclock.Time, msg Message) {
	m.sync.joined = true
	theirs := make(map[dfuident.NodeID]Update, len(msg.Updates))
	for _, u := range msg.Updates {
		theirs[u.Member.Node] = u
	}
	whole := len(msg.Updates) < m.cfg.SyncUpdates
	var lacking []Update
	for _, u := range m.differing(msg.Buckets, msg.From.Member.Node) {
		their, ok := theirs[u.Member.Node]
		if (ok && newer(u, their)) || (!ok && whole) {
			lacking = append(lacking, u)
		}
	}
	if len(lacking) > 0 {
		m.emit(msg.From, Message{Kind: Gossip, Updates: lacking})
	}
	if !whole {
		m.requestSync(now, msg.From)
	}
}

// differing returns the updates of the members in the buckets where another's
// digests differ, up to the bound. A random start gives all their turn.
func (m *Machine) differing(theirs []uint64, except dfuident.NodeID) []Update {
	ours := m.bucketDigests()
	start := m.rng.IntN(len(m.order))
	var updates []Update
	for i := range m.order {
		h := m.order[(start+i)%len(m.order)]
		if h.update.Member.Node == except && h.update.State == Alive {
			continue
		}
		b := h.bucket()
		if len(theirs) == bucketCount && theirs[b] == ours[b] {
			continue
		}
		updates = append(updates, h.update)
		if len(updates) >= m.cfg.SyncUpdates {
			break
		}
	}
	return updates
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

// stepSeeds tries to reach a member that the zone pages list or that died, so
// that groups of members that lost each other meet again.
func (m *Machine) stepSeeds(now dfuclock.Time) {
	if now.Before(m.seedAt) {
		return
	}
	m.seedAt = now.Add(m.cfg.SeedPeriod)
	if !m.sync.joined {
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
	for _, c := range m.seeds {
		if h, ok := m.members[c.Member.Node]; (!ok || h.update.State == Dead) && m.mayContact(c.Region) {
			unknown = append(unknown, c)
		}
	}
	for _, h := range m.order {
		if h.update.State == Dead && h.update.Details.Place.Region == m.region {
			unknown = append(unknown, h.contact())
		}
	}
	if len(unknown) == 0 {
		return Contact{}, false
	}
	return unknown[m.rng.IntN(len(unknown))], true
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

// seed takes the members that the zone pages list. A node that knows nobody
// asks a few of its region for all they know.
func (m *Machine) seed(now dfuclock.Time, contacts []Contact) {
	m.seeds = m.seeds[:0]
	for _, c := range contacts {
		if c.Member.Node != m.self.update.Member.Node && len(m.seeds) < m.cfg.Members {
			m.seeds = append(m.seeds, c)
		}
	}
	m.pingNewRegions()
	if m.sync.joined {
		return
	}
	asked := 0
	for _, i := range m.rng.Perm(len(m.seeds)) {
		if m.seeds[i].Region == m.region && asked < m.cfg.IndirectProbes {
			asked++
			m.requestSync(now, m.seeds[i])
		}
	}
}

// pingNewRegions makes a bridge meet regions of which it knows nobody.
func (m *Machine) pingNewRegions() {
	met := make(map[dfuident.Region]bool)
	for _, i := range m.rng.Perm(len(m.seeds)) {
		c := m.seeds[i]
		if c.Region != m.region && !met[c.Region] && m.mayContact(c.Region) {
			met[c.Region] = true
			m.probe.sequence++
			m.ping(c, m.probe.sequence)
		}
	}
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
