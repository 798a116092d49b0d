package dfucontrol

import (
	"context"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// watchAnswerDelay is how long after a change the answer of a watch may arrive, including
	// watchPause.
	watchAnswerDelay = 250 * dfuclock.Millisecond
	// peerAnswerDelay is how long after a change is known from peers the answer of a watch may
	// arrive. It allows for a slow store, and for a large answer over a slow link.
	peerAnswerDelay = 2 * dfuclock.Second
	// answerTime is how long a large answer may take while data arrive from the store.
	answerTime = dfuclock.Second
	// checkWait is the wait of a watch that only asks for changes that the store already has.
	checkWait = dfuclock.Millisecond
	// maxStaleListBytes is the size of the records of a prefix up to which a list costs less
	// than a watch.
	maxStaleListBytes = 32 << 10
	// maxPingBytes is the size of the records of a prefix that a ping may transfer.
	maxPingBytes = 512
)

// errAnswerMissed is the cause with which a watch is canceled that has not returned a change.
var errAnswerMissed = errors.New("the answer of the watch was lost")

// checkWatches finds watches that have not returned changes up to a revision of the store and
// starts them again. A watch whose answer is lost looks like one that waits for a change. It
// reports whether there was one.
func (c *Controller) checkWatches(ctx context.Context, revision dfuident.Revision) bool {
	if len(c.behind(revision)) == 0 {
		return false
	}
	if !c.awaitAnswers(ctx, revision) {
		return false
	}
	missed := false
	behind := c.behind(revision)
	for _, w := range c.watches {
		if slices.Contains(behind, w.prefix) && !c.checkWatch(ctx, w, revision) {
			missed = true
		}
	}
	return missed
}

// awaitAnswers waits for the answers of watches that are on their way, and reports whether one is
// still behind a revision. While data arrive from the store, a large answer may still be
// arriving over a slow link; but these may be other answers, which must not postpone the check
// again and again.
func (c *Controller) awaitAnswers(ctx context.Context, revision dfuident.Revision) bool {
	end := c.deps.Clock.Now().Add(answerTime)
	for {
		received := c.deps.Store.Received()
		if err := sleep(ctx, watchAnswerDelay); err != nil || len(c.behind(revision)) == 0 {
			return false
		}
		if c.deps.Store.Received() == received || !c.deps.Clock.Now().Before(end) {
			return true
		}
	}
}

// restartDeafWatches starts the watches again that have not returned a change that the node
// knows from peers. This evidence costs no call and is not as old as a stale read may be, but
// needs another watcher that has got the answer. It reports whether there was one.
func (c *Controller) restartDeafWatches(now dfuclock.Time) bool {
	restarted := false
	for _, w := range c.watches {
		covered, known := c.covered(w.prefix), dfuident.Revision(w.known.Load())
		switch {
		case covered == 0 || known <= covered:
			w.behind = 0
		case w.behind <= covered:
			w.behind, w.behindSince = known, now
		case now.Sub(w.behindSince) >= peerAnswerDelay:
			w.behind = 0
			c.restartWatch(w.cancel.Load(), w, covered, errPeersAhead)
			restarted = true
		}
	}
	return restarted
}

// errPeersAhead is the reason for which a watch is started again that has not returned what
// peers have.
var errPeersAhead = errors.New("peers have a change that the watch has not returned")

// restartWatch starts a watch again, with a list. What it has returned is covered.
func (c *Controller) restartWatch(cancel *context.CancelCauseFunc, w *prefixWatch, covered dfuident.Revision, reason error) {
	c.missedAnswers.Add(1)
	c.deps.Log.Warn("a watch of the store missed an answer", zap.String("prefix", w.prefix),
		zap.Uint64("after", uint64(covered)), zap.Uint64("known", w.known.Load()), zap.Error(reason))
	(*cancel)(errAnswerMissed)
}

// currentRevision returns the revision of the store by a read that is not stale.
func (c *Controller) currentRevision(ctx context.Context) (dfuident.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ProbeTimeout.Std())
	defer cancel()
	_, revision, err := c.deps.Store.List(ctx, dfustore.PingPrefix)
	return revision, err
}

