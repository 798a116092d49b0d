package dfustore

import (
	"context"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Store is a client of the platform's key-value service. It is safe for concurrent
// use.
type Store interface {
	Versioned
	// Delete removes a key if its revision is the expected one and returns the
	// revision of the delete.
	Delete(ctx context.Context, key string, expected dfuident.Revision) (dfuident.Revision, error)
	// GrantLease creates a lease that expires if it is not kept alive for ttl.
	GrantLease(ctx context.Context, ttl dfuclock.Duration) (LeaseID, error)
	// KeepAlive restarts the time to live of the lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease immediately.
	Revoke(ctx context.Context, lease LeaseID) error
	// Close closes the idle connections.
	Close()
}

// Versioned is the part of a Store that Numbered wraps: the calls with revisions that the nodes use.
type Versioned interface {
	// Get returns the record of a key, which has revision zero if the key does not
	// exist.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose key has the prefix, ordered by key, and a
	// revision of the store. Every record is at least as new as at that revision.
	List(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error)
	// ListStale is like List, but its result may be some seconds old, which the
	// returned revision shows. The platform charges a tenth of a List for it.
	ListStale(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error)
	// Ping is like ListStale, for a prefix with few records or an empty prefix for none. It
	// returns revision zero without an error if only data of other answers arrived before
	// ctx ended.
	Ping(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error)
	// Received returns how often data of any answer have arrived. While it grows, an answer
	// that is due may still be arriving.
	Received() uint64
	// Watch waits, for at most wait, until a record whose key has the prefix has
	// a revision above after. It returns all such records including deletes,
	// ordered by revision, and the revision to pass as after in the next call. On
	// timeout it returns that revision without records. The revision is zero if the answer
	// has none, and below after if the store has been restored from an older copy.
	Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]Record, dfuident.Revision, error)
	// CompareAndSwap writes a key if its revision is the expected one and
	// returns the new revision. An expected revision of zero means that the key
	// must not exist. With a lease, the key is deleted when the lease expires.
	CompareAndSwap(ctx context.Context, key string, expected dfuident.Revision, value []byte, lease LeaseID) (dfuident.Revision, error)
}
