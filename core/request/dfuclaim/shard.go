package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// role is this node's role in a shard according to the table.
type role int

const (
	roleNone role = iota
	roleOwner
	roleCopy
)

// shard is this node's state of one shard in its current generation.
type shard struct {
	index   ShardIndex
	entry   ShardEntry
	role    role
	records *records

	// grantsAlone is set if this node grants without an acknowledgement, because
	// the table names no copy holder or because the other holder has stated that
	// it will never act in this generation again.
	grantsAlone bool
	// retired is set if this node has itself stated that it will never act in this
	// generation again: as the owner it no longer grants, as the copy holder it
	// does not take over.
	retired bool
	// retiredAcked is set if the other holder has acknowledged the statement.
	retiredAcked bool

	// synced is set at a copy holder that has the owner's records.
	synced bool

	// copySynced is set at an owner whose copy holder has acknowledged a snapshot.
	copySynced bool
	// askUnanswered is set if the copy holder has replied to no Ask since
	// askUnansweredSince, when the first of them was sent.
	askUnanswered      bool
	askUnansweredSince dfuclock.Time
	// avoidedCopy is an unresponsive copy holder that is not chosen again until
	// avoidedUntil if there is another candidate.
	avoidedCopy  dfuident.Member
	avoidedUntil dfuclock.Time
	// nextHandoverAt is when a Snapshot, Relinquish or LeaveCopy is sent next.
	nextHandoverAt dfuclock.Time
	// unsentFinishes holds finished records that the other holders have yet to be
	// sent.
	unsentFinishes []Record
}

// term returns the shard's index and current generation.
func (s *shard) term() Term {
	return Term{Shard: s.index, Generation: s.entry.Generation}
}

// grants reports whether this node decides on the shard's claims.
func (s *shard) grants() bool {
	return !s.retired && (s.role == roleOwner || s.role == roleCopy && s.grantsAlone)
}

// hasAllRecords reports whether the records contain every granted claim that has
// not been evicted.
func (s *shard) hasAllRecords() bool {
	return !s.retired && (s.role == roleOwner || s.role == roleCopy && s.synced)
}

// roleOf returns the role that an entry gives a member.
func roleOf(e ShardEntry, m dfuident.Member) role {
	switch m {
	case e.Owner:
		return roleOwner
	case e.Copy:
		return roleCopy
	default:
		return roleNone
	}
}
