package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
)

// storedOutcome is the outcome of a request that is no longer live, or that was sealed or
// canceled before its offer arrived. The outcome not_run is a tombstone: it prevents the
// ID from running.
type storedOutcome struct {
	outcome dfuoutcome.Outcome
	reason  dfuoutcome.Reason
	// offered is set if the offer has been received and answered.
	offered bool
}

// outcomes stores the outcomes of requests until their entry node has settled them. If
// there are too many, it evicts the oldest and raises the entry node's floor. An ID below
// the floor without a stored outcome may have run, so its outcome is unknown.
type outcomes struct {
	outcomesMax   int
	entryNodesMax int
	byID          map[dfuident.RequestID]storedOutcome
	// order holds, from index first on, the IDs of byID, oldest first.
	order      []dfuident.RequestID
	first      int
	entryNodes map[dfuident.NodeID]*entryNode
	// evictedIncarnation is the highest incarnation of the evicted entry nodes.
	evictedIncarnation dfuident.Incarnation
}

// entryNode is the state of one entry node.
type entryNode struct {
	incarnation dfuident.Incarnation
	// floor is the sequence number below which an ID without a stored outcome is
	// refused.
	floor    uint64
	lastSeen dfuclock.Time
}

// incarnationStatus is the result of comparing a member's incarnation with the known one.
type incarnationStatus uint8

const (
	incarnationCurrent incarnationStatus = iota
	// incarnationNewer is a current incarnation that replaces a known earlier one.
	incarnationNewer
	// incarnationStale is an earlier incarnation, or one that may be.
	incarnationStale
)

func newOutcomes(outcomesMax, entryNodesMax int) *outcomes {
	return &outcomes{
		outcomesMax:   outcomesMax,
		entryNodesMax: entryNodesMax,
		byID:          make(map[dfuident.RequestID]storedOutcome),
		entryNodes:    make(map[dfuident.NodeID]*entryNode),
	}
}

// observeEntryNode records a message from a member. It returns nil for a stale incarnation.
func (o *outcomes) observeEntryNode(now dfuclock.Time, member dfuident.Member) (*entryNode, incarnationStatus) {
	e := o.entryNodes[member.Node]
	if e == nil {
		if member.Incarnation <= o.evictedIncarnation {
			return nil, incarnationStale
		}
		e = &entryNode{incarnation: member.Incarnation, lastSeen: now}
		o.entryNodes[member.Node] = e
		o.evictEntryNode(member.Node)
		return e, incarnationCurrent
	}
	if member.Incarnation < e.incarnation {
		return nil, incarnationStale
	}
	e.lastSeen = now
	if member.Incarnation == e.incarnation {
		return e, incarnationCurrent
	}
	e.incarnation = member.Incarnation
	e.floor = 0
	return e, incarnationNewer
}

// evictEntryNode removes the least recently seen entry node if there are too many. From
// then on, an unknown node whose incarnation isn't higher than the evicted one is stale.
func (o *outcomes) evictEntryNode(except dfuident.NodeID) {
	if len(o.entryNodes) <= o.entryNodesMax {
		return
	}
	var oldest dfuident.NodeID
	for node, e := range o.entryNodes {
		if node == except {
			continue
		}
		candidate := o.entryNodes[oldest]
		if candidate == nil || e.lastSeen < candidate.lastSeen || e.lastSeen == candidate.lastSeen && node < oldest {
			oldest = node
		}
	}
	o.evictedIncarnation = max(o.evictedIncarnation, o.entryNodes[oldest].incarnation)
	delete(o.entryNodes, oldest)
}

// settle raises the floor to the settled sequence number that the entry node reported.
func (e *entryNode) settle(settled uint64) {
	e.floor = max(e.floor, settled)
}

// store stores the outcome of an ID. If that evicts an outcome that its entry node has not
// settled yet, store returns the ID of the evicted outcome and true.
func (o *outcomes) store(id dfuident.RequestID, v storedOutcome) (dfuident.RequestID, bool) {
	if _, ok := o.byID[id]; !ok {
		o.order = append(o.order, id)
	}
	o.byID[id] = v
	for o.first < len(o.order) && o.isStale(o.order[o.first]) {
		o.evictOldest()
	}
	if len(o.byID) <= o.outcomesMax {
		return dfuident.RequestID{}, false
	}
	oldest := o.evictOldest()
	if e := o.entryNodes[oldest.Entry.Node]; e != nil && e.incarnation == oldest.Entry.Incarnation {
		e.floor = max(e.floor, oldest.Sequence+1)
	}
	return oldest, true
}

// isStale reports whether an ID without a stored outcome would be refused as stale.
func (o *outcomes) isStale(id dfuident.RequestID) bool {
	e := o.entryNodes[id.Entry.Node]
	if e == nil {
		return id.Entry.Incarnation <= o.evictedIncarnation
	}
	return id.Entry.Incarnation < e.incarnation ||
		id.Entry.Incarnation == e.incarnation && id.Sequence < e.floor
}

func (o *outcomes) evictOldest() dfuident.RequestID {
	id := o.order[o.first]
	delete(o.byID, id)
	o.first++
	if o.first > len(o.order)/2 {
		o.order = append(o.order[:0], o.order[o.first:]...)
		o.first = 0
	}
	return id
}