// checkWatch reads the changes that a watch may have missed, and reports whether there are
// none up to a revision. Otherwise it starts the watch again, with a list. It does so as well
// if the store doesn't answer or has discarded the changes, but not if it refuses the call.
func (c *Controller) checkWatch(ctx context.Context, w *prefixWatch, revision dfuident.Revision) bool {
	restart, after := w.cancel.Load(), c.covered(w.prefix)
	if after == 0 {
		return true
	}
	records, answer, err := c.readChanges(ctx, w, after, revision)
	isRefused := err != nil && !errors.Is(err, errUnanswered) && !errors.Is(err, dfustore.ErrCompacted)
	if ctx.Err() != nil || isRefused || c.covered(w.prefix) != after {
		return true
	}
	if err == nil {
		err = c.deliver(answer)
	}
	if err == nil {
		c.cover(w.prefix, nil, answer.Revision)
	}
	changes := changesAfter(records, after)
	if err == nil && changes == 0 {
		return true
	}
	if err == nil {
		err = errors.Newf("%d changes", changes)
	}
	c.restartWatch(restart, w, after, err)
	return false
}

// readChanges reads the changes below a prefix after a revision, up to another one at least.
// A stale list costs a tenth of a watch, but transfers all records and may be too old.
func (c *Controller) readChanges(ctx context.Context, w *prefixWatch, after, upTo dfuident.Revision) ([]dfustore.Record, dfurecord.StoreResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ProbeTimeout.Std())
	defer cancel()
	answer := dfurecord.StoreResponse{Prefix: w.prefix}
	if w.recordBytes.Load() <= maxStaleListBytes {
		records, revision, err := c.deps.Store.ListStale(ctx, w.prefix)
		if err != nil {
			return nil, answer, markUnanswered(ctx, err)
		}
		if revision >= upTo {
			answer.Listed, answer.Records, answer.Revision = true, toRecords(records), revision
			return records, answer, nil
		}
	}
	records, next, err := c.deps.Store.Watch(ctx, w.prefix, after, checkWait)
	answer.Records, answer.Revision = toRecords(records), next
	return records, answer, markUnanswered(ctx, err)
}

// changesAfter returns the number of records above a revision.
func changesAfter(records []dfustore.Record, after dfuident.Revision) int {
	changes := 0
	for _, r := range records {
		if r.Revision > after {
			changes++
		}
	}
	return changes
}

// smallestWatch returns the watch whose records are the smallest, or nil if none are small
// enough to be read with each ping.
func (c *Controller) smallestWatch() *prefixWatch {
	var smallest *prefixWatch
	for _, w := range c.watches {
		size := w.recordBytes.Load()
		if size > maxPingBytes || c.covered(w.prefix) == 0 {
			continue
		}
		if smallest == nil || size < smallest.recordBytes.Load() {
			smallest = w
		}
	}
	return smallest
}

// cover records the answer of the store to a list or a watch of a prefix.
func (c *Controller) cover(prefix string, changes []dfustore.Record, upTo dfuident.Revision) {
	c.coverageMu.Lock()
	defer c.coverageMu.Unlock()
	for _, r := range changes {
		c.coverage.Changed(prefix, r.Revision)
	}
	c.coverage.Cover(prefix, upTo)
}

// coverWrite records the revision of a write by this node.
func (c *Controller) coverWrite(revision dfuident.Revision) {
	c.coverageMu.Lock()
	defer c.coverageMu.Unlock()
	c.coverage.Changed("", revision)
}

func (c *Controller) dropCoverage(prefix string) {
	c.coverageMu.Lock()
	defer c.coverageMu.Unlock()
	c.coverage.Drop(prefix)
}

func (c *Controller) covered(prefix string) dfuident.Revision {
	c.coverageMu.Lock()
	defer c.coverageMu.Unlock()
	return c.coverage.Covered(prefix)
}

func (c *Controller) latestRevision() dfuident.Revision {
	c.coverageMu.Lock()
	defer c.coverageMu.Unlock()
	return c.coverage.Latest()
}

func (c *Controller) behind(revision dfuident.Revision) []string {
	c.coverageMu.Lock()
	defer c.coverageMu.Unlock()
	return c.coverage.Behind(revision)
}
