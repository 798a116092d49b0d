package dfuinstance

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// UnixMs is a wall-clock time of a target or of the VM beside it.
type UnixMs int64

// Announcement is what a target says of itself.
type Announcement struct {
	// Instance and Born name the target's run. A run may take over the instance
	// of an earlier one, but is born later.
	Instance dfuident.Instance
	Born     UnixMs
	// Sequence grows with every announcement of one run.
	Sequence uint64
	Service  dfuident.Service
	Address  dfuident.Address
	Slots    int
	// Draining says that the target is about to leave.
	Draining bool
	// ColdFor is how much longer the target is slow after its start.
	ColdFor dfuclock.Duration
}

// Verdict says what an announcement is.
type Verdict uint8

// The verdicts on an announcement.
const (
	// Fresh is the first word of a run.
	Fresh Verdict = iota
	// Update is a later word of the present run.
	Update
	// Late is a word that a later one has overtaken; it changes nothing.
	Late
)

var verdictNames = [...]string{"fresh", "update", "late"}

// String returns the verdict's name.
func (v Verdict) String() string {
	return verdictNames[v]
}

// goneMax bounds the runs that are remembered as gone. A VM has one target, so
// that these reach back much longer than an announcement can be late.
const goneMax = 64

// Ledger keeps the present run of the target beside a node. The zero value has
// none and is ready to use. Sequences begin at 1.
type Ledger struct {
	present bool
	// current is the newest word, also of a run that is no longer present.
	current Announcement
	// gone holds the latest birth of each instance that is gone.
	gone  map[dfuident.Instance]UnixMs
	order []dfuident.Instance
}

// Current returns the newest announcement of the present run.
func (l *Ledger) Current() (Announcement, bool) {
	return l.current, l.present
}

// Take takes an announcement unless it is late.
func (l *Ledger) Take(a Announcement) Verdict {
	if born, ok := l.gone[a.Instance]; ok && a.Born <= born {
		return Late
	}
	same := a.Instance == l.current.Instance && a.Born == l.current.Born
	if same && a.Sequence <= l.current.Sequence || a.Born < l.current.Born {
		return Late
	}
	update := same && l.present
	if l.present && a.Instance != l.current.Instance {
		l.bury(l.current.Instance, l.current.Born)
	}
	l.current, l.present = a, true
	if update {
		return Update
	}
	return Fresh
}

// Leave notes that an instance left, as of the wall clock now, and reports
// whether it is the present run. An instance that isn't known is taken to have
// been born by now.
func (l *Ledger) Leave(instance dfuident.Instance, now UnixMs) bool {
	if !l.present || l.current.Instance != instance {
		if _, ok := l.gone[instance]; !ok {
			l.bury(instance, now)
		}
		return false
	}
	l.bury(instance, l.current.Born)
	l.present = false
	return true
}

// Lose notes that the present run is no longer heard of. It may be heard again.
func (l *Ledger) Lose() {
	l.present = false
}

func (l *Ledger) bury(instance dfuident.Instance, born UnixMs) {
	if l.gone == nil {
		l.gone = make(map[dfuident.Instance]UnixMs)
	}
	if old, ok := l.gone[instance]; ok {
		l.gone[instance] = max(old, born)
		return
	}
	l.gone[instance] = born
	l.order = append(l.order, instance)
	if len(l.order) > goneMax {
		delete(l.gone, l.order[0])
		l.order = l.order[1:]
	}
}
