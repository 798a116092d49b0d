package dfumembership

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// maxRelays bounds the probes made for others that wait for their answer.
const maxRelays = 64

// probeState holds the probes under way.
type probeState struct {
	next     dfuclock.Time
	sequence uint64
	pending  []*probe
	relays   []relay
	// health counts the node's own failed probes, less the answered ones.
	health int
}

// probe is one probe made in this protocol period.
type probe struct {
	subject  Contact
	sequence uint64
	sentAt   dfuclock.Time
	// indirect is set once others have been asked.
	indirect bool
	// across says that the subject stands for its whole region.
	across bool
}

// relay is a probe made on behalf of another member.
type relay struct {
	sequence uint64
	origin   Contact
	// originSequence is the sequence that the origin waits for.
	originSequence uint64
	subject        Contact
}

// answeredBy reports whether a message answers the probe: another process may
// have taken over the subject's address. Any member answers for its region.
func (p *probe) answeredBy(msg Message) bool {
	from := msg.From
	if msg.Subject != nil {
		from = *msg.Subject
	}
	if p.sequence != msg.Sequence {
		return false
	}
	return from.Member.Node == p.subject.Member.Node || from.Region == p.subject.Region && p.across
}

// stepProbes asks others about probes without an answer and, at the end of the
// period, judges the last probes and begins new ones.
func (m *Machine) stepProbes(now dfuclock.Time) {
	for _, p := range m.probe.pending {
		if !p.indirect && now.Sub(p.sentAt) >= m.cfg.AckTimeout {
			p.indirect = true
			m.askOthers(p)
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
	l := m.grouped()
	if h := m.pick(l.fingers, nil); h != nil {
		m.beginProbe(now, h)
	}
	if !l.bridge {
		return
	}
	for i := range l.remote {
		if h := m.pick(l.remote[i].doors(), nil); h != nil {
			m.beginProbe(now, h)
		}
	}
}

func (m *Machine) beginProbe(now dfuclock.Time, h *member) {
	m.probe.sequence++
	p := &probe{subject: h.contact(), sequence: m.probe.sequence, sentAt: now}
	p.across = p.subject.Region != m.region
	m.probe.pending = append(m.probe.pending, p)
	m.ping(p.subject, p.sequence)
}

// ping sends a probe. It tells a member first what is said of it, so that it
// can refute.
func (m *Machine) ping(to Contact, sequence uint64) {
	m.send(to, Message{Kind: Ping, Sequence: sequence, Digest: m.Digest(), Updates: m.rumor(to)})
}

// askOthers has other members probe the subject, in case only the path from
// here is broken.
func (m *Machine) askOthers(p *probe) {
	if p.across {
		m.askAcross(p)
		return
	}
	for _, h := range m.pickSome(m.grouped().fingers, m.cfg.IndirectProbes) {
		if h.update.Member.Node != p.subject.Member.Node {
			m.requestPing(h, p)
		}
	}
}

// askAcross probes other members of an unanswering region too, since only the
// subject may be down, and through another bridge, since only the path from
// here may be. A region known to be unreachable isn't worth those bytes.
func (m *Machine) askAcross(p *probe) {
	s := m.observe(p.subject.Region)
	if s == nil || s.status.Unreachable {
		return
	}
	l := m.grouped()
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
	if p.across {
		m.failRegion(now, p.subject.Region)
		return
	}
	m.probe.health = min(m.probe.health+1, m.cfg.MaxHealth)
	h, ok := m.members[p.subject.Member.Node]
	if !ok || h.update.Member != p.subject.Member || h.update.State != Alive {
		return
	}
	u := h.update
	u.State = Suspect
	m.accept(now, u, true)
}

// receivePing answers a probe. Whoever is taken for gone, or for an earlier
// run, is told so with the answer.
func (m *Machine) receivePing(msg Message) {
	m.send(msg.From, Message{
		Kind: Ack, Sequence: msg.Sequence, Digest: m.Digest(), Joined: m.Joined(), Updates: m.rumor(msg.From),
	})
}

func (m *Machine) receiveAck(now dfuclock.Time, msg Message) {
	for i, p := range m.probe.pending {
		if !p.answeredBy(msg) {
			continue
		}
		m.probe.pending = append(m.probe.pending[:i:i], m.probe.pending[i+1:]...)
		if p.across {
			m.reachRegion(now, p.subject.Region)
		} else {
			m.probe.health = max(m.probe.health-1, 0)
		}
		m.compareDigest(now, msg)
		return
	}
	if m.relayAck(msg) {
		return
	}
	// The answer to a seed's ping, or one that came too late to be judged.
	m.compareDigest(now, msg)
}

// relayAck passes an answer on to the member that asked for the probe.
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

// rumor returns what is known of a member that it should refute or yield to.
func (m *Machine) rumor(about Contact) []Update {
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

// regionState is what this node knows of another region.
type regionState struct {
	status   RegionStatus
	failures int
}

// observe returns the state of a region, or nil when there are too many.
func (m *Machine) observe(region dfuident.Region) *regionState {
	r, ok := m.regions[region]
	if !ok && len(m.regions) < maxRegions {
		r = &regionState{status: RegionStatus{Observer: m.region, Observed: region}}
		m.regions[region] = r
	}
	return r
}

// failRegion counts a failed probe across the link. A node whose probes in its
// own region fail as well doesn't judge.
func (m *Machine) failRegion(now dfuclock.Time, region dfuident.Region) {
	r := m.observe(region)
	if r == nil || m.probe.health > 2 {
		return
	}
	r.failures++
	if r.failures >= m.cfg.RegionFailures && !r.status.Unreachable {
		m.judgeRegion(now, r, true)
	}
}

func (m *Machine) reachRegion(now dfuclock.Time, region dfuident.Region) {
	r := m.observe(region)
	if r == nil {
		return
	}
	r.failures = 0
	if r.status.Unreachable {
		m.judgeRegion(now, r, false)
	}
}

func (m *Machine) judgeRegion(now dfuclock.Time, r *regionState, unreachable bool) {
	status := r.status
	status.Version++
	status.Unreachable = unreachable
	m.acceptRegion(now, status)
}

// acceptRegion merges what another node of this region says of a region.
func (m *Machine) acceptRegion(now dfuclock.Time, status RegionStatus) {
	if status.Observer != m.region {
		return
	}
	r := m.observe(status.Observed)
	if r == nil || !newerStatus(status, r.status) {
		return
	}
	flipped := r.status.Unreachable != status.Unreachable
	r.status = status
	m.queue.addRegion(status, m.sendLimit())
	m.sync.changedAt = now
	if flipped {
		r.failures = 0
		m.do(RegionChanged{Status: status})
	}
}

// newerStatus reports whether a supersedes b. At the same version a region
// that somebody reached counts as reachable.
func newerStatus(a, b RegionStatus) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return b.Unreachable && !a.Unreachable
}
