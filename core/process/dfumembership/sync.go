package dfumembership

import (
	"encoding/binary"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of buckets that members are hashed into.
	bucketCount = 64
	// unsettledSyncPeriods is the number of sync periods after which a
	// difference triggers a sync even if members keep changing.
	unsettledSyncPeriods = 15
)

// syncState holds digests and the times of syncs.
type syncState struct {
	// joined is set once a member that has joined has sent all its updates, or
	// after JoinPeriod.
	joined bool
	// met is set after MeetPeriod.
	met bool
	// onlyMember is set if the zone pages list no other member of the region.
	onlyMember bool
	// missedUpdates is set after a pause until a sync reply has arrived.
	missedUpdates bool
	next          dfuclock.Time
	// nextJoined is like next, but for syncs with members that have joined
	// while this node has not.
	nextJoined dfuclock.Time
	last       dfuclock.Time
	changedAt  dfuclock.Time
	// differsSince is since when every digest from the region has differed; zero if the latest
	// one was equal.
	differsSince dfuclock.Time
	buckets      [bucketCount]uint64
	digest       uint64
	digestsValid bool
}

// Digest returns a digest of the live members' incarnations and versions.
// Suspicion is not included, since it is soon refuted or confirmed.
func (m *Machine) Digest() uint64 {
	m.computeDigests()
	return m.sync.digest
}

