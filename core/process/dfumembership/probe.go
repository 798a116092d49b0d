package dfumembership

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// maxRelays limits the pending probes made on behalf of other members.
const maxRelays = 64

// probeState holds the pending probes.
type probeState struct {
	next     dfuclock.Time
	sequence uint64
	pending  []*probe
	relays   []relay
	// localHealth is the number of the node's own failed probes minus the
	// answered ones, at least zero.
	localHealth int
}

// probe is one probe of the current protocol period.
type probe struct {
	subject  Contact
	sequence uint64
	sentAt   dfuclock.Time
	// indirect is set once other members have been asked to probe.
	indirect bool
	// crossRegion is set if the subject was probed on behalf of its whole
	// region.
	crossRegion bool
}

// relay is a probe made on behalf of another member.
type relay struct {
	sequence uint64
	origin   Contact
	// originSequence is the sequence that the origin expects in the answer.
	originSequence uint64
	subject        Contact
}

// answeredBy reports whether a message answers the probe. The sender is checked
// because another process may have taken over the subject's address. A
// cross-region probe may be answered by any member of the region.
func (p *probe) answeredBy(msg Message) bool {
	from := msg.From
	if msg.Subject != nil {
		from = *msg.Subject
	}
	if p.sequence != msg.Sequence {
		return false
	}
	return from.Member.Node == p.subject.Member.Node || from.Region == p.subject.Region && p.crossRegion
}

// stepProbes starts indirect probes for those without an answer. At the end of
// the protocol period it handles the failed probes and starts new ones.
func (m *Machine) stepProbes(now dfuclock.Time) {
	for _, p := range m.probe.pending {
		if !p.indirect && now.Sub(p.sentAt) >= m.cfg.AckTimeout {
			p.indirect = true
			m.probeIndirectly(p)
		}
	}
	if now.Before(m.probe.next) {
		return
	}
	m.probe.next = now.Add(m.cfg.ProbePeriod)
	for _, p := range m.probe.pending {
		m.failProbe(now, p)
	}
	m.probe.pending = nil
	if m.self.update.State == Left {
		return
	}
	l := m.currentTopology()
	if h := m.pick(l.gossipPeers, nil); h != nil {
		m.beginProbe(now, h)
	}
	if !l.bridge {
		return
	}
	for i := range l.remote {
		if h := m.pick(l.remote[i].contactPoints(), nil); h != nil {
			m.beginProbe(now, h)
		}
	}
}

func (m *Machine) beginProbe(now dfuclock.Time, h *member) {
	m.probe.sequence++
	p := &probe{subject: h.contact(), sequence: m.probe.sequence, sentAt: now}
	p.crossRegion = p.subject.Region != m.region
	m.probe.pending = append(m.probe.pending, p)
	m.ping(p.subject, p.sequence)
}

// ping sends a probe, including updates that the receiver may have to refute.
func (m *Machine) ping(to Contact, sequence uint64) {
	m.send(to, Message{Kind: Ping, Sequence: sequence, Digest: m.Digest(), Updates: m.updatesAbout(to)})
}

// probeIndirectly asks other members to probe the subject, in case only the
// path from this node to it is broken.
func (m *Machine) probeIndirectly(p *probe) {
	if p.crossRegion {
		m.probeRegionIndirectly(p)
		return
	}
	for _, h := range m.pickSome(m.currentTopology().gossipPeers, m.cfg.IndirectProbes) {
		if h.update.Member.Node != p.subject.Member.Node {
			m.requestPing(h, p)
		}
	}
}

// probeRegionIndirectly probes other members of the region, in case only the
// subject is down, and asks another bridge to probe it, in case only the path
// from this node is broken. Regions known to be unreachable are skipped to save
// traffic.
func (m *Machine) probeRegionIndirectly(p *probe) {
	s := m.regionStateOf(p.subject.Region)
	if s == nil || s.status.Unreachable {
		return
	}
	l := m.currentTopology()
	if h := m.pick(l.bridges, nil); h != nil {
		m.requestPing(h, p)
	}
	for i := range l.remote {
		if l.remote[i].region != p.subject.Region {
			continue
		}
		for _, h := range m.pickSome(l.remote[i].members, m.cfg.IndirectProbes) {
			m.ping(h.contact(), p.sequence)
		}
	}
}

func (m *Machine) requestPing(from *member, p *probe) {
	subject := p.subject
	m.send(from.contact(), Message{Kind: PingRequest, Sequence: p.sequence, Subject: &subject})
}

func (m *Machine) failProbe(now dfuclock.Time, p *probe) {
	if p.crossRegion {
		m.recordRegionFailure(now, p.subject.Region)
		return
	}
	m.probe.localHealth = min(m.probe.localHealth+1, m.cfg.MaxHealth)
	h, ok := m.members[p.subject.Member.Node]
	if !ok || h.update.Member != p.subject.Member || h.update.State != Alive {
		return
	}
	u := h.update
	u.State = Suspect
	m.applyUpdate(now, u, true)
}

