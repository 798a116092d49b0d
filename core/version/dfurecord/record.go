package dfurecord

import (
	"strings"

	"dragonflyusher/core/process/dfuident"
)

// Record is the state of one store key at one revision.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is the value compressed with DEFLATE (RFC 1951), or nil. In a message from
	// a peer it replaces Value.
	Packed   []byte            `json:"packed,omitempty"`
	Revision dfuident.Revision `json:"revision"`
	// Deleted marks a tombstone. A tombstone has no value.
	Deleted bool `json:"deleted,omitempty"`
}

// Summary holds the revisions of one key without its value.
type Summary struct {
	Key string `json:"key"`
	// Noted is the greatest revision received for the key.
	Noted dfuident.Revision `json:"noted"`
	// InForce is the revision whose value is in use. It is less than Noted
	// while the newest value is invalid, or is an older version.
	InForce dfuident.Revision `json:"in_force"`
	// Version is the version in force of a key whose writers number its values, zero for
	// other keys and from nodes that don't report it.
	Version Version `json:"version,omitempty"`
}

// isNewer reports whether s has a newer value than another summary of the key.
func (s Summary) isNewer(than Summary) bool {
	if s.Noted > than.Noted {
		return true
	}
	if s.Version != 0 && than.Version != 0 && s.Version != than.Version {
		return s.Version > than.Version
	}
	return s.InForce > than.InForce
}

// Invalid describes a key whose newest value is invalid.
type Invalid struct {
	Key      string            `json:"key"`
	Revision dfuident.Revision `json:"revision"`
	// InForce is the revision that stays in use, or zero if there is none.
	InForce dfuident.Revision `json:"in_force"`
	Message string            `json:"message"`
}

// MergeResult is the result of merging one record into a set.
type MergeResult uint8

// The results of a merge.
const (
	// Merged means that the record is now in force.
	Merged MergeResult = iota
	// MergedInvalid means that the record's value is invalid. The record is
	// kept for reporting, and the last valid value stays in force.
	MergedInvalid
	// AlreadyHeld means that the set already held this revision.
	AlreadyHeld
	// Stale means that the set holds a greater revision, or a greater version.
	Stale
	// MaybeDeleted means that the key may have been deleted after this revision
	// and its tombstone evicted. Only a read of the store can decide.
	MaybeDeleted
	// NotStored means that the record was not stored: the set has no room for
	// another key, the value is too large, or the revision is zero.
	NotStored
)

var mergeResultNames = [...]string{"taken", "noted", "known", "stale", "unproven", "full"}

// String returns the result's name.
func (m MergeResult) String() string {
	return mergeResultNames[m]
}

// Changed reports whether the record changed the set, so that peers need it.
func (m MergeResult) Changed() bool {
	return m == Merged || m == MergedInvalid
}

// Limits bounds the memory use of a set.
type Limits struct {
	// Keys is the maximum number of keys with a value.
	Keys int
	// Tombstones is the maximum number of tombstones. The oldest is evicted
	// first.
	Tombstones int
	// ValueBytes is the maximum size of a value.
	ValueBytes dfuident.Bytes
}

// DefaultLimits returns limits with room for ten times the expected number of
// services and zones.
func DefaultLimits() Limits {
	return Limits{Keys: 4096, Tombstones: 1024, ValueBytes: 1 << 20}
}

// Version is the number that the writers of a key give its values, in increasing order. It is
// zero if they don't.
type Version uint64

// VersionOf returns the version of a valid value. A greater version is newer whatever the
// revisions are.
type VersionOf func(key string, value []byte) Version

// Check returns an error if the value is invalid for the key and must not come
// into force.
type Check func(key string, value []byte) error

func hasPrefix(key, prefix string) bool {
	return strings.HasPrefix(key, prefix)
}
