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

// Store is the part of the platform's key-value service that a Controller uses, with revisions
// that never become smaller. See dfustore.Store and dfustore.Numbered for the semantics of the
// methods.
type Store interface {
	dfustore.Versioned
	Observe(revision dfuident.Revision)
	Restored(revision dfuident.Revision)
	Era() dfuident.Era
}

// PeerClient makes net/rpc calls to other nodes.
type PeerClient interface {
	Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error
}

// Config holds the identity of the node and the periods and limits of its
// control plane.
type Config struct {
	Node  dfuident.NodeID
	Place dfuident.Place
	// Peer and HTTP are the addresses at which other nodes and callers reach
	// the node.
	Peer dfuident.Address
	HTTP dfuident.Address

	// Prefixes are the key prefixes of the records that every node replicates.
	Prefixes []string
	// Evacuations is set if operators can evacuate zones. Prefixes then has to cover the
	// records of evacuations.
	Evacuations bool
	Membership  dfumembership.Config
	// JoinByPeers lets a node that can't reach the store join through a peer
	// that contacts it. Its incarnation then comes from the wall clock alone, so
	// it isn't guaranteed to be above that of the node's previous run.
	JoinByPeers bool
	// ReadAtStart makes the first nodes of a zone list the records from the store as
	// soon as they have joined, instead of when they watch. The other nodes copy them
	// from peers, or list them after a short time.
	ReadAtStart bool
	// CallTimeout is the timeout of one call to a peer.
	CallTimeout dfuclock.Duration
	// WatchWait is the maximum time that one watch call waits in the store for
	// a change.
	WatchWait dfuclock.Duration
	// ListPeriod is the time after which a watcher lists again while its
	// watches succeed. Jitter adds up to the same time again. After a failure,
	// it lists again after the backoff.
	ListPeriod dfuclock.Duration
	// ProbePeriod is the mean time between two pings of the store by a watcher.
	ProbePeriod dfuclock.Duration
	// ProbeTimeout is the time after which a ping counts as unanswered. It doubles with
	// each such ping, up to ProbeTimeoutMax, until one is answered in ProbeTimeout.
	ProbeTimeout    dfuclock.Duration
	ProbeTimeoutMax dfuclock.Duration
	// CurrentPeriod is the mean time between two reads of the current revision of the store by
	// the first-ranked of all watchers. The revision that a ping returns may be seconds old.
	CurrentPeriod dfuclock.Duration
	// ProofBound is how old the proof may be that the route table is in force. It is zero
	// if none is needed.
	ProofBound dfuclock.Duration
	// PagePeriod is the mean time between two checks of the zone page by the
	// zone's bridge.
	PagePeriod dfuclock.Duration
	// RetryMin and RetryMax bound the exponential backoff after a failed call
	// to the store.
	RetryMin dfuclock.Duration
	RetryMax dfuclock.Duration
	// WatchRetryMax replaces RetryMax for watches. The store may refuse them while it answers
	// pings, so that nothing but another try shows when it accepts them again.
	WatchRetryMax dfuclock.Duration
	// Senders is the maximum number of concurrent calls to peers.
	Senders int
	// RingSize is the capacity of the event queue and of the queue of outgoing
	// packets.
	RingSize int
}

// DefaultConfig returns the periods and limits that the daemon uses. The fields
// that identify the node are empty.
func DefaultConfig() Config {
	return Config{
		Prefixes:        []string{dfustore.CataloguePrefix, dfustore.ClaimsPrefix},
		Membership:      dfumembership.DefaultConfig(),
		CallTimeout:     900 * dfuclock.Millisecond,
		WatchWait:       2 * dfuclock.Second,
		ListPeriod:      dfuclock.Minute,
		ProbePeriod:     dfuclock.Second,
		ProbeTimeout:    500 * dfuclock.Millisecond,
		ProbeTimeoutMax: 2 * dfuclock.Second,
		CurrentPeriod:   1500 * dfuclock.Millisecond,
		PagePeriod:      30 * dfuclock.Second,
		RetryMin:        100 * dfuclock.Millisecond,
		RetryMax:        5 * dfuclock.Second,
		WatchRetryMax:   dfuclock.Second,
		Senders:         16,
		RingSize:        1024,
	}
}

// Deps holds the dependencies of a Controller.
type Deps struct {
	Store      Store
	PeerClient PeerClient
	Clock      dfuclock.Clock
	// BootClock also runs while the VM is suspended. It may be nil without a ProofBound.
	BootClock dfuclock.Clock
	// Wall returns the wall-clock time, from which incarnations are derived.
	Wall func() time.Time
	Rand *rand.Rand
	Log  *zap.Logger
	// Publish is called by the event loop with every new view. It must not
	// block.
	Publish func(*dfuroster.View)
	// Superseded is called once by the event loop if a run of this node with a
	// higher incarnation is detected. It must not block.
	Superseded func()
}

// Announcement is the current state of the node's own target.
type Announcement struct {
	Target dfumembership.Target
	// Left is set if the node is stopping. It can't be reset.
	Left bool
}
