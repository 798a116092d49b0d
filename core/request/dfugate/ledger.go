package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// verdict is what the gate keeps about a request that it is done with. One
// with the outcome not_run is a tombstone: the id never runs.
type verdict struct {
	outcome dfuoutcome.Outcome
	reason  dfuoutcome.Reason
	// offered tells that the offer has been seen and answered.
	offered bool
}

// ledger keeps verdicts until the entry node has settled them. Beyond its
// bound it forgets the oldest and raises the entry node's floor, below which
// an id without a verdict may have run, so that nothing is sworn about it.
type ledger struct {
	verdictsMax int
	entriesMax  int
	verdicts    map[dfuident.RequestID]verdict
	// order holds the ids of verdicts from first on, oldest first.
	order   []dfuident.RequestID
	first   int
	entries map[dfuident.NodeID]*entry
	// forgotten is the highest incarnation among evicted entries.
	forgotten dfuident.Incarnation
}

// entry is what the gate knows about one entry node.
type entry struct {
	incarnation dfuident.Incarnation
	// floor is the sequence below which an id without a verdict is refused.
	floor uint64
	heard dfuclock.Time
}

// standing says how a member compares with what the ledger knows.
type standing uint8

const (
	standingCurrent standing = iota
	// standingNewer is a current member whose former incarnation was known.
	standingNewer
	// standingStale is a former incarnation, or one that may be.
	standingStale
)

func newLedger(verdictsMax, entriesMax int) *ledger {
	return &ledger{
		verdictsMax: verdictsMax,
		entriesMax:  entriesMax,
		verdicts:    make(map[dfuident.RequestID]verdict),
		entries:     make(map[dfuident.NodeID]*entry),
	}
}

// meet records that a member was heard from.
func (l *ledger) meet(now dfuclock.Time, member dfuident.Member) (*entry, standing) {
	e := l.entries[member.Node]
	if e == nil {
		if member.Incarnation <= l.forgotten {
			return nil, standingStale
		}
		e = &entry{incarnation: member.Incarnation, heard: now}
		l.entries[member.Node] = e
		l.evictEntry(member.Node)
		return e, standingCurrent
	}
	if member.Incarnation < e.incarnation {
		return nil, standingStale
	}
	e.heard = now
	if member.Incarnation == e.incarnation {
		return e, standingCurrent
	}
	e.incarnation = member.Incarnation
	e.floor = 0
	return e, standingNewer
}

// evictEntry forgets the entry node that was silent for longest, if there are
// too many, and from then on trusts no incarnation that may be its.
func (l *ledger) evictEntry(except dfuident.NodeID) {
	if len(l.entries) <= l.entriesMax {
		return
	}
	var oldest dfuident.NodeID
	for node, e := range l.entries {
		if node == except {
			continue
		}
		o := l.entries[oldest]
		if o == nil || e.heard < o.heard || e.heard == o.heard && node < oldest {
			oldest = node
		}
	}
	l.forgotten = max(l.forgotten, l.entries[oldest].incarnation)
	delete(l.entries, oldest)
}

// settle raises the floor of an entry node to what it no longer asks about.
func (e *entry) settle(settled uint64) {
	e.floor = max(e.floor, settled)
}

// keep records a verdict. It returns an id whose verdict had to be forgotten
// before the entry node settled it, if there is one.
func (l *ledger) keep(id dfuident.RequestID, v verdict) (dfuident.RequestID, bool) {
	if _, ok := l.verdicts[id]; !ok {
		l.order = append(l.order, id)
	}
	l.verdicts[id] = v
	for l.first < len(l.order) && l.settled(l.order[l.first]) {
		l.forgetFirst()
	}
	if len(l.verdicts) <= l.verdictsMax {
		return dfuident.RequestID{}, false
	}
	oldest := l.forgetFirst()
	if e := l.entries[oldest.Entry.Node]; e != nil && e.incarnation == oldest.Entry.Incarnation {
		e.floor = max(e.floor, oldest.Sequence+1)
	}
	return oldest, true
}

// settled reports whether an id without a verdict would be refused as stale.
func (l *ledger) settled(id dfuident.RequestID) bool {
	e := l.entries[id.Entry.Node]
	if e == nil {
		return id.Entry.Incarnation <= l.forgotten
	}
	return id.Entry.Incarnation < e.incarnation ||
		id.Entry.Incarnation == e.incarnation && id.Sequence < e.floor
}

func (l *ledger) forgetFirst() dfuident.RequestID {
	id := l.order[l.first]
	delete(l.verdicts, id)
	l.first++
	if l.first > len(l.order)/2 {
		l.order = append(l.order[:0], l.order[l.first:]...)
		l.first = 0
	}
	return id
}
