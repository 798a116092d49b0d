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
	// maxAttempts is how often a write with a lost reply is sent.
	maxAttempts = 3
	// attemptPause is the pause before a write is sent again.
	attemptPause = 200 * dfuclock.Millisecond
)

// change is a new version of an entry that is to replace another one.
type change struct {
	service dfuident.Service
	base    entryVersion
	next    dfucatalogue.Stored
}

// newChange returns the change of a version into an entry.
func (s *session) newChange(service dfuident.Service, base entryVersion, entry dfucatalogue.Entry) change {
	id := dfucatalogue.Change{ChangeID: s.newChangeID(), MadeFrom: base.revision}
	return change{service: service, base: base, next: base.stored.Next(id, entry)}
}

func (c change) id() dfucatalogue.Change {
	return dfucatalogue.Change{ChangeID: c.next.ChangeID, MadeFrom: c.next.MadeFrom}
}

// result is what became of a change.
type result struct {
	change  change
	verdict dfucatalogue.Verdict
	// current is the version in the store, as far as it was seen.
	current entryVersion
}

// submit writes a change and finds out what became of it.
//
// A write whose reply was lost is settled by reading back. If the store has
// not taken the change, the same write is sent again: compare-and-swap makes
// that safe, and whichever copy comes second is refused. The error tells that
// the change was certainly not written; an unknown end is a result.
func (s *session) submit(ctx context.Context, c change) (result, error) {
	r := result{change: c, verdict: dfucatalogue.VerdictUnknown}
	store, err := s.store()
	if err != nil {
		return r, err
	}
	value, err := dfucatalogue.EncodeStored(c.next)
	if err != nil {
		return r, err
	}
	for attempt := range maxAttempts {
		if attempt > 0 && !pause(ctx, attemptPause) {
			break
		}
		revision, err := store.CompareAndSwap(ctx, dfustore.CatalogueKey(c.service), c.base.revision, value, 0)
		if err == nil {
			r.verdict = dfucatalogue.VerdictAccepted
			r.current = entryVersion{revision: revision, stored: c.next}
			return r, nil
		}
		if attempt == 0 && !errors.Is(err, dfustore.ErrUncertain) {
			return r.refused(err)
		}
		if s.settle(ctx, &r, err) {
			return r, nil
		}
	}
	return r, nil
}

// refused ends a change whose first write certainly had no effect.
func (r result) refused(err error) (result, error) {
	var conflict *dfustore.ConflictError
	if !errors.As(err, &conflict) {
		return r, errors.Wrapf(err, "write %s", r.change.service)
	}
	r.verdict = dfucatalogue.VerdictRejected
	r.current = versionOf(conflict.Current)
	return r, nil
}

// settle judges a change that may have been taken by an earlier write, from
// the record that a conflict carries or else by reading back. It reports
// whether nothing is left to find out.
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
	r.verdict = r.current.stored.Judge(r.change.id(), r.current.revision)
	return r.verdict != dfucatalogue.VerdictPending
}

// pause waits and reports whether ctx is still in force.
func pause(ctx context.Context, d dfuclock.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d.Std()):
		return true
	}
}

// err returns the error that goes with a verdict, or nil.
func (r result) err() error {
	switch r.verdict {
	case dfucatalogue.VerdictAccepted:
		return nil
	case dfucatalogue.VerdictRejected:
		return errors.WithStack(errRejected)
	default:
		return errors.WithStack(errUnknown)
	}
}

// settleCommand returns the command that finds out what became of the change.
func (s *session) settleCommand(service dfuident.Service, c dfucatalogue.Change) string {
	return fmt.Sprintf("%s --store %s get %s --change %s --from %d",
		programName, s.settings.Store, service, c.ChangeID, c.MadeFrom)
}
