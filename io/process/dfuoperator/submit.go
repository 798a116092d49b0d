package dfuoperator

import (
	"context"
	"fmt"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
)

const (
	// maxAttempts is the maximum number of times that a write is sent if its
	// reply is lost.
	maxAttempts = 3
	// retryDelay is the delay before a write is sent again.
	retryDelay = 200 * dfuclock.Millisecond
)

// change replaces the version base of an entry by the version next.
type change struct {
	service dfuident.Service
	base    entryVersion
	next    dfucatalogue.Stored
}

// newChange returns a change, with a new id, that replaces the version base by
// an entry.
func (s *session) newChange(service dfuident.Service, base entryVersion, entry dfucatalogue.Entry) change {
	id := dfucatalogue.Change{ChangeID: s.newChangeID(), MadeFrom: base.revision}
	return change{service: service, base: base, next: base.stored.Next(id, entry)}
}

func (c change) id() dfucatalogue.Change {
	return dfucatalogue.Change{ChangeID: c.next.ChangeID, MadeFrom: c.next.MadeFrom}
}

// result is a change with its status.
type result struct {
	change change
	status dfucatalogue.ChangeStatus
	// current is the last version read from the store, zero if none was.
	current entryVersion
}

// submit writes a change and determines its result.
//
// If the reply to a write was lost, submit reads the entry back. If the change
// has not been applied, it sends the same write again. That is safe, since
// compare-and-swap applies at most one of the copies. An error means that the
// change was certainly not written. If the result can't be determined, the
// status is ChangeUnknown or ChangePending, and the error is nil.
func (s *session) submit(ctx context.Context, c change) (result, error) {
	r := result{change: c, status: dfucatalogue.ChangeUnknown}
	store, err := s.store()
	if err != nil {
		return r, err
	}
	value, err := dfucatalogue.EncodeStored(c.next)
	if err != nil {
		return r, err
	}
	for attempt := range maxAttempts {
		if attempt > 0 && !sleep(ctx, retryDelay) {
			break
		}
		revision, err := store.CompareAndSwap(ctx, dfustore.CatalogueKey(c.service), c.base.revision, value, 0)
		if err == nil {
			r.status = dfucatalogue.ChangeAccepted
			r.current = entryVersion{revision: revision, stored: c.next}
			return r, nil
		}
		if attempt == 0 && !errors.Is(err, dfustore.ErrUncertain) {
			return r.resolveUnapplied(err)
		}
		if s.settle(ctx, &r, err) {
			return r, nil
		}
	}
	return r, nil
}

// resolveUnapplied returns the result of a change whose first write certainly
// wasn't applied: a rejection in case of a conflict, an error otherwise.
func (r result) resolveUnapplied(err error) (result, error) {
	var conflict *dfustore.ConflictError
	if !errors.As(err, &conflict) {
		return r, errors.Wrapf(err, "write %s", r.change.service)
	}
	r.status = dfucatalogue.ChangeRejected
	r.current = versionOf(conflict.Current)
	return r, nil
}

// settle determines the status of a change that an earlier write may have
// applied. It uses the record contained in a conflict error, or else reads the
// entry back. It reports whether the status is final, rather than pending or
// not determined because the read failed.
func (s *session) settle(ctx context.Context, r *result, err error) bool {
	var conflict *dfustore.ConflictError
	if errors.As(err, &conflict) {
		r.current = versionOf(conflict.Current)
	} else {
		current, err := s.read(ctx, r.change.service)
		if err != nil {
			return false
		}
		r.current = current
	}
	r.status = r.current.stored.StatusOf(r.change.id(), r.current.revision)
	return r.status != dfucatalogue.ChangePending
}

// sleep waits for the given time and returns true, or returns false as soon as ctx
// ends.
func sleep(ctx context.Context, d dfuclock.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d.Std()):
		return true
	}
}

// err returns the error for the result, which selects the exit status, or nil if
// the change was accepted.
func (r result) err() error {
	switch r.status {
	case dfucatalogue.ChangeAccepted:
		return nil
	case dfucatalogue.ChangeRejected:
		return errors.WithStack(errRejected)
	default:
		return errors.WithStack(errUnknown)
	}
}

// settleCommand returns the command line that determines the result of a change.
func (s *session) settleCommand(service dfuident.Service, c dfucatalogue.Change) string {
	return fmt.Sprintf("%s --store %s get %s --change %s --from %d",
		programName, s.settings.Store, service, c.ChangeID, c.MadeFrom)
}
