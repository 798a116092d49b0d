package dfurecord

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

// ExchangeConfig holds the intervals and limits of an exchange.
type ExchangeConfig struct {
	// Prefixes are the key prefixes that are exchanged.
	Prefixes []string
	// Fanout is the number of peers that receive each round of adverts.
	Fanout int
	// Rounds is the number of rounds in which a node advertises a change.
	Rounds int
	// RemoteDelay is how long after a change the bridge of a zone advertises it to other
	// regions, whose own watchers normally get it from the store meanwhile.
	// RemoteRounds is the number of these adverts, which are RemoteDelay apart.
	RemoteDelay  dfuclock.Duration
	RemoteRounds int
	// FetchTimeout is the time after which a key is fetched from another peer.
	FetchTimeout dfuclock.Duration
	// TransferBytes limits the total size of the records in one message.
	TransferBytes dfuident.Bytes
	// SettlePeriod is how long the copy must have been unchanged, or have differed from those
	// of all peers of a region that sent their digests, before a differing digest means that a
	// change was lost. Before that, the change may still be on its way.
	SettlePeriod dfuclock.Duration
	// SettleAcross is the SettlePeriod for a peer in another region.
	SettleAcross dfuclock.Duration
	// RecentPeriod is how long after a change the node advertises it to each peer of its
	// region whose digest differs.
	RecentPeriod dfuclock.Duration
	// ComparePeriod is the minimum time between two comparisons started by the
	// node.
	ComparePeriod dfuclock.Duration
	// QuietPeriod, plus QuietStep for each doubling of the zone's size, is the
	// age of the copy above which the node reads the store itself.
	// Confirmations spread with the membership probes, so they take longer in a
	// larger zone.
	QuietPeriod dfuclock.Duration
	QuietStep   dfuclock.Duration
	// WatchWait is how long a watch of the store waits for a change. It is added to the
	// age above, since a copy is confirmed only when a watch ends.
	WatchWait dfuclock.Duration
	// FirstReadDelay is how long after its first tick a node without a complete copy
	// relies on its peers for it.
	FirstReadDelay dfuclock.Duration
	// FirstComparePeriod is how often a node without a complete copy compares with
	// another peer; zero if it compares only when its peers change or contact it.
	FirstComparePeriod dfuclock.Duration
	// ReadSpread times the number of nodes in the zone is added to the interval
	// over which these nodes spread their reads.
	ReadSpread dfuclock.Duration
}

// DefaultExchangeConfig returns the values used by the daemon.
func DefaultExchangeConfig(prefixes ...string) ExchangeConfig {
	return ExchangeConfig{
		Prefixes:      prefixes,
		Fanout:        3,
		Rounds:        3,
		RemoteDelay:   300 * dfuclock.Millisecond,
		RemoteRounds:  2,
		FetchTimeout:  300 * dfuclock.Millisecond,
		TransferBytes: 1 << 20,
		SettlePeriod:  500 * dfuclock.Millisecond,
		SettleAcross:  3 * dfuclock.Second,
		RecentPeriod:  2 * dfuclock.Second,
		ComparePeriod: dfuclock.Second,
		QuietPeriod:   2 * dfuclock.Second,
		QuietStep:     dfuclock.Second,
		ReadSpread:    500 * dfuclock.Millisecond,
	}
}

// ExchangeCounts holds the counters of an exchange.
type ExchangeCounts struct {
	// Fetches is the number of Fetch messages sent.
	Fetches uint64 `json:"fetches"`
	// Compares is the number of comparisons started.
	Compares uint64 `json:"compares"`
	// Reads is the number of store reads requested, because the copy was too
	// old or a record was MaybeDeleted.
	Reads uint64 `json:"reads"`
	// FetchTimeouts is the number of keys that a peer did not provide within
	// FetchTimeout.
	FetchTimeouts uint64 `json:"fetch_timeouts"`
	// ReceivedBytes is the size of the records that peers provided, and
	// RedundantBytes that of those that the node already held.
	ReceivedBytes  dfuident.Bytes `json:"received_bytes"`
	RedundantBytes dfuident.Bytes `json:"redundant_bytes"`
	// Corrupt is the number of records whose compressed value was corrupt or too large.
	Corrupt uint64 `json:"corrupt"`
}

