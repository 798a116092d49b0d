package dfurecord

import (
	"slices"

	"dragonflyusher/core/process/dfuident"
)

// Coverage tracks up to which revision of the store the changes below each watched prefix
// are known. A watch whose answer is lost looks like one that waits; a prefix that stays
// behind the store's revision shows it. The zero value is ready to use. A Coverage is not safe
// for concurrent use.
type Coverage struct {
	covered map[string]dfuident.Revision
}

// Cover records that all changes below a prefix up to a revision are known, from an answer of
// the store to a read or a watch of the prefix. The prefix counts as watched from then on.
func (c *Coverage) Cover(prefix string, upTo dfuident.Revision) {
	if c.covered == nil {
		c.covered = make(map[string]dfuident.Revision)
	}
	c.covered[prefix] = max(c.covered[prefix], upTo)
}

// Changed records that the change at a revision is known and concerns a single key, which is
// below the given prefix, or below no watched one if it is empty. The other prefixes have
// no change at that revision.
func (c *Coverage) Changed(prefix string, at dfuident.Revision) {
	for p, upTo := range c.covered {
		if p != prefix && upTo+1 == at {
			c.covered[p] = at
		}
	}
}

// Drop removes a prefix that is no longer watched.
func (c *Coverage) Drop(prefix string) {
	delete(c.covered, prefix)
}

// Covered returns the revision up to which the changes below a prefix are known; zero if the
// prefix is not watched.
func (c *Coverage) Covered(prefix string) dfuident.Revision {
	return c.covered[prefix]
}

// Latest returns the greatest revision up to which the changes below any watched prefix are
// known. The store has reached it, while a stale read may return a smaller one.
func (c *Coverage) Latest() dfuident.Revision {
	var latest dfuident.Revision
	for _, upTo := range c.covered {
		latest = max(latest, upTo)
	}
	return latest
}

// Behind returns the watched prefixes below which there may be unknown changes up to a
// revision of the store, sorted.
func (c *Coverage) Behind(revision dfuident.Revision) []string {
	var behind []string
	for prefix, upTo := range c.covered {
		if upTo < revision {
			behind = append(behind, prefix)
		}
	}
	slices.Sort(behind)
	return behind
}
