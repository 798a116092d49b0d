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
	fleetSize    = 890
	leaveBound   = 3 * dfuclock.Second
	inForceBound = 4 * dfuclock.Second
)

// newFleet returns a whole fleet of two regions whose nodes know each other,
// on a network that loses two packets of a hundred.
func newFleet() *dfufleet.Fleet {
	cfg := dfufleet.DefaultConfig()
	cfg.LossPerMille = 20
	f := dfufleet.New(cfg)
	f.SetStoreRegion("region-0")
	for i := range fleetSize {
		place := dfuident.Place{
			Region: dfuident.Region(fmt.Sprintf("region-%d", i%2)),
			Zone:   dfuident.Zone(fmt.Sprintf("zone-%d", i%6)),
		}
		f.Add(nodeID(i), place, dfumembership.Target{Service: "lager", Slots: 12})
	}
	f.Meet()
	f.Run(3 * dfuclock.Second)
	return f
}

func nodeID(i int) dfuident.NodeID {
	return dfuident.NodeID(fmt.Sprintf("vm-%03d", i))
}

// everywhere returns a condition that holds once every node's view meets it.
func everywhere(f *dfufleet.Fleet, holds func(v *dfuroster.View) bool) func() bool {
	pending := f.Nodes()
	return func() bool {
		for len(pending) > 0 && holds(pending[0].Keeper.View()) {
			pending = pending[1:]
		}
		return len(pending) == 0
	}
}

func TestWholeFleetHearsInTime(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	for _, i := range []int{0, 445, 889} {
		id := nodeID(i)
		f.Announce(id, dfuroster.Announced{Target: dfumembership.Target{Service: "lager", Draining: true}})
		is.True(f.RunUntil(leaveBound, everywhere(f, func(v *dfuroster.View) bool {
			seen, _ := v.Node(id)
			return seen.State == dfuroster.Draining
		}))) // a leaving target is known everywhere
	}
	for i := range 3 {
		service := dfuident.Service(fmt.Sprintf("service-%d", i))
		f.Put("catalogue/"+string(service), []byte(`{"change_id":"c","entry":{"service":"`+string(service)+`","owner":"stock"}}`))
		is.True(f.RunUntil(inForceBound, everywhere(f, func(v *dfuroster.View) bool {
			_, _, ok := v.Entry(service)
			return ok
		}))) // an accepted change is in force everywhere
	}
}