// Exchange synchronizes a node's set with the store and with its peers. A few
// nodes of each zone watch the store. They advertise each change to their
// gossip peers, which fetch the record and advertise it in turn. However many
// adverts of a change a node receives, it fetches the record only once, unless
// the fetch times out. An Exchange is not safe for concurrent use.
type Exchange struct {
	set    *Set
	cfg    ExchangeConfig
	rng    *rand.Rand
	self   Peer
	counts ExchangeCounts

	peers PeersChanged
	// adverts holds the remaining advert rounds of each changed key.
	adverts map[string]int
	// recentChanges holds the time of the latest change of each key that has changed within
	// RecentPeriod.
	recentChanges map[string]dfuclock.Time
	// remoteAdverts holds the changes that are still to be advertised to other regions.
	remoteAdverts map[string]remoteAdvert
	// remoteTurn is the index of the peer that received the last of these adverts,
	// modulo the number of peers of its region. Each round goes to another peer, since
	// one may be paused.
	remoteTurn int
	// pendingFetches holds the keys requested from peers and not yet received.
	pendingFetches map[string]pendingFetch
	// confirmedTimes holds, by prefix, the latest time at which the copy is
	// known to have matched the store.
	confirmedTimes map[string]dfuclock.Time
	synced         bool
	// differsSince holds, by region, since when every digest from there has differed.
	differsSince map[dfuident.Region]dfuclock.Time
	// startedAt is the time of the first tick; zero before it.
	startedAt     dfuclock.Time
	changedAt     dfuclock.Time
	nextCompareAt dfuclock.Time
	nextReadAt    dfuclock.Time
	// nextMaybeDeletedReadAt is the earliest time at which a MaybeDeleted
	// record makes the node read the store again.
	nextMaybeDeletedReadAt dfuclock.Time
	actions                []Action
	changed                []string
}

// maxRemoteTurn limits the initial remoteTurn. The bridges of a region begin with different
// peers.
const maxRemoteTurn = 1 << 10

// remoteAdvert is the state of a change that a bridge advertises to other regions.
type remoteAdvert struct {
	at         dfuclock.Time
	roundsLeft int
}

// pendingFetch is the state of a key that was requested from a peer.
type pendingFetch struct {
	deadline dfuclock.Time
	// alternative is another peer that has the record. It is asked if the first
	// one does not reply by the deadline.
	alternative Peer
}

// NewExchange returns the exchange of a node without peers.
func NewExchange(self Peer, set *Set, cfg ExchangeConfig, rng *rand.Rand) *Exchange {
	return &Exchange{
		set:            set,
		cfg:            cfg,
		rng:            rng,
		self:           self,
		adverts:        make(map[string]int),
		recentChanges:  make(map[string]dfuclock.Time),
		remoteAdverts:  make(map[string]remoteAdvert),
		remoteTurn:     int(xxhash.Sum64String(string(self.Node)) % maxRemoteTurn),
		pendingFetches: make(map[string]pendingFetch),
		confirmedTimes: make(map[string]dfuclock.Time),
		differsSince:   make(map[dfuident.Region]dfuclock.Time),
	}
}

// Step processes one event and returns the resulting actions.
func (x *Exchange) Step(now dfuclock.Time, event Event) []Action {
	x.actions, x.changed = nil, nil
	switch e := event.(type) {
	case Tick:
		x.tick(now)
	case Received:
		x.receive(now, e.Message)
	case StoreResponse:
		x.mergeStoreResponse(now, e)
	case PeersChanged:
		x.updatePeers(now, e)
	}
	if len(x.changed) > 0 {
		x.changedAt = now
		for _, key := range x.changed {
			x.recentChanges[key] = now
		}
		x.emit(Changed{Keys: x.changed})
		x.advertise()
	}
	return x.actions
}

