package dfurecord

import (
	"strings"

	"dragonflyusher/core/process/dfuident"
)

// Record is one key of the store as of one revision.
type Record struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value,omitempty"`
	Revision dfuident.Revision `json:"revision"`
	// Deleted marks a tombstone, which has no value.
	Deleted bool `json:"deleted,omitempty"`
}

// Summary names the revisions of one key without its value.
type Summary struct {
	Key string `json:"key"`
	// Noted is the greatest revision met for the key.
	Noted dfuident.Revision `json:"noted"`
	// InForce is the revision whose value is used. It is below Noted while
	// the newest value fails its check.
	InForce dfuident.Revision `json:"in_force"`
}

// Invalid reports a key whose newest value fails its check.
type Invalid struct {
	Key      string            `json:"key"`
	Revision dfuident.Revision `json:"revision"`
	// InForce is the revision that stays in use, or zero if there is none.
	InForce dfuident.Revision `json:"in_force"`
	Message string            `json:"message"`
}

// Verdict says what a set did with one record.
type Verdict uint8

// The verdicts on a record.
const (
	// Taken means that the record is now in force.
	Taken Verdict = iota
	// Noted means that the record's value fails its check; its revision is
	// kept for the report and the last valid value stays in force.
	Noted
	// Known means that the set already held this revision.
	Known
	// Stale means that the set holds a greater revision.
	Stale
	// Unproven means that the key may have been deleted after this revision:
	// its tombstone may have been evicted. Only the store can settle it.
	Unproven
	// Full means that the set has no room for another key.
	Full
)

var verdictNames = [...]string{"taken", "noted", "known", "stale", "unproven", "full"}

// String returns the verdict's name.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Changed reports whether the record altered the set and is worth passing on.
func (v Verdict) Changed() bool {
	return v == Taken || v == Noted
}

// Limits bounds the memory of a set.
type Limits struct {
	// Keys is the number of keys held with a value.
	Keys int
	// Tombstones is the number of deleted keys remembered.
	Tombstones int
	// ValueBytes is the size of the largest value accepted.
	ValueBytes dfuident.Bytes
}

// DefaultLimits leaves room for ten times the services and zones expected.
func DefaultLimits() Limits {
	return Limits{Keys: 4096, Tombstones: 1024, ValueBytes: 1 << 20}
}

// Check returns an error if a value must not come into force for its key.
type Check func(key string, value []byte) error

func hasPrefix(key, prefix string) bool {
	return strings.HasPrefix(key, prefix)
}
