package dfubudget

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// In any period of length Window, the whole fleet spends at most Window times
// the rates of the measuring budget.
const (
	Window = 10 * dfuclock.Second
	// burstParts of windowParts of a window's budget may be spent at once. The
	// rest is spread evenly over the window.
	burstParts  = 1
	windowParts = 10
)

// Times that keep the sum of all nodes' shares within the budget.
const (
	// ViewLifetime is how long a view of the roster counts as fresh.
	ViewLifetime = 10 * dfuclock.Second
	// SettleTime is how long a node must have been listed in the store and must
	// have had fresh views before it gets a share of the main part of the
	// budget.
	SettleTime = 2 * ViewLifetime
)

// reserveDivisor sets the reserve: 1/reserveDivisor of the budget is reserved
// for nodes without a settled view, which have not been listed, or have not had
// fresh views, for SettleTime.
const reserveDivisor = 4

// Cause is the purpose of a measuring message.
type Cause uint8

// Causes, which are counted separately.
const (
	CauseProbe Cause = iota
	CauseReply
	CausePiggyback
	CauseReport
	CauseHealth
	causeCount
)

// String returns the cause's name in snake case.
func (c Cause) String() string {
	return [...]string{"probe", "reply", "piggyback", "report", "health", "unknown"}[min(c, causeCount)]
}

// Budget is the measuring budget of the whole fleet, as set in the catalogue.
type Budget struct {
	BytesPerSecond Rate `json:"bytes_per_second"`
	CallsPerSecond Rate `json:"calls_per_second"`
	// LinkBytesPerSecond limits the measuring bytes over each link between
	// regions, in both directions together.
	LinkBytesPerSecond Rate `json:"link_bytes_per_second"`
	// Regions is the number of regions. Each gets an equal share of the budget.
	Regions int `json:"regions"`
	// PlannedNodes is an upper bound for the number of nodes in a region.
	PlannedNodes int `json:"planned_nodes"`
}

// View is a node's view of the nodes in its region, read from the store.
type View struct {
	// Confirmed is when the request for the view was sent to the store, on this
	// node's clock. For a copy received from a peer it is derived from the age
	// stated by the peer plus the transmission time.
	Confirmed dfuclock.Time
	// Nodes is the number of nodes listed in the store for this region,
	// including nodes that no longer respond.
	Nodes int
	// Joined is when this node first saw itself listed in the store after last
	// writing its own page, or zero if it has not.
	Joined dfuclock.Time
	// Member is set if this node is listed in the view.
	Member bool
}

// Spend is the cost of one measuring message.
type Spend struct {
	Cause Cause
	Bytes dfuident.Bytes
	// Calls is the number of round trips started by the message. Replies and
	// piggybacked loads start none.
	Calls int64
	// Link is set if the message is sent between regions.
	Link bool
}

// Usage counts what one cause has spent, and how many of its messages were
// refused.
type Usage struct {
	Bytes     dfuident.Bytes `json:"bytes"`
	Calls     int64          `json:"calls"`
	LinkBytes dfuident.Bytes `json:"link_bytes"`
	Refused   uint64         `json:"refused"`
}

// MeasuringBudget is one node's share of the fleet's measuring budget.
//
// The shares of all nodes never exceed the budget, even if their views differ.
// Each region has a fixed part, so regions that lose contact with each other
// don't spend more. Within a region, one part is reserved for nodes without a
// settled view and divided by the planned number of nodes, which is the upper
// limit of their number.
//
// Nodes with a settled view share the rest. They divide it by the highest
// number of nodes seen within SettleTime, which is never below the number of
// nodes sharing it. Each of these has a view no older than ViewLifetime and was
// listed for at least SettleTime before that. A view taken between these two
// times therefore includes all of them, and every settled node has had such a
// view.
type MeasuringBudget struct {
	budget             Budget
	view               View
	settledAt          dfuclock.Time
	nodePeak           recentPeak
	bytes, calls, link *TokenBucket
	divisor            int
	usage              [causeCount]Usage
}

// recentPeak is the highest number of nodes seen in the current and the
// previous period of length SettleTime.
type recentPeak struct {
	start             dfuclock.Time
	current, previous int
}

