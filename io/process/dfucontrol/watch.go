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

// errRingFull means that the owner did not get to what a duty offered.
var errRingFull = errors.New("the control ring is full")

// watch follows the records under a prefix for as long as the node is a
// watcher. After any failure it lists anew.
func (d *Duty) watch(ctx context.Context, prefix string) error {
	wait := d.newBackoff()
	for {
		if !d.watcher.Load() {
			if err := sleep(ctx, d.cfg.Membership.TickPeriod); err != nil {
				return err
			}
			continue
		}
		err := d.follow(ctx, prefix, &wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !errors.Is(err, dfustore.ErrCompacted) {
			d.storeFailed("watch "+prefix, err)
		}
		if err := wait.sleep(ctx); err != nil {
			return err
		}
	}
}

// watchPause is the time between the answer to a watch and the next one. It
// gathers changes that come close together, such as those of claim tables when
// a whole zone returns.
const watchPause = 100 * dfuclock.Millisecond

// follow lists once and then watches until the next list is due or the node is
// no watcher any more.
func (d *Duty) follow(ctx context.Context, prefix string, wait *backoff) error {
	revision, err := d.list(ctx, prefix)
	if err != nil {
		return err
	}
	wait.reset()
	relist := d.deps.Clock.Now().Add(d.cfg.ListPeriod + d.jitter(d.cfg.ListPeriod))
	for d.watcher.Load() && d.deps.Clock.Now().Before(relist) {
		records, next, err := d.deps.Store.Watch(ctx, prefix, revision, d.cfg.WatchWait)
		if err != nil {
			return err
		}
		revision = max(revision, next)
		answer := dfurecord.StoreAnswered{Prefix: prefix, Records: convert(records), Revision: next}
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

// read lists every prefix when the owner asks for it.
func (d *Duty) read(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.reads:
		}
		for _, prefix := range d.cfg.Prefixes {
			if _, err := d.list(ctx, prefix); err != nil {
				d.storeFailed("list "+prefix, err)
			}
		}
	}
}

// list takes the records under a prefix over. Its answer must not be old: a watch
// from a revision whose history is gone would never begin.
func (d *Duty) list(ctx context.Context, prefix string) (dfuident.Revision, error) {
	records, revision, err := d.deps.Store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	answer := dfurecord.StoreAnswered{Prefix: prefix, Listed: true, Records: convert(records), Revision: revision}
	return revision, d.deliver(answer)
}

func (d *Duty) deliver(answer dfurecord.StoreAnswered) error {
	d.storeAnswered()
	if !d.inbox.Offer(input{event: dfuroster.StoreAnswered{Answer: answer}}) {
		return errRingFull
	}
	return nil
}

func convert(records []dfustore.Record) []dfurecord.Record {
	converted := make([]dfurecord.Record, len(records))
	for i, r := range records {
		converted[i] = dfurecord.Record(r)
	}
	return converted
}

func (d *Duty) storeFailed(what string, err error) {
	message := what + ": " + err.Error()
	if old := d.storeError.Swap(&message); old == nil {
		d.deps.Log.Warn("the store does not answer", zap.String("call", what), zap.Error(err))
	}
}

func (d *Duty) storeAnswered() {
	if d.storeError.Swap(nil) != nil {
		d.deps.Log.Info("the store answers again")
	}
}

// backoff is a wait that doubles with every use until it is reset.
type backoff struct {
	duty *Duty
	next dfuclock.Duration
}

func (d *Duty) newBackoff() backoff {
	return backoff{duty: d, next: d.cfg.RetryMin}
}

func (b *backoff) reset() {
	b.next = b.duty.cfg.RetryMin
}

// sleep waits between half and the whole of the present wait.
func (b *backoff) sleep(ctx context.Context) error {
	return sleep(ctx, b.take())
}

// take returns between half and the whole of the present wait and doubles it.
func (b *backoff) take() dfuclock.Duration {
	wait := b.next/2 + b.duty.jitter(b.next/2)
	b.next = min(b.next*2, b.duty.cfg.RetryMax)
	return wait
}
