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

// Verdict is the result of applying an announcement.
type Verdict uint8

// The results of Ledger.Take.
const (
	// Fresh means that the run was not present before.
	Fresh Verdict = iota
	// Update means that the run was already present.
	Update
	// Late means that the announcement is repeated, older than the current one,
	// or of a run that has left. It has no effect.
	Late
)

var verdictNames = [...]string{"fresh", "update", "late"}

// String returns the verdict's name.
func (v Verdict) String() string {
	return verdictNames[v]
}

// maxDeparted is the number of departed instances that are remembered. A VM has
// one target, so they cover far more time than an announcement can be delayed.
const maxDeparted = 64

// Ledger tracks the present run of the target on the VM of a node. The zero
// value has no present run and is ready to use.
type Ledger struct {
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
func (l *Ledger) Current() (Announcement, bool) {
	return l.current, l.present
}

// Take applies an announcement unless it is late.
func (l *Ledger) Take(a Announcement) Verdict {
	if born, ok := l.departed[a.Instance]; ok && a.Born <= born {
		return Late
	}
	sameRun := a.Instance == l.current.Instance && a.Born == l.current.Born
	if sameRun && a.Sequence <= l.current.Sequence || a.Born < l.current.Born {
		return Late
	}
	wasPresent := sameRun && l.present
	if l.present && a.Instance != l.current.Instance {
		l.markDeparted(l.current.Instance, l.current.Born)
	}
	l.current, l.present = a, true
	if wasPresent {
		return Update
	}
	return Fresh
}

// Leave records that an instance has left, and reports whether it was the
// present run. For an unknown instance, now is recorded as its start time, so
// that its earlier announcements are rejected.
func (l *Ledger) Leave(instance dfuident.Instance, now UnixMs) bool {
	if !l.present || l.current.Instance != instance {
		if _, ok := l.departed[instance]; !ok {
			l.markDeparted(instance, now)
		}
		return false
	}
	l.markDeparted(instance, l.current.Born)
	l.present = false
	return true
}

// Lose records that contact with the present run was lost. A newer announcement
// makes the run present again.
func (l *Ledger) Lose() {
	l.present = false
}

// markDeparted records that an instance with the given start time has departed.
func (l *Ledger) markDeparted(instance dfuident.Instance, born UnixMs) {
	if l.departed == nil {
		l.departed = make(map[dfuident.Instance]UnixMs)
	}
	if old, ok := l.departed[instance]; ok {
		l.departed[instance] = max(old, born)
		return
	}
	l.departed[instance] = born
	l.departedOrder = append(l.departedOrder, instance)
	if len(l.departedOrder) > maxDeparted {
		delete(l.departed, l.departedOrder[0])
		l.departedOrder = l.departedOrder[1:]
	}
}