// receivePing answers a probe. The answer includes updates about the sender
// that it may have to refute or that supersede its run.
func (m *Machine) receivePing(msg Message) {
	m.send(msg.From, Message{
		Kind: Ack, Sequence: msg.Sequence, Digest: m.Digest(), Joined: m.Joined(), Updates: m.updatesAbout(msg.From),
	})
}

func (m *Machine) receiveAck(now dfuclock.Time, msg Message) {
	if msg.Sequence == watchSequence {
		return
	}
	for i, p := range m.probe.pending {
		if !p.answeredBy(msg) {
			continue
		}
		m.probe.pending = append(m.probe.pending[:i:i], m.probe.pending[i+1:]...)
		if p.crossRegion {
			m.recordRegionSuccess(now, p.subject.Region)
		} else {
			m.probe.localHealth = max(m.probe.localHealth-1, 0)
		}
		m.compareDigest(now, msg)
		return
	}
	if m.relayAck(msg) {
		return
	}
	// This is the answer to a seed ping, or to a probe that has already failed.
	m.compareDigest(now, msg)
}

// relayAck forwards an answer to the member that requested the probe, and
// reports whether there was one.
func (m *Machine) relayAck(msg Message) bool {
	for i, r := range m.probe.relays {
		if r.sequence == msg.Sequence && r.subject.Member.Node == msg.From.Member.Node {
			m.probe.relays = append(m.probe.relays[:i:i], m.probe.relays[i+1:]...)
			m.send(r.origin, Message{Kind: Ack, Sequence: r.originSequence, Subject: &msg.From, Digest: msg.Digest})
			return true
		}
	}
	return false
}

func (m *Machine) receivePingRequest(msg Message) {
	if msg.Subject == nil {
		return
	}
	m.probe.sequence++
	r := relay{sequence: m.probe.sequence, origin: msg.From, originSequence: msg.Sequence, subject: *msg.Subject}
	if len(m.probe.relays) >= maxRelays {
		m.probe.relays = m.probe.relays[1:]
	}
	m.probe.relays = append(m.probe.relays, r)
	m.ping(*msg.Subject, r.sequence)
}

// updatesAbout returns the update of a member if the member has to refute it or
// is superseded by it.
func (m *Machine) updatesAbout(about Contact) []Update {
	h, ok := m.members[about.Member.Node]
	if !ok || h == m.self {
		return nil
	}
	u := h.update
	if u.Member.Incarnation > about.Member.Incarnation || u.State != Alive {
		u.Details = nil
		return []Update{u}
	}
	return nil
}

// regionState is the known state of another region.
type regionState struct {
	status   RegionStatus
	failures int
}

// regionStateOf returns the state of a region, or nil if there are too many
// regions.
func (m *Machine) regionStateOf(region dfuident.Region) *regionState {
	r, ok := m.regions[region]
	if !ok && len(m.regions) < maxRegions {
		r = &regionState{status: RegionStatus{Observer: m.region, Observed: region}}
		m.regions[region] = r
	}
	return r
}

// recordRegionFailure counts a failed cross-region probe. It is ignored if the
// node's probes within its own region fail as well.
func (m *Machine) recordRegionFailure(now dfuclock.Time, region dfuident.Region) {
	r := m.regionStateOf(region)
	if r == nil || m.probe.localHealth > 2 {
		return
	}
	r.failures++
	if r.failures >= m.cfg.RegionFailures && !r.status.Unreachable {
		m.changeRegionStatus(now, r, true)
	}
}

func (m *Machine) recordRegionSuccess(now dfuclock.Time, region dfuident.Region) {
	r := m.regionStateOf(region)
	if r == nil {
		return
	}
	r.failures = 0
	if r.status.Unreachable {
		m.changeRegionStatus(now, r, false)
	}
}

func (m *Machine) changeRegionStatus(now dfuclock.Time, r *regionState, unreachable bool) {
	status := r.status
	status.Version++
	status.Unreachable = unreachable
	m.mergeRegionStatus(now, status)
}

// mergeRegionStatus applies the status of another region, as reported by a node
// of this region.
func (m *Machine) mergeRegionStatus(now dfuclock.Time, status RegionStatus) {
	if status.Observer != m.region {
		return
	}
	r := m.regionStateOf(status.Observed)
	if r == nil || !supersedesStatus(status, r.status) {
		return
	}
	flipped := r.status.Unreachable != status.Unreachable
	r.status = status
	m.gossipQueue.addRegion(status, m.sendLimit())
	m.sync.changedAt = now
	if flipped {
		r.failures = 0
		m.addAction(RegionChanged{Status: status})
	}
}

// supersedesStatus reports whether a supersedes b. At the same version,
// reachable wins over unreachable.
func supersedesStatus(a, b RegionStatus) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return b.Unreachable && !a.Unreachable
}
