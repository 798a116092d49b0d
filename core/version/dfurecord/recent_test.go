package dfurecord_test

import (
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfurecord"

	"github.com/matryer/is"
)

// A peer whose copy differs must get the adverts of recent changes at once. The rounds of
// adverts may all have gone to peers that were gone.
func TestPeerThatLagsGetsRecentChanges(t *testing.T) {
	const change = dfuclock.Time(1000)
	for _, c := range []struct {
		name   string
		at     dfuclock.Time
		region dfuident.Region
		sent   bool
	}{
		{"at once", change + 1, "r", true},
		{"later", change + 1900, "r", true},
		{"too old", change + 2100, "r", false},
		{"other region", change + 1, "s", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := newExchange(dfurecord.DefaultLimits())
			x.Step(change, dfurecord.StoreResponse{
				Prefix: "k", Listed: true, Revision: 7,
				Records: []dfurecord.Record{{Key: "k", Value: []byte("v"), Revision: 7}},
			})
			x.Step(c.at, dfurecord.Tick{})
			peer := dfurecord.Peer{Node: "a", Region: c.region, Address: "127.0.0.1:2"}
			actions := x.Step(c.at, dfurecord.Received{Message: dfurecord.Message{
				Kind: dfurecord.Confirm, From: peer, Standing: dfurecord.Standing{Digest: 1},
			}})
			sent := false
			for _, action := range actions {
				if a, ok := action.(dfurecord.Send); ok && a.Message.Kind == dfurecord.Advert {
					is.Equal(a.To, peer)
					is.Equal(a.Message.Summaries, []dfurecord.Summary{{Key: "k", Noted: 7, InForce: 7}})
					sent = true
				}
			}
			is.Equal(sent, c.sent)
		})
	}
}
