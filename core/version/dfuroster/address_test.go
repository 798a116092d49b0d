package dfuroster_test

import (
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuroster"

	"github.com/matryer/is"
)

// A node whose address another VM has got since is dead at once: requests for its
// target must not be sent there until its probes have failed. What is heard of it
// later, late or by a peer that doesn't know, does not bring it back.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	place := dfuident.Place{Region: "r1", Zone: "z1"}
	self := dfumembership.Self{Member: dfuident.Member{Node: "n1", Incarnation: 5}, Place: place, Peer: "10.0.0.1:7300"}
	k := dfuroster.NewKeeper(self, dfuroster.Config{Membership: dfumembership.DefaultConfig(), Exchanged: []string{"routes"}}, rand.New(rand.NewPCG(1, 1)))
	hear := func(node dfuident.NodeID, incarnation dfuident.Incarnation, version uint64, peer dfuident.Address) {
		u := dfumembership.Update{
			Member: dfuident.Member{Node: node, Incarnation: incarnation}, Version: version,
			Details: &dfumembership.Details{Place: place, Peer: peer, Target: dfumembership.Target{Service: "lager", Slots: 9}},
		}
		k.Step(100, dfuroster.Received{Packet: dfuroster.Packet{Membership: &dfumembership.Message{
			Kind: dfumembership.Gossip, From: dfumembership.Contact{Member: u.Member, Region: "r1", Address: peer},
			Updates: []dfumembership.Update{u},
		}}})
	}
	state := func(node dfuident.NodeID) dfuroster.State {
		n, _ := k.View().Node(node)
		return n.State
	}
	hear("n2", 10, 1, "10.0.0.2:7300")
	is.Equal(state("n2"), dfuroster.Alive)
	hear("n3", 20, 1, "10.0.0.2:7300")
	is.Equal(state("n3"), dfuroster.Alive)
	is.Equal(state("n2"), dfuroster.Dead)
	hear("n2", 10, 2, "10.0.0.2:7300")
	is.Equal(state("n2"), dfuroster.Dead)
	// The node itself starts again elsewhere.
	hear("n2", 30, 1, "10.0.0.4:7300")
	is.Equal(state("n2"), dfuroster.Alive)
	is.Equal(state("n3"), dfuroster.Alive)
}
