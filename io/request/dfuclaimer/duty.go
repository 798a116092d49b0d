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
	// tickInterval is how often the machine looks at its deadlines.
	tickInterval = 20 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
	// laneCount is the number of workers that call peers. Messages to one peer
	// always take the same lane, so a silent peer holds up few others.
	laneCount = 16
	// laneSize is the number of messages that wait for one lane.
	laneSize = 1024
	// inboxSize is the number of claims and messages that wait for the machine.
	inboxSize = 8192
	// batchLimit bounds the messages in one call.
	batchLimit = 64
)

// Caller calls other nodes.
type Caller interface {
	Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error
}

// Store is the part of the platform's key-value service that the duty uses.
type Store interface {
	Get(ctx context.Context, key string) (dfustore.Record, error)
	CompareAndSwap(ctx context.Context, key string, expect dfuident.Revision, value []byte, lease dfustore.LeaseID) (dfuident.Revision, error)
}

// Deps are what a Duty needs.
type Deps struct {
	Self    dfuident.Member
	Config  dfuclaim.Config
	Clock   dfuclock.Clock
	Wall    func() dfuclaim.UnixMs
	Log     *zap.Logger
	Metrics metrics.Registry
	Caller  Caller
	Store   Store
	Rand    *rand.Rand
}

// Duty runs the claim machine for one run of a node. It implements
// dfuadmission.Claims and the entry node's question for a key's owner.
type Duty struct {
	deps Deps

	// inbox may refuse what may be lost or denied; ends holds the ends of
	// granted requests, which the bound on claims keeps from filling it.
	inbox *dfuring.Ring[input]
	ends  *dfuring.Ring[input]
	// results holds answers of the store, of which at most two are awaited.
	results chan dfuclaim.Event
	calls   chan storeCall
	lanes   [laneCount]*dfuring.Ring[outgoing]

	view        atomic.Pointer[dfuroster.View]
	viewChanged chan struct{}
	leave       chan struct{}
	leaveOnce   sync.Once
	left        chan struct{}
	leftOnce    sync.Once

	owned  atomic.Pointer[ownedTable]
	tables tableCache
	counts counters
}

var _ dfuadmission.Claims = (*Duty)(nil)

// input is an event for the goroutine that owns the machine. A claim's verdict
// goes to decide.
type input struct {
	event  dfuclaim.Event
	decide func(dfuadmission.Verdict)
}

// ownedTable is the table that the machine knows.
type ownedTable struct {
	service  dfuident.Service
	revision dfuident.Revision
	table    dfuclaim.Table
}

// counters count what the machine decided.
type counters struct {
	granted  metrics.Counter
	denied   metrics.Counter
	replayed metrics.Counter
	messages metrics.Counter
	lost     metrics.Counter
	writes   metrics.Counter
	reads    metrics.Counter
}

// New returns a duty that takes part once it has a view in which a target has
// announced itself to this node.
func New(deps Deps) *Duty {
	d := &Duty{
		deps:        deps,
		inbox:       dfuring.New[input](inboxSize),
		ends:        dfuring.New[input](2*deps.Config.Claims + inboxSize),
		results:     make(chan dfuclaim.Event, 2),
		calls:       make(chan storeCall, 2),
		viewChanged: make(chan struct{}, 1),
		leave:       make(chan struct{}),
		left:        make(chan struct{}),
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
	for i := range d.lanes {
		d.lanes[i] = dfuring.New[outgoing](laneSize)
	}
	return d
}

// Receiver returns what is to be registered under ReceiverName.
func (d *Duty) Receiver() *Receiver {
	return &Receiver{duty: d}
}

// Run runs the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, lane := range d.lanes {
		wg.Go(func() { d.sendFrom(ctx, lane) })
	}
	wg.Go(func() { d.callStore(ctx) })
	newLoop(d).run(ctx)
	wg.Wait()
}

// SetView gives the duty what this node knows of the fleet.
func (d *Duty) SetView(view *dfuroster.View) {
	d.view.Store(view)
	select {
	case d.viewChanged <- struct{}{}:
	default:
	}
}

// Leave makes the node hand its shards over for good. The node may tell others
// that it left only after this call.
func (d *Duty) Leave() {
	d.leaveOnce.Do(func() { close(d.leave) })
}

// Left is closed when a leaving node has handed over all that it could.
func (d *Duty) Left() <-chan struct{} {
	return d.left
}

// Claim asks whether the request may run.
func (d *Duty) Claim(id dfuident.RequestID, service dfuident.Service, key dfuident.Key, remaining dfuclock.Duration, decide func(dfuadmission.Verdict)) {
	own, ok := d.service()
	if !ok || own != service {
		decide(dfuadmission.Verdict{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNotOwner})
		return
	}
	event := dfuclaim.Claim{Request: id, Key: key, Wall: d.deps.Wall(), Remaining: remaining}
	if !d.inbox.Offer(input{event: event, decide: decide}) {
		decide(dfuadmission.Verdict{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonQueueFull})
	}
}

// Finished tells that a granted request ran, with its answer, or that nobody
// knows if answer is nil.
func (d *Duty) Finished(id dfuident.RequestID, _ dfuident.Service, _ dfuident.Key, answer *dfumessage.Answer) {
	event := dfuclaim.Finished{Request: id}
	if answer != nil {
		event.Ran, event.Status = true, answer.Status
		event.Answer = encodeAnswer(answer)
	}
	d.end(event)
}

// Released tells that a request was not handed over and never will be.
func (d *Duty) Released(id dfuident.RequestID, _ dfuident.Service, _ dfuident.Key) {
	d.end(dfuclaim.Released{Request: id})
}

// end passes on the end of a granted request.
func (d *Duty) end(event dfuclaim.Event) {
	if !d.ends.Offer(input{event: event}) {
		d.deps.Log.Error("the end of a claimed request was lost")
	}
}

// service returns the service of the local target.
func (d *Duty) service() (dfuident.Service, bool) {
	view := d.view.Load()
	if view == nil {
		return "", false
	}
	n, ok := view.Node(d.deps.Self.Node)
	return n.Service, ok && n.Member == d.deps.Self && n.Service != ""
}
