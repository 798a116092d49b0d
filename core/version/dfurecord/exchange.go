package dfurecord

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// ExchangeConfig holds the periods and bounds of an exchange.
type ExchangeConfig struct {
	// Prefixes are the keys that are exchanged.
	Prefixes []string
	// Fanout is the number of peers that one round of adverts goes to.
	Fanout int
	// Rounds is the number of rounds in which a node advertises a change.
	Rounds int
	// FetchTimeout is the wait before a key is fetched from another peer.
	FetchTimeout dfuclock.Duration
	// TransferBytes bounds the records in one message.
	TransferBytes dfuident.Bytes
	// SettlePeriod is how long the copy must have been unchanged before a
	// differing digest counts as a loss rather than as news on its way.
	SettlePeriod dfuclock.Duration
	// SettleAcross is the same for a peer in another region.
	SettleAcross dfuclock.Duration
	// ComparePeriod is the least time between two compares begun by the node.
	ComparePeriod dfuclock.Duration
	// QuietPeriod and, for each doubling of the zone's size, QuietStep make
	// the age of the copy from which the node reads the store itself. News
	// that a copy is confirmed spreads by probes, so it takes longer in a
	// larger zone.
	QuietPeriod dfuclock.Duration
	QuietStep   dfuclock.Duration
	// ReadSpread times the zone's size is the time over which the nodes of a
	// zone spread these reads.
	ReadSpread dfuclock.Duration
}

// DefaultExchangeConfig returns the periods used by the daemon.
func DefaultExchangeConfig(prefixes ...string) ExchangeConfig {
	return ExchangeConfig{
		Prefixes:      prefixes,
		Fanout:        3,
		Rounds:        3,
		FetchTimeout:  300 * dfuclock.Millisecond,
		TransferBytes: 1 << 20,
		SettlePeriod:  500 * dfuclock.Millisecond,
		SettleAcross:  3 * dfuclock.Second,
		ComparePeriod: dfuclock.Second,
		QuietPeriod:   2 * dfuclock.Second,
		QuietStep:     dfuclock.Second,
		ReadSpread:    500 * dfuclock.Millisecond,
	}
}

// ExchangeCounts tells how often something noteworthy happened.
type ExchangeCounts struct {
	// Fetches were asked of peers after an advert.
	Fetches uint64 `json:"fetches"`
	// Compares were begun because digests differed.
	Compares uint64 `json:"compares"`
	// Reads of the store were asked for because the copy was too old.
	Reads uint64 `json:"reads"`
}

// Exchange keeps the set of one node in step with the store and its peers. A
// few nodes of each zone watch the store; a change runs from them along the
// fingers as an advert, and each node fetches the record once. It belongs to
// one goroutine.
type Exchange struct {
	set    *Set
	cfg    ExchangeConfig
	rng    *rand.Rand
	self   Peer
	counts ExchangeCounts

	peers PeersChanged
	// adverts counts the rounds left for each changed key.
	adverts map[string]int
	// fetching holds the keys that are waited for.
	fetching map[string]fetch
	// confirmed holds when the store last confirmed each prefix.
	confirmed map[string]dfuclock.Time
	synced    bool
	changedAt dfuclock.Time
	compareAt dfuclock.Time
	readAt    dfuclock.Time
	// doubtAt is when an unproven record next makes the node read the store.
	doubtAt dfuclock.Time
	actions []Action
	changed []string
}

// fetch is a key that was asked of a peer.
type fetch struct {
	until dfuclock.Time
	// other is another peer that has it, asked if the first doesn't answer.
	other Peer
}

// NewExchange returns the exchange of a node that has no peers yet.
func NewExchange(self Peer, set *Set, cfg ExchangeConfig, rng *rand.Rand) *Exchange {
	return &Exchange{
		set:       set,
		cfg:       cfg,
		rng:       rng,
		self:      self,
		adverts:   make(map[string]int),
		fetching:  make(map[string]fetch),
		confirmed: make(map[string]dfuclock.Time),
	}
}

// Step takes one event and returns what is to be done about it.
func (x *Exchange) Step(now dfuclock.Time, event Event) []Action {
	x.actions, x.changed = nil, nil
	switch e := event.(type) {
	case Tick:
		x.tick(now)
	case Received:
		x.receive(now, e.Message)
	case StoreAnswered:
		x.takeAnswer(now, e)
	case PeersChanged:
		x.changePeers(now, e)
	}
	if len(x.changed) > 0 {
		x.changedAt = now
		x.do(Changed{Keys: x.changed})
		x.advertise()
	}
	return x.actions
}

// Set returns the records. They are altered only by Step.
func (x *Exchange) Set() *Set {
	return x.set
}

// Synced reports whether the whole copy of the store or of a peer has been
// taken over once.
func (x *Exchange) Synced() bool {
	return x.synced
}

