package dfustore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// scriptedStore answers all calls with one record and one revision.
type scriptedStore struct {
	dfustore.Versioned
	revision atomic.Uint64
	// onList is called while a list is on its way.
	onList func()
	// waiting gets a value when a watch begins to wait.
	waiting chan struct{}
	// expected is the expected revision of the last write.
	expected dfuident.Revision
	// beforeWrite is called before a write, and wrote is closed after it.
	beforeWrite func()
	wrote       chan struct{}
}

func (s *scriptedStore) answer() ([]dfustore.Record, dfuident.Revision, error) {
	revision := dfuident.Revision(s.revision.Load())
	return []dfustore.Record{{Key: "k", Revision: revision}}, revision, nil
}

func (s *scriptedStore) Get(context.Context, string) (dfustore.Record, error) {
	records, _, err := s.answer()
	return records[0], err
}

func (s *scriptedStore) List(context.Context, string) ([]dfustore.Record, dfuident.Revision, error) {
	if s.onList != nil {
		s.onList()
	}
	return s.answer()
}

func (s *scriptedStore) ListStale(context.Context, string) ([]dfustore.Record, dfuident.Revision, error) {
	return s.answer()
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	if wait > 0 {
		s.waiting <- struct{}{}
		<-ctx.Done()
		return nil, after, dfustore.ErrUnavailable
	}
	return s.answer()
}

func (s *scriptedStore) CompareAndSwap(_ context.Context, _ string, expected dfuident.Revision, _ []byte, _ dfustore.LeaseID) (dfuident.Revision, error) {
	s.expected = expected
	if s.beforeWrite != nil {
		s.beforeWrite()
		defer close(s.wrote)
	}
	return dfuident.Revision(s.revision.Add(1)), nil
}

// manualClock shows the time that a test sets.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() dfuclock.Time { return dfuclock.Time(c.now.Load()) }

func (c *manualClock) advance(d dfuclock.Duration) { c.now.Add(int64(d)) }

func newNumbered(revision uint64) (*dfustore.Numbered, *scriptedStore, *manualClock) {
	store := &scriptedStore{waiting: make(chan struct{}, 1)}
	store.revision.Store(revision)
	clock := new(manualClock)
	clock.advance(dfuclock.Second)
	return dfustore.NewNumbered(store, dfustore.NumberedDeps{Clock: clock, Log: zap.NewNop(), Forget: func() {}}), store, clock
}

// A node that has not noticed that the store was restored learns it from another one, and its answers
// then have greater revisions than before.
func TestEraOfAnotherNodeBegins(t *testing.T) {
	is := is.New(t)
	n, store, _ := newNumbered(40)
	_, before, err := n.List(context.Background(), "")
	is.NoErr(err)
	store.revision.Store(5)
	n.Observe(dfuident.Era(3).Revision(5))
	records, after, err := n.List(context.Background(), "")
	is.NoErr(err)
	is.Equal(after, dfuident.Era(3).Revision(5))
	is.Equal(records[0].Revision, after)
	is.True(after > before)
	n.Restored(before) // of an earlier era
	is.Equal(n.Era(), dfuident.Era(3))
	n.Restored(after)
	is.Equal(n.Era(), dfuident.Era(4))
}

// An answer that was on its way when an era began may be of either era, so that it must not be used.
func TestAnswerAcrossErasIsDropped(t *testing.T) {
	is := is.New(t)
	n, store, _ := newNumbered(40)
	store.onList = func() { n.Observe(dfuident.Era(1).Revision(5)) }
	_, _, err := n.List(context.Background(), "")
	is.True(errors.Is(err, dfustore.ErrUnavailable))
}

// A revision of an earlier era says nothing about the store: a watch from it has to list again, and a
// write that expects it conflicts.
func TestRevisionsOfEarlierErasAreRefused(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	n, store, _ := newNumbered(40)
	_, before, err := n.List(ctx, "")
	is.NoErr(err)
	store.revision.Store(7)
	n.Restored(before)
	_, _, err = n.Watch(ctx, "", before, 0)
	is.True(errors.Is(err, dfustore.ErrCompacted))
	_, err = n.CompareAndSwap(ctx, "k", before, nil, 0)
	var conflict *dfustore.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current.Revision, dfuident.Era(1).Revision(7))
	revision, err := n.CompareAndSwap(ctx, "k", conflict.Current.Revision, nil, 0)
	is.NoErr(err)
	is.Equal(store.expected, dfuident.Revision(7))
	is.Equal(revision, dfuident.Era(1).Revision(8))
}

// A watch that waits for revisions of an earlier era would wait until the store has counted up to them.
func TestNewEraEndsWaitingWatches(t *testing.T) {
	is := is.New(t)
	n, store, _ := newNumbered(40)
	failed := make(chan error)
	go func() {
		_, _, err := n.Watch(context.Background(), "", 40, dfuclock.Minute)
		failed <- err
	}()
	<-store.waiting
	n.Restored(40)
	is.True(errors.Is(<-failed, dfustore.ErrCompacted))
}

// A watch whose answer is as of a smaller revision than it was asked for has missed what came between.
func TestWatchOfARestoredStoreListsAgain(t *testing.T) {
	is := is.New(t)
	n, store, _ := newNumbered(40)
	store.revision.Store(5)
	_, _, err := n.Watch(context.Background(), "", 40, 0)
	is.True(errors.Is(err, dfustore.ErrCompacted))
}

// A read below a known revision may come from a replica that lags; a write can't. The store counts as
// restored if the revision of a write isn't greater than the known one either.
func TestWriteDecidesWhetherTheStoreWasRestored(t *testing.T) {
	tests := []struct {
		name string
		// known is the revision before, listed that of the suspicious list, and current that of
		// the store when the write arrives.
		known, listed, current uint64
		restored               bool
	}{
		{"a list that lags", 40, 38, 41, false},
		{"a list that lags, no change since", 40, 38, 40, false},
		{"restored", 40, 5, 5, true},
		{"restored, and nearly as many changes since", 40, 5, 39, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n, store, clock := newNumbered(c.known)
			_, _, err := n.List(context.Background(), "")
			is.NoErr(err)
			store.wrote = make(chan struct{})
			store.onList = func() { store.revision.Store(c.listed) }
			store.beforeWrite = func() { store.revision.Store(c.current) }
			clock.advance(dfuclock.Second)
			_, revision, err := n.List(context.Background(), "")
			is.NoErr(err)
			is.Equal(revision, dfuident.Revision(c.listed))
			<-store.wrote
			for range 100 {
				if n.Era() != 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			is.Equal(n.Era() == 1, c.restored)
		})
	}
}

// A stale read may return the content from before the restoration, whose revisions would hide the
// changes of the new era.
func TestStaleReadsOfANewEraHaveNoRevision(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	n, _, clock := newNumbered(40)
	n.Restored(40)
	_, revision, err := n.ListStale(ctx, "")
	is.NoErr(err)
	is.Equal(revision, dfuident.Revision(0))
	clock.advance(10 * dfuclock.Second)
	_, revision, err = n.ListStale(ctx, "")
	is.NoErr(err)
	is.Equal(revision, dfuident.Era(1).Revision(40))
}
