package dfurecord_test

import (
	"math/rand/v2"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/version/dfurecord"

	"github.com/matryer/is"
)

// reads returns how many reads of the store a node of a zone of 37 requests in the
// minute after its copy was confirmed. Load: watches that wait long, so that nothing
// confirms the copies in between.
func reads(cfg dfurecord.ExchangeConfig, wait dfuclock.Duration) int {
	cfg.WatchWait = wait
	self := dfurecord.Peer{Node: "a", Region: "r", Address: "127.0.0.1:1"}
	x := dfurecord.NewExchange(self, dfurecord.New(dfurecord.DefaultLimits(), nil, nil), cfg, rand.New(rand.NewPCG(1, 1)))
	x.Step(1, dfurecord.PeersChanged{ZoneSize: 37})
	x.Step(1, dfurecord.StoreResponse{Prefix: "p", Listed: true, Revision: 1})
	n := 0
	for now := dfuclock.Time(1); now < dfuclock.Time(dfuclock.Minute); now = now.Add(100 * dfuclock.Millisecond) {
		for _, action := range x.Step(now, dfurecord.Tick{}) {
			if _, ok := action.(dfurecord.Read); ok {
				n++
				x.Step(now, dfurecord.StoreResponse{Prefix: "p", Listed: true, Revision: 1})
			}
		}
		if wait > 0 && int64(now)%int64(wait) < 100 {
			// A peer's watch has ended and confirms the copy.
			x.Step(now, dfurecord.StoreResponse{Prefix: "p", Revision: 1})
		}
	}
	return n
}

// A copy counts as too old only after a watch must have confirmed it. Otherwise every
// node of the fleet reads the store while the watches wait.
func TestLongWatchCausesNoReads(t *testing.T) {
	is := is.New(t)
	cfg := dfurecord.DefaultExchangeConfig("p")
	is.Equal(reads(cfg, 25*dfuclock.Second), 0)
	is.True(reads(cfg, 0) > 0) // without confirmations the node reads itself
}
