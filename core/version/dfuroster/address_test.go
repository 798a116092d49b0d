package dfuroster_test

import (
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"

	"github.com/matryer/is"
)

// TestReusedAddress guards against sending requests to an address that another
// VM has been given: the node that had the address must be dead at once, not
// only after its probes have failed. Later updates about it, delayed or from a
// peer that does not know of the reuse, must not make it alive again.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	place := dfuident.Place{Region: "r1", Zone: "z1"}
	self := dfumembership.Self{Member: dfuident.Member{Node: "n1", Incarnation: 5}, Place: place, Peer: "10.0.0.1:7300"}
	k := dfuroster.NewKeeper(self, dfuroster.Config{Membership: dfumembership.DefaultConfig(), Exchange: dfurecord.DefaultExchangeConfig("routes")}, rand.New(rand.NewPCG(1, 1)))
	receive := func(node dfuident.NodeID, incarnation dfuident.Incarnation, version uint64, peer dfuident.Address) {
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
	receive("n2", 10, 1, "10.0.0.2:7300")
	is.Equal(state("n2"), dfuroster.Alive)
	receive("n3", 20, 1, "10.0.0.2:7300")
	is.Equal(state("n3"), dfuroster.Alive)
	is.Equal(state("n2"), dfuroster.Dead)
	receive("n2", 10, 2, "10.0.0.2:7300")
	is.Equal(state("n2"), dfuroster.Dead)
	// The node restarts at another address.
	receive("n2", 30, 1, "10.0.0.4:7300")
	is.Equal(state("n2"), dfuroster.Alive)
	is.Equal(state("n3"), dfuroster.Alive)
}
