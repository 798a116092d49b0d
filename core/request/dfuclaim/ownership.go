package dfuclaim

import (
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// applyTable replaces the known table with a later one from the store, and applies
// its entries to the shards. It drops the pending write if the revision shows that
// the write has already taken effect or never will.
func (m *Machine) applyTable(revision dfuident.Revision, table Table) {
	if revision <= m.revision || m.shards != nil && len(table.Shards) != len(m.shards) {
		return
	}
	if m.store.pending != nil && revision > m.store.pending.expect {
		m.store.pending = nil
	}
	m.store.tableKnown = true
	table = table.clone()
	if revision.Era() != m.revision.Era() {
		table.keepNewer(m.table)
	}
	m.revision, m.table = revision, table
	if m.shards == nil {
		m.shards = make([]*shard, len(table.Shards))
		for i := range m.shards {
			m.shards[i] = &shard{index: ShardIndex(i), records: newRecords(m.cfg.Limits, 0)}
		}
	}
	for i, e := range table.Shards {
		m.applyEntry(m.shards[i], e)
	}
}

// keepNewer replaces the entries whose generation is smaller than in an earlier table by those of the
// earlier one. The store was restored from an older copy: the owner of such an entry has
// handed its records over, so that it must not grant again.
func (t Table) keepNewer(earlier Table) {
	for i := range min(len(t.Shards), len(earlier.Shards)) {
		if t.Shards[i].Generation < earlier.Shards[i].Generation {
			t.Shards[i] = earlier.Shards[i]
		}
	}
}

// applyEntry moves a shard to the generation of an entry. A new owner keeps its
// records if they were complete. If they were not, the entry's floor is at or above
// the creation time of every key granted before: a process writes only itself into
// the table as the owner of an existing shard, and chooses the floor accordingly.
func (m *Machine) applyEntry(s *shard, e ShardEntry) {
	if e.Generation == s.entry.Generation {
		s.entry.Epoch = max(s.entry.Epoch, e.Epoch)
		return
	}
	keepRecords := s.hasAllRecords()
	oldRole := s.role
	s.entry, s.role = e, roleOf(e, m.self)
	if !keepRecords || s.role != roleOwner {
		s.records = newRecords(m.cfg.Limits, e.Floor)
	}
	s.records.floor = max(s.records.floor, e.Floor)
	s.grantsAlone = s.role == roleOwner && e.Copy.IsZero()
	s.retired, s.retiredAcked, s.synced = false, false, false
	s.copySynced, s.askUnanswered = false, false
	s.nextHandoverAt = m.now
	m.logRoleChange(s, oldRole)
	m.resumeAwaitingAck(s)
}

// logRoleChange logs this node's role in the shard after a change of generation.
func (m *Machine) logRoleChange(s *shard, oldRole role) {
	switch {
	case s.role == roleOwner:
		m.log(s, TransitionOwns, s.entry.Copy)
	case s.role == roleCopy:
		m.log(s, TransitionCopies, s.entry.Owner)
	case oldRole != roleNone:
		m.log(s, TransitionStandsDown, s.entry.Owner)
	}
}

// resumeAwaitingAck sends the claims that await an acknowledgement to the new copy
// holder, or denies them as not run if this node is no longer the owner, since
// they were never granted.
func (m *Machine) resumeAwaitingAck(s *shard) {
	for _, c := range m.ungrantedClaims() {
		if c.shard != s.index || c.state != claimAwaitingAck {
			continue
		}
		if s.role == roleOwner {
			m.grantOrAsk(s, c)
			continue
		}
		m.withdraw(s, c)
		m.deny(c, dfuoutcome.NotRun, dfuoutcome.ReasonNotOwner)
	}
}

// shardChange describes the change of one shard in a write of the table.
type shardChange struct {
	shard      ShardIndex
	transition Transition
}

// plan returns the table that this node should write and its changes from the
// current table. There are no changes if the current table is as desired.
func (m *Machine) plan(wall UnixMs) (Table, []shardChange) {
	if m.revision == 0 {
		return m.planNewTable(wall)
	}
	next := m.table.clone()
	var changes []shardChange
	for _, s := range m.shards {
		e, transition := m.planShard(s, wall)
		if transition == "" {
			continue
		}
		next.Shards[s.index] = e
		changes = append(changes, shardChange{s.index, transition})
	}
	return next, changes
}

// planNewTable returns the service's first table if this node should create it. If
// an earlier table was deleted, the floor is at or above the creation time of every
// key that may have run under that table.
func (m *Machine) planNewTable(wall UnixMs) (Table, []shardChange) {
	if m.leaving || m.roster.highestRanked(m.service, 0) != m.self {
		return Table{}, nil
	}
	t := Table{Shards: make([]ShardEntry, m.cfg.Shards)}
	var floor UnixMs
	if m.store.tableDeleted {
		floor = m.safeFloor(wall)
	}
	for i, owner := range m.roster.shardOwners(m.service, m.cfg.Shards) {
		t.Shards[i] = ShardEntry{
			Owner: owner, Copy: m.roster.copyFor(m.service, ShardIndex(i), owner),
			Generation: 1, Floor: floor, Epoch: m.epoch,
		}
	}
	return t, []shardChange{{0, TransitionCreates}}
}

// planShard returns the entry that this node would write for a shard. The transition
// is empty if no change is needed.
func (m *Machine) planShard(s *shard, wall UnixMs) (ShardEntry, Transition) {
	e := s.entry
	switch {
	case s.grants():
		return m.planGrantingShard(s)
	case s.role == roleCopy && !s.retired && !m.roster.reachable(e.Owner) && s.synced:
		return m.entryAsOwner(s, s.records.floor), TransitionTakesOver
	case s.role == roleCopy && !s.retired && (m.roster.processEnded(e.Owner) || m.endedByEpoch(e, e.Owner)):
		return m.entryAsOwner(s, m.safeFloor(wall)), TransitionTakesOverWithoutRecords
	case m.leaving || m.roster.highestRanked(m.service, s.index) != m.self:
		return e, ""
	case e.Owner.IsZero():
		return m.entryAsOwner(s, e.Floor), TransitionAdopts
	case m.holderRetired(s, e.Owner) && (e.Copy.IsZero() || m.holderRetired(s, e.Copy)):
		return m.entryAsOwner(s, m.safeFloor(wall)), TransitionTakesOverWithoutRecords
	default:
		return e, ""
	}
}

// planGrantingShard is planShard for the node that decides on the shard's claims.
func (m *Machine) planGrantingShard(s *shard) (ShardEntry, Transition) {
	e := s.entry
	candidate := m.chooseCopy(s)
	switch {
	case s.role == roleCopy:
		return m.entryAsOwner(s, s.records.floor), TransitionConfirms
	case m.leaving && candidate.IsZero():
		return ShardEntry{
			Generation: e.Generation + 1, Floor: s.records.maxBirth(), Epoch: max(m.epoch, e.Epoch),
		}, TransitionReleases
	case !m.roster.eligible(e.Copy) && !candidate.IsZero():
		return m.entryAsOwner(s, s.records.floor), TransitionReplacesCopy
	case !e.Copy.IsZero() && !m.roster.reachable(e.Copy):
		return m.entryAsOwner(s, s.records.floor), TransitionReplacesCopy
	case m.copyUnresponsive(s) && candidate != e.Copy:
		return m.entryAsOwner(s, s.records.floor), TransitionReplacesCopy
	case e.Epoch < m.epoch:
		e.Epoch = m.epoch
		return e, TransitionUpdatesEpoch
	}
	switch newOwner := m.rebalanceOwner(s); newOwner {
	case dfuident.Member{}:
	case e.Copy:
		return e, ""
	default:
		next := m.entryAsOwner(s, s.records.floor)
		next.Copy = newOwner
		return next, TransitionRebalances
	}
	if m.rosterStable() && s.copySynced && m.placementScore(candidate) > m.placementScore(e.Copy) {
		return m.entryAsOwner(s, s.records.floor), TransitionReplacesCopy
	}
	return e, ""
}

// chooseCopy returns the best copy holder for the shard. It avoids a copy holder
// that was recently unresponsive unless there is no other candidate.
func (m *Machine) chooseCopy(s *shard) dfuident.Member {
	if m.copyUnresponsive(s) {
		s.avoidedCopy, s.avoidedUntil = s.entry.Copy, m.now.Add(m.cfg.AvoidTime)
	}
	if m.now < s.avoidedUntil {
		if best := m.roster.without(s.avoidedCopy).copyFor(m.service, s.index, m.self); !best.IsZero() {
			return best
		}
	}
	return m.roster.copyFor(m.service, s.index, m.self)
}

// entryAsOwner returns the entry of the next generation with this node as the
// owner.
func (m *Machine) entryAsOwner(s *shard, floor UnixMs) ShardEntry {
	return ShardEntry{
		Owner:      m.self,
		Copy:       m.chooseCopy(s),
		Generation: s.entry.Generation + 1,
		Floor:      max(floor, s.entry.Floor),
		Epoch:      max(m.epoch, s.entry.Epoch),
	}
}

// safeFloor returns a floor at or above the creation time of every key granted so
// far by any node. A granted key was created at most Tolerance ahead of its owner's
// clock, which is at most Skew ahead of this node's clock.
func (m *Machine) safeFloor(wall UnixMs) UnixMs {
	return wall + UnixMs(m.cfg.Tolerance) + UnixMs(m.cfg.Skew)
}

// holderRetired reports whether a holder of a shard will never act in its
// generation again, by its own statement, by evidence that its process has ended or
// by an operator's confirmation. Suspicion by membership is not enough, since a
// pair of holders that is partitioned from this node may still be granting.
func (m *Machine) holderRetired(s *shard, holder dfuident.Member) bool {
	if holder == m.self {
		return s.retired
	}
	return m.roster.processEnded(holder) || m.endedByEpoch(s.entry, holder)
}

// endedByEpoch reports whether an operator has raised claim_epoch since the entry
// was written and membership does not see the holder alive.
func (m *Machine) endedByEpoch(e ShardEntry, holder dfuident.Member) bool {
	return m.epoch > e.Epoch && !m.roster.reachable(holder)
}

// copyUnresponsive reports whether the copy holder has not replied for CopyTimeout
// and should be replaced, although membership may report it as alive.
func (m *Machine) copyUnresponsive(s *shard) bool {
	return s.role == roleOwner && !s.grantsAlone && s.askUnanswered &&
		m.now.Sub(s.askUnansweredSince) >= m.cfg.CopyTimeout
}

// rebalanceOwner returns the node to which this node should now move the shard to
// balance the load, or the zero Member. A node moves one shard at a time.
func (m *Machine) rebalanceOwner(s *shard) dfuident.Member {
	if m.leaving || !m.rosterStable() {
		return dfuident.Member{}
	}
	if m.shardOwners == nil {
		m.shardOwners = m.roster.shardOwners(m.service, len(m.shards))
	}
	for i, owner := range m.shardOwners {
		other := m.shards[i]
		if other.role != roleOwner || owner == m.self && !other.retired {
			continue
		}
		if other != s || other.retired || !other.grantsAlone && !other.copySynced {
			return dfuident.Member{}
		}
		return owner
	}
	return dfuident.Member{}
}

// rosterStable reports whether the roster has been unchanged for RebalanceDelay.
func (m *Machine) rosterStable() bool {
	return m.now.Sub(m.rosterChangedAt) >= m.cfg.RebalanceDelay
}

// placementScore returns the placement score of a copy holder for the shards of
// this node.
func (m *Machine) placementScore(holder dfuident.Member) int {
	return placementScore(m.roster.place(m.self), m.roster.place(holder))
}
