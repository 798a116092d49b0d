package dfustore

import (
	"context"
	"slices"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// staleReadAge is how old a stale read may be. Until an era is that old, a stale read may
	// return the content of the era before.
	staleReadAge = 10 * dfuclock.Second
	// verifyPause is the minimum time between two verifications, and verifyTimeout limits one.
	verifyPause   = 2 * dfuclock.Second
	verifyTimeout = 2 * time.Second
	// maxVerifyWrites is the maximum number of writes of a verification. Other nodes may write
	// at the same time.
	maxVerifyWrites = 4
)

// Numbered is a client of a store whose revisions may become smaller, since it was restored
// from an older copy or counts them anew. The revisions of a Numbered have an era and never
// become smaller. An era begins when
//
//   - a caller of Restored has found answers that contradict each other,
//   - a linearizable read returns a smaller revision than was known before it was sent, and so does
//     a write, which no replica that lags can answer, or
//   - another node has begun one, see Observe.
//
// Nodes that find the same restoration begin the same era. The era that a platform reports in its
// answers is another one, see AnswerEra. A Numbered is safe for concurrent use.
type Numbered struct {
	store Versioned
	deps  NumberedDeps

	mu  sync.Mutex
	era dfuident.Era
	// began is the time at which the era began; zero for the first one.
	began dfuclock.Time
	// known is the greatest revision of the era that the store is known to have had.
	known dfuident.Revision
	// nextVerifyAt is the earliest time of the next verification.
	nextVerifyAt dfuclock.Time
	// interrupted is done when the watches that wait must list again.
	interrupted context.Context
	interrupt   context.CancelFunc
}

// NumberedDeps holds the dependencies of a Numbered.
type NumberedDeps struct {
	Clock dfuclock.Clock
	Log   *zap.Logger
	// Forget makes the client accept revisions that are smaller than those of earlier answers.
	Forget func()
}

// NewNumbered returns a Numbered on a client of the store.
func NewNumbered(store Versioned, deps NumberedDeps) *Numbered {
	n := &Numbered{store: store, deps: deps}
	n.interrupted, n.interrupt = context.WithCancel(context.Background())
	return n
}

// Era returns the current era.
func (n *Numbered) Era() dfuident.Era {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.era
}

// Observe records a revision that another node has. If its era is later, that era begins here
// too.
func (n *Numbered) Observe(revision dfuident.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision.Era() > n.era {
		n.begin(revision.Era(), "another node has found it")
	}
	n.raise(revision)
}

// Restored records that an answer of the store with a revision contradicts an earlier one of
// the same era. The next era begins, unless it has already.
func (n *Numbered) Restored(revision dfuident.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision.Era() == n.era {
		n.begin(n.era+1, "answers contradict each other")
	}
}

// begin begins an era. The caller must hold n.mu.
func (n *Numbered) begin(era dfuident.Era, reason string) {
	n.deps.Log.Warn("the store was restored: its revisions have become smaller", zap.Uint32("era", uint32(era)),
		zap.Uint64("known", uint64(n.known.InStore())), zap.String("reason", reason))
	n.era, n.began = era, n.deps.Clock.Now()
	n.known = 0
	n.interruptWatches()
	n.deps.Forget()
}

// interruptWatches ends the watches that wait. The caller must hold n.mu.
func (n *Numbered) interruptWatches() {
	n.interrupt()
	n.interrupted, n.interrupt = context.WithCancel(context.Background())
}

// raise records a revision that the store has had. The caller must hold n.mu.
func (n *Numbered) raise(revision dfuident.Revision) {
	if revision.Era() == n.era {
		n.known = max(n.known, revision)
	}
}

// sent is the state at the time at which a call was sent.
type sent struct {
	era         dfuident.Era
	known       dfuident.Revision
	at          dfuclock.Time
	interrupted context.Context
}

func (n *Numbered) send() sent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return sent{n.era, n.known, n.deps.Clock.Now(), n.interrupted}
}

// errNewEra is returned if an era has begun since the call was sent: the answer may be of
// either one.
var errNewEra = errors.New("the revisions of the store have become smaller meanwhile")

// answered records the revision of an answer, as the store has it, and returns the era of the
// answer.
func (n *Numbered) answered(s sent, inStore dfuident.Revision) (dfuident.Era, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.era != s.era {
		return 0, errors.Mark(errNewEra, ErrUnavailable)
	}
	n.raise(s.era.Revision(inStore))
	return s.era, nil
}

// suspect verifies that the store was restored, after a linearizable answer with a smaller revision
// than was known when it was requested. The watches that wait may wait for a revision that is
// far away, so that they have to list again.
func (n *Numbered) suspect(s sent, inStore dfuident.Revision) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.era != s.era || s.at.Before(n.nextVerifyAt) {
		return
	}
	n.deps.Log.Warn("the store returned a smaller revision than before", zap.Uint64("revision", uint64(inStore)),
		zap.Uint64("known", uint64(s.known.InStore())), zap.Uint32("era", uint32(s.era)))
	n.nextVerifyAt = s.at.Add(verifyPause)
	n.interruptWatches()
	go n.verify(s)
}

