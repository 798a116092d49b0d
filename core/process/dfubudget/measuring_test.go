package dfubudget_test

import (
	"testing"

	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"

	"pgregory.net/rapid"
)

// Parameters of the simulated fleet: regions, maximum nodes per region and the
// budget.
const (
	regions        = 2
	plannedNodes   = 5
	totalBytes     = 600
	totalLinkBytes = 200
	totalCalls     = 20
)

// member is one run of a node, with its own clock.
type member struct {
	budget   *dfubudget.MeasuringBudget
	region   int
	origin   dfuclock.Time
	page     bool
	joined   dfuclock.Time
	stopped  bool
	detached bool
}

// sentMessage is the cost of one message sent.
type sentMessage struct {
	at                 dfuclock.Time
	bytes, link, calls int64
}

// fleet simulates nodes that start, stop, lose access to the store and send as
// many measuring messages as their budgets allow.
type fleet struct {
	now     dfuclock.Time
	members []*member
	pages   [regions]int
	alive   [regions]int
	sent    []sentMessage
}

// TestSplitFleetStaysWithinBudget checks that all nodes together never exceed
// the budget in any window, whichever of them can read the store.
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

// settledFleet returns a fleet in which all nodes have settled views.
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

// step applies one random event to one node.
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
		// The node is no longer listed: an operator removed it or its lease
		// expired.
		m.page = false
		f.pages[m.region]--
	case action == 9:
		f.stop(m, rapid.Bool().Draw(t, "withdraws"))
	}
}

// start adds a node unless the region has its planned number. Stopped nodes
// that are still listed don't count, since they send nothing.
func (f *fleet) start(region int) {
	if f.alive[region] == plannedNodes {
		return
	}
	f.alive[region]++
	m := &member{region: region, origin: f.now - 77*dfuclock.Time(len(f.members)+1)}
	m.budget = dfubudget.NewMeasuringBudget(m.clock(f.now))
	m.budget.SetBudget(m.clock(f.now), dfubudget.Budget{
		BytesPerSecond: totalBytes, CallsPerSecond: totalCalls, LinkBytesPerSecond: totalLinkBytes,
		Regions: regions, PlannedNodes: plannedNodes,
	})
	f.members = append(f.members, m)
}

// stop stops a node. If withdraws is set, it is removed from the list in the
// store.
func (f *fleet) stop(m *member, withdraws bool) {
	m.stopped = true
	f.alive[m.region]--
	if withdraws && m.page && !m.detached {
		f.pages[m.region]--
	}
}

// view gives a node the current list of its region, unless the node can't reach
// the store.
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

// spendAll sends messages of each kind until the node's budget refuses them.
func (f *fleet) spendAll(m *member) {
	if m.stopped {
		return
	}
	for _, s := range []dfubudget.Spend{{Bytes: 7, Link: true}, {Bytes: 5}, {Calls: 1}} {
		for m.budget.Take(m.clock(f.now), s) {
			message := sentMessage{at: f.now, bytes: int64(s.Bytes), calls: s.Calls}
			if s.Link {
				message.link = int64(s.Bytes)
			}
			f.sent = append(f.sent, message)
		}
	}
}

// check verifies the total of every window that starts with a message.
func (f *fleet) check(t *rapid.T) {
	seconds := int64(dfubudget.Window / dfuclock.Second)
	var sum sentMessage
	first := 0
	for _, s := range f.sent {
		sum.bytes, sum.link, sum.calls = sum.bytes+s.bytes, sum.link+s.link, sum.calls+s.calls
		for ; s.at.Sub(f.sent[first].at) >= dfubudget.Window; first++ {
			old := f.sent[first]
			sum.bytes, sum.link, sum.calls = sum.bytes-old.bytes, sum.link-old.link, sum.calls-old.calls
		}
		if sum.bytes > totalBytes*seconds || sum.link > totalLinkBytes*seconds || sum.calls > totalCalls*seconds {
			t.Fatalf("window ending at %d exceeds the budget: %+v", s.at, sum)
		}
	}
}

func (m *member) clock(now dfuclock.Time) dfuclock.Time {
	return now - m.origin + 1
}
