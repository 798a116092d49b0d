package dfucontrol

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// errQueueFull is returned if an event was dropped because the event loop is
// behind.
var errQueueFull = errors.New("the control event queue is full")

// prefixWatch is the state of the watch of one prefix.
type prefixWatch struct {
	prefix string
	retry  backoff
	// failures is the number of failures since the last full list.
	failures int
	// lost is set from the failure by which the store counts as lost until the next full
	// list. Controller.lostMu guards it.
	lost bool
	// returned gets a value when the store answers again, which ends the backoff.
	returned chan struct{}
	// cancel cancels the current or latest call of follow.
	cancel atomic.Pointer[context.CancelCauseFunc]
	// recordBytes is the size of the records in the latest full list, or of a larger answer
	// of the watch since.
	recordBytes atomic.Int64
	// known is the greatest revision of the records that the node holds, whether from the store
	// or from peers.
	known atomic.Uint64
	// behind is a known revision that the watch has not returned yet, and behindSince when it
	// was noticed; zero if there is none. Only probe uses them.
	behind      dfuident.Revision
	behindSince dfuclock.Time
}

// failuresUntilLost is the number of consecutive failures of a watch after which the store
// counts as lost. A watch that waits may be cut once.
const failuresUntilLost = 2

// watch watches the records under a prefix while the node is a watcher. After a
// failure it starts again with a full list. A node that has lost the store, and with it
// the role of a watcher, continues until it has listed every prefix. With ReadAtStart it begins when
// the nodes that start together have met, since each considers itself a watcher before that.
func (c *Controller) watch(ctx context.Context, w *prefixWatch) error {
	if err := c.awaitWatchStart(ctx); err != nil {
		return err
	}
	for {
		if c.storeSilent.Load() || !c.watcher.Load() && !c.hasLost(w) {
			if err := sleep(ctx, c.cfg.Membership.TickPeriod); err != nil {
				return err
			}
			continue
		}
		followCtx, cancel := context.WithCancelCause(ctx)
		w.cancel.Store(&cancel)
		err := c.follow(followCtx, w)
		cause := context.Cause(followCtx)
		isUnanswered := errors.Is(err, errUnanswered) || errors.Is(cause, errUnanswered)
		cancel(nil)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(cause, errAnswerMissed) {
			continue
		}
		if err != nil {
			c.deps.Log.Info("watch of the store ended", zap.String("prefix", w.prefix), zap.Error(err))
		}
		if err != nil && !errors.Is(err, dfustore.ErrCompacted) {
			c.recordStoreFailure("watch "+w.prefix, err)
			if w.failures++; w.failures >= failuresUntilLost || isUnanswered {
				c.lose(w)
			}
		}
		if err := c.awaitRetry(ctx, w); err != nil {
			return err
		}
	}
}

// awaitRetry waits for the backoff, or until the store answers again.
func (c *Controller) awaitRetry(ctx context.Context, w *prefixWatch) error {
	timer := time.NewTimer(w.retry.nextDelay().Std())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.returned:
		w.retry.reset()
	case <-timer.C:
	}
	return nil
}

// lose makes the store count as lost until the given prefixes have been listed again.
func (c *Controller) lose(watches ...*prefixWatch) {
	c.lostMu.Lock()
	defer c.lostMu.Unlock()
	for _, w := range watches {
		w.lost = true
	}
	c.storeLost.Store(true)
}

// regain records that a prefix has been listed. The store is reached again if no other one is
// still to be listed: a node that watches only some of them must not take the role of a
// watcher from others.
func (c *Controller) regain(w *prefixWatch) {
	c.lostMu.Lock()
	wasLost := w.lost
	w.lost = false
	c.storeLost.Store(slices.ContainsFunc(c.watches, func(w *prefixWatch) bool { return w.lost }))
	c.lostMu.Unlock()
	if wasLost {
		c.endBackoffs()
	}
}

func (c *Controller) hasLost(w *prefixWatch) bool {
	c.lostMu.Lock()
	defer c.lostMu.Unlock()
	return w.lost
}

// endBackoffs makes the watches that have lost the store try again at once.
func (c *Controller) endBackoffs() {
	c.lostMu.Lock()
	defer c.lostMu.Unlock()
	for _, w := range c.watches {
		if !w.lost {
			continue
		}
		select {
		case w.returned <- struct{}{}:
		default:
		}
	}
}

// awaitWatchStart waits until the nodes that start together have met, with ReadAtStart.
func (c *Controller) awaitWatchStart(ctx context.Context) error {
	if !c.cfg.ReadAtStart {
		return nil
	}
	return sleep(ctx, startReadTimeout)
}

// watchPause is the pause after a watch call that returned records. It batches
// bursts of changes, such as those of the claim tables when a whole zone comes
// back.
const watchPause = 100 * dfuclock.Millisecond

// follow lists a prefix once and then watches it until the next full list is due
// or the node is no longer a watcher. A ping, which is cheaper than a list, precedes the list.
func (c *Controller) follow(ctx context.Context, w *prefixWatch) error {
	if _, err := c.ping(ctx, nil, c.cfg.ProbeTimeoutMax); err != nil {
		return err
	}
	revision, size, err := c.list(ctx, w.prefix)
	if err != nil {
		return err
	}
	w.recordBytes.Store(size)
	c.regain(w)
	w.failures = 0
	w.retry.reset()
	c.deps.Log.Info("watching the store", zap.String("prefix", w.prefix), zap.Uint64("revision", uint64(revision)),
		zap.Uint64("known", w.known.Load()))
	c.cover(w.prefix, nil, revision)
	defer c.dropCoverage(w.prefix)
	relist := c.deps.Clock.Now().Add(c.cfg.ListPeriod + c.jitter(c.cfg.ListPeriod))
	for c.watcher.Load() && c.deps.Clock.Now().Before(relist) {
		sentAt := c.proofTime()
		records, next, err := c.deps.Store.Watch(ctx, w.prefix, revision, c.cfg.WatchWait)
		if err != nil {
			return err
		}
		revision = max(revision, next)
		answer := dfurecord.StoreResponse{Prefix: w.prefix, Records: toRecords(records), Revision: next}
		if err := c.deliverProof(answer, sentAt); err != nil {
			return err
		}
		c.cover(w.prefix, records, next)
		w.recordBytes.Store(max(w.recordBytes.Load(), valueBytes(records)))
		if len(records) > 0 {
			if err := sleep(ctx, watchPause); err != nil {
				return err
			}
		}
	}
	return nil
}

