package dfuoperator

import (
	"context"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
)

// diffCommand compares entries in files with the catalogue.
type diffCommand struct {
	Args entryFiles `positional-args:"yes"`
}

// comparison lists the changes that applying one file would make.
type comparison struct {
	Service  dfuident.Service           `json:"service"`
	Exists   bool                       `json:"exists"`
	Revision dfuident.Revision          `json:"revision"`
	Changes  []dfucatalogue.FieldChange `json:"changes"`
}

func (c *diffCommand) run(ctx context.Context, s *session) error {
	entries, err := c.Args.parse()
	if err != nil {
		return err
	}
	comparisons := make([]comparison, 0, len(entries))
	for _, entry := range entries {
		v, err := s.read(ctx, entry.Service)
		if err != nil {
			return err
		}
		comparisons = append(comparisons, comparison{
			Service:  entry.Service,
			Exists:   v.live(),
			Revision: v.revision,
			Changes:  dfucatalogue.Diff(v.stored.Entry, entry.Inherit(v.stored.Entry)),
		})
	}
	if s.json {
		return s.printJSON(comparisons)
	}
	for i := range comparisons {
		s.showComparison(&comparisons[i])
	}
	return nil
}

func (s *session) showComparison(c *comparison) {
	switch {
	case !c.Exists:
		s.printf("%s: no such entry", c.Service)
		return
	case len(c.Changes) == 0:
		s.printf("%s: no difference to revision %d", c.Service, c.Revision)
	default:
		s.printf("%s: differs from revision %d", c.Service, c.Revision)
	}
	for _, change := range c.Changes {
		s.printf("%s: %s: %s -> %s", c.Service, change.Path, change.Before, change.After)
	}
}
