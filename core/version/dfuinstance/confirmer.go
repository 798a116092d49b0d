package dfuinstance

import "dragonflyusher/core/process/dfuident"

// Confirmer decides whether an announcement takes effect at once. A node that has
// started again does not know what the target announced before. The first announcement
// that it receives may have been sent seconds ago, and the target may have left since.
// It takes effect when the target has been checked, or with the next one of the same
// run. The zero value is ready to use.
type Confirmer struct {
	// confirmed is the run whose announcements take effect.
	confirmed Run
	// pending is the latest announcement that waits for its confirmation, if
	// hasPending is set.
	pending    Announcement
	hasPending bool
}

// Run identifies a run of a target.
type Run struct {
	Instance dfuident.Instance
	Born     UnixMs
}

// Run returns the run of the target that sent the announcement.
func (a Announcement) Run() Run {
	return Run{a.Instance, a.Born}
}

// Check reports whether an announcement takes effect. If not, it waits for Confirm or
// for the next announcement of its run. An announcement takes effect at once if it is
// the first of its run, if it announces that the target drains, or if it has no
// instance.
func (c *Confirmer) Check(a Announcement) bool {
	isSecond := c.hasPending && c.pending.Run() == a.Run() && a.Sequence > c.pending.Sequence
	if a.Instance == "" || a.Draining || a.Sequence <= 1 || a.Run() == c.confirmed || isSecond {
		c.confirm(a.Run())
		return true
	}
	if !c.hasPending || a.Born > c.pending.Born {
		c.pending, c.hasPending = a, true
	}
	return false
}

// Confirm reports whether an announcement still waits for its confirmation. It takes
// effect then.
func (c *Confirmer) Confirm(a Announcement) bool {
	if !c.hasPending || c.pending != a {
		return false
	}
	c.confirm(a.Run())
	return true
}

// MarkLeft drops the announcement of an instance that has left.
func (c *Confirmer) MarkLeft(instance dfuident.Instance) {
	if c.hasPending && c.pending.Instance == instance {
		c.hasPending = false
	}
}

func (c *Confirmer) confirm(r Run) {
	c.confirmed = r
	c.hasPending = false
}
