package dfuquotas

import (
	"context"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuquota"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfustore"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// maxWait bounds the time that a request waits for a token.
	maxWait = 900 * time.Millisecond
	// askTimeout bounds a question to an owner.
	askTimeout = 450 * time.Millisecond
	// returnPeriod is the time between two checks for tokens to return.
	returnPeriod = 100 * time.Millisecond
)

// PeerClient calls other nodes.
type PeerClient interface {
	Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error
}

// Store is the part of the platform's key-value service that quotas use.
type Store interface {
	Get(ctx context.Context, key string) (dfustore.Record, error)
	CompareAndSwap(ctx context.Context, key string, expected dfuident.Revision, value []byte, lease dfustore.LeaseID) (dfuident.Revision, error)
	GrantLease(ctx context.Context, ttl dfuclock.Duration) (dfustore.LeaseID, error)
	KeepAlive(ctx context.Context, lease dfustore.LeaseID) error
}

// Deps holds the dependencies of Quotas.
type Deps struct {
	Self   dfuident.Member
	Bounds dfuquota.Bounds
	// Clock also advances while the VM is suspended.
	Clock      dfuclock.Clock
	Log        *zap.Logger
	Metrics    metrics.Registry
	PeerClient PeerClient
	Store      Store
	// Era returns how often the store was restored from an older copy, as of its latest
	// answer. It returns false if there was none.
	Era func() (uint64, bool)
}

// Quotas decides whether requests are within their workspace's quota, for one run of a
// node. It is safe for concurrent use.
type Quotas struct {
	deps   Deps
	counts counters
	poke   chan struct{}

	mu        sync.Mutex
	view      *dfuroster.View
	nodes     *dfuroster.View
	cache     *dfuquota.Cache
	router    *dfuquota.Router
	owner     *dfuquota.Owner
	ownership *dfuquota.Ownership
	// asking holds the shards for which a question is in flight.
	asking [dfuquota.ShardCount]bool
	held   int
	// idle is set while no workspace has a quota.
	idle   bool
	closed bool
	asks   sync.WaitGroup
	ctx    context.Context
}

// counters holds the metrics of decisions, questions and calls to the store.
type counters struct {
	granted, exceeded, unknown, givenBack      metrics.Counter
	asked, failedAsks, answered, lent, refused metrics.Counter
	storeCalls, acquired, dropped              metrics.Counter
	owned                                      metrics.Gauge
	buckets                                    metrics.Gauge
}

// New returns Quotas without owners. Questions are asked until ctx ends.
func New(ctx context.Context, deps Deps) *Quotas {
	owner := dfuquota.NewOwner(deps.Bounds)
	return &Quotas{
		deps:      deps,
		poke:      make(chan struct{}, 1),
		view:      dfuroster.New(),
		cache:     dfuquota.NewCache(),
		router:    &dfuquota.Router{},
		owner:     owner,
		ownership: dfuquota.NewOwnership(deps.Clock.Now(), deps.Self, owner),
		ctx:       ctx,
		counts: counters{
			granted:    metrics.GetOrRegisterCounter("quota.granted", deps.Metrics),
			exceeded:   metrics.GetOrRegisterCounter("quota.exceeded", deps.Metrics),
			unknown:    metrics.GetOrRegisterCounter("quota.unknown", deps.Metrics),
			givenBack:  metrics.GetOrRegisterCounter("quota.given_back", deps.Metrics),
			asked:      metrics.GetOrRegisterCounter("quota.asked", deps.Metrics),
			failedAsks: metrics.GetOrRegisterCounter("quota.failed_asks", deps.Metrics),
			answered:   metrics.GetOrRegisterCounter("quota.answered", deps.Metrics),
			lent:       metrics.GetOrRegisterCounter("quota.lent_tokens", deps.Metrics),
			refused:    metrics.GetOrRegisterCounter("quota.refused_asks", deps.Metrics),
			storeCalls: metrics.GetOrRegisterCounter("quota.store_calls", deps.Metrics),
			acquired:   metrics.GetOrRegisterCounter("quota.acquired_shards", deps.Metrics),
			dropped:    metrics.GetOrRegisterCounter("quota.dropped_shards", deps.Metrics),
			owned:      metrics.GetOrRegisterGauge("quota.owned_shards", deps.Metrics),
			buckets:    metrics.GetOrRegisterGauge("quota.buckets", deps.Metrics),
		},
	}
}

