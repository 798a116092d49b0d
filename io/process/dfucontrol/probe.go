package dfucontrol

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfurecord"

	"github.com/cockroachdb/errors"
)

// errUnanswered marks a ping or a check of a watch without an answer. It is also the cause with which watches are
// canceled when a ping fails.
var errUnanswered = errors.New("the store doesn't answer")

// frequentProbing is how long the node pings twice as often after a watch has missed an answer,
// and reads the current revision of the store, since further answers may be lost.
const frequentProbing = 10 * dfuclock.Second

// probe pings the store at short intervals while the node is a watcher, since a watch that
// waits for a change doesn't show whether the store still answers. If a ping fails, the store
// counts as lost, and the watches are canceled until a ping is answered. The revision that a ping
// returns shows watches whose answer was lost.
func (c *Controller) probe(ctx context.Context) error {
	if err := c.awaitWatchStart(ctx); err != nil {
		return err
	}
	timeout := c.cfg.ProbeTimeout
	var frequentUntil, nextCurrentAt dfuclock.Time
	for {
		if !c.watcher.Load() && !c.storeLost.Load() {
			timeout = c.cfg.ProbeTimeout
			if err := sleep(ctx, c.cfg.Membership.TickPeriod); err != nil {
				return err
			}
			continue
		}
		began := c.deps.Clock.Now()
		revision, err := c.ping(ctx, c.smallestWatch(), timeout)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			c.recordStoreFailure("ping", err)
			timeout = min(2*timeout, c.cfg.ProbeTimeoutMax)
			if err := c.awaitStore(ctx); err != nil {
				return err
			}
		case c.deps.Clock.Now().Sub(began) < c.cfg.ProbeTimeout:
			timeout = c.cfg.ProbeTimeout
		}
		isFrequent := began.Before(frequentUntil)
		readCurrent := isFrequent || c.lead.Load() && !began.Before(nextCurrentAt)
		if readCurrent {
			nextCurrentAt = began.Add(3*c.cfg.CurrentPeriod/4 + c.jitter(c.cfg.CurrentPeriod/2))
		}
		if err == nil && c.findMissedAnswers(ctx, revision, readCurrent) {
			frequentUntil = c.deps.Clock.Now().Add(frequentProbing)
		}
		isFrequent = c.deps.Clock.Now().Before(frequentUntil)
		if err := sleep(ctx, c.probeWait(isFrequent, nextCurrentAt)); err != nil {
			return err
		}
	}
}

// probeWait returns a random time until the next ping. The lead pings sooner if it
// has to read the current revision before.
func (c *Controller) probeWait(isFrequent bool, nextCurrentAt dfuclock.Time) dfuclock.Duration {
	period := c.cfg.ProbePeriod
	if isFrequent {
		period /= 2
	}
	wait := period/2 + c.jitter(period)
	if c.lead.Load() {
		wait = max(0, min(wait, nextCurrentAt.Sub(c.deps.Clock.Now())))
	}
	return wait
}

// findMissedAnswers starts the watches again that have missed an answer, and reports whether
// there was one. The revision is that of a ping, which may be seconds old. One watcher of a zone
// compares its watches with it, since each comparison may cost a read.
func (c *Controller) findMissedAnswers(ctx context.Context, revision dfuident.Revision, readCurrent bool) bool {
	missed := c.restartDeafWatches(c.deps.Clock.Now())
	if !c.firstWatcher.Load() {
		return missed
	}
	if readCurrent {
		if current, err := c.currentRevision(ctx); err == nil {
			revision = max(revision, current)
		}
	}
	return c.checkWatches(ctx, max(revision, c.latestRevision())) || missed
}

// awaitStore makes the node hand over the watch of the store, and pings the store until it
// answers. A ping doesn't wait for the end of the one before, which may get no answer although
// the store is back.
func (c *Controller) awaitStore(ctx context.Context) error {
	c.storeSilent.Store(true)
	c.lose(c.watches...)
	for _, w := range c.watches {
		if cancel := w.cancel.Load(); cancel != nil {
			(*cancel)(errUnanswered)
		}
	}
	pingCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{}, 1)
	for {
		go func() {
			if _, err := c.ping(pingCtx, nil, c.cfg.ProbeTimeoutMax); err == nil {
				select {
				case answered <- struct{}{}:
				default:
				}
			}
		}()
		timer := time.NewTimer((c.cfg.ProbePeriod + c.jitter(c.cfg.ProbePeriod)).Std())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-answered:
			timer.Stop()
			c.storeSilent.Store(false)
			c.endBackoffs()
			return nil
		case <-timer.C:
		}
	}
}

// ping returns a revision of the store, or zero if it is unknown. Unless w is nil, it reads the
// records of w's prefix, which are covered up to that revision if none has changed.
func (c *Controller) ping(ctx context.Context, w *prefixWatch, timeout dfuclock.Duration) (dfuident.Revision, error) {
	prefix, after := "", dfuident.Revision(0)
	if w != nil {
		prefix, after = w.prefix, c.covered(w.prefix)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	records, revision, err := c.deps.Store.Ping(callCtx, prefix)
	if err != nil || after == 0 || revision <= after || changesAfter(records, after) > 0 {
		return revision, markUnanswered(callCtx, err)
	}
	answer := dfurecord.StoreResponse{Prefix: prefix, Listed: true, Records: toRecords(records), Revision: revision}
	if c.deliver(answer) == nil {
		c.cover(prefix, nil, revision)
	}
	return revision, nil
}

// markUnanswered marks the error of a call that failed at the end of its context.
func markUnanswered(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return errors.Mark(err, errUnanswered)
}
