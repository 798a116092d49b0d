package dfuinstance

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// UnixMs is a wall-clock time of a target or of its VM, in milliseconds since
// the Unix epoch.
type UnixMs int64

// Announcement is the state that a target reports about itself.
type Announcement struct {
	// Instance and Born, the start time, identify a run of the target. A later
	// run may use the same instance, but has a later start time.
	Instance dfuident.Instance
	Born     UnixMs
	// Sequence increases with every announcement of a run, starting at 1.
	Sequence uint64
	Service  dfuident.Service
	Address  dfuident.Address
	Slots    int
	// Draining is set if the target is about to leave.
	Draining bool
	// ColdFor is how much longer the target will be slow after its start.
	ColdFor dfuclock.Duration
}

// Result is the result of applying an announcement.
type Result uint8

// The results of Tracker.Apply.
const (
	// NewRun means that the run was not present before.
	NewRun Result = iota
	// Update means that the run was already present.
	Update
	// Outdated means that the announcement is repeated, older than the current
	// one, or of a run that has left. It has no effect.
	Outdated
)

var resultNames = [...]string{"fresh", "update", "late"}

// String returns the result's name.
func (r Result) String() string {
	return resultNames[r]
}

// maxDeparted is the number of departed instances that are remembered. A VM has
// one target, so they cover far more time than an announcement can be delayed.
const maxDeparted = 64

// Tracker tracks the present run of the target on the VM of a node. The zero
// value has no present run and is ready to use.
type Tracker struct {
	present bool
	// current is the newest announcement, even if its run is no longer present.
	current Announcement
	// departed holds the latest start time of each instance that has left or
	// was replaced.
	departed map[dfuident.Instance]UnixMs
	// departedOrder lists the departed instances in the order in which they are
	// dropped.
	departedOrder []dfuident.Instance
}

// Current returns the newest announcement of the present run. It returns false
// if no run is present.
func (t *Tracker) Current() (Announcement, bool) {
	return t.current, t.present
}

// Apply applies an announcement unless it is outdated.
func (t *Tracker) Apply(a Announcement) Result {
	if born, ok := t.departed[a.Instance]; ok && a.Born <= born {
		return Outdated
	}
	sameRun := a.Instance == t.current.Instance && a.Born == t.current.Born
	if sameRun && a.Sequence <= t.current.Sequence || a.Born < t.current.Born {
		return Outdated
	}
	wasPresent := sameRun && t.present
	if t.present && a.Instance != t.current.Instance {
		t.markDeparted(t.current.Instance, t.current.Born)
	}
	t.current, t.present = a, true
	if wasPresent {
		return Update
	}
	return NewRun
}

// MarkLeft records that an instance has left, and reports whether it was the
// present run. For an unknown instance, now is recorded as its start time, so
// that its earlier announcements are rejected.
func (t *Tracker) MarkLeft(instance dfuident.Instance, now UnixMs) bool {
	if !t.present || t.current.Instance != instance {
		if _, ok := t.departed[instance]; !ok {
			t.markDeparted(instance, now)
		}
		return false
	}
	t.markDeparted(instance, t.current.Born)
	t.present = false
	return true
}

// MarkLost records that contact with the present run was lost. A newer
// announcement makes the run present again.
func (t *Tracker) MarkLost() {
	t.present = false
}

// markDeparted records that an instance with the given start time has departed.
func (t *Tracker) markDeparted(instance dfuident.Instance, born UnixMs) {
	if t.departed == nil {
		t.departed = make(map[dfuident.Instance]UnixMs)
	}
	if old, ok := t.departed[instance]; ok {
		t.departed[instance] = max(old, born)
		return
	}
	t.departed[instance] = born
	t.departedOrder = append(t.departedOrder, instance)
	if len(t.departedOrder) > maxDeparted {
		delete(t.departed, t.departedOrder[0])
		t.departedOrder = t.departedOrder[1:]
	}
}
