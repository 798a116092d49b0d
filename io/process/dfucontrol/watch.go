package dfucontrol

import (
	"context"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/version/dfurecord"
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

// follow lists once and then watches until the next list is due.
func (d *Duty) follow(ctx context.Context, prefix string, wait *backoff) error {
	records, revision, err := d.deps.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	if err := d.deliver(recordsInput{prefix: prefix, listed: true, records: convert(records), revision: revision}); err != nil {
		return err
	}
	wait.reset()
	relist := d.deps.Clock.Now().Add(d.cfg.ListPeriod + d.jitter(d.cfg.ListPeriod))
	for d.deps.Clock.Now().Before(relist) {
		records, next, err := d.deps.Store.Watch(ctx, prefix, revision, d.cfg.WatchWait)
		if err != nil {
			return err
		}
		if err := d.deliver(recordsInput{prefix: prefix, records: convert(records), revision: next}); err != nil {
			return err
		}
		revision = max(revision, next)
	}
	return nil
}

func (d *Duty) deliver(in recordsInput) error {
	d.storeAnswered()
	if !d.inbox.Offer(in) {
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
	err := sleep(ctx, b.next/2+b.duty.jitter(b.next/2))
	b.next = min(b.next*2, b.duty.cfg.RetryMax)
	return err
}
