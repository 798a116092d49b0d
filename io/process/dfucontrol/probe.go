package dfucontrol

import (
	"context"

	"dragonflyusher/core/process/dfuclock"

	"github.com/cockroachdb/errors"
)

// errUnanswered marks a ping without an answer. It is also the cause with which watches are
// canceled when a ping fails.
var errUnanswered = errors.New("the store doesn't answer")

// probe pings the store at short intervals while the node is a watcher, since a watch that
// waits for a change doesn't show whether the store still answers. If a ping fails, the store
// counts as lost, and the watches are canceled.
func (c *Controller) probe(ctx context.Context) error {
	if err := c.awaitWatchStart(ctx); err != nil {
		return err
	}
	timeout := c.cfg.ProbeTimeout
	for {
		if !c.watcher.Load() || c.storeLost.Load() {
			if err := sleep(ctx, c.cfg.Membership.TickPeriod); err != nil {
				return err
			}
			continue
		}
		began := c.deps.Clock.Now()
		err := c.ping(ctx, timeout)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			c.recordStoreFailure("ping", err)
			c.loseStore()
			timeout = min(2*timeout, c.cfg.ProbeTimeoutMax)
		case c.deps.Clock.Now().Sub(began) < c.cfg.ProbeTimeout:
			timeout = c.cfg.ProbeTimeout
		}
		if err := sleep(ctx, c.cfg.ProbePeriod/2+c.jitter(c.cfg.ProbePeriod)); err != nil {
			return err
		}
	}
}

func (c *Controller) ping(ctx context.Context, timeout dfuclock.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Std())
	defer cancel()
	err := c.deps.Store.Ping(ctx)
	if ctx.Err() != nil {
		return errors.Mark(err, errUnanswered)
	}
	return err
}

// loseStore makes the node hand over the watch of the store.
func (c *Controller) loseStore() {
	c.storeLost.Store(true)
	for _, w := range c.watches {
		if cancel := w.cancel.Load(); cancel != nil {
			(*cancel)(errUnanswered)
		}
	}
}
