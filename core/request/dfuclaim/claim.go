package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// claimState is the progress of a claim.
type claimState int

const (
	// claimAwaitingAck waits for an acknowledgement by the copy holder.
	claimAwaitingAck claimState = iota
	// claimWaiting waits for the end of an earlier request with the same key.
	claimWaiting
	// claimRunning has been granted.
	claimRunning
)

// claim is a request from its Claim event until it has been denied or answered,
// or its run has ended.
type claim struct {
	request dfuident.RequestID
	key     dfuident.Key
	birth   UnixMs
	shard   ShardIndex
	state   claimState
	// arrival is the claim's position in the order of arrival.
	arrival  uint64
	sequence Sequence
	deadline dfuclock.Time
	retryAt  dfuclock.Time
}

// onClaim handles a Claim event: it validates the claim and then grants, denies
// or answers it, asks the copy holder, or waits for an earlier request.
func (m *Machine) onClaim(e Claim) {
	if m.claims[e.Request] != nil {
		return
	}
	c := &claim{request: e.Request, key: e.Key, deadline: m.now.Add(e.Remaining)}
	birth, err := KeyCreationTime(e.Key)
	switch {
	case e.Key == "":
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonKeyMissing)
	case err != nil:
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonBadRequest)
	case birth > e.Wall+UnixMs(m.cfg.Tolerance):
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonKeyFromFuture)
	case m.leaving:
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonDraining)
	case len(m.shards) == 0:
		m.store.readSoon(m.now)
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNotOwner)
	case len(m.claims) >= m.cfg.Claims:
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonQueueFull)
	default:
		c.birth, c.shard = birth, ShardOf(e.Key, len(m.shards))
		m.decide(c)
	}
}

// decide answers, denies or queues a claim according to the key's record, or
// starts it if the key has none.
func (m *Machine) decide(c *claim) {
	s := m.shards[c.shard]
	if !s.grants() {
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNotOwner)
		return
	}
	r := s.records.get(c.key)
	switch {
	case r == nil && s.records.maybeEvicted(c.birth):
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonKeyTooOld)
	case r == nil:
		m.start(s, c)
	case r.finished():
		m.answerFromRecord(c, r)
	case r.Runner == m.self || m.roster.reachable(r.Runner):
		c.state = claimWaiting
		m.track(c)
		m.waiting[c.key] = append(m.waiting[c.key], c)
	default:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonOwnerLost)
	}
}

// start records a claim of a new key and grants it or asks the copy holder.
func (m *Machine) start(s *shard, c *claim) {
	m.sequence++
	c.sequence, c.state = m.sequence, claimAwaitingAck
	m.track(c)
	s.records.put(Record{
		Key: c.key, Birth: c.birth, State: RecordAsked,
		Request: c.request, Runner: m.self, Sequence: c.sequence,
	})
	m.grantOrAsk(s, c)
}

// grantOrAsk grants a claim if this node may grant alone. Otherwise it sends the
// copy holder an Ask, or sends it again.
func (m *Machine) grantOrAsk(s *shard, c *claim) {
	if s.grantsAlone {
		m.grant(s, c)
		return
	}
	c.retryAt = m.now.Add(m.cfg.AskRetry)
	if !s.askUnanswered {
		s.askUnanswered, s.askUnansweredSince = true, m.now
	}
	m.send(s.entry.Copy, Ask{
		Term: s.term(), Key: c.key, Birth: c.birth,
		Request: c.request, Sequence: c.sequence,
	})
}

// onAck grants a claim that the copy holder has recorded, unless its deadline
// has passed.
func (m *Machine) onAck(from dfuident.Member, a Ack) {
	s, c := m.claimForReply(from, a.Term, a.Key, a.Sequence)
	switch {
	case c == nil:
	case m.now >= c.deadline:
		m.withdrawAndDeny(c, dfuoutcome.ReasonDeadline)
	default:
		m.grant(s, c)
	}
}

// onRefuse denies a claim that the copy holder refused to record. The claim is
// also withdrawn, since the copy holder may have recorded an earlier Ask for it.
func (m *Machine) onRefuse(from dfuident.Member, r Refuse) {
	if _, c := m.claimForReply(from, r.Term, r.Key, r.Sequence); c != nil {
		m.store.readSoon(m.now)
		m.withdrawAndDeny(c, dfuoutcome.ReasonNoCopy)
	}
}

// claimForReply returns the shard and the claim that a copy holder's reply refers
// to. The claim is nil if the reply is not for the current generation or not for
// the key's current claim.
func (m *Machine) claimForReply(from dfuident.Member, t Term, key dfuident.Key, sequence Sequence) (*shard, *claim) {
	s := m.shardAt(t.Shard)
	if s == nil || s.role != roleOwner || s.retired || s.term() != t || s.entry.Copy != from {
		return nil, nil
	}
	s.askUnanswered = false
	r := s.records.get(key)
	if r == nil || r.State != RecordAsked || r.Sequence != sequence {
		return nil, nil
	}
	return s, m.claims[r.Request]
}

// grant marks a claim as running and emits a Grant.
func (m *Machine) grant(s *shard, c *claim) {
	r := s.records.get(c.key)
	if r == nil || r.Sequence != c.sequence {
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNoCopy)
		return
	}
	r.State, c.state = RecordRunning, claimRunning
	m.emit(Grant{Request: c.request})
}

// withdraw removes the record of a claim that was not granted, or was released
// before it ran, and sends Withdraw to the shard's other holders. The key may be
// claimed again.
func (m *Machine) withdraw(s *shard, c *claim) {
	if r := s.records.get(c.key); r != nil && r.Request == c.request {
		s.records.remove(c.key)
	}
	w := Withdraw{Shard: s.index, Key: c.key, Runner: m.self, Sequence: c.sequence}
	m.send(s.entry.Owner, w)
	m.send(s.entry.Copy, w)
}

// onWithdraw removes the record of another node's claim. It accepts the message
// from that node and from the shard's owner only.
func (m *Machine) onWithdraw(from dfuident.Member, w Withdraw) {
	s := m.shardAt(w.Shard)
	if s == nil || from != w.Runner && from != s.entry.Owner {
		return
	}
	r := s.records.get(w.Key)
	if r == nil || r.finished() || r.Runner != w.Runner || r.Sequence != w.Sequence {
		return
	}
	s.records.remove(w.Key)
	if s.grants() {
		m.send(s.entry.Copy, w)
		m.restartWaiting(w.Key)
	}
}

// deny emits a Deny for a claim and stops tracking it.
func (m *Machine) deny(c *claim, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	m.untrack(c)
	m.emit(Deny{Request: c.request, Outcome: outcome, Reason: reason, Revision: m.revision})
}

// track adds a claim to the claims in flight, in order of arrival.
func (m *Machine) track(c *claim) {
	if m.claims[c.request] == nil {
		m.lastArrival++
		c.arrival = m.lastArrival
		m.claims[c.request] = c
	}
}

// untrack removes a claim from the claims in flight.
func (m *Machine) untrack(c *claim) {
	delete(m.claims, c.request)
}