// receive applies the updates in a message and handles it by kind.
func (m *Machine) receive(now dfuclock.Time, msg Message) {
	m.recordContact(now, msg.From.Member)
	crossRegion := msg.From.Region != m.region
	// Updates received while joining are already known to the others.
	spread := crossRegion || msg.Kind != SyncReply || m.Joined()
	for _, u := range msg.Updates {
		m.applyUpdate(now, u, spread)
	}
	if !crossRegion {
		for _, status := range msg.Regions {
			m.mergeRegionStatus(now, status)
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

// compareDigest starts a sync if the digest in an answer differs and updates
// appear to be lost rather than still being sent.
func (m *Machine) compareDigest(now dfuclock.Time, msg Message) {
	isLocal := msg.From.Region == m.region
	if msg.Digest == m.Digest() {
		if isLocal {
			m.sync.differsSince = 0
		}
		m.sync.joined = m.sync.joined || msg.Joined
		return
	}
	if isLocal && m.sync.differsSince == 0 {
		m.sync.differsSince = now
	}
	if !m.Joined() {
		m.syncToJoin(now, msg)
		return
	}
	// Lost updates must be found although others keep arriving.
	settled := now.Sub(m.sync.changedAt) >= m.cfg.SettlePeriod ||
		isLocal && now.Sub(m.sync.differsSince) >= m.cfg.SettlePeriod
	overdue := now.Sub(m.sync.last) >= unsettledSyncPeriods*m.cfg.SyncPeriod && isLocal
	if now.Before(m.sync.next) || !settled && !overdue && !m.sync.missedUpdates {
		return
	}
	m.sync.next = now.Add(m.cfg.SyncPeriod)
	m.beginSync(now, msg.From)
}

// syncToJoin starts syncs while the node has not joined, with members that have
// joined and with members that have not, each at its own rate.
func (m *Machine) syncToJoin(now dfuclock.Time, msg Message) {
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
		Buckets: slices.Clone(m.bucketDigests()), Updates: []Update{m.self.wireUpdate()},
	})
}

func (m *Machine) receiveSyncRequest(msg Message) {
	updates, cursor := m.differingUpdates(msg, m.cfg.SyncUpdates)
	m.emit(msg.From, Message{
		Kind:    SyncReply,
		Cursor:  cursor,
		Joined:  m.Joined(),
		Buckets: slices.Clone(m.bucketDigests()),
		Updates: updates,
		Regions: m.regionStatuses(),
	})
}

// receiveSyncReply requests the next part from the cursor. After the last part,
// it sends back the updates that the other member is missing.
func (m *Machine) receiveSyncReply(msg Message) {
	m.sync.missedUpdates = false
	m.sync.joined = m.sync.joined || (msg.Joined && msg.Cursor == 0)
	if msg.Cursor != 0 {
		m.requestSync(msg.From, msg.Cursor)
		return
	}
	// The node's own update reached only few members while it knew few.
	m.gossipQueue.add(m.self, m.sendLimit())
	remoteUpdates := make(map[dfuident.NodeID]Update, len(msg.Updates))
	for _, u := range msg.Updates {
		remoteUpdates[u.Member.Node] = u
	}
	var missing []Update
	localUpdates, _ := m.differingUpdates(msg, m.cfg.SyncUpdates)
	for _, u := range localUpdates {
		if remoteUpdate, ok := remoteUpdates[u.Member.Node]; !ok || supersedes(u, remoteUpdate) {
			missing = append(missing, u)
		}
	}
	if len(missing) > 0 {
		m.emit(msg.From, Message{Kind: Gossip, Updates: missing})
	}
}

// differingUpdates returns up to limit updates of members after the message's
// cursor, ordered by score, from the buckets whose digests differ. If there are
// more, it also returns the next cursor, and zero otherwise.
func (m *Machine) differingUpdates(msg Message, limit int) (updates []Update, cursor uint64) {
	localBuckets := m.bucketDigests()
	var members []*member
	for _, h := range m.order {
		b := h.bucket()
		same := len(msg.Buckets) == bucketCount && msg.Buckets[b] == localBuckets[b]
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

func (m *Machine) regionStatuses() []RegionStatus {
	var regionStatuses []RegionStatus
	for _, r := range m.currentTopology().remote {
		if s, ok := m.regions[r.region]; ok && s.status.Version > 0 {
			regionStatuses = append(regionStatuses, s.status)
		}
	}
	return regionStatuses
}

func (m *Machine) bucketDigests() []uint64 {
	m.computeDigests()
	return m.sync.buckets[:]
}

// stepSeeds periodically contacts one member that is listed on a zone page but
// unknown to this node, or that died or left. It reconnects partitions of the
// membership, and restarted nodes that cannot read the zone pages.
func (m *Machine) stepSeeds(now dfuclock.Time) {
	sinceStart := now.Sub(m.startedAt)
	m.sync.met = m.sync.met || sinceStart >= m.cfg.MeetPeriod
	m.sync.joined = m.sync.joined || sinceStart >= m.cfg.JoinPeriod
	if now.Before(m.nextSeedAt) {
		return
	}
	m.nextSeedAt = now.Add(m.cfg.SeedPeriod)
	if !m.Joined() {
		m.nextSeedAt = now.Add(m.cfg.ProbePeriod)
	}
	if seed, ok := m.pickSeed(); ok {
		m.probe.sequence++
		m.ping(seed, m.probe.sequence)
	}
}

// pickSeed returns a random member that is unknown to this node, died or left,
// from this region or, on a bridge, from a region without known members.
func (m *Machine) pickSeed() (Contact, bool) {
	var unknown []Contact
	for _, s := range m.seeds {
		if h, ok := m.members[s.Contact.Member.Node]; (!ok || h.isGone()) && m.canContact(s.Contact.Region) {
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

func (m *Machine) canContact(region dfuident.Region) bool {
	if region == m.region {
		return true
	}
	l := m.currentTopology()
	for i := range l.remote {
		if l.remote[i].region == region {
			return false
		}
	}
	return l.bridge
}

// setSeeds replaces the members listed on the zone pages. It pings a few of
// them if the node has not joined yet, and one in each zone without a known
// live member.
func (m *Machine) setSeeds(seeds []Seed) {
	m.seeds = m.seeds[:0]
	for _, s := range seeds {
		if s.Contact.Member.Node != m.self.update.Member.Node && len(m.seeds) < m.cfg.Members {
			m.seeds = append(m.seeds, s)
		}
	}
	m.sync.onlyMember = !m.listsOwnRegion()
	pingsLeft := m.cfg.IndirectProbes
	if m.Joined() {
		pingsLeft = 0
	}
	covered := m.knownPlaces()
	for _, i := range m.rng.Perm(len(m.seeds)) {
		s := m.seeds[i]
		place := dfuident.Place{Region: s.Contact.Region, Zone: s.Zone}
		if s.Contact.Region == m.region && pingsLeft > 0 {
			pingsLeft--
		} else if covered[place] || !m.canContact(s.Contact.Region) {
			continue
		}
		covered[place] = true
		m.probe.sequence++
		m.ping(s.Contact, m.probe.sequence)
	}
}

func (m *Machine) listsOwnRegion() bool {
	return slices.ContainsFunc(m.seeds, func(s Seed) bool { return s.Contact.Region == m.region })
}

// knownPlaces returns the zones in which another live member is known.
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
	if m.sync.digestsValid {
		return
	}
	m.sync.digestsValid = true
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
