package dfuclaim

import (
	"cmp"
	"slices"

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

// onFinished records how a granted request ended and answers its repeats.
func (m *Machine) onFinished(e Finished) {
	c := m.claims[e.Request]
	if c == nil || c.state != claimRunning {
		return
	}
	m.untrack(c)
	r := Record{
		Key: c.key, Birth: c.birth, State: RecordLost,
		Request: c.request, Runner: m.self, Sequence: c.sequence,
	}
	if e.Ran {
		r.State, r.Kept, r.Status, r.Answer = RecordRan, true, e.Status, e.Answer
	}
	m.settleWaiting(&r)
	m.recordFinish(m.shards[c.shard], r)
}

// onFinishes records how other nodes' requests ended.
func (m *Machine) onFinishes(from dfuident.Member, f Finishes) {
	s := m.shardAt(f.Shard)
	if s == nil {
		return
	}
	for _, r := range f.Records {
		old := s.records.get(r.Key)
		if old == nil || old.Request != r.Request || old.over() || !r.over() {
			continue
		}
		m.settleWaiting(&r)
		if from == s.entry.Owner {
			s.records.put(r)
			continue
		}
		m.recordFinish(s, r)
	}
}

// recordFinish updates the key's record and queues it for the other holders.
func (m *Machine) recordFinish(s *shard, r Record) {
	if old := s.records.get(r.Key); old != nil && old.Request == r.Request {
		s.records.put(r)
	}
	if dfuident.Bytes(len(r.Answer)) > m.cfg.Limits.AnswerBytes {
		r.Kept, r.Status, r.Answer = false, 0, nil
	}
	if len(s.finishes) < m.cfg.Limits.Records {
		s.finishes = append(s.finishes, r)
	}
}

// sendFinishes sends the queued finishes to the other holders, once a new copy
// holder is able to place them.
func (m *Machine) sendFinishes(s *shard) {
	if len(s.finishes) == 0 || s.grants() && !s.alone && !s.copyReady {
		return
	}
	f := Finishes{Shard: s.index, Records: s.finishes}
	s.finishes = nil
	m.send(s.entry.Owner, f)
	m.send(s.entry.Copy, f)
}

// onReleased forgets a request that was not handed over.
func (m *Machine) onReleased(e Released) {
	c := m.claims[e.Request]
	if c == nil {
		return
	}
	m.untrack(c)
	if c.state == claimWaiting {
		m.stopWaiting(c)
		return
	}
	m.withdraw(m.shards[c.shard], c)
	m.restartWaiting(c.key)
}

// settle answers a claim from the record of an earlier request that is over.
func (m *Machine) settle(c *claim, r *Record) {
	switch {
	case r.State == RecordRan && r.Kept:
		m.untrack(c)
		m.do(Replay{Request: c.request, Status: r.Status, Answer: r.Answer})
	case r.State == RecordRan:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonAlreadyRun)
	case r.Runner == m.self:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonTargetDied)
	default:
		m.deny(c, dfuoutcome.Unknown, dfuoutcome.ReasonOwnerLost)
	}
}

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

// settleWaiting answers the claims that waited for a request that is now over.
func (m *Machine) settleWaiting(r *Record) {
	waiting := m.waiting[r.Key]
	delete(m.waiting, r.Key)
	for _, c := range waiting {
		m.settle(c, r)
	}
}

// restartWaiting decides anew on the claims that waited for a request that
// never ran. The first one of them takes its place.
func (m *Machine) restartWaiting(key dfuident.Key) {
	waiting := m.waiting[key]
	delete(m.waiting, key)
	for _, c := range waiting {
		m.decide(c)
	}
}

// stopWaiting takes a claim out of the list of those waiting for its key.
func (m *Machine) stopWaiting(c *claim) {
	rest := slices.DeleteFunc(m.waiting[c.key], func(w *claim) bool { return w == c })
	if len(rest) == 0 {
		delete(m.waiting, c.key)
		return
	}
	m.waiting[c.key] = rest
}

// sweepClaims asks again for claims without an answer and settles those that
// can't wait any longer.
func (m *Machine) sweepClaims() {
	for _, c := range m.unsettled() {
		if m.claims[c.request] != c {
			continue
		}
		switch c.state {
		case claimAsked:
			m.sweepAsked(c)
		case claimWaiting:
			m.sweepWaiting(c)
		case claimRunning:
		}
	}
}

// unsettled returns the claims that were neither granted nor denied yet, in
// the order of their arrival.
func (m *Machine) unsettled() []*claim {
	var out []*claim
	for _, c := range m.claims {
		if c.state != claimRunning {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *claim) int { return cmp.Compare(a.arrival, b.arrival) })
	return out
}

// sweepAsked denies an asked claim past its deadline or asks again.
func (m *Machine) sweepAsked(c *claim) {
	s := m.shards[c.shard]
	r := s.records.get(c.key)
	switch {
	case r == nil || r.Sequence != c.sequence:
		m.giveUp(c, dfuoutcome.ReasonNoCopy)
	case m.now >= c.deadline:
		m.giveUp(c, dfuoutcome.ReasonNoCopy)
	case m.now >= c.retryAt:
		m.pursue(s, c)
	}
}

// giveUp withdraws and denies an asked claim.
func (m *Machine) giveUp(c *claim, reason dfuoutcome.Reason) {
	m.withdraw(m.shards[c.shard], c)
	m.deny(c, dfuoutcome.NotRun, reason)
	m.restartWaiting(c.key)
}

// sweepWaiting denies a waiting claim past its deadline, or if the request it
// waits for won't be heard of here. The outcome is unknown rather than not run,
// since an earlier request with the key may have had its effect.
func (m *Machine) sweepWaiting(c *claim) {
	s := m.shards[c.shard]
	r := s.records.get(c.key)
	var reason dfuoutcome.Reason
	switch {
	case m.now >= c.deadline:
		reason = dfuoutcome.ReasonKeyRunning
	case !s.grants() && !m.runsHere(c.key):
		reason = dfuoutcome.ReasonKeyRunning
	case r == nil && !m.runsHere(c.key):
		reason = dfuoutcome.ReasonKeyTooOld
	case r != nil && r.Runner != m.self && !m.roster.serves(r.Runner):
		reason = dfuoutcome.ReasonOwnerLost
	default:
		return
	}
	m.stopWaiting(c)
	m.deny(c, dfuoutcome.Unknown, reason)
}

// runsHere reports whether a request with the key is running at this node.
func (m *Machine) runsHere(key dfuident.Key) bool {
	for _, c := range m.claims {
		if c.key == key && c.state == claimRunning {
			return true
		}
	}
	return false
}
