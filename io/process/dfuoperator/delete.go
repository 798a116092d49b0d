package dfuoperator

import (
	"context"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
)

// deleteCommand deletes an entry by replacing it with a tombstone.
type deleteCommand struct {
	From *dfuident.Revision `long:"from" value-name:"REV" description:"revision to delete; the latest if not set"`
	Args serviceArgument    `positional-args:"yes"`
}

func (c *deleteCommand) run(ctx context.Context, s *session) error {
	base, err := s.read(ctx, c.Args.Service)
	if err != nil {
		return err
	}
	if !base.live() {
		_, err := s.readLive(ctx, c.Args.Service)
		return err
	}
	if err := s.checkFrom(c.Args.Service, c.From, base); err != nil {
		return err
	}
	d := s.newChange(c.Args.Service, base, base.stored.Entry)
	if base.invalid != nil {
		d.next.Entry = dfucatalogue.Defaults()
		d.next.Entry.Service, d.next.Entry.Owner = c.Args.Service, "unknown"
	}
	d.next.Deleted = true
	if c.From != nil && *c.From != base.revision {
		d.next.MadeFrom = *c.From
		return s.showResult(result{change: d, status: dfucatalogue.ChangeRejected, current: base})
	}
	r, err := s.submit(ctx, d)
	if err != nil {
		return err
	}
	return s.showResult(r)
}