// Watcher reports whether the node is to watch the store.
func (x *Exchange) Watcher() bool {
	return x.peers.Watcher
}

// Counts returns what has been counted since NewExchange.
func (x *Exchange) Counts() ExchangeCounts {
	return x.counts
}

// Standing returns the copy's digest and age, for a message to a peer.
func (x *Exchange) Standing(now dfuclock.Time) Standing {
	s := Standing{Digest: x.set.Digest()}
	if at, ok := x.confirmedAt(); ok {
		s.Confirmed = true
		s.Age = now.Sub(at)
	}
	return s
}

// confirmedAt returns the time as of which the whole copy is known to have
// been the store's.
func (x *Exchange) confirmedAt() (dfuclock.Time, bool) {
	var oldest dfuclock.Time
	for i, prefix := range x.cfg.Prefixes {
		at, ok := x.confirmed[prefix]
		if !ok {
			return 0, false
		}
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, true
}

// tick advertises again what is new, and reads the store if it is long since
// anybody confirmed the copy.
func (x *Exchange) tick(now dfuclock.Time) {
	x.advertise()
	x.stepFetches(now)
	x.stepRead(now)
}

// stepFetches gives up on peers that did not answer and asks others.
func (x *Exchange) stepFetches(now dfuclock.Time) {
	again := make(map[Peer][]string)
	for key, f := range x.fetching {
		if now.Before(f.until) {
			continue
		}
		delete(x.fetching, key)
		if f.other != (Peer{}) {
			again[f.other] = append(again[f.other], key)
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(again), comparePeers) {
		slices.Sort(again[p])
		x.fetch(now, p, again[p])
	}
}

func comparePeers(a, b Peer) int {
	return cmp.Compare(a.Node, b.Node)
}

// stepRead asks for a read some time after the copy has become too old, since
// all other nodes of the zone find theirs too old as well.
func (x *Exchange) stepRead(now dfuclock.Time) {
	if x.peers.Watcher || !x.quiet(now) {
		x.readAt = 0
		return
	}
	due := x.readAt != 0 && !now.Before(x.readAt)
	if due {
		x.counts.Reads++
		x.do(Read{})
	}
	if due || x.readAt == 0 {
		x.readAt = now.Add(x.jitter(x.readSpread()))
	}
}

func (x *Exchange) quiet(now dfuclock.Time) bool {
	at, ok := x.confirmedAt()
	return !ok || now.Sub(at) > x.quietPeriod()
}

func (x *Exchange) quietPeriod() dfuclock.Duration {
	return x.cfg.QuietPeriod + x.cfg.QuietStep*dfuclock.Duration(bits.Len(uint(x.peers.ZoneSize)))
}

func (x *Exchange) readSpread() dfuclock.Duration {
	return x.quietPeriod()/2 + x.cfg.ReadSpread*dfuclock.Duration(x.peers.ZoneSize)
}

// takeAnswer merges what the store returned. An answer from a replica that is
// behind the copy confirms nothing.
func (x *Exchange) takeAnswer(now dfuclock.Time, e StoreAnswered) {
	behind := e.Revision < x.set.Greatest(e.Prefix)
	if e.Listed {
		for _, r := range x.set.MergeList(e.Prefix, e.Records, e.Revision) {
			x.note(r.Key, true)
		}
	} else {
		for _, r := range e.Records {
			if x.set.MergeFromStore(r, e.Revision).Changed() {
				x.note(r.Key, true)
			}
		}
	}
	if behind {
		return
	}
	x.confirmed[e.Prefix] = now
	if _, ok := x.confirmedAt(); ok {
		x.synced = true
	}
}

// changePeers takes new peers. A node without a copy asks some of them at once.
func (x *Exchange) changePeers(now dfuclock.Time, e PeersChanged) {
	x.peers = e
	if !x.synced && !now.Before(x.compareAt) {
		for _, p := range x.pickFingers(2) {
			x.compare(now, p)
		}
	}
}

func (x *Exchange) receive(now dfuclock.Time, msg Message) {
	switch msg.Kind {
	case Advert:
		x.fetch(now, msg.From, x.newerIn(msg.Summaries))
	case Fetch:
		x.transfer(msg.From, msg.Keys)
	case Transfer:
		x.take(now, msg)
	case CompareRequest:
		x.do(Send{To: msg.From, Message: Message{
			Kind: CompareReply, From: x.self,
			Buckets: x.set.Buckets(), Summaries: x.set.Summaries(msg.Buckets),
			Standing: x.Standing(now),
		}})
	case CompareReply:
		x.finishCompare(now, msg)
	case Confirm:
		x.takeStanding(now, msg)
	}
}

// takeStanding takes over the age of an equal copy, and compares with one that
// has been different for longer than news takes to arrive.
func (x *Exchange) takeStanding(now dfuclock.Time, msg Message) {
	if msg.Standing.Digest == x.set.Digest() {
		x.confirmFrom(now, msg.Standing)
		return
	}
	settle := x.cfg.SettlePeriod
	if msg.From.Region != x.self.Region {
		settle = x.cfg.SettleAcross
	}
	if now.Before(x.compareAt) || (x.synced && now.Sub(x.changedAt) < settle) {
		return
	}
	x.compare(now, msg.From)
}

// confirmFrom takes over what a peer with the same copy knows of its age.
func (x *Exchange) confirmFrom(now dfuclock.Time, s Standing) {
	if !s.Confirmed {
		return
	}
	x.synced = true
	at := now.Add(-s.Age)
	for _, prefix := range x.cfg.Prefixes {
		if old, ok := x.confirmed[prefix]; !ok || old.Before(at) {
			x.confirmed[prefix] = at
		}
	}
}

func (x *Exchange) compare(now dfuclock.Time, with Peer) {
	x.counts.Compares++
	x.compareAt = now.Add(x.cfg.ComparePeriod)
	x.do(Send{To: with, Message: Message{Kind: CompareRequest, From: x.self, Buckets: x.set.Buckets()}})
}

func (x *Exchange) finishCompare(now dfuclock.Time, msg Message) {
	wanted, newer := x.set.Compare(msg.Buckets, msg.Summaries)
	x.fetch(now, msg.From, wanted)
	if len(newer) > 0 {
		x.transfer(msg.From, newer)
	}
	if len(wanted) == 0 && len(newer) == 0 {
		x.confirmFrom(now, msg.Standing)
	}
}

func (x *Exchange) newerIn(summaries []Summary) []string {
	var keys []string
	for _, s := range summaries {
		ours := x.set.Revisions(s.Key)
		if s.Noted > ours.Noted || s.InForce > ours.InForce {
			keys = append(keys, s.Key)
		}
	}
	return keys
}

// fetch asks a peer for keys that aren't being fetched yet, and remembers it as
// another source of those that are.
func (x *Exchange) fetch(now dfuclock.Time, from Peer, keys []string) {
	var asked []string
	for _, key := range keys {
		f, ok := x.fetching[key]
		if ok {
			f.other = from
		} else if len(x.fetching) < x.set.limits.Keys {
			f.until = now.Add(x.cfg.FetchTimeout)
			asked = append(asked, key)
		} else {
			continue
		}
		x.fetching[key] = f
	}
	if len(asked) > 0 {
		x.counts.Fetches++
		x.do(Send{To: from, Message: Message{Kind: Fetch, From: x.self, Keys: asked}})
	}
}

func (x *Exchange) transfer(to Peer, keys []string) {
	records := x.set.Records(keys, x.cfg.TransferBytes)
	if len(records) > 0 {
		x.do(Send{To: to, Message: Message{Kind: Transfer, From: x.self, Records: records}})
	}
}

// take merges what a peer sent. A node that takes over its first copy asks for
// more until nothing differs.
func (x *Exchange) take(now dfuclock.Time, msg Message) {
	for _, r := range msg.Records {
		delete(x.fetching, r.Key)
		v := x.set.MergeFromPeer(r)
		if v.Changed() {
			x.note(r.Key, x.synced)
		}
		if v == Unproven && !now.Before(x.doubtAt) {
			x.doubtAt = now.Add(x.quietPeriod())
			x.counts.Reads++
			x.do(Read{})
		}
	}
	if !x.synced && len(x.changed) > 0 {
		x.compare(now, msg.From)
	}
}

// note marks a key as changed and maybe to be advertised. A node that takes over
// its first copy from a peer tells nobody what the others know.
func (x *Exchange) note(key string, advertise bool) {
	if !slices.Contains(x.changed, key) {
		x.changed = append(x.changed, key)
	}
	if advertise {
		x.adverts[key] = x.cfg.Rounds
	}
}

// advertise sends one round of adverts.
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
	for _, p := range x.pickFingers(x.cfg.Fanout) {
		x.do(Send{To: p, Message: Message{Kind: Advert, From: x.self, Summaries: summaries}})
	}
}

func (x *Exchange) pickFingers(n int) []Peer {
	if len(x.peers.Fingers) <= n {
		return x.peers.Fingers
	}
	picked := make([]Peer, 0, n)
	for len(picked) < n {
		if p := x.peers.Fingers[x.rng.IntN(len(x.peers.Fingers))]; !slices.Contains(picked, p) {
			picked = append(picked, p)
		}
	}
	return picked
}

func (x *Exchange) do(a Action) {
	x.actions = append(x.actions, a)
}

func (x *Exchange) jitter(d dfuclock.Duration) dfuclock.Duration {
	return dfuclock.Duration(x.rng.Int64N(int64(d) + 1))
}
