package dfubudget

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// The window that a measuring budget holds in: in any period of Window the
// whole fleet spends at most Window times the budget's rates.
const (
	Window = 10 * dfuclock.Second
	// burstParts of windowParts of a window's budget may be spent at once; the
	// rest is the rate.
	burstParts  = 1
	windowParts = 10
)

// The times that keep the parts of all nodes within the whole.
const (
	// ViewLifetime is how long a view of the roster counts as fresh.
	ViewLifetime = 10 * dfuclock.Second
	// JoinWait is how long a node's page has to stand in the store, and its
	// views to be fresh, before it takes a part of what the fresh views share.
	JoinWait = 2 * ViewLifetime
)

// reserveParts is the inverse of the part of the budget that is kept for nodes
// without a fresh view.
const reserveParts = 4

// Cause says what a measuring message is for.
type Cause uint8

// The causes that are charged and counted apart.
const (
	CauseProbe Cause = iota
	CauseReply
	CausePiggyback
	CauseReport
	CauseHealth
	causes
)

// String returns the cause's name in snake case.
func (c Cause) String() string {
	return [...]string{"probe", "reply", "piggyback", "report", "health", "unknown"}[min(c, causes)]
}

// Budget is the measuring budget of the whole fleet, from the catalogue.
type Budget struct {
	BytesPerSecond Rate `json:"bytes_per_second"`
	CallsPerSecond Rate `json:"calls_per_second"`
	// LinkBytesPerSecond bounds the bytes of measuring over each link between
	// regions, both ways together.
	LinkBytesPerSecond Rate `json:"link_bytes_per_second"`
	// Regions is the number of regions; each owns a fixed part of the budget.
	Regions int `json:"regions"`
	// PlannedNodes is an upper bound for the nodes of a region.
	PlannedNodes int `json:"planned_nodes"`
}

// View is what a node knows of the nodes in its own region.
type View struct {
	// Confirmed is when the request for the view was sent to the store, on
	// this node's clock. A copy received from a peer is as old as the peer
	// says, plus the time it was under way.
	Confirmed dfuclock.Time
	// Nodes is the number of pages in the store for this region, including
	// those of nodes that are not heard of.
	Nodes int
	// Joined is when this node first saw its own page in the store, after it
	// last wrote it.
	Joined dfuclock.Time
	// Member says that this node's own page is in the view.
	Member bool
}

// Spend is one message of measuring.
type Spend struct {
	Cause Cause
	Bytes dfuident.Bytes
	// Calls counts the round trips that the message starts; a reply or a
	// piggybacked load starts none.
	Calls int64
	// Link says that the message crosses between regions.
	Link bool
}

// Usage counts what was spent and refused for one cause.
type Usage struct {
	Bytes     dfuident.Bytes `json:"bytes"`
	Calls     int64          `json:"calls"`
	LinkBytes dfuident.Bytes `json:"link_bytes"`
	Refused   uint64         `json:"refused"`
}

// Measuring is one node's part of the fleet's measuring budget.
//
// The parts of all nodes never exceed the whole, however their views differ.
// Each region owns a fixed fraction, so regions that lose each other double
// nothing. Within a region, nodes without a settled view share a reserve by
// the planned number of nodes, which bounds their number.
//
// Nodes with a settled view share the rest by the greatest number of nodes
// that they saw within JoinWait. That is never below the number of nodes that
// spend so: each of those has a view no older than ViewLifetime and had its
// page for JoinWait before that, so a view from between the two has them all,
// and every settled node has such a view.
type Measuring struct {
	budget             Budget
	view               View
	settled            dfuclock.Time
	seen               peak
	bytes, calls, link *TokenBucket
	divisor            int
	usage              [causes]Usage
}

// peak is the greatest number of nodes seen in this period of JoinWait and in
// the one before.
type peak struct {
	start             dfuclock.Time
	current, previous int
}

