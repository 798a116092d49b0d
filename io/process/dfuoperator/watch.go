package dfuoperator

import (
	"context"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
)

const (
	// watchWait is the maximum time that one call to the store waits for a
	// change.
	watchWait = 20 * dfuclock.Second
	// watchRetryDelay is the delay after a failed call.
	watchRetryDelay = dfuclock.Second
)

// watchCommand prints changes as they are accepted.
type watchCommand struct {
	Count int                `long:"count" value-name:"N" description:"exit after this many changes"`
	After *dfuident.Revision `long:"after" value-name:"REV" description:"start after this revision; the current one if not set"`
	Args  struct {
		Service dfuident.Service `positional-arg-name:"SERVICE"`
	} `positional-args:"yes"`
}

// watcher prints the changes of the catalogue.
type watcher struct {
	session *session
	store   dfustore.Store
	// service restricts the output to one service, unless it is empty.
	service dfuident.Service
	// after is the revision to watch from.
	after    dfuident.Revision
	versions map[dfuident.Service]entryVersion
	// shown is the number of versions printed so far.
	shown int
}

func (c *watchCommand) run(ctx context.Context, s *session) error {
	store, err := s.store()
	if err != nil {
		return err
	}
	w := &watcher{session: s, store: store, service: c.Args.Service, versions: make(map[dfuident.Service]entryVersion)}
	if c.After != nil {
		w.after = *c.After
	} else if err := w.relist(ctx, false); err != nil {
		return err
	}
	for (c.Count == 0 || w.shown < c.Count) && ctx.Err() == nil {
		if err := w.next(ctx); err != nil {
			return err
		}
	}
	return nil
}

// next waits for changes and prints them. It returns nil if ctx ends.
func (w *watcher) next(ctx context.Context) error {
	records, after, err := w.store.Watch(ctx, w.prefix(), w.after, watchWait)
	switch {
	case ctx.Err() != nil:
		return nil
	case errors.Is(err, dfustore.ErrCompacted):
		return w.relist(ctx, true)
	case errors.Is(err, dfustore.ErrUnavailable):
		w.session.notef("the store is unavailable; retrying")
		sleep(ctx, watchRetryDelay)
		return nil
	case err != nil:
		return errors.Wrap(err, "watch the catalogue")
	}
	w.after = max(w.after, after)
	return w.processRecords(records, true)
}

func (w *watcher) prefix() string {
	return dfustore.CatalogueKey(w.service)
}

// relist lists the watched entries and, if show is set, prints those that have
// changed.
func (w *watcher) relist(ctx context.Context, show bool) error {
	records, revision, err := w.store.List(ctx, w.prefix())
	if err != nil {
		return errors.Wrap(err, "list the catalogue")
	}
	w.after = max(w.after, revision)
	return w.processRecords(records, show)
}

// processRecords stores newer versions and, if show is set, prints them. It
// ignores versions that aren't newer than the stored one, which a lagging replica
// may return.
func (w *watcher) processRecords(records []dfustore.Record, show bool) error {
	for _, record := range records {
		service, v := serviceOf(record), versionOf(record)
		if w.service != "" && service != w.service || v.revision <= w.versions[service].revision {
			continue
		}
		before := w.versions[service]
		w.versions[service] = v
		if !show {
			continue
		}
		w.shown++
		if err := w.show(service, before, v); err != nil {
			return err
		}
	}
	return nil
}

func (w *watcher) show(service dfuident.Service, before, v entryVersion) error {
	var changes []dfucatalogue.FieldChange
	if before.live() && v.live() && before.invalid == nil && v.invalid == nil {
		changes = dfucatalogue.Diff(before.stored.Entry, v.stored.Entry)
	}
	if w.session.json {
		return w.session.printJSON(struct {
			Service  dfuident.Service           `json:"service"`
			Revision dfuident.Revision          `json:"revision"`
			ChangeID dfuident.ChangeID          `json:"change_id"`
			Deleted  bool                       `json:"deleted"`
			Invalid  bool                       `json:"invalid"`
			Changes  []dfucatalogue.FieldChange `json:"changes"`
		}{service, v.revision, v.stored.ChangeID, v.stored.Deleted, v.invalid != nil, changes})
	}
	w.session.printf("%s: %s at revision %d%s", service, describeChange(before, v), v.revision, byChange(v.stored.ChangeID))
	for _, c := range changes {
		w.session.printf("%s: %s: %s -> %s", service, c.Path, c.Before, c.After)
	}
	return nil
}

// describeChange returns a description of the change between two versions.
func describeChange(before, v entryVersion) string {
	switch {
	case v.invalid != nil:
		return "invalid entry (" + strings.ReplaceAll(v.invalid.Error(), "\n", "; ") + ")"
	case !v.live():
		return "deleted"
	case before.live():
		return "changed"
	case v.stored.MadeFrom == 0 || before.revision > 0:
		return "created"
	default:
		return "written"
	}
}
