package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// claimState says how far a claim got.
type claimState int

const (
	// claimAsked waits for the copy holder.
	claimAsked claimState = iota
	// claimWaiting waits for an earlier request with the same key.
	claimWaiting
	// claimRunning was granted.
	claimRunning
)

// claim is a request from its Claim event until it is settled.
type claim struct {
	request dfuident.RequestID
	key     dfuident.Key
	birth   UnixMs
	shard   ShardIndex
	state   claimState
	// arrival orders claims by when they were tracked.
	arrival  uint64
	sequence Sequence
	deadline dfuclock.Time
	retryAt  dfuclock.Time
}

// onClaim answers a claim or begins to obtain the copy holder's agreement.
func (m *Machine) onClaim(e Claim) {
	if m.claims[e.Request] != nil {
		return
	}
	c := &claim{request: e.Request, key: e.Key, deadline: m.now.Add(e.Remaining)}
	birth, err := Birth(e.Key)
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

// decide settles a claim from the key's record or starts it afresh.
func (m *Machine) decide(c *claim) {
	s := m.shards[c.shard]
	if !s.grants() {
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNotOwner)
		return
	}
	r := s.records.get(c.key)
	switch {
	case r == nil && s.records.forgotten(c.birth):
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonKeyTooOld)
	case r == nil:
		m.start(s, c)
	case r.over():
		m.settle(c, r)
	case r.Runner == m.self || m.roster.serves(r.Runner):
		c.state = claimWaiting
		m.track(c)
		m.waiting[c.key] = append(m.waiting[c.key], c)
	default:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonOwnerLost)
	}
}

// start records a fresh claim and grants it or asks the copy holder.
func (m *Machine) start(s *shard, c *claim) {
	m.sequence++
	c.sequence, c.state = m.sequence, claimAsked
	m.track(c)
	s.records.put(Record{
		Key: c.key, Birth: c.birth, State: RecordAsked,
		Request: c.request, Runner: m.self, Sequence: c.sequence,
	})
	m.pursue(s, c)
}

// pursue grants an asked claim if this node is alone or else asks the copy
// holder, again if need be.
func (m *Machine) pursue(s *shard, c *claim) {
	if s.alone {
		m.grant(s, c)
		return
	}
	c.retryAt = m.now.Add(m.cfg.AskRetry)
	if !s.unanswered {
		s.unanswered, s.unansweredAt = true, m.now
	}
	m.send(s.entry.Copy, Ask{
		Term: s.term(), Key: c.key, Birth: c.birth,
		Request: c.request, Sequence: c.sequence,
	})
}

// onAck grants the claim that the copy holder recorded.
func (m *Machine) onAck(from dfuident.Member, a Ack) {
	s, c := m.asked(from, a.Term, a.Key, a.Sequence)
	switch {
	case c == nil:
	case m.now >= c.deadline:
		m.giveUp(c, dfuoutcome.ReasonDeadline)
	default:
		m.grant(s, c)
	}
}

// onRefuse denies the claim that the copy holder didn't record. An earlier Ask

// of the same claim may have been recorded, so it is withdrawn.
func (m *Machine) onRefuse(from dfuident.Member, r Refuse) {
	if _, c := m.asked(from, r.Term, r.Key, r.Sequence); c != nil {
		m.store.readSoon(m.now)
		m.giveUp(c, dfuoutcome.ReasonNoCopy)
	}
}

// asked returns the claim that a copy holder's answer is about, or nil if the

// answer doesn't apply to the present generation and claim.
func (m *Machine) asked(from dfuident.Member, t Term, key dfuident.Key, q Sequence) (*shard, *claim) {
	s := m.shardAt(t.Shard)
	if s == nil || s.role != roleOwner || s.silent || s.term() != t || s.entry.Copy != from {
		return nil, nil
	}
	s.unanswered = false
	r := s.records.get(key)
	if r == nil || r.State != RecordAsked || r.Sequence != q {
		return nil, nil
	}
	return s, m.claims[r.Request]
}

// grant lets a claim run.
func (m *Machine) grant(s *shard, c *claim) {
	r := s.records.get(c.key)
	if r == nil || r.Sequence != c.sequence {
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNoCopy)
		return
	}
	r.State, c.state = RecordRunning, claimRunning
	m.do(Grant{Request: c.request})
}

// withdraw removes the record of a claim that was not granted, or was given up

// before it ran, and tells the other holders. The key may be claimed again.
func (m *Machine) withdraw(s *shard, c *claim) {
	if r := s.records.get(c.key); r != nil && r.Request == c.request {
		s.records.remove(c.key)
	}
	w := Withdraw{Shard: s.index, Key: c.key, Runner: m.self, Sequence: c.sequence}
	m.send(s.entry.Owner, w)
	m.send(s.entry.Copy, w)
}

// onWithdraw removes the record of another node's claim, on the word of that

// node or of the shard's owner.
func (m *Machine) onWithdraw(from dfuident.Member, w Withdraw) {
	s := m.shardAt(w.Shard)
	if s == nil || from != w.Runner && from != s.entry.Owner {
		return
	}
	r := s.records.get(w.Key)
	if r == nil || r.over() || r.Runner != w.Runner || r.Sequence != w.Sequence {
		return
	}
	s.records.remove(w.Key)
	if s.grants() {
		m.send(s.entry.Copy, w)
		m.restartWaiting(w.Key)
	}
}

// sendFinishes sends the queued finishes to the other holders, once a new copy

// deny refuses a claim.
func (m *Machine) deny(c *claim, outcome dfuoutcome.Outcome, reason dfuoutcome.Reason) {
	m.untrack(c)
	m.do(Deny{Request: c.request, Outcome: outcome, Reason: reason, Revision: m.revision})
}

// track remembers a claim until it is settled or its run is over.
func (m *Machine) track(c *claim) {
	if m.claims[c.request] == nil {
		m.arrivals++
		c.arrival = m.arrivals
		m.claims[c.request] = c
	}
}

// untrack forgets a claim.
func (m *Machine) untrack(c *claim) {
	delete(m.claims, c.request)
}

// restartWaiting decides anew on the claims that waited for a request that

// unsettled returns the claims that were neither granted nor denied yet, in

// sweepWaiting denies a waiting claim past its deadline, or if the request it

// waits for won't be heard of here. The outcome is unknown rather than not run,
