package dfuroster_test

import (
	"fmt"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/measure/dfufleet"

	"github.com/matryer/is"
)

const (
	fleetSize       = 890
	maxLeaveDelay   = 3 * dfuclock.Second
	maxInForceDelay = 4 * dfuclock.Second
)

// newFleet returns a fleet in two regions whose nodes all know each other, on a
// network that drops 2% of packets.
func newFleet() *dfufleet.Fleet {
	cfg := dfufleet.DefaultConfig()
	cfg.LossPerMille = 20
	f := dfufleet.New(cfg)
	addNodes(f, fleetSize, 6)
	return f
}

// addNodes adds nodes in two regions that all know each other. The store is in the first
// region.
func addNodes(f *dfufleet.Fleet, nodes, zones int) {
	f.SetStoreRegion("region-0")
	for i := range nodes {
		place := dfuident.Place{
			Region: dfuident.Region(fmt.Sprintf("region-%d", i%2)),
			Zone:   dfuident.Zone(fmt.Sprintf("zone-%d", i%zones)),
		}
		f.Add(nodeID(i), place, dfumembership.Target{Service: "lager", Slots: 12})
	}
	f.CompleteMembership()
	f.Run(3 * dfuclock.Second)
}

func nodeID(i int) dfuident.NodeID {
	return dfuident.NodeID(fmt.Sprintf("vm-%03d", i))
}

// inAllViews returns a condition that is true once the view of every node has
// satisfied holds.
func inAllViews(f *dfufleet.Fleet, holds func(v *dfuroster.View) bool) func() bool {
	pending := f.Nodes()
	return func() bool {
		for len(pending) > 0 && holds(pending[0].Keeper.View()) {
			pending = pending[1:]
		}
		return len(pending) == 0
	}
}

// TestWholeFleetHearsInTime checks that a drain reaches every view within
// maxLeaveDelay, and a catalogue change within maxInForceDelay.
func TestWholeFleetHearsInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	for _, i := range []int{0, 445, 889} {
		id := nodeID(i)
		f.Announce(id, dfuroster.Announced{Target: dfumembership.Target{Service: "lager", Draining: true}})
		is.True(f.RunUntil(maxLeaveDelay, inAllViews(f, func(v *dfuroster.View) bool {
			seen, _ := v.Node(id)
			return seen.State == dfuroster.Draining
		}))) // every view has the target as draining
	}
	for i := range 3 {
		service := dfuident.Service(fmt.Sprintf("service-%d", i))
		f.Put("catalogue/"+string(service), []byte(`{"change_id":"c","entry":{"service":"`+string(service)+`","owner":"stock"}}`))
		is.True(f.RunUntil(maxInForceDelay, inAllViews(f, func(v *dfuroster.View) bool {
			_, _, ok := v.Entry(service)
			return ok
		}))) // every view has the new entry
	}
}
