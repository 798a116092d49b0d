package dfustore

import (
	"fmt"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1_000_000

// The prefixes of the keys that the system uses.
const (
	// CataloguePrefix precedes the service in the key of an entry.
	CataloguePrefix = "catalogue/"
	// ClaimsPrefix precedes the service in the key of its claim shards.
	ClaimsPrefix = "claims/"
	// ZonePrefix precedes "region/zone" in the key of a zone's nodes.
	ZonePrefix = "zone/"
	// RoutesKey is the key of the table of routes, which only operators write.
	RoutesKey = "routes"
)

// CatalogueKey returns the key of a service's entry.
func CatalogueKey(s dfuident.Service) string {
	return CataloguePrefix + string(s)
}

// ClaimsKey returns the key of the owners of a service's claim shards.
func ClaimsKey(s dfuident.Service) string {
	return ClaimsPrefix + string(s)
}

// ZoneKey returns the key of the nodes of an availability zone.
func ZoneKey(p dfuident.Place) string {
	return ZonePrefix + p.String()
}

// LeaseID names a lease. Zero means no lease.
type LeaseID uint64

// Record is a key with its value. Revision is zero for a key that does not
// exist. A watch tells of a deleted key by a record without a value that has the
// revision of the delete.
type Record struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value,omitempty"`
	Revision dfuident.Revision `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
}

// Exists reports whether the key holds a value.
func (r Record) Exists() bool {
	return r.Revision > 0 && !r.Deleted
}

var (
	// ErrConflict marks a write whose expected revision is not the current
	// one. The error is a *ConflictError.
	ErrConflict = errors.New("the key has another revision")
	// ErrUnavailable marks a call that the store certainly did not apply: it
	// was never sent or the store refused it. Every failed read is one.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUncertain marks a write that was sent and whose reply was lost or
	// late, so that it may have been applied or may be applied yet.
	ErrUncertain = errors.New("the reply of the store was lost")
	// ErrTooLarge marks a write whose value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("the value is too large for the store")
	// ErrCompacted marks a watch from a revision so old that the store has
	// forgotten deletes since. The watcher has to list again.
	ErrCompacted = errors.New("the store has forgotten changes since that revision")
	// ErrNoLease marks the use of a lease that has lapsed or never was.
	ErrNoLease = errors.New("the lease has lapsed")
)

// ConflictError is the answer to a write that expected another revision.
type ConflictError struct {
	// Current is the record that the store holds.
	Current Record
}

// Error returns the message of ErrConflict with the record's key and revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d: %s", e.Current.Key, e.Current.Revision, ErrConflict.Error())
}

// Is makes errors.Is(e, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
