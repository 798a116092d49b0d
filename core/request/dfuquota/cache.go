package dfuquota

import (
	"cmp"
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

const (
	// aheadTime is the time for which tokens are asked ahead.
	aheadTime = 200 * dfuclock.Millisecond
	// minAheadTokens is the number of tokens expected to be spent in aheadTime below which
	// none are asked ahead: they would mostly lapse.
	minAheadTokens = 2
	// rateTime is the time constant of the average rate of requests.
	rateTime = 500 * dfuclock.Millisecond
	// maxDenyTime bounds the time for which a node refuses the requests of a workspace
	// without asking the owner.
	maxDenyTime = 100 * dfuclock.Millisecond
	minDenyTime = 10 * dfuclock.Millisecond
	// minAheadPause is the shortest time between a reply that granted fewer tokens than were
	// asked for and the next question that asks ahead.
	minAheadPause = 50 * dfuclock.Millisecond
	// lapseMargin is the part of tokenLife in which a node doesn't spend a token, in case
	// its clock runs slower than that of the owner.
	lapseMargin = 20 * dfuclock.Millisecond
	// idleTime is the time without requests after which a workspace is removed.
	idleTime = 10 * dfuclock.Second
)

// Verdict is the decision on a request.
type Verdict int

const (
	// Pending means that the request waits.
	Pending Verdict = iota
	// Granted means that the request has spent a token.
	Granted
	// Exceeded means that the quota is used up.
	Exceeded
	// Unknown means that no owner could be asked in time, or that it can't tell whether the
	// quota is used up.
	Unknown
)

// Ticket is one request's claim to a token.
type Ticket struct {
	workspace dfuident.Workspace
	notify    func(Verdict)
	verdict   Verdict
	// tokenOrigin describes the token that was spent.
	tokenOrigin
}

// tokenOrigin describes a token.
type tokenOrigin struct {
	owner  dfuident.Member
	stamp  Stamp
	lapses dfuclock.Time
}

// Verdict returns the decision so far.
func (t *Ticket) Verdict() Verdict {
	return t.verdict
}

// Cache holds the tokens that were granted to a node, by workspace, and the requests that
// wait for one. It is not safe for concurrent use.
type Cache struct {
	workspaces [ShardCount]map[dfuident.Workspace]*demand
	nextSweep  dfuclock.Time
}

// demand holds the tokens of a workspace and the requests that wait.
type demand struct {
	tokens  []tokens
	waiting []*Ticket
	// rate is the average number of requests per ms, as of the time at.
	rate float64
	at   dfuclock.Time
	// deniedUntil is the time until which requests that find no token are refused, with the
	// verdict denied.
	deniedUntil dfuclock.Time
	denied      Verdict
	// pausedUntil is the time until which no tokens are asked ahead.
	pausedUntil dfuclock.Time
}

// tokens is a number of tokens of one grant.
type tokens struct {
	tokenOrigin
	n int
}

// NewCache returns a Cache without tokens.
func NewCache() *Cache {
	c := &Cache{}
	for i := range c.workspaces {
		c.workspaces[i] = make(map[dfuident.Workspace]*demand)
	}
	return c
}

// Take spends a token of a workspace. If it returns a pending Ticket, notify is called once
// with the verdict, unless Abandon is called before.
func (c *Cache) Take(now dfuclock.Time, w dfuident.Workspace, notify func(Verdict)) *Ticket {
	shard := c.workspaces[ShardOf(w)]
	d := shard[w]
	if d == nil {
		d = &demand{at: now}
		shard[w] = d
	}
	d.countRequest(now)
	t := &Ticket{workspace: w, notify: notify}
	switch {
	case d.spend(now, t):
		t.verdict = Granted
	case now.Before(d.deniedUntil):
		t.verdict = d.denied
	default:
		d.waiting = append(d.waiting, t)
	}
	return t
}

// Abandon removes a request that no longer waits.
func (c *Cache) Abandon(t *Ticket) {
	if t.verdict != Pending {
		return
	}
	t.verdict = Unknown
	if d := c.workspaces[ShardOf(t.workspace)][t.workspace]; d != nil {
		d.waiting = slices.DeleteFunc(d.waiting, func(other *Ticket) bool { return other == t })
	}
}

// GiveBack returns the token of a request that did not run, unless it has lapsed.
func (c *Cache) GiveBack(now dfuclock.Time, t *Ticket) {
	d := c.workspaces[ShardOf(t.workspace)][t.workspace]
	if t.verdict != Granted || d == nil || !now.Before(t.lapses) {
		return
	}
	t.verdict = Unknown
	if len(d.waiting) > 0 {
		next := d.waiting[0]
		d.waiting = d.waiting[1:]
		next.tokenOrigin = t.tokenOrigin
		next.decide(Granted)
		return
	}
	d.tokens = append(d.tokens, tokens{t.tokenOrigin, 1})
}

// WantsTokens reports whether requests of a shard's workspaces wait, or tokens should be
// asked ahead for one of them.
func (c *Cache) WantsTokens(now dfuclock.Time, w dfuident.Workspace) bool {
	d := c.workspaces[ShardOf(w)][w]
	return d != nil && (len(d.waiting) > 0 || d.runsLow(now))
}

// Items returns what to ask the owner of a shard for, and the tokens to return to it.
func (c *Cache) Items(now dfuclock.Time, s Shard, owner dfuident.Member) []Item {
	var items []Item
	for w, d := range c.workspaces[s] {
		item := Item{Workspace: w, Need: len(d.waiting)}
		if d.runsLow(now) {
			item.Extra = max(0, int(d.expected(now, aheadTime))-d.live(now))
		}
		if item.Need == 0 && item.Extra == 0 {
			item.Returns = d.takeSurplus(now, owner)
		}
		if item.Need > 0 || item.Extra > 0 || len(item.Returns) > 0 {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return items
}

// HasReturns reports whether a shard has tokens that its owner should get back.
func (c *Cache) HasReturns(now dfuclock.Time, s Shard) bool {
	for _, d := range c.workspaces[s] {
		if d.surplus(now) > 0 {
			return true
		}
	}
	return false
}

// Apply adds the tokens that an owner granted in reply to items, which were sent at
// sentAt, and decides on waiting requests.
func (c *Cache) Apply(now, sentAt dfuclock.Time, owner dfuident.Member, items []Item, shares []Share) {
	for i, item := range items {
		d := c.workspaces[ShardOf(item.Workspace)][item.Workspace]
		if d == nil || i >= len(shares) {
			continue
		}
		share := shares[i]
		if share.Tokens > 0 {
			origin := tokenOrigin{owner, share.Stamp, sentAt.Add(tokenLife - lapseMargin)}
			d.tokens = append(d.tokens, tokens{origin, share.Tokens})
		}
		for len(d.waiting) > 0 && d.spend(now, d.waiting[0]) {
			next := d.waiting[0]
			d.waiting = d.waiting[1:]
			next.decide(Granted)
		}
		if share.Tokens < item.Need+item.Extra {
			d.pausedUntil = now.Add(min(max(share.Wait, minAheadPause), maxDenyTime))
		}
		if share.Tokens < item.Need {
			d.deniedUntil = now.Add(min(max(share.Wait, minDenyTime), maxDenyTime))
			d.denied = Exceeded
			if share.Uncertain {
				d.denied = Unknown
			}
			d.decideAll(d.denied)
		}
	}
}

// Sweep removes workspaces that had no requests for some time.
func (c *Cache) Sweep(now dfuclock.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(idleTime)
	for _, shard := range c.workspaces {
		for w, d := range shard {
			if len(d.waiting) == 0 && now.Sub(d.at) >= idleTime {
				delete(shard, w)
			}
		}
	}
}

func (t *Ticket) decide(v Verdict) {
	t.verdict = v
	t.notify(v)
}

func (d *demand) decideAll(v Verdict) {
	for _, t := range d.waiting {
		t.decide(v)
	}
	d.waiting = nil
}

func (d *demand) countRequest(now dfuclock.Time) {
	d.rate = d.rateAt(now) + 1/float64(rateTime)
	d.at = now
}

// rateAt returns the average number of requests per ms.
func (d *demand) rateAt(now dfuclock.Time) float64 {
	return d.rate * math.Exp(-float64(now.Sub(d.at))/float64(rateTime))
}

// expected returns the number of requests that are expected within the time t.
func (d *demand) expected(now dfuclock.Time, t dfuclock.Duration) float64 {
	return d.rateAt(now) * float64(t)
}

// runsLow reports whether tokens should be asked ahead.
func (d *demand) runsLow(now dfuclock.Time) bool {
	expected := d.expected(now, aheadTime)
	return expected >= minAheadTokens && !now.Before(max(d.deniedUntil, d.pausedUntil)) && float64(d.live(now)) < expected/2
}

// live returns the number of tokens that can be spent.
func (d *demand) live(now dfuclock.Time) int {
	d.removeLapsed(now)
	n := 0
	for _, t := range d.tokens {
		n += t.n
	}
	return n
}

func (d *demand) removeLapsed(now dfuclock.Time) {
	d.tokens = slices.DeleteFunc(d.tokens, func(t tokens) bool { return t.n == 0 || !now.Before(t.lapses) })
}

// spend spends the token that lapses first. It returns false if there is none.
func (d *demand) spend(now dfuclock.Time, t *Ticket) bool {
	d.removeLapsed(now)
	if len(d.tokens) == 0 {
		return false
	}
	first := 0
	for i := range d.tokens {
		if d.tokens[i].lapses.Before(d.tokens[first].lapses) {
			first = i
		}
	}
	d.tokens[first].n--
	t.tokenOrigin = d.tokens[first].tokenOrigin
	return true
}

// isOld reports whether a token was not spent in the time for which it was asked ahead.
func (t tokens) isOld(now dfuclock.Time) bool {
	return t.lapses.Sub(now) < tokenLife-lapseMargin-aheadTime
}

// surplus returns the number of old tokens that probably won't be spent at this node.
func (d *demand) surplus(now dfuclock.Time) int {
	live, old := d.live(now), 0
	for _, t := range d.tokens {
		if t.isOld(now) {
			old += t.n
		}
	}
	return min(old, live-int(d.expected(now, aheadTime/2)))
}

// takeSurplus removes and returns the surplus of an owner's tokens.
func (d *demand) takeSurplus(now dfuclock.Time, owner dfuident.Member) []Return {
	surplus := d.surplus(now)
	var returns []Return
	for i := range d.tokens {
		t := &d.tokens[i]
		n := min(t.n, surplus)
		if n <= 0 || !t.isOld(now) || t.owner != owner {
			continue
		}
		t.n -= n
		surplus -= n
		returns = append(returns, Return{t.stamp, n})
	}
	return returns
}