// verify writes to the store and begins an era if the revision of the write is not greater than
// was known before.
func (n *Numbered) verify(s sent) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	n.deps.Forget()
	written, err := n.writeProbe(ctx)
	if err != nil {
		n.deps.Log.Warn("the revision of the store was not verified", zap.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.era == s.era && written <= s.known.InStore() {
		n.begin(n.era+1, "a write has a smaller revision")
	}
}

// writeProbe writes the record of verifications and returns its revision, as the store has it.
func (n *Numbered) writeProbe(ctx context.Context) (dfuident.Revision, error) {
	current, err := n.store.Get(ctx, ProbeKey)
	if err != nil {
		return 0, err
	}
	for range maxVerifyWrites {
		expected := current.Revision
		if !current.Exists() {
			expected = 0
		}
		var revision dfuident.Revision
		revision, err = n.store.CompareAndSwap(ctx, ProbeKey, expected, []byte("{}"), 0)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			return revision, err
		}
		current = conflict.Current
	}
	return 0, err
}

// numberRecords returns the records with revisions of an era.
func numberRecords(era dfuident.Era, records []Record) []Record {
	numbered := slices.Clone(records)
	for i := range numbered {
		numbered[i].Revision = era.Revision(numbered[i].Revision)
	}
	return numbered
}

// Get is Store.Get.
func (n *Numbered) Get(ctx context.Context, key string) (Record, error) {
	s := n.send()
	r, err := n.store.Get(ctx, key)
	if err != nil {
		return r, err
	}
	era, err := n.answered(s, r.Revision)
	r.Revision = era.Revision(r.Revision)
	return r, err
}

// List is Store.List.
func (n *Numbered) List(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error) {
	s := n.send()
	records, inStore, err := n.store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	if inStore < s.known.InStore() {
		n.suspect(s, inStore)
	}
	era, err := n.answered(s, inStore)
	if err != nil {
		return nil, 0, err
	}
	return numberRecords(era, records), era.Revision(inStore), nil
}

// ListStale is Store.ListStale. The revision is zero as long as the result may be of an
// earlier era.
func (n *Numbered) ListStale(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error) {
	return n.readStale(ctx, prefix, n.store.ListStale)
}

// Ping is Store.Ping. The revision is zero as long as the result may be of an earlier era.
func (n *Numbered) Ping(ctx context.Context, prefix string) ([]Record, dfuident.Revision, error) {
	return n.readStale(ctx, prefix, n.store.Ping)
}

func (n *Numbered) readStale(ctx context.Context, prefix string, read func(context.Context, string) ([]Record, dfuident.Revision, error)) ([]Record, dfuident.Revision, error) {
	s := n.send()
	records, inStore, err := read(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	if n.mayBeOlder(s) {
		return numberRecords(s.era, records), 0, nil
	}
	era, err := n.answered(s, inStore)
	if err != nil {
		return nil, 0, err
	}
	return numberRecords(era, records), era.Revision(inStore), nil
}

// mayBeOlder reports whether the answer to a stale read may be of an earlier era.
func (n *Numbered) mayBeOlder(s sent) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.era != s.era || n.began != 0 && n.deps.Clock.Now().Sub(n.began) < staleReadAge
}

// Received is Store.Received.
func (n *Numbered) Received() uint64 {
	return n.store.Received()
}

// Watch is Store.Watch. It returns ErrCompacted if the store may have been restored, so that the
// changes after a revision can't be determined.
func (n *Numbered) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]Record, dfuident.Revision, error) {
	s := n.send()
	if after.Era() != s.era {
		return nil, after, errors.WithStack(ErrCompacted)
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.interrupted, cancel)()
	records, inStore, err := n.store.Watch(watchCtx, prefix, after.InStore(), wait)
	switch {
	case ctx.Err() == nil && s.interrupted.Err() != nil:
		return nil, after, errors.WithStack(ErrCompacted)
	case err != nil:
		return nil, after, err
	case inStore == 0:
		inStore = after.InStore()
	case inStore < after.InStore():
		return nil, after, errors.WithStack(ErrCompacted)
	}
	era, err := n.answered(s, inStore)
	if err != nil {
		return nil, after, errors.WithStack(ErrCompacted)
	}
	return numberRecords(era, records), era.Revision(inStore), nil
}

// CompareAndSwap is Store.CompareAndSwap. An expected revision of an earlier era is not the
// current one.
func (n *Numbered) CompareAndSwap(ctx context.Context, key string, expected dfuident.Revision, value []byte, lease LeaseID) (dfuident.Revision, error) {
	s := n.send()
	if expected != 0 && expected.Era() != s.era {
		current, err := n.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		return 0, errors.WithStack(&ConflictError{Current: current})
	}
	inStore, err := n.store.CompareAndSwap(ctx, key, expected.InStore(), value, lease)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		current := conflict.Current
		era, err := n.answered(s, current.Revision)
		if err != nil {
			return 0, err
		}
		current.Revision = era.Revision(current.Revision)
		return 0, errors.WithStack(&ConflictError{Current: current})
	}
	if err != nil {
		return 0, err
	}
	era, err := n.answered(s, inStore)
	if err != nil {
		return 0, errors.Mark(errNewEra, ErrUncertain)
	}
	return era.Revision(inStore), nil
}
