package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// role is what the table says this node is to a shard.
type role int

const (
	roleNone role = iota
	roleOwner
	roleCopy
)

// shard is what a node knows of one shard in its present generation.
type shard struct {
	index   ShardIndex
	entry   ShardEntry
	role    role
	records *records

	// alone means that this node grants without acknowledgement, because the
	// table names no copy holder or because the other holder has stated that
	// it will never act in this generation again.
	alone bool
	// silent means that this node has made that statement itself: an owner
	// never grants, a copy holder never takes over in this generation.
	silent bool
	// silentAcked means that the other holder received the statement.
	silentAcked bool

	// synced means that a copy holder has the owner's records.
	synced bool

	// copyReady means that an owner knows its copy holder to be synchronized.
	copyReady bool
	// unanswered means that the copy holder has been silent since the Ask that
	// was sent at unansweredAt.
	unanswered   bool
	unansweredAt dfuclock.Time
	// avoid was an unreachable copy holder and is not chosen until avoidUntil.
	avoid      dfuident.Member
	avoidUntil dfuclock.Time
	// handoverAt is when a Snapshot, Relinquish or LeaveCopy is sent next.
	handoverAt dfuclock.Time
	// finishes are to be sent to the other holders.
	finishes []Record
}

// term returns the shard's present generation.
func (s *shard) term() Term {
	return Term{Shard: s.index, Generation: s.entry.Generation}
}

// grants reports whether this node decides on the shard's claims.
func (s *shard) grants() bool {
	return !s.silent && (s.role == roleOwner || s.role == roleCopy && s.alone)
}

// complete reports whether the records contain every claim that was granted
// and not forgotten.
func (s *shard) complete() bool {
	return !s.silent && (s.role == roleOwner || s.role == roleCopy && s.synced)
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
