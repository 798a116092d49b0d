package dfuoperator

import (
	"context"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"

	"github.com/cockroachdb/errors"
)

// maxDrainTries is how often the drain list is edited anew after another
// change of the entry came first.
const maxDrainTries = 5

// drainCommand asks a node to drain its target, or takes that back.
type drainCommand struct {
	Service dfuident.Service `long:"service" required:"yes" value-name:"SERVICE" description:"service of the node's target"`
	Undo    bool             `long:"undo" description:"let the target receive requests again"`
	Args    struct {
		Node dfuident.NodeID `positional-arg-name:"NODE" required:"yes"`
	} `positional-args:"yes"`
}

// run edits the drain list alone. When another change came first, it shows
// that change and edits the list of the new version, so that no other field
// is ever written back from an older version.
func (c *drainCommand) run(ctx context.Context, s *session) error {
	base, err := s.readLive(ctx, c.Service)
	if err != nil {
		return err
	}
	for range maxDrainTries {
		entry := base.stored.Entry
		entry.Drain = c.edit(entry.Drain)
		if err := entry.Check(); err != nil {
			return err
		}
		r, err := s.submit(ctx, s.newChange(c.Service, base, entry))
		if err != nil {
			return err
		}
		retry := r.verdict == dfucatalogue.VerdictRejected && r.current.live() && r.current.invalid == nil
		if !retry {
			return s.finish(r)
		}
		s.showOvertaken(c.Service, base, r.current)
		base = r.current
	}
	s.notef("%s: the entry changed %d times meanwhile; the drain list was not written", c.Service, maxDrainTries)
	return errors.WithStack(errRejected)
}

// edit returns the list with or without the node.
func (c *drainCommand) edit(list []dfuident.NodeID) []dfuident.NodeID {
	kept := []dfuident.NodeID{}
	for _, n := range list {
		if n != c.Args.Node || !c.Undo {
			kept = append(kept, n)
		}
	}
	if !c.Undo && !slices.Contains(kept, c.Args.Node) {
		kept = append(kept, c.Args.Node)
	}
	return kept
}

// showOvertaken shows the change that came first.
func (s *session) showOvertaken(service dfuident.Service, base, current entryVersion) {
	s.notef("%s: change %s came first, at revision %d", service, current.stored.ChangeID, current.revision)
	for _, f := range dfucatalogue.Diff(base.stored.Entry, current.stored.Entry) {
		s.notef("%s: %s: %s -> %s", service, f.Path, f.Before, f.After)
	}
}
