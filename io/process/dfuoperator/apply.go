package dfuoperator

import (
	"context"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"

	"github.com/cockroachdb/errors"
)

// applyCommand writes entries from files.
type applyCommand struct {
	From   *dfuident.Revision `long:"from" value-name:"REV" description:"revision that the change was made from; the latest if not set"`
	Create bool               `long:"create" description:"write entries that do not exist yet"`
	Args   entryFiles         `positional-args:"yes"`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	entries, err := c.Args.parse()
	if err != nil {
		return err
	}
	if c.From != nil && (len(entries) > 1 || c.Create) {
		return badInput("--from goes with one file and without --create")
	}
	var reports []report
	var failure error
	for i, entry := range entries {
		r, err := c.apply(ctx, s, entry)
		if r != nil {
			reports = append(reports, *r)
		}
		failure = errors.CombineErrors(failure, err)
		if err != nil && !errors.IsAny(err, errRejected, errFailed) {
			for _, skipped := range entries[i+1:] {
				s.notef("%s: not attempted", skipped.Service)
			}
			break
		}
	}
	return errors.CombineErrors(failure, s.show(reports))
}

// apply writes one entry. It does so even if no field differs, since the version
// just read may come from a lagging replica, and only a successful write proves
// that the entry is the current version. The report is nil if apply fails before
// the change has a status.
func (c *applyCommand) apply(ctx context.Context, s *session, entry dfucatalogue.Entry) (*report, error) {
	base, err := s.read(ctx, entry.Service)
	if err != nil {
		return nil, err
	}
	entry = entry.Inherit(base.stored.Entry)
	if rejected := c.conflict(s, entry, base); rejected != nil {
		r := s.newReport(*rejected)
		return &r, rejected.err()
	}
	if err := c.check(s, entry, base); err != nil {
		return nil, err
	}
	outcome, err := s.submit(ctx, s.newChange(entry.Service, base, entry))
	if err != nil {
		return nil, err
	}
	r := s.newReport(outcome)
	return &r, outcome.err()
}

// conflict returns a rejected result if the store would certainly reject the
// change, so that it needn't be sent, and nil otherwise.
func (c *applyCommand) conflict(s *session, entry dfucatalogue.Entry, base entryVersion) *result {
	from := dfuident.Revision(0)
	switch {
	case c.From != nil && *c.From < base.revision:
		from = *c.From
	case c.Create && base.live():
	default:
		return nil
	}
	rejected := s.newChange(entry.Service, entryVersion{revision: from}, entry)
	rejected.base.stored.Deleted = true
	return &result{change: rejected, status: dfucatalogue.ChangeRejected, current: base}
}

// check returns an error if the change isn't valid for the version in the store.
func (c *applyCommand) check(s *session, entry dfucatalogue.Entry, base entryVersion) error {
	if err := s.checkFrom(entry.Service, c.From, base); err != nil {
		return err
	}
	switch {
	case !c.Create && !base.live():
		s.notef("%s: no such entry; --create writes a new one", entry.Service)
		return errors.WithStack(errFailed)
	case base.invalid != nil:
		s.notef("%s: replacing the invalid entry at revision %d:\n%s", entry.Service, base.revision, base.invalid)
	}
	var findings dfufinding.List
	if current := base.stored.Entry.ClaimEpoch; entry.ClaimEpoch < current {
		findings.Add(string(entry.Service)+": claim_epoch", "must not fall below %d, got %d", current, entry.ClaimEpoch)
	}
	return findings.Err()
}
