package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// adopt takes a table that the store held, if it is later than the known one.
func (m *Machine) adopt(revision dfuident.Revision, table Table) {
	if revision <= m.revision || m.shards != nil && len(table.Shards) != len(m.shards) {
		return
	}
	if m.store.pending != nil && revision > m.store.pending.expect {
		m.store.pending = nil
	}
	m.store.known = true
	m.revision, m.table = revision, table.clone()
	if m.shards == nil {
		m.shards = make([]*shard, len(table.Shards))
		for i := range m.shards {
			m.shards[i] = &shard{index: ShardIndex(i), records: newRecords(m.cfg.Limits, 0)}
		}
	}
	for i, e := range table.Shards {
		m.enter(m.shards[i], e)
	}
}

// enter moves a shard to the generation of an entry. Only a run itself writes
// itself as the owner, so an owner's records stay if they were complete, and
// otherwise the entry's floor is above everything ever granted.
func (m *Machine) enter(s *shard, e ShardEntry) {
	if e.Generation == s.entry.Generation {
		s.entry.Epoch = max(s.entry.Epoch, e.Epoch)
		return
	}
	keep := s.complete()
	old := s.role
	s.entry, s.role = e, roleOf(e, m.self)
	if !keep || s.role != roleOwner {
		s.records = newRecords(m.cfg.Limits, e.Floor)
	}
	s.records.floor = max(s.records.floor, e.Floor)
	s.alone = s.role == roleOwner && e.Copy.IsZero()
	s.silent, s.silentAcked, s.synced = false, false, false
	s.copyReady, s.unanswered = false, false
	s.handoverAt = m.now
	m.logRole(s, old)
	m.resumeAsked(s)
}

// logRole reports a change of role.
func (m *Machine) logRole(s *shard, old role) {
	switch {
	case s.role == roleOwner:
		m.log(s, TransitionOwns, s.entry.Copy)
	case s.role == roleCopy:
		m.log(s, TransitionCopies, s.entry.Owner)
	case old != roleNone:
		m.log(s, TransitionStandsDown, s.entry.Owner)
	}
}

// resumeAsked asks the new copy holder for the claims under way, or denies
// them if this node is no longer the owner. They were never granted.
func (m *Machine) resumeAsked(s *shard) {
	for _, c := range m.unsettled() {
		if c.shard != s.index || c.state != claimAsked {
			continue
		}
		if s.role == roleOwner {
			m.pursue(s, c)
			continue
		}
		m.withdraw(s, c)
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNotOwner)
	}
}

// change is one shard's part in a write of the table.
type change struct {
	shard      ShardIndex
	transition Transition
}

// plan returns the table that this node wants, with all its changes in one, and
// no changes if the present table is as it should be.
func (m *Machine) plan(wall UnixMs) (Table, []change) {
	if m.revision == 0 {
		return m.planTable(wall)
	}
	next := m.table.clone()
	var changes []change
	for _, s := range m.shards {
		e, transition := m.planShard(s, wall)
		if transition == "" {
			continue
		}
		next.Shards[s.index] = e
		changes = append(changes, change{s.index, transition})
	}
	return next, changes
}

// planTable returns the service's table if this node is to create it. If there
// was one before, the floor is above every key that may have run under it.
func (m *Machine) planTable(wall UnixMs) (Table, []change) {
	if m.leaving || m.roster.first(m.service, 0) != m.self {
		return Table{}, nil
	}
	t := Table{Shards: make([]ShardEntry, m.cfg.Shards)}
	var floor UnixMs
	if m.store.deleted {
		floor = m.horizon(wall)
	}
	for i, owner := range m.roster.owners(m.service, m.cfg.Shards) {
		t.Shards[i] = ShardEntry{
			Owner: owner, Copy: m.roster.copyFor(m.service, ShardIndex(i), owner),
			Generation: 1, Floor: floor, Epoch: m.epoch,
		}
	}
	return t, []change{{0, TransitionCreates}}
}

// planShard returns what this node wants of a shard, with no transition if it
// wants no change.
func (m *Machine) planShard(s *shard, wall UnixMs) (ShardEntry, Transition) {
	e := s.entry
	switch {
	case s.grants():
		return m.planGranted(s)
	case s.role == roleCopy && !s.silent && !m.roster.serves(e.Owner) && s.synced:
		return m.owned(s, s.records.floor), TransitionTakesOver
	case s.role == roleCopy && !s.silent && (m.roster.ended(e.Owner) || m.vouched(e, e.Owner)):
		return m.owned(s, m.horizon(wall)), TransitionForgets
	case m.leaving || m.roster.first(m.service, s.index) != m.self:
		return e, ""
	case e.Owner.IsZero():
		return m.owned(s, e.Floor), TransitionAdopts
	case m.over(s, e.Owner) && (e.Copy.IsZero() || m.over(s, e.Copy)):
		return m.owned(s, m.horizon(wall)), TransitionForgets
	default:
		return e, ""
	}
}

