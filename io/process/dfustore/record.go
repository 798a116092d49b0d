package dfustore

import (
	"fmt"
	"strconv"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1_000_000

// Keys and key prefixes that the system uses.
const (
	// CataloguePrefix precedes the service in the key of an entry.
	CataloguePrefix = "catalogue/"
	// ClaimsPrefix precedes the service in the key of its claim shards.
	ClaimsPrefix = "claims/"
	// ZonePrefix precedes "region/zone" in the key of a zone's nodes.
	ZonePrefix = "zone/"
	// PingPrefix precedes no key. A read of it returns only the revision of the store.
	PingPrefix = "ping/"
	// ProbeKey is the key of a record that nodes write to learn the revision of the store from a
	// write. Its value has no meaning.
	ProbeKey = "probe"
	// QuotaPrefix precedes the number of a shard of quotas in the key of its owner.
	QuotaPrefix = "quota/"
	// OperatorPrefix precedes the keys that only operators write: RoutesKey, that of the
	// route table, and EvacuationsPrefix with the name of an evacuated availability zone.
	OperatorPrefix    = "operator/"
	RoutesKey         = OperatorPrefix + "routes"
	EvacuationsPrefix = OperatorPrefix + "evacuations/"
)

// CatalogueKey returns the key of a service's entry.
func CatalogueKey(s dfuident.Service) string {
	return CataloguePrefix + string(s)
}

// ClaimsKey returns the key of the record that holds the owners of a service's
// claim shards.
func ClaimsKey(s dfuident.Service) string {
	return ClaimsPrefix + string(s)
}

// ZoneKey returns the key of the nodes of an availability zone.
func ZoneKey(p dfuident.Place) string {
	return ZonePrefix + p.String()
}

// QuotaKey returns the key of the owner of a shard of quotas.
func QuotaKey(shard int) string {
	return QuotaPrefix + strconv.Itoa(shard)
}

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Record is a key with its value. Revision is zero for a key that does not exist.
// A watch reports a deleted key as a record without a value, with Deleted set and
// with the revision of the delete.
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
	// ErrConflict is returned, as a *ConflictError, for a write whose expected
	// revision is not the current one.
	ErrConflict = errors.New("the key has another revision")
	// ErrUnavailable marks a call that the store certainly did not apply: it
	// was never sent or the store refused it. Every failed read is marked so.
	ErrUnavailable = errors.New("the store is unavailable")
	// ErrUncertain marks a write that was sent and whose reply was lost or
	// late: it may have been applied, or may still be applied later.
	ErrUncertain = errors.New("the reply of the store was lost")
	// ErrTooLarge marks a write whose value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("the value is too large for the store")
	// ErrCompacted marks a watch from a revision so old that the store no longer
	// has the deletes since then. The watcher has to list again.
	ErrCompacted = errors.New("the store has forgotten changes since that revision")
	// ErrLeaseExpired marks the use of a lease that has expired or never existed.
	ErrLeaseExpired = errors.New("the lease has lapsed")
)

// ConflictError is the error of a write whose expected revision is not the current
// one.
type ConflictError struct {
	// Current is the record that the store holds.
	Current Record
}

// Error returns the message of ErrConflict with the record's key and revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d: %s", e.Current.Key, e.Current.Revision, ErrConflict.Error())
}

// Is reports whether target is ErrConflict, for errors.Is.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
