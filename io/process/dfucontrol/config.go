package dfucontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"

	"go.uber.org/zap"
)

// Store is what the duty needs of the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (dfustore.Record, error)
	List(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error)
	ListRecent(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error)
	Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error)
	CompareAndSwap(ctx context.Context, key string, expect dfuident.Revision, value []byte, lease dfustore.LeaseID) (dfuident.Revision, error)
}

// Caller makes calls to other nodes.
type Caller interface {
	Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error
}

// Config says who the node is and how patient it is.
type Config struct {
	Node  dfuident.NodeID
	Place dfuident.Place
	// Peer and HTTP are where other nodes and callers reach the node.
	Peer dfuident.Address
	HTTP dfuident.Address

	// Prefixes are the keys of the store that every node holds a copy of.
	Prefixes   []string
	Membership dfumembership.Config
	// JoinByPeers lets a node that can't reach the store join by the peers that
	// call it. Its incarnation is then the wall clock's, which nothing proves to
	// be above that of its former run.
	JoinByPeers bool
	// ReadAtStart makes a node read its records from the store as soon as it
	// runs, in place of waiting until its peers have told it theirs.
	ReadAtStart bool
	// CallTimeout bounds one call to a peer.
	CallTimeout dfuclock.Duration
	// WatchWait is how long a watch waits in the store for a change.
	WatchWait dfuclock.Duration
	// ListPeriod is the time between two whole lists by a watcher.
	ListPeriod dfuclock.Duration
	// PagePeriod is the time between two checks of the zone's page by the
	// zone's bridge.
	PagePeriod dfuclock.Duration
	// RetryMin and RetryMax bound the wait after a failed call to the store.
	RetryMin dfuclock.Duration
	RetryMax dfuclock.Duration
	// Senders is the number of calls to peers under way at once.
	Senders int
	// RingSize bounds what waits for the owner and for the senders.
	RingSize int
}

// DefaultConfig returns the waits and bounds used by the daemon.
func DefaultConfig() Config {
	return Config{
		Prefixes:    []string{dfustore.CataloguePrefix, dfustore.ClaimsPrefix},
		Membership:  dfumembership.DefaultConfig(),
		CallTimeout: 900 * dfuclock.Millisecond,
		WatchWait:   2 * dfuclock.Second,
		ListPeriod:  dfuclock.Minute,
		PagePeriod:  30 * dfuclock.Second,
		RetryMin:    100 * dfuclock.Millisecond,
		RetryMax:    5 * dfuclock.Second,
		Senders:     16,
		RingSize:    1024,
	}
}

// Deps are the duty's dependencies.
type Deps struct {
	Store  Store
	Caller Caller
	Clock  dfuclock.Clock
	// Wall gives the time that incarnations are taken from.
	Wall func() time.Time
	Rand *rand.Rand
	Log  *zap.Logger
	// Publish is called with every new view by the goroutine that owns the
	// machines. It must not block.
	Publish func(*dfuroster.View)
	// Superseded is called once if a later run of this node is found to live,
	// by the same goroutine. It must not block.
	Superseded func()
}

// Announcement is what the node's own target is now.
type Announcement struct {
	Target dfumembership.Target
	// Left says that the node stops. It is final.
	Left bool
}
