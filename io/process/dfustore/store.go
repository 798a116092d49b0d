package dfustore

import (
	"context"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Store is the platform's key-value service. It may be used by several
// goroutines.
type Store interface {
	// Get returns the record of a key. A key that does not exist has revision
	// zero.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose key has the prefix, ordered by key, and a
	// revision of the store that all of them are at least as new as.
	List(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error)
	// ListRecent is List at a tenth of the price. What it returns may be seconds
	// old, as its revision tells.
	ListRecent(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error)
	// Watch waits until a record whose key has the prefix has a revision above
	// after, for wait at the longest. It returns all such records, deletes
	// included, ordered by revision, and the revision to watch from next. Both
	// are returned without records when the time passes.
	Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]Record, dfuident.Revision, error)
	// CompareAndSwap writes a key if its revision is the expected one and
	// returns the new revision. An expected revision of zero means that the key
	// must not exist. With a lease, the key is deleted when the lease lapses.
	CompareAndSwap(ctx context.Context, key string, expect dfuident.Revision, value []byte, lease LeaseID) (dfuident.Revision, error)
	// Delete removes a key if its revision is the expected one and returns the
	// revision of the delete.
	Delete(ctx context.Context, key string, expect dfuident.Revision) (dfuident.Revision, error)
	// GrantLease opens a lease that lapses when it is not kept alive for ttl.
	GrantLease(ctx context.Context, ttl dfuclock.Duration) (LeaseID, error)
	// KeepAlive starts the lease's time anew.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease at once.
	Revoke(ctx context.Context, lease LeaseID) error
	// Close closes the idle connections.
	Close()
}
