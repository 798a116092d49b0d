package dfuoperator

import (
	"context"
	"slices"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"

	"github.com/cockroachdb/errors"
)

// maxDrainAttempts is the maximum number of attempts to write the drain list
// while other changes of the entry cause conflicts.
const maxDrainAttempts = 5

// drainCommand adds a node to the drain list of its service's entry, or removes
// it.
type drainCommand struct {
	Service dfuident.Service `long:"service" required:"yes" value-name:"SERVICE" description:"service of the node's target"`
	Undo    bool             `long:"undo" description:"let the target receive requests again"`
	Args    struct {
		Node dfuident.NodeID `positional-arg-name:"NODE" required:"yes"`
	} `positional-args:"yes"`
}

// run changes only the drain list. On a conflict with another change it prints
// that change and applies its edit to the new version, so that it never writes
// back older values of other fields.
func (c *drainCommand) run(ctx context.Context, s *session) error {
	base, err := s.readLive(ctx, c.Service)
	if err != nil {
		return err
	}
	for range maxDrainAttempts {
		entry := base.stored.Entry
		entry.Drain = c.edit(entry.Drain)
		if err := entry.Check(); err != nil {
			return err
		}
		r, err := s.submit(ctx, s.newChange(c.Service, base, entry))
		if err != nil {
			return err
		}
		retry := r.status == dfucatalogue.ChangeRejected && r.current.live() && r.current.invalid == nil
		if !retry {
			return s.showResult(r)
		}
		s.showConcurrentChange(c.Service, base, r.current)
		base = r.current
	}
	s.notef("%s: gave up after %d conflicts with other changes; the drain list was not written", c.Service, maxDrainAttempts)
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

// showConcurrentChange prints the change that caused a conflict.
func (s *session) showConcurrentChange(service dfuident.Service, base, current entryVersion) {
	s.notef("%s: change %s came first, at revision %d", service, current.stored.ChangeID, current.revision)
	for _, f := range dfucatalogue.Diff(base.stored.Entry, current.stored.Entry) {
		s.notef("%s: %s: %s -> %s", service, f.Path, f.Before, f.After)
	}
}