// planGranted returns what the node that decides on a shard's claims wants.
func (m *Machine) planGranted(s *shard) (ShardEntry, Transition) {
	e := s.entry
	best := m.bestCopy(s)
	switch {
	case s.role == roleCopy:
		return m.owned(s, s.records.floor), TransitionConfirms
	case m.leaving && best.IsZero():
		return ShardEntry{
			Generation: e.Generation + 1, Floor: s.records.newest(), Epoch: max(m.epoch, e.Epoch),
		}, TransitionReleases
	case !m.roster.stays(e.Copy) && !best.IsZero():
		return m.owned(s, s.records.floor), TransitionReplacesCopy
	case !e.Copy.IsZero() && !m.roster.serves(e.Copy):
		return m.owned(s, s.records.floor), TransitionReplacesCopy
	case m.unreachable(s) && best != e.Copy:
		return m.owned(s, s.records.floor), TransitionReplacesCopy
	case e.Epoch < m.epoch:
		e.Epoch = m.epoch
		return e, TransitionNotesEpoch
	}
	switch target := m.rebalanceTarget(s); target {
	case dfuident.Member{}:
	case e.Copy:
		return e, ""
	default:
		next := m.owned(s, s.records.floor)
		next.Copy = target
		return next, TransitionRebalances
	}
	if m.settled() && s.copyReady && m.separation(best) > m.separation(e.Copy) {
		return m.owned(s, s.records.floor), TransitionReplacesCopy
	}
	return e, ""
}

// bestCopy returns the best copy holder for the shard, which is not one that
// was unreachable lately if there is any other.
func (m *Machine) bestCopy(s *shard) dfuident.Member {
	if m.unreachable(s) {
		s.avoid, s.avoidUntil = s.entry.Copy, m.now.Add(m.cfg.AvoidTime)
	}
	if m.now < s.avoidUntil {
		if best := m.roster.without(s.avoid).copyFor(m.service, s.index, m.self); !best.IsZero() {
			return best
		}
	}
	return m.roster.copyFor(m.service, s.index, m.self)
}

// owned returns the entry of the next generation with this node as the owner.
func (m *Machine) owned(s *shard, floor UnixMs) ShardEntry {
	return ShardEntry{
		Owner:      m.self,
		Copy:       m.bestCopy(s),
		Generation: s.entry.Generation + 1,
		Floor:      max(floor, s.entry.Floor),
		Epoch:      max(m.epoch, s.entry.Epoch),
	}
}

// horizon returns a floor that no key granted by now lies above: a granted
// key's birth is at most Tolerance ahead of its owner's clock.
func (m *Machine) horizon(wall UnixMs) UnixMs {
	return wall + UnixMs(m.cfg.Tolerance) + UnixMs(m.cfg.Skew)
}

// over reports whether a holder of a shard will never act in its generation
// again, by its own statement, by evidence or by an operator's word. A suspect
// is not over: a pair that is cut off from this node may go on without it.
func (m *Machine) over(s *shard, holder dfuident.Member) bool {
	if holder == m.self {
		return s.silent
	}
	return m.roster.ended(holder) || m.vouched(s.entry, holder)
}

// vouched reports whether an operator has raised claim_epoch since the entry
// was written and the holder looks dead.
func (m *Machine) vouched(e ShardEntry, holder dfuident.Member) bool {
	return m.epoch > e.Epoch && !m.roster.serves(holder)
}

// unreachable reports whether the copy holder has not answered for so long that
// it should be replaced, although membership sees it alive.
func (m *Machine) unreachable(s *shard) bool {
	return s.role == roleOwner && !s.alone && s.unanswered &&
		m.now.Sub(s.unansweredAt) >= m.cfg.CopyTimeout
}

// rebalanceTarget returns the node that should own the shard if it is this
// node's turn to move it, else zero. A node moves one shard at a time.
func (m *Machine) rebalanceTarget(s *shard) dfuident.Member {
	if m.leaving || !m.settled() {
		return dfuident.Member{}
	}
	if m.owners == nil {
		m.owners = m.roster.owners(m.service, len(m.shards))
	}
	for i, owner := range m.owners {
		t := m.shards[i]
		if t.role != roleOwner || owner == m.self && !t.silent {
			continue
		}
		if t != s || t.silent || !t.alone && !t.copyReady {
			return dfuident.Member{}
		}
		return owner
	}
	return dfuident.Member{}
}

// settled reports whether the roster has been unchanged for a while.
func (m *Machine) settled() bool {
	return m.now.Sub(m.rosterAt) >= m.cfg.RebalanceDelay
}

// separation grades a copy holder of this node's shards.
func (m *Machine) separation(holder dfuident.Member) int {
	return separation(m.roster.place(m.self), m.roster.place(holder))
}