// SetView replaces the view of the fleet.
func (q *Quotas) SetView(view *dfuroster.View) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.view = view
}

// Take spends a token of a workspace. It blocks until there is a verdict, gone is closed,
// or the request has waited too long: for longest, or maxWait if that is shorter.
func (q *Quotas) Take(w *dfuroute.Workspace, longest dfuclock.Duration, gone <-chan struct{}) *dfuquota.Ticket {
	verdicts := make(chan dfuquota.Verdict, 1)
	q.mu.Lock()
	now := q.deps.Clock.Now()
	ticket := q.cache.Take(now, w.Name, func(v dfuquota.Verdict) { verdicts <- v })
	if q.cache.WantsTokens(now, w.Name) {
		q.startAsking(dfuquota.ShardOf(w.Name))
	}
	pending := ticket.Verdict() == dfuquota.Pending
	q.mu.Unlock()
	if pending {
		q.await(ticket, verdicts, min(longest.Std(), maxWait), gone)
	}
	q.count(ticket.Verdict())
	return ticket
}

// await waits until the ticket has a verdict.
func (q *Quotas) await(ticket *dfuquota.Ticket, verdicts <-chan dfuquota.Verdict, longest time.Duration, gone <-chan struct{}) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-verdicts:
		return
	case <-timer.C:
	case <-gone:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cache.Abandon(ticket)
}

func (q *Quotas) count(v dfuquota.Verdict) {
	switch v {
	case dfuquota.Granted:
		q.counts.granted.Inc(1)
	case dfuquota.Exceeded:
		q.counts.exceeded.Inc(1)
	default:
		q.counts.unknown.Inc(1)
	}
}

// GiveBack returns the token of a request that was refused elsewhere.
func (q *Quotas) GiveBack(t *dfuquota.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counts.givenBack.Inc(1)
	q.cache.GiveBack(q.deps.Clock.Now(), t)
}

// limits looks up the limit of a workspace in the table in force. The caller must hold
// q.mu.
func (q *Quotas) limits(name dfuident.Workspace) (dfuquota.Limit, bool) {
	w, ok := q.view.Routes().WorkspaceNamed(name)
	if !ok {
		return dfuquota.Limit{}, false
	}
	return dfuquota.Limit{Rate: w.Rate, Burst: w.Burst}, true
}

// Status describes the part of a node in quotas.
type Status struct {
	OwnedShards    int   `json:"owned_shards"`
	ShardsUnowned  []int `json:"shards_without_owner,omitempty"`
	BucketsInUse   int   `json:"buckets"`
	QuestionsOpen  int   `json:"questions_open"`
	TokensGranted  int64 `json:"tokens_granted"`
	RefusedAbove   int64 `json:"refused_exceeded"`
	RefusedUnknown int64 `json:"refused_unknown"`
}

// Status returns the node's part in quotas.
func (q *Quotas) Status() Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Status{
		OwnedShards: q.held, BucketsInUse: q.owner.Workspaces(), TokensGranted: q.counts.lent.Count(),
		RefusedAbove: q.counts.exceeded.Count(), RefusedUnknown: q.counts.unknown.Count(),
	}
	for shard, asking := range q.asking {
		if !asking {
			continue
		}
		s.QuestionsOpen++
		if q.router.Owner(dfuquota.Shard(shard)).IsZero() {
			s.ShardsUnowned = append(s.ShardsUnowned, shard)
		}
	}
	return s
}