// NewMeasuringBudget returns a MeasuringBudget that refuses all messages until
// a budget is set. Until the view is settled, it has a share of the reserve
// only.
func NewMeasuringBudget(now dfuclock.Time) *MeasuringBudget {
	return &MeasuringBudget{
		bytes: NewTokenBucket(now, 0, 0),
		calls: NewTokenBucket(now, 0, 0),
		link:  NewTokenBucket(now, 0, 0),
	}
}

// SetBudget sets the budget of the fleet.
func (m *MeasuringBudget) SetBudget(now dfuclock.Time, budget Budget) {
	m.budget = budget
	m.divisor = -1
	m.updateShares(now)
}

// SetView sets the view, unless a more recent one is set already.
func (m *MeasuringBudget) SetView(now dfuclock.Time, view View) {
	if view.Confirmed.Before(m.view.Confirmed) {
		return
	}
	if view.Confirmed.Sub(m.view.Confirmed) > ViewLifetime {
		m.settledAt = view.Confirmed.Add(SettleTime)
	}
	m.view = view
	m.nodePeak.add(view)
	m.updateShares(now)
}

// add records the number of nodes in a view.
func (p *recentPeak) add(view View) {
	if view.Confirmed.Sub(p.start) >= SettleTime {
		*p = recentPeak{start: view.Confirmed, previous: p.current}
	}
	p.current = max(p.current, view.Nodes)
}

// Take charges a message and reports whether it may be sent. Either all costs
// of the message are charged or none.
func (m *MeasuringBudget) Take(now dfuclock.Time, s Spend) bool {
	m.updateShares(now)
	usage := &m.usage[min(s.Cause, causeCount-1)]
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

// Usage returns the usage of a cause.
func (m *MeasuringBudget) Usage(cause Cause) Usage {
	return m.usage[min(cause, causeCount-1)]
}

// Divisor returns the number of shares that the budget is divided into for this
// node, or zero if no budget is set.
func (m *MeasuringBudget) Divisor(now dfuclock.Time) int {
	m.updateShares(now)
	return m.divisor
}

// updateShares updates the rates of the buckets if the divisor has changed.
func (m *MeasuringBudget) updateShares(now dfuclock.Time) {
	divisor := m.shareDivisor(now)
	if divisor == m.divisor {
		return
	}
	m.divisor = divisor
	setShare(now, m.bytes, m.budget.BytesPerSecond, divisor)
	setShare(now, m.calls, m.budget.CallsPerSecond, divisor)
	setShare(now, m.link, m.budget.LinkBytesPerSecond, divisor)
}

// shareDivisor returns the number of shares that the whole budget is divided
// into for this node.
func (m *MeasuringBudget) shareDivisor(now dfuclock.Time) int {
	regions := max(m.budget.Regions, 1)
	if !m.isSettled(now) {
		return regions * max(m.budget.PlannedNodes, 0) * reserveDivisor
	}
	const settledParts = reserveDivisor - 1
	nodes := max(m.nodePeak.current, m.nodePeak.previous)
	return (regions*nodes*reserveDivisor + settledParts - 1) / settledParts
}

// isSettled reports whether this node has been listed for SettleTime and has
// had fresh views since.
func (m *MeasuringBudget) isSettled(now dfuclock.Time) bool {
	return m.view.Member && m.view.Joined != 0 && now.Sub(m.view.Joined) >= SettleTime &&
		now.Sub(m.view.Confirmed) <= ViewLifetime && !now.Before(m.settledAt)
}

// setShare sets a bucket to one share of a rate of the fleet. The share is
// split into burst and refill, so that both together stay within the rate in
// any window.
func setShare(now dfuclock.Time, b *TokenBucket, total Rate, divisor int) {
	if divisor <= 0 {
		b.SetRate(now, 0, 0)
		return
	}
	share := total * (windowParts - burstParts) / windowParts / Rate(divisor)
	burst := int64(total) * int64(Window/dfuclock.Second) * burstParts / windowParts / int64(divisor)
	b.SetRate(now, share, burst)
}
