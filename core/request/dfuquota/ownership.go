package dfuquota

import (
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

const (
	// keepAlivePeriod is the time between two renewals of a lease, and
	// retryPeriod the time after a call to the store that failed.
	keepAlivePeriod = 1800 * dfuclock.Millisecond
	retryPeriod     = 300 * dfuclock.Millisecond
	// idleRetryPeriod replaces retryPeriod at a node that owns no shard.
	idleRetryPeriod = dfuclock.Second
	// endangeredTime is the time before an owner may grant no more in which it lets others
	// take its shards, since the store doesn't answer it. offerPeriod is the time between two
	// offers of a shard.
	endangeredTime = 1400 * dfuclock.Millisecond
	offerPeriod    = 300 * dfuclock.Millisecond
	// pollPeriod is the time between two reads of the record of an owner that may have
	// failed, and checkPeriod that of others.
	pollPeriod  = 400 * dfuclock.Millisecond
	checkPeriod = 10 * dfuclock.Second
	// settleTime is how long the roster must be unchanged before a node asks the owner of
	// a shard to yield. A node that has just started waits as long before it takes shards.
	settleTime = 3 * dfuclock.Second
	// askedTime is how long a node that was asked for a shard without an owner tries to
	// take it.
	askedTime = dfuclock.Second
	// lapsedTime is the time after which a lease that couldn't be renewed counts as ended.
	lapsedTime = dfuclock.Second
	// takeTime is how long askers wait for a node that takes a shard, before they ask another.
	takeTime = 300 * dfuclock.Millisecond
	// candidateCount is the number of nodes that are asked for a shard.
	candidateCount = 3
)

// Era is the number of times that the store was restored from an older copy.
type Era uint64

// LeaseID identifies a lease of the store. Zero means none.
type LeaseID uint64

// Record is the content of a shard's record in the store.
type Record struct {
	// Owner is zero if the shard was released.
	Owner dfuident.Member `json:"owner"`
	// Address is the address on which the owner listens for other nodes; empty if unknown.
	Address dfuident.Address `json:"address,omitempty"`
	// Era is the era of the store at the time of the write.
	Era Era `json:"era"`
	// Settled is set when an owner has held the shard for Bounds.Window and the life of a
	// token. A node that takes the shard before starts with empty buckets.
	Settled bool `json:"settled,omitempty"`
}

// Node is a node of the fleet.
type Node struct {
	Member  dfuident.Member
	Address dfuident.Address
	// Usable is set if the node is alive and not leaving.
	Usable bool
	// Left is set if the node has announced that it left.
	Left bool
}

// Call is a call to the store or to another node.
//
//sumtype:decl
type Call interface{ call() }

// GrantLease creates a lease of LeaseTTL.
type GrantLease struct{}

// KeepAlive renews the lease.
type KeepAlive struct{ Lease LeaseID }

// ReadRecord reads a shard's record. The read has to be linearizable.
type ReadRecord struct{ Shard Shard }

// WriteRecord replaces a shard's record if it has the revision Expect. The record is
// attached to the lease, if there is one.
type WriteRecord struct {
	Shard  Shard
	Expect dfuident.Revision
	Record Record
	Lease  LeaseID
}

// AskYield asks the owner of a shard to yield it.
type AskYield struct {
	Shard Shard
	Owner dfuident.Member
}

// OfferShard asks a node to take a shard whose owner can't renew its lease. The node then
// asks the owner to yield.
type OfferShard struct {
	Shard Shard
	To    dfuident.Member
}

func (OfferShard) call()  {}
func (GrantLease) call()  {}
func (KeepAlive) call()   {}
func (ReadRecord) call()  {}
func (WriteRecord) call() {}
func (AskYield) call()    {}

// Status is the status of a Call.
type Status int

const (
	// Failed means that the call failed or that its result is unknown.
	Failed Status = iota
	// OK means that the call succeeded.
	OK
	// Conflict means that a record had another revision.
	Conflict
	// LeaseEnded means that the lease does not exist.
	LeaseEnded
)

// Result is the result of a Call.
type Result struct {
	Status Status
	// Era is the era of the store's answer.
	Era   Era
	Lease LeaseID
	// Revision is that of the record that was read, written, yielded or in conflict; zero
	// if there is none.
	Revision dfuident.Revision
	Record   Record
	// Handover is that of a shard that was yielded.
	Handover Handover
}

// Ownership decides which shards a node owns. It is not safe for concurrent use.
type Ownership struct {
	self    dfuident.Member
	owner   *Owner
	nodes   []Node
	settled dfuclock.Time
	// started is the time from which the node takes shards without having been asked.
	started dfuclock.Time
	// candidates lists the nodes that may own a shard, in their order.
	candidates [ShardCount][]dfuident.Member
	leaving    bool
	idle       bool

	lease       LeaseID
	validUntil  dfuclock.Time
	keepAliveAt dfuclock.Time
	retryAt     dfuclock.Time
	// eraSince is the time of the first answer of the store in this era. eraKnown is set
	// after it.
	era      Era
	eraSince dfuclock.Time
	eraKnown bool

	shards [ShardCount]shard
}

// shard is the state of a shard at one node.
type shard struct {
	held bool
	// record and revision are those that were last read or written. known is set if there
	// was any.
	known    bool
	record   Record
	revision dfuident.Revision
	// written is set if there was a record of the era writtenEra, also if it is gone.
	written    bool
	writtenEra Era
	// yielded is set if the record's owner has yielded the shard to this node, with handover.
	// yieldedTo is the node to which this node yielded it.
	yielded   bool
	handover  Handover
	yieldedTo dfuident.Member
	// settleAt is the time from which a held shard's record should be Settled, and
	// settling is set while the write of that has no known result.
	settleAt dfuclock.Time
	settling bool
	// write is set if the record may be replaced. pull is set if its owner should be asked to
	// yield.
	write, pull bool
	offerAt     dfuclock.Time
	offers      int
	readAt      dfuclock.Time
	askedUntil  dfuclock.Time
	takingUntil dfuclock.Time
}

// NewOwnership returns an Ownership of no shards for a run of a node. It adds the shards
// that the node acquires to owner.
func NewOwnership(now dfuclock.Time, self dfuident.Member, owner *Owner) *Ownership {
	return &Ownership{self: self, owner: owner, settled: now.Add(settleTime), started: now.Add(settleTime)}
}

// SetNodes replaces the nodes of the fleet.
func (o *Ownership) SetNodes(now dfuclock.Time, nodes []Node) {
	if slices.Equal(nodes, o.nodes) {
		return
	}
	o.nodes = slices.Clone(nodes)
	o.settled = now.Add(settleTime)
	var usable []ranked
	for _, n := range nodes {
		if n.Usable {
			usable = append(usable, ranked{n.Member, xxhash.Sum64String(string(n.Member.Node))})
		}
	}
	for s := range o.candidates {
		o.candidates[s] = bestOf(usable, Shard(s))
	}
}

// ranked is a node with a hash by which candidates are ordered.
type ranked struct {
	member dfuident.Member
	hash   uint64
}

// bestOf returns the candidates for a shard, those with the greatest hash of node and shard.
func bestOf(nodes []ranked, s Shard) []dfuident.Member {
	best := make([]ranked, 0, candidateCount+1)
	for _, n := range nodes {
		n.hash = mix(n.hash + uint64(s))
		if len(best) == candidateCount && n.hash < best[candidateCount-1].hash {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].hash < n.hash {
			at--
		}
		best = slices.Insert(best, at, n)
		best = best[:min(len(best), candidateCount)]
	}
	members := make([]dfuident.Member, len(best))
	for i, n := range best {
		members[i] = n.member
	}
	return members
}

// mix returns a hash of x (splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Candidates returns the nodes to ask for a shard, best first.
func (o *Ownership) Candidates(s Shard) []dfuident.Member {
	return o.candidates[s]
}

// Holds reports whether this node may grant tokens of a shard.
func (o *Ownership) Holds(now dfuclock.Time, s Shard) bool {
	return o.shards[s].held && now.Before(o.validUntil)
}

// Held returns the number of shards that this node may grant tokens of.
func (o *Ownership) Held(now dfuclock.Time) int {
	n := 0
	for s := range o.shards {
		if o.Holds(now, Shard(s)) {
			n++
		}
	}
	return n
}

// Asked returns the node that a node should ask which asked this one for a shard that it
// doesn't hold, or the zero Member. failed is an owner that didn't answer that node. If the
// shard has no known owner, its first candidate should take it, or else this node.
func (o *Ownership) Asked(now dfuclock.Time, s Shard, failed dfuident.Member) dfuident.Member {
	if owner := o.ownerOf(now, s, failed); !owner.IsZero() {
		return owner
	}
	if c := o.candidates[s]; len(c) > 0 && c[0] != o.self && c[0] != failed {
		return c[0]
	}
	return o.take(now, s)
}

// Offered makes this node take a shard that its owner offers.
func (o *Ownership) Offered(now dfuclock.Time, s Shard, owner dfuident.Member) {
	if o.ownerOf(now, s, owner).IsZero() {
		o.take(now, s)
	}
}

// ownerOf returns the owner of a shard, or the zero Member if it isn't known or failed.
func (o *Ownership) ownerOf(now dfuclock.Time, s Shard, failed dfuident.Member) dfuident.Member {
	sh := &o.shards[s]
	if sh.held && now.Before(o.validUntil) {
		return o.self
	}
	if sh.known && sh.record.Owner != o.self && sh.record.Owner != failed && o.usable(sh.record.Owner) && !sh.yielded {
		return sh.record.Owner
	}
	return dfuident.Member{}
}

// take makes this node try to take a shard. It returns this node if it probably holds the
// shard soon, or else the zero Member.
func (o *Ownership) take(now dfuclock.Time, s Shard) dfuident.Member {
	sh := &o.shards[s]
	if now >= sh.askedUntil {
		sh.readAt, sh.takingUntil = now, now.Add(takeTime)
	}
	sh.askedUntil = now.Add(askedTime)
	if now.Before(sh.takingUntil) && now >= o.retryAt && !o.leaving {
		return o.self
	}
	return dfuident.Member{}
}

// ObserveEra records the era of the store's latest answer.
func (o *Ownership) ObserveEra(now dfuclock.Time, era Era) {
	o.observeEra(now, era)
}

// isEndangered reports whether this node owns shards and will soon grant no more.
func (o *Ownership) isEndangered(now dfuclock.Time) bool {
	return o.holdsAny() && o.validUntil.Sub(now) < endangeredTime
}

// Yield ends this node's ownership of a shard in favor of another node, if that should own
// it or this node can't renew its lease. It returns the revision of the record that the other
// node may replace, and the buckets: once only, since a repeated question finds them gone.
func (o *Ownership) Yield(now dfuclock.Time, s Shard, to dfuident.Member) (dfuident.Revision, Handover, bool) {
	sh := &o.shards[s]
	if !sh.held && sh.yieldedTo == to && !to.IsZero() {
		return sh.revision, Handover{}, true
	}
	rank := slices.Index(o.candidates[s], to)
	if !o.Holds(now, s) || o.leaving || sh.settling || rank < 0 || rank > 0 && !o.isEndangered(now) {
		return 0, Handover{}, false
	}
	handover := o.owner.Release(s, now)
	o.drop(s)
	sh.record.Owner, sh.yieldedTo = to, to
	sh.readAt = now.Add(checkPeriod)
	return sh.revision, handover, true
}

// SetIdle makes this node own no shards while no workspace has a quota.
func (o *Ownership) SetIdle(now dfuclock.Time, idle bool) {
	if idle && !o.idle {
		o.leaseEnded(now)
	}
	o.idle = idle
}

// Leave ends the ownership of all shards.
func (o *Ownership) Leave() {
	o.leaving = true
	for s := range o.shards {
		o.shards[s].write = o.shards[s].held
		o.drop(Shard(s))
	}
}

// Next returns the next call to make, or nil. Calls are made one at a time; Done has to be
// called before Next returns another.
func (o *Ownership) Next(now dfuclock.Time) Call {
	if o.isEndangered(now) && !o.leaving {
		if call := o.nextOffer(now); call != nil {
			return call
		}
	}
	if now.Before(o.retryAt) {
		return nil
	}
	if o.leaving {
		return o.nextRelease()
	}
	if o.idle {
		return nil
	}
	switch {
	case o.lease == 0 || now < o.keepAliveAt:
	case !o.holdsAny():
		o.lease = 0 // a new one is granted when a record is to be written
	case now.Sub(o.validUntil) >= lapsedTime:
		o.leaseEnded(now)
	default:
		return KeepAlive{o.lease}
	}
	if call := o.nextSettled(now); call != nil {
		return call
	}
	for _, s := range o.wanted(now) {
		call := o.nextFor(now, s)
		if w, ok := call.(WriteRecord); ok && w.Lease == 0 {
			o.shards[s].write = true
			return GrantLease{}
		}
		if call != nil {
			return call
		}
	}
	return nil
}

// nextOffer returns the next offer of a shard to another candidate, or nil.
func (o *Ownership) nextOffer(now dfuclock.Time) Call {
	for s := range o.shards {
		sh := &o.shards[s]
		if !sh.held || now < sh.offerAt {
			continue
		}
		sh.offerAt = now.Add(offerPeriod)
		for range o.candidates[s] {
			to := o.candidates[s][sh.offers%len(o.candidates[s])]
			sh.offers++
			if to != o.self {
				return OfferShard{Shard(s), to}
			}
		}
	}
	return nil
}

// nextSettled returns the write that settles a held shard's record, or nil.
func (o *Ownership) nextSettled(now dfuclock.Time) Call {
	for s := range o.shards {
		sh := &o.shards[s]
		if !sh.record.Settled && now >= sh.settleAt && o.Holds(now, Shard(s)) && !o.isEndangered(now) {
			sh.settling, sh.settleAt = true, now.Add(retryPeriod)
			return WriteRecord{Shard(s), sh.revision, Record{o.self, o.address(), o.era, true}, o.lease}
		}
	}
	return nil
}

// nextRelease returns the write that releases a shard of a leaving node.
func (o *Ownership) nextRelease() Call {
	for s := range o.shards {
		if sh := &o.shards[s]; sh.write {
			sh.write = false
			return WriteRecord{Shard: Shard(s), Expect: sh.revision, Record: Record{Era: o.era, Settled: sh.record.Settled}}
		}
	}
	return nil
}

// nextFor returns the next call for a shard that this node is to own.
func (o *Ownership) nextFor(now dfuclock.Time, s Shard) Call {
	sh := &o.shards[s]
	switch {
	case sh.write && !o.mayWrite(now, sh):
		return nil
	case sh.write:
		sh.write = false
		return WriteRecord{Shard: s, Expect: sh.revision, Record: Record{o.self, o.address(), o.era, false}, Lease: o.lease}
	case sh.pull:
		sh.pull = false
		return AskYield{s, sh.record.Owner}
	case now < sh.readAt:
		return nil
	case sh.known && o.usable(sh.record.Owner) && sh.record.Owner != o.self && now >= o.settled && now >= sh.askedUntil:
		sh.readAt = now.Add(checkPeriod)
		return AskYield{s, sh.record.Owner}
	default:
		return ReadRecord{s}
	}
}

// wanted returns the shards that this node should try to own.
func (o *Ownership) wanted(now dfuclock.Time) []Shard {
	var wanted []Shard
	for s := range o.shards {
		sh := &o.shards[s]
		first := len(o.candidates[s]) > 0 && o.candidates[s][0] == o.self
		if sh.held || !first && now >= sh.askedUntil || now < o.started && now >= sh.askedUntil {
			continue
		}
		if sh.write || sh.pull || now >= sh.readAt {
			wanted = append(wanted, Shard(s))
		}
	}
	return wanted
}

func (o *Ownership) holdsAny() bool {
	return slices.ContainsFunc(o.shards[:], func(sh shard) bool { return sh.held })
}

// mayWrite reports whether no owner of an earlier era grants any more: its lease would have
// ended, or a node has written the record in this era, and waited for that.
func (o *Ownership) mayWrite(now dfuclock.Time, sh *shard) bool {
	return sh.written && sh.writtenEra == o.era || now.Sub(o.eraSince) >= LeaseTTL
}

// Done passes the result of a call that was sent at sentAt.
func (o *Ownership) Done(now, sentAt dfuclock.Time, call Call, r Result) {
	switch call.(type) {
	case AskYield, OfferShard:
	default:
		if r.Status != Failed && r.Era >= o.era {
			o.observeEra(now, r.Era)
			break
		}
		// What the store answered in an earlier era doesn't hold any more.
		r.Status = Failed
		o.retryAt = now.Add(idleRetryPeriod)
		if o.holdsAny() {
			o.retryAt = now.Add(retryPeriod)
		}
	}
	switch c := call.(type) {
	case GrantLease:
		if r.Status == OK {
			o.lease = r.Lease
			o.renewed(sentAt)
		}
	case KeepAlive:
		o.keepAliveDone(now, sentAt, r)
	case ReadRecord:
		if r.Status == OK {
			o.recordRead(now, c.Shard, r.Revision, r.Record)
		}
	case WriteRecord:
		o.writeDone(now, c, r)
	case AskYield:
		if sh := &o.shards[c.Shard]; r.Status == OK && sh.known && sh.record.Owner == c.Owner && r.Revision >= sh.revision {
			sh.revision, sh.yielded, sh.write, sh.handover = r.Revision, true, true, r.Handover
		}
	case OfferShard:
	}
}

func (o *Ownership) keepAliveDone(now, sentAt dfuclock.Time, r Result) {
	switch r.Status {
	case OK:
		if o.lease != 0 {
			o.renewed(sentAt)
		}
	case LeaseEnded:
		o.leaseEnded(now)
	}
}

func (o *Ownership) renewed(sentAt dfuclock.Time) {
	o.validUntil = max(o.validUntil, sentAt.Add(LeaseTTL-leaseMargin))
	o.keepAliveAt = sentAt.Add(keepAlivePeriod)
}

// observeEra drops all shards if the store was restored from an older copy, which may have
// given them to others.
func (o *Ownership) observeEra(now dfuclock.Time, era Era) {
	if o.eraKnown && era == o.era {
		return
	}
	if o.eraKnown {
		o.leaseEnded(now)
	}
	o.era, o.eraSince, o.eraKnown = era, now, true
}

func (o *Ownership) leaseEnded(now dfuclock.Time) {
	o.lease, o.validUntil = 0, now
	for s := range o.shards {
		if o.shards[s].held {
			o.shards[s].readAt = now
		}
		o.drop(Shard(s))
		o.shards[s].write, o.shards[s].pull = false, false
		o.shards[s].yielded, o.shards[s].handover, o.shards[s].yieldedTo = false, Handover{}, dfuident.Member{}
	}
}

// recordRead handles the current record of a shard.
func (o *Ownership) recordRead(now dfuclock.Time, s Shard, revision dfuident.Revision, r Record) {
	sh := &o.shards[s]
	sh.known, sh.record, sh.revision, sh.yielded, sh.pull = revision > 0, r, revision, false, false
	sh.handover, sh.yieldedTo = Handover{}, dfuident.Member{}
	if sh.known {
		sh.written, sh.writtenEra = true, r.Era
	}
	switch {
	case revision == 0, r.Owner.IsZero(), r.Owner == o.self, o.ended(r):
		sh.write, sh.takingUntil = true, now.Add(takeTime)
	case !o.usable(r.Owner):
		// Nobody else can take the shard before the lease ends either.
		sh.readAt, sh.takingUntil = now.Add(pollPeriod), now.Add(pollPeriod+takeTime)
	case now < sh.askedUntil:
		sh.readAt, sh.pull = now.Add(pollPeriod), true
	default:
		sh.readAt = max(now.Add(pollPeriod), o.settled)
	}
}

func (o *Ownership) writeDone(now dfuclock.Time, c WriteRecord, r Result) {
	sh := &o.shards[c.Shard]
	if c.Record.Owner == o.self && c.Record.Settled {
		o.settledDone(now, c, r)
		return
	}
	handover := sh.handover
	if !sh.yielded {
		handover.Advance = c.Expect > 0 && sh.record.Era == c.Record.Era && sh.record.Settled
	}
	sh.yielded, sh.handover = false, Handover{}
	switch {
	case r.Status == LeaseEnded:
		o.leaseEnded(now)
	case r.Status == Conflict:
		o.recordRead(now, c.Shard, r.Revision, r.Record)
	case r.Status == OK && !o.leaving && c.Lease == o.lease && c.Record.Era == o.era:
		sh.known, sh.record, sh.revision, sh.held = true, c.Record, r.Revision, true
		sh.written, sh.writtenEra, sh.yieldedTo = true, c.Record.Era, dfuident.Member{}
		span := o.owner.bounds.span()
		sh.settleAt = now.Add(span + span/50) // in case the next owner's clock is faster
		o.owner.Acquire(c.Shard, now, handover)
	default:
		sh.readAt = now
	}
}

// settledDone handles the write that settles a record. It is repeated if its result
// is unknown; it then finds its own record, or that of a later owner.
func (o *Ownership) settledDone(now dfuclock.Time, c WriteRecord, r Result) {
	sh := &o.shards[c.Shard]
	switch {
	case !sh.held:
		sh.readAt = now
	case r.Status == OK:
		sh.settling, sh.record, sh.revision = false, c.Record, r.Revision
	case r.Status == Conflict && r.Record.Owner == o.self && r.Record.Era == o.era:
		sh.settling, sh.record, sh.revision = false, r.Record, r.Revision
	case r.Status == Conflict:
		o.drop(c.Shard)
		o.recordRead(now, c.Shard, r.Revision, r.Record)
	case r.Status == LeaseEnded:
		o.leaseEnded(now)
	}
}

func (o *Ownership) drop(s Shard) {
	o.shards[s].held, o.shards[s].settling = false, false
	o.owner.Drop(s)
}

func (o *Ownership) find(id dfuident.NodeID) (Node, bool) {
	for _, n := range o.nodes {
		if n.Member.Node == id {
			return n, true
		}
	}
	return Node{}, false
}

func (o *Ownership) usable(m dfuident.Member) bool {
	n, ok := o.find(m.Node)
	return ok && n.Member == m && n.Usable
}

// address returns the address of this node if it is known.
func (o *Ownership) address() dfuident.Address {
	if n, ok := o.find(o.self.Node); ok && n.Member == o.self {
		return n.Address
	}
	return ""
}

// ended reports whether there is evidence that the owner's process grants nothing any more:
// it has announced that it left, or a later run of its node listens on its address. A later
// run elsewhere is none: the earlier one may still run.
func (o *Ownership) ended(r Record) bool {
	n, ok := o.find(r.Owner.Node)
	if !ok || n.Member == r.Owner {
		return ok && n.Left
	}
	return n.Member.Incarnation > r.Owner.Incarnation && r.Address != "" && n.Address == r.Address
}
