package dfucontrol

import (
	"context"

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

// watch watches the records under a prefix while the node is a watcher. After a
// failure it starts again with a full list.
func (d *Duty) watch(ctx context.Context, prefix string) error {
	retry := d.newBackoff()
	for {
		if !d.watcher.Load() {
			if err := sleep(ctx, d.cfg.Membership.TickPeriod); err != nil {
				return err
			}
			continue
		}
		err := d.follow(ctx, prefix, &retry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !errors.Is(err, dfustore.ErrCompacted) {
			d.recordStoreFailure("watch "+prefix, err)
		}
		if err := retry.sleep(ctx); err != nil {
			return err
		}
	}
}

// watchPause is the pause after a watch call that returned records. It batches
// bursts of changes, such as those of the claim tables when a whole zone comes
// back.
const watchPause = 100 * dfuclock.Millisecond

// follow lists a prefix once and then watches it until the next full list is due
// or the node is no longer a watcher.
func (d *Duty) follow(ctx context.Context, prefix string, retry *backoff) error {
	revision, err := d.list(ctx, prefix)
	if err != nil {
		return err
	}
	retry.reset()
	relist := d.deps.Clock.Now().Add(d.cfg.ListPeriod + d.jitter(d.cfg.ListPeriod))
	for d.watcher.Load() && d.deps.Clock.Now().Before(relist) {
		records, next, err := d.deps.Store.Watch(ctx, prefix, revision, d.cfg.WatchWait)
		if err != nil {
			return err
		}
		revision = max(revision, next)
		answer := dfurecord.StoreResponse{Prefix: prefix, Records: toRecords(records), Revision: next}
		if err := d.deliver(answer); err != nil {
			return err
		}
		if len(records) > 0 {
			if err := sleep(ctx, watchPause); err != nil {
				return err
			}
		}
	}
	return nil
}

// read lists every prefix whenever the event loop requests it.
func (d *Duty) read(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.readRequests:
		}
		for _, prefix := range d.cfg.Prefixes {
			if _, err := d.list(ctx, prefix); err != nil {
				d.recordStoreFailure("list "+prefix, err)
			}
		}
	}
}

// list passes all records under a prefix to the event loop and returns the
// revision to watch from. It uses List, since ListStale may return a revision
// so old that the store has compacted the changes since, and every watch from it
// would fail.
func (d *Duty) list(ctx context.Context, prefix string) (dfuident.Revision, error) {
	records, revision, err := d.deps.Store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	answer := dfurecord.StoreResponse{Prefix: prefix, Listed: true, Records: toRecords(records), Revision: revision}
	return revision, d.deliver(answer)
}

// deliver passes a response of the store to the event loop.
func (d *Duty) deliver(answer dfurecord.StoreResponse) error {
	d.recordStoreSuccess()
	if !d.inbox.Offer(input{event: dfuroster.StoreResponse{Answer: answer}}) {
		return errQueueFull
	}
	return nil
}

func toRecords(records []dfustore.Record) []dfurecord.Record {
	converted := make([]dfurecord.Record, len(records))
	for i, r := range records {
		converted[i] = dfurecord.Record(r)
	}
	return converted
}

// recordStoreFailure sets the store error of the status, and logs it unless the
// previous call failed too.
func (d *Duty) recordStoreFailure(operation string, err error) {
	message := operation + ": " + err.Error()
	if previous := d.storeError.Swap(&message); previous == nil {
		d.deps.Log.Warn("the store does not answer", zap.String("call", operation), zap.Error(err))
	}
}

// recordStoreSuccess clears the store error of the status.
func (d *Duty) recordStoreSuccess() {
	if d.storeError.Swap(nil) != nil {
		d.deps.Log.Info("the store answers again")
	}
}

// backoff is an exponential backoff with jitter. The delay doubles with every
// use, up to RetryMax, until it is reset.
type backoff struct {
	control *Duty
	delay   dfuclock.Duration
}

func (d *Duty) newBackoff() backoff {
	return backoff{control: d, delay: d.cfg.RetryMin}
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
	b.delay = min(b.delay*2, b.control.cfg.RetryMax)
	return wait
}
