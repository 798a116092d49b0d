package dfubudget_test

import (
	"testing"

	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"

	"pgregory.net/rapid"
)

// The fleet of the property: regions, the most nodes in each, and the budget.
const (
	regions      = 2
	plannedNodes = 5
	wholeBytes   = 600
	wholeLink    = 200
	wholeCalls   = 20
)

// member is one run of one node, with its own clock.
type member struct {
	budget   *dfubudget.Measuring
	region   int
	origin   dfuclock.Time
	page     bool
	joined   dfuclock.Time
	stopped  bool
	detached bool
}

// spent is one message that was sent.
type spent struct {
	at                 dfuclock.Time
	bytes, link, calls int64
}

// fleet is a model of nodes that join, leave, lose sight of the store and
// measure as much as they may.
type fleet struct {
	now     dfuclock.Time
	members []*member
	pages   [regions]int
	alive   [regions]int
	spends  []spent
}

// TestSplitFleetStaysWithinBudget checks that in every window all nodes
// together spend no more than the budget, whichever of them see the store.
func TestSplitFleetStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := settledFleet(rapid.IntRange(1, plannedNodes).Draw(t, "nodes"))
		for range rapid.IntRange(30, 120).Draw(t, "seconds") {
			for range rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2}).Draw(t, "events") {
				f.step(t)
			}
			viewers := rapid.Uint64().Draw(t, "viewers") | rapid.Uint64().Draw(t, "more_viewers")
			for i, m := range f.members {
				if viewers>>(i%64)&1 == 1 {
					f.view(m)
				}
			}
			for range 4 {
				f.now += 250
				for _, m := range f.members {
					f.spendAll(m)
				}
			}
		}
		f.check(t)
	})
}

// settledFleet returns a fleet whose nodes have seen each other for a while.
func settledFleet(nodes int) *fleet {
	f := &fleet{now: 1000}
	for i := range nodes * regions {
		f.start(i % regions)
		f.members[i].page = true
		f.pages[i%regions]++
	}
	for range 50 {
		f.now += 1000
		for _, m := range f.members {
			f.view(m)
		}
	}
	return f
}

// step is one event at one node.
func (f *fleet) step(t *rapid.T) {
	action := rapid.IntRange(0, 9).Draw(t, "action")
	if len(f.members) == 0 || action <= 1 {
		f.start(rapid.IntRange(0, regions-1).Draw(t, "region"))
		return
	}
	m := f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
	switch {
	case m.stopped:
	case action <= 3 && !m.page && !m.detached:
		m.page, m.joined = true, 0
		f.pages[m.region]++
	case action <= 5:
		m.detached = !m.detached
	case action <= 8 && m.page:
		// The page is lost: an operator removed it, or a lease lapsed.
		m.page = false
		f.pages[m.region]--
	case action == 9:
		f.stop(m, rapid.Bool().Draw(t, "withdraws"))
	}
}

// start adds a node, up to the planned number of its region. The dead whose
// pages stand don't count: they spend nothing.
func (f *fleet) start(region int) {
	if f.alive[region] == plannedNodes {
		return
	}
	f.alive[region]++
	m := &member{region: region, origin: f.now - 77*dfuclock.Time(len(f.members)+1)}
	m.budget = dfubudget.NewMeasuring(m.clock(f.now))
	m.budget.SetBudget(m.clock(f.now), dfubudget.Budget{
		BytesPerSecond: wholeBytes, CallsPerSecond: wholeCalls, LinkBytesPerSecond: wholeLink,
		Regions: regions, PlannedNodes: plannedNodes,
	})
	f.members = append(f.members, m)
}

// stop ends a node, which takes its page along or leaves it behind.
func (f *fleet) stop(m *member, withdraws bool) {
	m.stopped = true
	f.alive[m.region]--
	if withdraws && m.page && !m.detached {
		f.pages[m.region]--
	}
}

// view shows a node the pages of its region, unless it has lost the store.
func (f *fleet) view(m *member) {
	if m.stopped || m.detached {
		return
	}
	now := m.clock(f.now)
	if m.page && m.joined == 0 {
		m.joined = now
	}
	m.budget.SetView(now, dfubudget.View{
		Confirmed: now, Nodes: f.pages[m.region], Joined: m.joined, Member: m.page,
	})
}

// spendAll sends messages of each kind until the node's budget refuses.
func (f *fleet) spendAll(m *member) {
	if m.stopped {
		return
	}
	for _, s := range []dfubudget.Spend{{Bytes: 7, Link: true}, {Bytes: 5}, {Calls: 1}} {
		for m.budget.Take(m.clock(f.now), s) {
			sent := spent{at: f.now, bytes: int64(s.Bytes), calls: s.Calls}
			if s.Link {
				sent.link = int64(s.Bytes)
			}
			f.spends = append(f.spends, sent)
		}
	}
}

// check sums the spends of every window that starts with one.
func (f *fleet) check(t *rapid.T) {
	seconds := int64(dfubudget.Window / dfuclock.Second)
	var sum spent
	first := 0
	for _, s := range f.spends {
		sum.bytes, sum.link, sum.calls = sum.bytes+s.bytes, sum.link+s.link, sum.calls+s.calls
		for ; s.at.Sub(f.spends[first].at) >= dfubudget.Window; first++ {
			old := f.spends[first]
			sum.bytes, sum.link, sum.calls = sum.bytes-old.bytes, sum.link-old.link, sum.calls-old.calls
		}
		if sum.bytes > wholeBytes*seconds || sum.link > wholeLink*seconds || sum.calls > wholeCalls*seconds {
			t.Fatalf("window to %d: %+v", s.at, sum)
		}
	}
}

func (m *member) clock(now dfuclock.Time) dfuclock.Time {
	return now - m.origin + 1
}
