package dfuinstance

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// maxAnnouncementDelay is the longest time that an announcement is expected to take from
// the target to the node beside it.
const maxAnnouncementDelay = 30 * dfuclock.Second

// Confirmer decides whether an announcement takes effect at once. A node that has
// started again does not know what the target announced before. The announcements that
// it receives may have been sent before its start, and the target may have left since.
// They take effect when the target has been checked. A target whose check fails is used
// once its announcements are too recent to have been sent before the node started.
type Confirmer struct {
	// started is when the node started.
	started dfuclock.Time
	// confirmed is the run whose announcements take effect.
	confirmed Run
	// pending is the latest announcement that waits for its confirmation, if
	// hasPending is set.
	pending    Announcement
	hasPending bool
}

// NewConfirmer returns the Confirmer of a node that started at the given time.
func NewConfirmer(started dfuclock.Time) *Confirmer {
	return &Confirmer{started: started}
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

// Check reports whether an announcement takes effect. If not, it waits for Confirm. An
// announcement takes effect at once if its run is confirmed, if it announces that the
// target drains, or if it has no instance. Once no announcement from before the node's
// start can arrive, so do the first of a run and the second that the node receives.
func (c *Confirmer) Check(now dfuclock.Time, a Announcement) bool {
	isSecond := c.isPending(a.Run()) && a.Sequence > c.pending.Sequence
	isRecent := now.Sub(c.started) >= maxAnnouncementDelay
	if a.Instance == "" || a.Draining || a.Run() == c.confirmed || isRecent && (a.Sequence <= 1 || isSecond) {
		c.confirm(a.Run())
		return true
	}
	if !c.hasPending || isSecond || a.Born > c.pending.Born {
		c.pending, c.hasPending = a, true
	}
	return false
}

// IsPending reports whether an announcement still waits for its confirmation and is the
// latest one.
func (c *Confirmer) IsPending(a Announcement) bool {
	return c.hasPending && c.pending == a
}

// Confirm reports whether an announcement still waits for its confirmation. It takes
// effect then, as do later ones of its run.
func (c *Confirmer) Confirm(a Announcement) bool {
	if !c.isPending(a.Run()) {
		return false
	}
	c.confirm(a.Run())
	return true
}

// isPending reports whether an announcement of a run waits for its confirmation.
func (c *Confirmer) isPending(r Run) bool {
	return c.hasPending && c.pending.Run() == r
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
