package dfucontrol

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"

	"go.uber.org/zap"
)

// Controller is the control plane of one node.
type Controller struct {
	cfg  Config
	deps Deps

	// inbox holds the events for the event loop, outbox the packets to peers.
	inbox  *dfuring.Ring[input]
	outbox *dfuring.Ring[outgoing]
	// joinCandidates holds the peers that contacted this node before it had
	// joined.
	joinCandidates *dfuring.Ring[dfumembership.Contact]
	// announcementChanged wakes the event loop when announcement was replaced.
	announcementChanged chan struct{}
	// watches holds the watch of each prefix.
	watches []*prefixWatch
	// readRequests requests one list of every prefix from the store.
	readRequests chan struct{}
	announcement atomic.Pointer[Announcement]
	// stopped is closed when the event loop has ended.
	stopped chan struct{}

	member     atomic.Pointer[dfuident.Member]
	view       atomic.Pointer[dfuroster.View]
	status     atomic.Pointer[Status]
	storeError atomic.Pointer[string]
	// storeLost is set while the node, as a watcher, can't reach the store: while a watch has
	// lost it. storeSilent is set while the store answers no pings.
	storeLost, storeSilent atomic.Bool
	lostMu                 sync.Mutex
	bridge                 atomic.Bool
	watcher                atomic.Bool
	// firstWatcher is set if the node is the first-ranked watcher of its zone.
	firstWatcher atomic.Bool
	// lead is set if the node is the first-ranked of all watchers.
	lead       atomic.Bool
	synced     atomic.Bool
	superseded atomic.Bool
	// inForceUntil is the time from which the copy of the records counts as too old. It
	// is zero until they have been confirmed.
	inForceUntil atomic.Int64
	failedCalls  atomic.Uint64
	// missedAnswers counts the answers of watches that were lost.
	missedAnswers atomic.Uint64

	proof routesProof

	coverageMu sync.Mutex
	// coverage holds the revisions up to which the watches have returned all changes.
	coverage dfurecord.Coverage

	// lastPage is the zone page as this node last read or wrote it. Only maintainPage
	// uses it.
	lastPage []pageNode

	randMu sync.Mutex
	rand   *rand.Rand
}

// maxJoinCandidates is the maximum number of peers queued in joinCandidates.
const maxJoinCandidates = 4

// input is an event for the event loop. If the event is a packet received by
// Receiver.Deliver, the loop sends the direct answer to the channel answer, on
// which the peer's call waits; otherwise answer is nil.
type input struct {
	event  dfuroster.Event
	answer chan<- dfuroster.Packet
	// proof is set if the event is an answer of the store that may prove the routes.
	proof *storeProof
}

// New returns a Controller with an empty view. Run starts it.
func New(cfg Config, deps Deps) *Controller {
	c := &Controller{
		cfg:                 cfg,
		deps:                deps,
		inbox:               dfuring.New[input](cfg.RingSize),
		outbox:              dfuring.New[outgoing](cfg.RingSize),
		joinCandidates:      dfuring.New[dfumembership.Contact](maxJoinCandidates),
		announcementChanged: make(chan struct{}, 1),
		readRequests:        make(chan struct{}, 1),
		stopped:             make(chan struct{}),
		rand:                deps.Rand,
	}
	for _, prefix := range cfg.Prefixes {
		c.watches = append(c.watches, &prefixWatch{prefix: prefix, retry: c.newBackoff(cfg.WatchRetryMax), returned: make(chan struct{}, 1)})
	}
	c.proof.renewed = make(chan struct{})
	c.proof.kick = make(chan struct{}, 1)
	c.view.Store(dfuroster.New())
	c.status.Store(&Status{})
	return c
}

// Receiver returns the net/rpc receiver to be registered under ReceiverName.
func (c *Controller) Receiver() *Receiver {
	return &Receiver{control: c}
}

// Announce replaces the announced state of the node's own target. It has no
// effect after an announcement with Left set. It never blocks.
func (c *Controller) Announce(a Announcement) {
	for current := c.announcement.Load(); ; current = c.announcement.Load() {
		if current != nil && current.Left {
			return
		}
		if c.announcement.CompareAndSwap(current, &a) {
			break
		}
	}
	select {
	case c.announcementChanged <- struct{}{}:
	default:
	}
}

// View returns the current view.
func (c *Controller) View() *dfuroster.View {
	return c.view.Load()
}

// Member returns the node with its incarnation, or the zero member if the node
// has not joined yet.
func (c *Controller) Member() dfuident.Member {
	if m := c.member.Load(); m != nil {
		return *m
	}
	return dfuident.Member{}
}

// Run joins the fleet and then runs the control plane until ctx ends. It may be called
// once.
func (c *Controller) Run(ctx context.Context) error {
	joined, err := c.join(ctx)
	if err != nil {
		return err
	}
	member := dfuident.Member{Node: c.cfg.Node, Incarnation: joined.incarnation}
	loop := newEventLoop(c, member)
	c.member.Store(&member)
	c.deps.Log.Info("joined", zap.Stringer("member", member), zap.Int("listed", len(joined.listed)))

	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.maintainPage(ctx, joined.listed) })
	wg.Go(func() { _ = c.read(ctx) })
	if c.cfg.ReadAtStart {
		wg.Go(func() { _ = c.readAtStart(ctx, joined.listed) })
		wg.Go(func() { _ = c.meetRegions(ctx, joined.listed) })
	}
	for _, w := range c.watches {
		wg.Go(func() { _ = c.watch(ctx, w) })
	}
	wg.Go(func() { _ = c.probe(ctx) })
	if c.cfg.ProofBound > 0 {
		wg.Go(func() { _ = c.renewProof(ctx) })
	}
	for range c.cfg.Senders {
		wg.Go(func() { _ = c.send(ctx) })
	}
	err = loop.run(ctx, joined.seeds)
	close(c.stopped)
	cancel()
	wg.Wait()
	return err
}

// jitter returns a random duration from 0 to bound.
func (c *Controller) jitter(bound dfuclock.Duration) dfuclock.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return dfuclock.Duration(c.rand.Int64N(int64(bound) + 1))
}

// sleep waits for the given time, or returns the error of ctx if it ends before.
func sleep(ctx context.Context, wait dfuclock.Duration) error {
	timer := time.NewTimer(wait.Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