// Set returns the records. Only Step changes them.
func (x *Exchange) Set() *Set {
	return x.set
}

// Synced reports whether the node has had a complete copy, read from the store
// or equal to a confirmed peer's.
func (x *Exchange) Synced() bool {
	return x.synced
}

// Watcher reports whether the node should watch the store.
func (x *Exchange) Watcher() bool {
	return x.peers.Watcher
}

// Counts returns the counters since NewExchange.
func (x *Exchange) Counts() ExchangeCounts {
	return x.counts
}

// Standing returns the copy's digest and age, to be included in a message to a
// peer.
func (x *Exchange) Standing(now dfuclock.Time) Standing {
	s := Standing{Digest: x.set.Digest()}
	if at, ok := x.confirmedAt(); ok {
		s.Confirmed = true
		s.Age = now.Sub(at)
	}
	return s
}

// confirmedAt returns the latest time at which the whole copy is known to have
// matched the store. It returns false until every prefix has been confirmed.
func (x *Exchange) confirmedAt() (dfuclock.Time, bool) {
	var oldest dfuclock.Time
	for i, prefix := range x.cfg.Prefixes {
		at, ok := x.confirmedTimes[prefix]
		if !ok {
			return 0, false
		}
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, true
}

// tick sends the remaining advert rounds, retries fetches, and requests a store
// read if the copy has gone unconfirmed for too long.
func (x *Exchange) tick(now dfuclock.Time) {
	if x.startedAt == 0 {
		x.startedAt = now
	}
	maps.DeleteFunc(x.recentChanges, func(_ string, at dfuclock.Time) bool { return now.Sub(at) >= x.cfg.RecentPeriod })
	x.advertise()
	x.advertiseToRegions(now)
	x.compareUntilSynced(now)
	x.retryFetches(now)
	x.readIfTooOld(now)
}

// compareUntilSynced compares with another peer if the node has no complete copy yet.
func (x *Exchange) compareUntilSynced(now dfuclock.Time) {
	if x.synced || x.cfg.FirstComparePeriod == 0 || now.Before(x.nextCompareAt) {
		return
	}
	for _, p := range x.pickGossipPeers(1) {
		x.compare(now, p)
	}
}

// retryFetches drops the fetches whose deadline has passed and sends them to
// the alternative peer, if there is one.
func (x *Exchange) retryFetches(now dfuclock.Time) {
	retries := make(map[Peer][]string)
	for key, f := range x.pendingFetches {
		if now.Before(f.deadline) {
			continue
		}
		x.counts.FetchTimeouts++
		delete(x.pendingFetches, key)
		if f.alternative != (Peer{}) {
			retries[f.alternative] = append(retries[f.alternative], key)
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(retries), comparePeers) {
		slices.Sort(retries[p])
		x.fetch(now, p, retries[p])
	}
}

func comparePeers(a, b Peer) int {
	return cmp.Compare(a.Node, b.Node)
}

// readIfTooOld requests a store read when the copy is too old. The read is
// delayed at random, since the copies of all other nodes in the zone become too
// old at the same time.
func (x *Exchange) readIfTooOld(now dfuclock.Time) {
	if x.peers.Watcher || !x.tooOld(now) || now.Sub(x.startedAt) < x.cfg.FirstReadDelay {
		x.nextReadAt = 0
		return
	}
	isDue := x.nextReadAt != 0 && !now.Before(x.nextReadAt)
	if isDue {
		x.counts.Reads++
		x.emit(Read{})
	}
	if isDue || x.nextReadAt == 0 {
		x.nextReadAt = now.Add(x.jitter(x.readSpread()))
	}
}

// InForceUntil returns the time from which the copy counts as too old. It returns false
// until the store has confirmed the copy.
func (x *Exchange) InForceUntil() (dfuclock.Time, bool) {
	at, ok := x.confirmedAt()
	return at.Add(x.maxAge() + x.cfg.WatchWait), ok
}

func (x *Exchange) tooOld(now dfuclock.Time) bool {
	until, ok := x.InForceUntil()
	return !ok || until.Before(now)
}

func (x *Exchange) maxAge() dfuclock.Duration {
	return x.cfg.QuietPeriod + x.cfg.QuietStep*dfuclock.Duration(bits.Len(uint(x.peers.ZoneSize)))
}

func (x *Exchange) readSpread() dfuclock.Duration {
	return x.maxAge()/2 + x.cfg.ReadSpread*dfuclock.Duration(x.peers.ZoneSize)
}

// mergeStoreResponse merges a response of the store. A response from a replica
// that lags behind the copy does not confirm it. One that contradicts the copy is not merged,
// since its revisions can't be compared.
func (x *Exchange) mergeStoreResponse(now dfuclock.Time, e StoreResponse) {
	for _, r := range e.Records {
		if x.set.ContradictedBy(r, e.Listed, e.Revision) {
			x.emit(StoreRestored{Revision: e.Revision})
			return
		}
	}
	behind := e.Revision < x.set.GreatestRevision(e.Prefix)
	if e.Listed {
		for _, r := range x.set.MergeList(e.Prefix, e.Records, e.Revision) {
			x.markChanged(r.Key, true)
			x.scheduleRemoteAdvert(now, r.Key)
		}
	} else {
		for _, r := range e.Records {
			if x.set.MergeFromStore(r, e.Revision).Changed() {
				x.markChanged(r.Key, true)
				x.scheduleRemoteAdvert(now, r.Key)
			}
		}
	}
	if behind {
		return
	}
	x.confirmedTimes[e.Prefix] = now
	if _, ok := x.confirmedAt(); ok {
		x.synced = true
	}
}

// updatePeers stores the new peers. A node without a complete copy starts to
// compare with two of them at once.
func (x *Exchange) updatePeers(now dfuclock.Time, e PeersChanged) {
	x.peers = e
	if !x.synced && !now.Before(x.nextCompareAt) {
		for _, p := range x.pickGossipPeers(2) {
			x.compare(now, p)
		}
	}
}

func (x *Exchange) receive(now dfuclock.Time, msg Message) {
	switch msg.Kind {
	case Advert:
		x.fetch(now, msg.From, x.newerKeys(msg.Summaries))
	case Fetch:
		x.transfer(msg.From, msg.Keys, msg.AcceptsPacked)
	case Transfer:
		x.mergeTransfer(now, msg)
	case CompareRequest:
		x.emit(Send{To: msg.From, Message: Message{
			Kind: CompareReply, From: x.self,
			Buckets: x.set.Buckets(), Summaries: x.set.Summaries(msg.Buckets),
			Standing: x.Standing(now), AcceptsPacked: true,
		}})
	case CompareReply:
		x.finishCompare(now, msg)
	case Confirm:
		x.handleStanding(now, msg)
	}
}

// handleStanding adopts the age of an equal copy. It starts a comparison with a
// copy that has differed for longer than a change takes to arrive.
func (x *Exchange) handleStanding(now dfuclock.Time, msg Message) {
	region := msg.From.Region
	if msg.Standing.Digest == x.set.Digest() {
		delete(x.differsSince, region)
		x.confirmFromPeer(now, msg.Standing)
		return
	}
	settle := x.cfg.SettlePeriod
	if region == x.self.Region {
		x.advertiseRecent(msg.From)
	} else {
		settle = x.cfg.SettleAcross
	}
	since, ok := x.differsSince[region]
	if !ok {
		since = now
		x.differsSince[region] = now
	}
	// A lost change must be found although others keep arriving.
	isSettled := now.Sub(x.changedAt) >= settle || now.Sub(since) >= settle
	if now.Before(x.nextCompareAt) || (x.synced && !isSettled) {
		return
	}
	x.compare(now, msg.From)
}

// confirmFromPeer adopts the confirmation time of a peer with an equal copy, if
// it is later.
func (x *Exchange) confirmFromPeer(now dfuclock.Time, s Standing) {
	if !s.Confirmed {
		return
	}
	x.synced = true
	at := now.Add(-s.Age)
	for _, prefix := range x.cfg.Prefixes {
		if old, ok := x.confirmedTimes[prefix]; !ok || old.Before(at) {
			x.confirmedTimes[prefix] = at
		}
	}
}

func (x *Exchange) compare(now dfuclock.Time, peer Peer) {
	x.counts.Compares++
	period := x.cfg.ComparePeriod
	if !x.synced && x.cfg.FirstComparePeriod > 0 {
		period = x.cfg.FirstComparePeriod
	}
	x.nextCompareAt = now.Add(period)
	x.emit(Send{To: peer, Message: Message{Kind: CompareRequest, From: x.self, Buckets: x.set.Buckets()}})
}

func (x *Exchange) finishCompare(now dfuclock.Time, msg Message) {
	wanted, newer := x.set.Compare(msg.Buckets, msg.Summaries)
	x.fetch(now, msg.From, wanted)
	if len(newer) > 0 {
		x.transfer(msg.From, newer, msg.AcceptsPacked)
	}
	if len(wanted) == 0 && len(newer) == 0 {
		delete(x.differsSince, msg.From.Region)
		x.confirmFromPeer(now, msg.Standing)
	}
}

func (x *Exchange) newerKeys(summaries []Summary) []string {
	var keys []string
	for _, s := range summaries {
		if s.isNewer(x.set.Revisions(s.Key)) {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// fetch requests keys that are not being fetched yet from a peer, and records
// the peer as the alternative for those that are.
func (x *Exchange) fetch(now dfuclock.Time, from Peer, keys []string) {
	var requested []string
	for _, key := range keys {
		f, ok := x.pendingFetches[key]
		if ok {
			f.alternative = from
		} else if len(x.pendingFetches) < x.set.limits.Keys {
			f.deadline = now.Add(x.cfg.FetchTimeout)
			requested = append(requested, key)
		} else {
			continue
		}
		x.pendingFetches[key] = f
	}
	if len(requested) > 0 {
		x.counts.Fetches++
		x.emit(Send{To: from, Message: Message{Kind: Fetch, From: x.self, Keys: requested, AcceptsPacked: true}})
	}
}

func (x *Exchange) transfer(to Peer, keys []string, acceptsPacked bool) {
	records := x.set.Records(keys, x.cfg.TransferBytes, acceptsPacked)
	if len(records) > 0 {
		x.emit(Send{To: to, Message: Message{Kind: Transfer, From: x.self, Records: records}})
	}
}

// mergeTransfer merges the records that a peer sent. A node without a complete
// copy compares again until no difference is left.
func (x *Exchange) mergeTransfer(now dfuclock.Time, msg Message) {
	for _, r := range msg.Records {
		size := r.Size()
		x.counts.ReceivedBytes += size
		if err := r.unpack(x.set.limits.ValueBytes); err != nil {
			x.counts.Corrupt++
			continue
		}
		delete(x.pendingFetches, r.Key)
		result := x.set.MergeFromPeer(r)
		if result.Changed() {
			x.markChanged(r.Key, x.synced)
			if msg.From.Region == x.self.Region {
				x.scheduleRemoteAdvert(now, r.Key)
			}
		} else {
			x.counts.RedundantBytes += size
		}
		if result == MaybeDeleted && !now.Before(x.nextMaybeDeletedReadAt) {
			x.nextMaybeDeletedReadAt = now.Add(x.maxAge())
			x.counts.Reads++
			x.emit(Read{})
		}
	}
	if !x.synced && len(x.changed) > 0 {
		x.compare(now, msg.From)
	}
}

// markChanged marks a key as changed and, if advertise is set, schedules its
// adverts. A node that copies its first records from a peer does not advertise
// them, since the other nodes already have them.
func (x *Exchange) markChanged(key string, advertise bool) {
	if !slices.Contains(x.changed, key) {
		x.changed = append(x.changed, key)
	}
	if advertise {
		x.adverts[key] = x.cfg.Rounds
	}
}

// advertise sends one round of adverts for all changed keys.
func (x *Exchange) advertise() {
	if len(x.adverts) == 0 {
		return
	}
	summaries := make([]Summary, 0, len(x.adverts))
	for key, rounds := range x.adverts {
		summaries = append(summaries, x.set.Revisions(key))
		if rounds <= 1 {
			delete(x.adverts, key)
		} else {
			x.adverts[key] = rounds - 1
		}
	}
	sortSummaries(summaries)
	for _, p := range x.pickGossipPeers(x.cfg.Fanout) {
		x.emit(Send{To: p, Message: Message{Kind: Advert, From: x.self, Summaries: summaries}})
	}
}

// maxRecentAdverts is the number of recent changes above which only comparisons find what a
// peer lacks.
const maxRecentAdverts = 32

// advertiseRecent advertises the recent changes to a peer whose copy differs. The rounds of
// adverts may have reached only peers that are gone.
func (x *Exchange) advertiseRecent(to Peer) {
	if len(x.recentChanges) == 0 || len(x.recentChanges) > maxRecentAdverts {
		return
	}
	summaries := make([]Summary, 0, len(x.recentChanges))
	for key := range x.recentChanges {
		summaries = append(summaries, x.set.Revisions(key))
	}
	sortSummaries(summaries)
	x.emit(Send{To: to, Message: Message{Kind: Advert, From: x.self, Summaries: summaries}})
}

// scheduleRemoteAdvert schedules the adverts of a changed key to other regions if the node
// is a bridge. It is possible that no watcher of those regions can reach the store. A further
// change of the key doesn't postpone an advert that is already scheduled.
func (x *Exchange) scheduleRemoteAdvert(now dfuclock.Time, key string) {
	if !x.synced || len(x.peers.RemotePeers) == 0 {
		return
	}
	a, ok := x.remoteAdverts[key]
	if !ok {
		a.at = now.Add(x.cfg.RemoteDelay)
	}
	a.roundsLeft = x.cfg.RemoteRounds
	x.remoteAdverts[key] = a
}

// advertiseToRegions sends the adverts that are due to one peer of each other region.
func (x *Exchange) advertiseToRegions(now dfuclock.Time) {
	var summaries []Summary
	for key, a := range x.remoteAdverts {
		if now.Before(a.at) {
			continue
		}
		summaries = append(summaries, x.set.Revisions(key))
		a.at, a.roundsLeft = now.Add(x.cfg.RemoteDelay), a.roundsLeft-1
		x.remoteAdverts[key] = a
		if a.roundsLeft <= 0 {
			delete(x.remoteAdverts, key)
		}
	}
	if len(summaries) == 0 {
		return
	}
	sortSummaries(summaries)
	x.remoteTurn++
	for _, peers := range x.peers.RemotePeers {
		to := peers[x.remoteTurn%len(peers)]
		x.emit(Send{To: to, Message: Message{Kind: Advert, From: x.self, Summaries: summaries}})
	}
}

func (x *Exchange) pickGossipPeers(n int) []Peer {
	if len(x.peers.GossipPeers) <= n {
		return x.peers.GossipPeers
	}
	picked := make([]Peer, 0, n)
	for len(picked) < n {
		if p := x.peers.GossipPeers[x.rng.IntN(len(x.peers.GossipPeers))]; !slices.Contains(picked, p) {
			picked = append(picked, p)
		}
	}
	return picked
}

func (x *Exchange) emit(a Action) {
	x.actions = append(x.actions, a)
}

func (x *Exchange) jitter(d dfuclock.Duration) dfuclock.Duration {
	return dfuclock.Duration(x.rng.Int64N(int64(d) + 1))
}
