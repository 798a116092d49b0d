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

// Changes must come into force in time in a region none of whose watchers gets answers from
// the store, while other nodes do. Load: ten changes, one each 1.3 s, and 20 nodes in two
// regions.
func TestRegionWithoutStoreHearsInTime(t *testing.T) {
	const (
		changes = 10
		period  = 1300 * dfuclock.Millisecond
		bound   = 2000 * dfuclock.Millisecond
	)
	for _, cut := range []dfuident.Region{"region-0", "region-1"} {
		t.Run(string(cut), func(t *testing.T) {
			is := is.New(t)
			cfg := dfufleet.DefaultConfig()
			cfg.LossPerMille = 20
			f := dfufleet.New(cfg)
			f.SetStoreRegion("region-0")
			for i := range 20 {
				f.Add(nodeID(i), dfuident.Place{
					Region: dfuident.Region(fmt.Sprintf("region-%d", i%2)),
					Zone:   dfuident.Zone(fmt.Sprintf("zone-%d", i%4)),
				}, dfumembership.Target{Service: "lager", Slots: 12})
			}
			f.CompleteMembership()
			f.Run(3 * dfuclock.Second)
			watchers := 0
			for _, n := range f.Nodes() {
				if n.Place.Region == cut && n.Keeper.Exchange().Watcher() {
					f.SetWatchUnanswered(n.Member.Node, true)
					watchers++
				}
			}
			is.True(watchers > 0)
			for i := range changes {
				service := dfuident.Service(fmt.Sprintf("service-%d", i))
				f.Put("catalogue/"+string(service), []byte(`{"change_id":"c","entry":{"service":"`+string(service)+`","owner":"stock"}}`))
				inForce := inAllViews(f, func(v *dfuroster.View) bool {
					_, _, ok := v.Entry(service)
					return ok
				})
				is.True(f.RunUntil(bound, inForce)) // every view has the new entry
				f.Run(period)
			}
		})
	}
}
