package dfumembership_test

import (
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"

	"github.com/matryer/is"
)

// newZone returns the machine of the member of a zone of four that ranks last, and its
// contacts with the others.
func newZone(t *testing.T) (*dfumembership.Machine, map[dfuident.NodeID]dfumembership.Contact) {
	t.Helper()
	is := is.New(t)
	place := dfuident.Place{Region: "r", Zone: "z"}
	ids := []dfuident.NodeID{"a", "b", "c", "d"}
	for _, id := range ids {
		self := dfumembership.Self{Member: dfuident.Member{Node: id, Incarnation: 1}, Place: place, Peer: dfuident.Address(id)}
		m := dfumembership.New(self, dfumembership.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
		others := map[dfuident.NodeID]dfumembership.Contact{}
		var updates []dfumembership.Update
		for _, other := range ids {
			if other == id {
				continue
			}
			member := dfuident.Member{Node: other, Incarnation: 1}
			others[other] = dfumembership.Contact{Member: member, Region: place.Region, Address: dfuident.Address(other)}
			updates = append(updates, dfumembership.Update{
				Member: member, Version: 1, Details: &dfumembership.Details{Place: place, Peer: dfuident.Address(other)},
			})
		}
		m.Step(1, dfumembership.Received{Message: dfumembership.Message{
			Kind: dfumembership.SyncReply, From: others[updates[0].Member.Node], Joined: true, Updates: updates,
		}})
		if rank, size := m.WatchRank(); rank == size-1 {
			return m, others
		}
	}
	is.Fail() // one of them ranks last
	return nil, nil
}

// rankAfter runs the machine with a tick at each period for some time, in which the members for
// which answers is set answer each ping before the next tick, and returns its rank.
func rankAfter(m *dfumembership.Machine, others map[dfuident.NodeID]dfumembership.Contact, period, d dfuclock.Duration, answers func(dfuident.NodeID) bool) int {
	for now := dfuclock.Time(2000); now < dfuclock.Time(2000).Add(d); now = now.Add(period) {
		for _, action := range m.Step(now, dfumembership.Tick{}) {
			a, ok := action.(dfumembership.Send)
			if ok && a.Message.Kind == dfumembership.Ping && answers(a.To.Member.Node) {
				m.Step(now.Add(period-1), dfumembership.Received{Message: dfumembership.Message{
					Kind: dfumembership.Ack, From: others[a.To.Member.Node], Sequence: a.Message.Sequence, Digest: m.Digest(),
				}})
			}
		}
	}
	rank, _ := m.WatchRank()
	return rank
}

// A node must take over the watch soon after all that rank before it have gone, also if it
// is so busy that its ticks come late, and must not if their answers are processed late.
func TestRankWithLateTicks(t *testing.T) {
	all := func(dfuident.NodeID) bool { return true }
	none := func(dfuident.NodeID) bool { return false }
	for _, period := range []dfuclock.Duration{100, 250, 450, 900} {
		t.Run(period.String(), func(t *testing.T) {
			is := is.New(t)
			m, others := newZone(t)
			is.Equal(rankAfter(m, others, period, 5*dfuclock.Second, all), 3)
			m, others = newZone(t)
			is.Equal(rankAfter(m, others, period, 1500*dfuclock.Millisecond+4*period, none), 0)
		})
	}
}
