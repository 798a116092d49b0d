package dfuclaimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfumessage"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// tickInterval is how often the machine checks its deadlines.
	tickInterval = 20 * time.Millisecond
	// peerCallTimeout bounds a call to a peer.
	peerCallTimeout = time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
	// sendQueueCount is the number of send queues, each with one goroutine that calls
	// peers. Messages to one peer always use the same queue, so an unresponsive peer
	// delays only the few peers that share its queue.
	sendQueueCount = 16
	// sendQueueSize is the capacity of a send queue, in messages.
	sendQueueSize = 1024
	// inboxSize is the capacity of the machine's inbox, in claims and messages.
	inboxSize = 8192
	// maxBatchMessages bounds the messages in one call.
	maxBatchMessages = 64
)

// PeerClient calls other nodes.
type PeerClient interface {
	Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error
}

// Store is the part of the platform's key-value service that a Claimer uses.
type Store interface {
	Get(ctx context.Context, key string) (dfustore.Record, error)
	CompareAndSwap(ctx context.Context, key string, expect dfuident.Revision, value []byte, lease dfustore.LeaseID) (dfuident.Revision, error)
}

// Deps holds the dependencies of a Claimer.
type Deps struct {
	Self   dfuident.Member
	Config dfuclaim.Config
	Clock  dfuclock.Clock
	// Wall returns the wall clock time, in Unix milliseconds.
	Wall       func() dfuclaim.UnixMs
	Log        *zap.Logger
	Metrics    metrics.Registry
	PeerClient PeerClient
	Store      Store
	Rand       *rand.Rand
}

// Claimer runs the claim machine for one incarnation of a node. It implements
// dfuadmission.Claims and looks up the owner of a key for entry nodes.
type Claimer struct {
	deps Deps

	// inbox holds claims and messages from peers. It may overflow, since a claim can
	// be denied and a message can be lost. completions holds the events that end
	// granted requests. It must not overflow, which the bound on claims ensures.
	inbox       *dfuring.Ring[input]
	completions *dfuring.Ring[input]
	// storeResults holds results of store calls. At most one call is outstanding,
	// except in the case that runStoreCalls describes.
	storeResults chan dfuclaim.Event
	storeCalls   chan storeCall
	sendQueues   [sendQueueCount]*dfuring.Ring[outgoingMessage]

	view             atomic.Pointer[dfuroster.View]
	viewChanged      chan struct{}
	leave            chan struct{}
	leaveOnce        sync.Once
	handoverDone     chan struct{}
	handoverDoneOnce sync.Once

	published atomic.Pointer[publishedTable]
	tables    tableCache
	counts    counters
}

var _ dfuadmission.Claims = (*Claimer)(nil)

// input is an event for the goroutine that steps the machine. If the event is a
// claim, onResult is called with the result.
type input struct {
	event    dfuclaim.Event
	onResult func(dfuadmission.ClaimResult)
}

// publishedTable is the machine's latest claim table, published for other
// goroutines.
type publishedTable struct {
	service  dfuident.Service
	revision dfuident.Revision
	table    dfuclaim.Table
}

// counters holds the metrics of claim results, messages and store calls.
type counters struct {
	granted  metrics.Counter
	denied   metrics.Counter
	replayed metrics.Counter
	messages metrics.Counter
	lost     metrics.Counter
	writes   metrics.Counter
	reads    metrics.Counter
}

// New returns a Claimer. It takes part in claims once it has a view in which a target
// is registered with this node.
func New(deps Deps) *Claimer {
	c := &Claimer{
		deps:         deps,
		inbox:        dfuring.New[input](inboxSize),
		completions:  dfuring.New[input](2*deps.Config.Claims + inboxSize),
		storeResults: make(chan dfuclaim.Event, 2),
		storeCalls:   make(chan storeCall, 2),
		viewChanged:  make(chan struct{}, 1),
		leave:        make(chan struct{}),
		handoverDone: make(chan struct{}),
		counts: counters{
			granted:  metrics.GetOrRegisterCounter("claims.granted", deps.Metrics),
			denied:   metrics.GetOrRegisterCounter("claims.denied", deps.Metrics),
			replayed: metrics.GetOrRegisterCounter("claims.replayed", deps.Metrics),
			messages: metrics.GetOrRegisterCounter("claims.messages", deps.Metrics),
			lost:     metrics.GetOrRegisterCounter("claims.lost_messages", deps.Metrics),
			writes:   metrics.GetOrRegisterCounter("claims.store_writes", deps.Metrics),
			reads:    metrics.GetOrRegisterCounter("claims.store_reads", deps.Metrics),
		},
	}
	for i := range c.sendQueues {
		c.sendQueues[i] = dfuring.New[outgoingMessage](sendQueueSize)
	}
	return c
}

// Receiver returns the net/rpc receiver to register under ReceiverName.
func (c *Claimer) Receiver() *Receiver {
	return &Receiver{claimer: c}
}

// Run runs the claimer until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, queue := range c.sendQueues {
		wg.Go(func() { c.sendMessages(ctx, queue) })
	}
	wg.Go(func() { c.runStoreCalls(ctx) })
	newLoop(c).run(ctx)
	wg.Wait()
}

// SetView replaces the view of the fleet.
func (c *Claimer) SetView(view *dfuroster.View) {
	c.view.Store(view)
	select {
	case c.viewChanged <- struct{}{}:
	default:
	}
}

// Leave starts the permanent handover of the node's shards. The node may announce
// that it left only after this call.
func (c *Claimer) Leave() {
	c.leaveOnce.Do(func() { close(c.leave) })
}

// Left returns a channel that is closed when a leaving node has handed over all
// shards that it could.
func (c *Claimer) Left() <-chan struct{} {
	return c.handoverDone
}

// Claim implements dfuadmission.Claims.
func (c *Claimer) Claim(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, remaining dfuclock.Duration, onResult func(dfuadmission.ClaimResult)) {
	local, ok := c.service()
	if !ok || local != service {
		onResult(dfuadmission.ClaimResult{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNotOwner})
		return
	}
	event := dfuclaim.Claim{Request: id, Key: key, Wall: c.deps.Wall(), Remaining: remaining}
	if !c.inbox.Offer(input{event: event, onResult: onResult}) {
		onResult(dfuadmission.ClaimResult{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonQueueFull})
	}
}

// Finished reports that a granted request ran, with its answer. If answer is nil it
// is not known whether the request ran.
func (c *Claimer) Finished(id dfuident.RequestID, _ dfuident.Service, _ dfuident.Key, answer *dfumessage.Answer) {
	event := dfuclaim.Finished{Request: id}
	if answer != nil {
		event.Ran, event.Status = true, answer.Status
		event.Answer = encodeAnswer(answer)
	}
	c.enqueueCompletion(event)
}

// Released reports that a granted request was not passed to the target and never
// will be.
func (c *Claimer) Released(id dfuident.RequestID, _ dfuident.Service, _ dfuident.Key) {
	c.enqueueCompletion(dfuclaim.Released{Request: id})
}

// enqueueCompletion passes the end of a granted request to the machine.
func (c *Claimer) enqueueCompletion(event dfuclaim.Event) {
	if !c.completions.Offer(input{event: event}) {
		c.deps.Log.Error("the end of a claimed request was lost")
	}
}

// service returns the service of the local target. It reports false if this
// node's view of the fleet lists none.
func (c *Claimer) service() (dfuident.Service, bool) {
	view := c.view.Load()
	if view == nil {
		return "", false
	}
	n, ok := view.Node(c.deps.Self.Node)
	return n.Service, ok && n.Member == c.deps.Self && n.Service != ""
}
