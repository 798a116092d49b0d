package dfuchoice

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// The bounds and parameters of a Teller.
const (
	// MaxEntries bounds the entry nodes that a Teller remembers.
	MaxEntries = 2048
	// paceSmoothing is the weight of a load in the usual service time.
	paceSmoothing = 0.01
	// slowFactor is how far the service time may exceed the usual one.
	slowFactor = 1.5
	// repeatAfter is how long an entry node goes without a load that says
	// nothing unusual.
	repeatAfter = 2 * dfuclock.Second
)

// Teller decides at a target's node which answers carry a load. A load that is
// as usual tells an entry node nothing, so it is only sent to take back an
// unusual one and once in a while. What remains is cheap enough to send at
// once when a target gets slow.
type Teller struct {
	usual   float64
	entries map[dfuident.NodeID]told
	// order holds the entry nodes from the oldest, for eviction.
	order []dfuident.NodeID
}

// told is what an entry node was last told.
type told struct {
	at      dfuclock.Time
	unusual bool
}

// NewTeller returns a Teller that has told nothing.
func NewTeller() *Teller {
	return &Teller{entries: map[dfuident.NodeID]told{}}
}

// Observe learns the usual service time. It is called with each answer.
func (t *Teller) Observe(load Load) {
	service := float64(load.ServiceTime)
	if t.usual == 0 {
		t.usual = service
	}
	t.usual += paceSmoothing * (service - t.usual)
}

// Worth reports whether an answer to an entry node should carry the load. The
// load still has to be charged to the measuring budget.
func (t *Teller) Worth(now dfuclock.Time, entry dfuident.NodeID, load Load) bool {
	last, known := t.entries[entry]
	return !known || t.unusual(load) || last.unusual || now.Sub(last.at) >= repeatAfter
}

// Told notes that a load was sent.
func (t *Teller) Told(now dfuclock.Time, entry dfuident.NodeID, load Load) {
	if _, known := t.entries[entry]; !known {
		if len(t.order) >= MaxEntries {
			delete(t.entries, t.order[0])
			t.order = t.order[1:]
		}
		t.order = append(t.order, entry)
	}
	t.entries[entry] = told{at: now, unusual: t.unusual(load)}
}

// unusual reports whether a load is a reason to prefer another target.
func (t *Teller) unusual(load Load) bool {
	return load.Queued > 0 || float64(load.ServiceTime) > slowFactor*t.usual
}