// read lists every prefix whenever the event loop requests it.
func (c *Controller) read(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.readRequests:
		}
		for _, prefix := range c.cfg.Prefixes {
			if _, _, err := c.list(ctx, prefix); err != nil {
				c.recordStoreFailure("list "+prefix, err)
			}
		}
	}
}

const (
	// startReaders is the number of nodes of a zone that read the records at their
	// start when the zone starts again.
	startReaders = 2
	// startReadTimeout, plus a random part of startReadSpread, is how long another
	// node waits for a peer to provide the records before it reads them itself.
	startReadTimeout = 1200 * dfuclock.Millisecond
	startReadSpread  = 1200 * dfuclock.Millisecond
	// startComparePeriod is how often it compares with a peer meanwhile.
	startComparePeriod = 250 * dfuclock.Millisecond
	// startPollPeriod is how often a starting node checks whether it has a copy.
	startPollPeriod = 50 * dfuclock.Millisecond
)

// readAtStart reads the records if the node is among the first of its zone on the page,
// or if no peer provides them in time. The first nodes read for the others, which copy
// the records from them.
func (c *Controller) readAtStart(ctx context.Context, listed []pageNode) error {
	if c.listsZonePeer(listed) && c.zoneRank(listed) < startReaders {
		c.requestRead()
		return nil
	}
	deadline := c.deps.Clock.Now().Add(startReadTimeout + c.jitter(startReadSpread))
	for !c.synced.Load() {
		if !c.deps.Clock.Now().Before(deadline) {
			c.requestRead()
			return nil
		}
		if err := sleep(ctx, startPollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// zoneRank returns the number of listed nodes of this node's zone with a lower id.
func (c *Controller) zoneRank(listed []pageNode) int {
	rank := 0
	for _, n := range listed {
		if n.Place == c.cfg.Place && n.Node < c.cfg.Node {
			rank++
		}
	}
	return rank
}

// requestRead requests one list of every prefix, unless one is already requested.
func (c *Controller) requestRead() {
	select {
	case c.readRequests <- struct{}{}:
	default:
	}
}

// list passes all records under a prefix to the event loop and returns the
// revision to watch from and the size of the records. It uses List, since ListStale may
// return a revision so old that the store has compacted the changes since, and every watch
// from it would fail.
func (c *Controller) list(ctx context.Context, prefix string) (dfuident.Revision, int64, error) {
	sentAt := c.proofTime()
	records, revision, err := c.deps.Store.List(ctx, prefix)
	if err != nil {
		return 0, 0, err
	}
	answer := dfurecord.StoreResponse{Prefix: prefix, Listed: true, Records: toRecords(records), Revision: revision}
	return revision, valueBytes(records), c.deliverProof(answer, sentAt)
}

// valueBytes returns the size of the values of records in bytes.
func valueBytes(records []dfustore.Record) int64 {
	var size int64
	for _, r := range records {
		size += int64(len(r.Value))
	}
	return size
}

// deliver passes a response of the store to the event loop.
func (c *Controller) deliver(answer dfurecord.StoreResponse) error {
	c.recordStoreSuccess()
	if !c.inbox.Offer(input{event: dfuroster.StoreResponse{Answer: answer}}) {
		return errQueueFull
	}
	return nil
}

func toRecords(records []dfustore.Record) []dfurecord.Record {
	converted := make([]dfurecord.Record, len(records))
	for i, r := range records {
		converted[i] = dfurecord.Record{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted}
	}
	return converted
}

// recordStoreFailure sets the store error of the status, and logs it unless one was
// already set. The error is that of a failed call to the store, or errQueueFull if
// the event queue was full and a response of the store was dropped.
func (c *Controller) recordStoreFailure(operation string, err error) {
	message := operation + ": " + err.Error()
	if previous := c.storeError.Swap(&message); previous == nil {
		c.deps.Log.Warn("the store does not answer", zap.String("call", operation), zap.Error(err))
	}
}

// recordStoreSuccess clears the store error of the status.
func (c *Controller) recordStoreSuccess() {
	if c.storeError.Swap(nil) != nil {
		c.deps.Log.Info("the store answers again")
	}
}

// backoff is an exponential backoff with jitter. The delay doubles with every
// use, up to max, until it is reset.
type backoff struct {
	control    *Controller
	delay, max dfuclock.Duration
}

func (c *Controller) newBackoff(maxDelay dfuclock.Duration) backoff {
	return backoff{control: c, delay: c.cfg.RetryMin, max: maxDelay}
}

func (b *backoff) reset() {
	b.delay = b.control.cfg.RetryMin
}

// sleep waits for the next delay.
func (b *backoff) sleep(ctx context.Context) error {
	return sleep(ctx, b.nextDelay())
}

// nextDelay returns a random duration between half the current delay and the full
// delay, and then doubles the delay.
func (b *backoff) nextDelay() dfuclock.Duration {
	wait := b.delay/2 + b.control.jitter(b.delay/2)
	b.delay = min(b.delay*2, b.max)
	return wait
}
