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
	"dragonflyusher/core/version/dfuroster"

	"go.uber.org/zap"
)

// Duty is the control duty of one node.
type Duty struct {
	cfg  Config
	deps Deps

	inbox  *dfuring.Ring[input]
	outbox *dfuring.Ring[outgoing]
	// callers are the peers that called before the node had joined.
	callers *dfuring.Ring[dfumembership.Contact]
	// announced wakes the owner when announcement was replaced.
	announced chan struct{}
	// reads asks for one list of every prefix.
	reads        chan struct{}
	announcement atomic.Pointer[Announcement]

	member      atomic.Pointer[dfuident.Member]
	view        atomic.Pointer[dfuroster.View]
	status      atomic.Pointer[Status]
	storeError  atomic.Pointer[string]
	bridge      atomic.Bool
	watcher     atomic.Bool
	superseded  atomic.Bool
	failedCalls atomic.Uint64

	randMu sync.Mutex
	rand   *rand.Rand
}

// maxCallers bounds the peers by which a node may join.
const maxCallers = 4

// input is an event for the owner of the keeper. A peer's call waits for
// answer, which is nil for all else.
type input struct {
	event  dfuroster.Event
	answer chan<- dfuroster.Packet
}

// New returns a duty that knows nothing yet.
func New(cfg Config, deps Deps) *Duty {
	d := &Duty{
		cfg:       cfg,
		deps:      deps,
		inbox:     dfuring.New[input](cfg.RingSize),
		outbox:    dfuring.New[outgoing](cfg.RingSize),
		callers:   dfuring.New[dfumembership.Contact](maxCallers),
		announced: make(chan struct{}, 1),
		reads:     make(chan struct{}, 1),
		rand:      deps.Rand,
	}
	d.view.Store(dfuroster.New())
	d.status.Store(&Status{})
	return d
}

// Receiver returns what is to be registered under ReceiverName.
func (d *Duty) Receiver() *Receiver {
	return &Receiver{duty: d}
}

// Announce replaces what the node says of its own target, unless it said that it
// left, which is final. It never blocks.
func (d *Duty) Announce(a Announcement) {
	for old := d.announcement.Load(); ; old = d.announcement.Load() {
		if old != nil && old.Left {
			return
		}
		if d.announcement.CompareAndSwap(old, &a) {
			break
		}
	}
	select {
	case d.announced <- struct{}{}:
	default:
	}
}

// View returns the newest view.
func (d *Duty) View() *dfuroster.View {
	return d.view.Load()
}

// Member returns the node with its incarnation, or the zero member until the
// store has been reached once.
func (d *Duty) Member() dfuident.Member {
	if m := d.member.Load(); m != nil {
		return *m
	}
	return dfuident.Member{}
}

// Run joins and then works until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	incarnation, seeds, err := d.join(ctx)
	if err != nil {
		return err
	}
	member := dfuident.Member{Node: d.cfg.Node, Incarnation: incarnation}
	o := newOwner(d, member)
	d.member.Store(&member)
	d.deps.Log.Info("joined", zap.Stringer("member", member), zap.Int("listed", len(seeds)))

	if d.cfg.ReadAtStart {
		d.reads <- struct{}{}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.keepPage(ctx, len(seeds)) })
	wg.Go(func() { _ = d.read(ctx) })
	for _, prefix := range d.cfg.Prefixes {
		wg.Go(func() { _ = d.watch(ctx, prefix) })
	}
	for range d.cfg.Senders {
		wg.Go(func() { _ = d.send(ctx) })
	}
	err = o.run(ctx, seeds)
	cancel()
	wg.Wait()
	return err
}

func (d *Duty) jitter(bound dfuclock.Duration) dfuclock.Duration {
	d.randMu.Lock()
	defer d.randMu.Unlock()
	return dfuclock.Duration(d.rand.Int64N(int64(bound) + 1))
}

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