// NewMeasuring returns a part of nothing: a budget and a view have to be set.
func NewMeasuring(now dfuclock.Time) *Measuring {
	return &Measuring{
		bytes: NewTokenBucket(now, 0, 0),
		calls: NewTokenBucket(now, 0, 0),
		link:  NewTokenBucket(now, 0, 0),
	}
}

// SetBudget takes a changed budget.
func (m *Measuring) SetBudget(now dfuclock.Time, budget Budget) {
	m.budget = budget
	m.divisor = -1
	m.apportion(now)
}

// SetView takes a view unless a later one is known.
func (m *Measuring) SetView(now dfuclock.Time, view View) {
	if view.Confirmed.Before(m.view.Confirmed) {
		return
	}
	if view.Confirmed.Sub(m.view.Confirmed) > ViewLifetime {
		m.settled = view.Confirmed.Add(JoinWait)
	}
	m.view = view
	m.seen.add(view)
	m.apportion(now)
}

// add notes the number of nodes of a view.
func (p *peak) add(view View) {
	if view.Confirmed.Sub(p.start) >= JoinWait {
		*p = peak{start: view.Confirmed, previous: p.current}
	}
	p.current = max(p.current, view.Nodes)
}

// Take charges a message, and reports whether it may be sent. It charges all
// of the message's costs or none.
func (m *Measuring) Take(now dfuclock.Time, s Spend) bool {
	m.apportion(now)
	usage := &m.usage[min(s.Cause, causes-1)]
	if !m.bytes.Has(now, int64(s.Bytes)) || !m.calls.Has(now, s.Calls) ||
		(s.Link && !m.link.Has(now, int64(s.Bytes))) || m.divisor <= 0 {
		usage.Refused++
		return false
	}
	m.bytes.Take(now, int64(s.Bytes))
	m.calls.Take(now, s.Calls)
	if s.Link {
		m.link.Take(now, int64(s.Bytes))
		usage.LinkBytes += s.Bytes
	}
	usage.Bytes += s.Bytes
	usage.Calls += s.Calls
	return true
}

// Usage returns what was spent for a cause.
func (m *Measuring) Usage(cause Cause) Usage {
	return m.usage[min(cause, causes-1)]
}

// Divisor returns the number of parts that this node takes one of, or zero
// while no budget is set.
func (m *Measuring) Divisor(now dfuclock.Time) int {
	m.apportion(now)
	return m.divisor
}

// apportion sets the rates by the view's age.
func (m *Measuring) apportion(now dfuclock.Time) {
	divisor := m.parts(now)
	if divisor == m.divisor {
		return
	}
	m.divisor = divisor
	setShare(now, m.bytes, m.budget.BytesPerSecond, divisor)
	setShare(now, m.calls, m.budget.CallsPerSecond, divisor)
	setShare(now, m.link, m.budget.LinkBytesPerSecond, divisor)
}

// parts returns the divisor of the whole budget.
func (m *Measuring) parts(now dfuclock.Time) int {
	regions := max(m.budget.Regions, 1)
	if !m.isSettled(now) {
		return regions * max(m.budget.PlannedNodes, 0) * reserveParts
	}
	const rest = reserveParts - 1
	nodes := max(m.seen.current, m.seen.previous)
	return (regions*nodes*reserveParts + rest - 1) / rest
}

// isSettled reports whether this node and its views have stood long enough.
func (m *Measuring) isSettled(now dfuclock.Time) bool {
	return m.view.Member && m.view.Joined != 0 && now.Sub(m.view.Joined) >= JoinWait &&
		now.Sub(m.view.Confirmed) <= ViewLifetime && !now.Before(m.settled)
}

// setShare gives a bucket one part of a fleet's rate, split into burst and
// refill so that both together stay within the rate in any window.
func setShare(now dfuclock.Time, b *TokenBucket, whole Rate, divisor int) {
	if divisor <= 0 {
		b.SetRate(now, 0, 0)
		return
	}
	share := whole * (windowParts - burstParts) / windowParts / Rate(divisor)
	burst := int64(whole) * int64(Window/dfuclock.Second) * burstParts / windowParts / int64(divisor)
	b.SetRate(now, share, burst)
}
