package dfudispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// refusingGates refuses each offer for the reason of its node, and counts the offers.
type refusingGates struct {
	reasons map[dfuident.NodeID]dfuoutcome.Reason
	mu      sync.Mutex
	offers  map[dfuident.NodeID]int
}

func (g *refusingGates) Offer(_ context.Context, to dfuroster.Node, offer *dfumessage.Offer, _ func(*dfumessage.Reply, error)) (*dfumessage.Reply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.offers[to.Member.Node]++
	return &dfumessage.Reply{ID: offer.ID, Outcome: dfuoutcome.NotRun, Reason: g.reasons[to.Member.Node]}, nil
}

func (g *refusingGates) Cancel(context.Context, dfuroster.Node, dfumessage.Cancel) error { return nil }

func (g *refusingGates) Seal(context.Context, dfuroster.Node, dfumessage.Seal) (*dfumessage.SealReply, error) {
	return nil, context.Canceled
}

// A request whose last attempt met a draining node was repeated from the beginning, and
// sent once more to a target that had refused it.
func TestRepetitionSkipsTargetThatRefused(t *testing.T) {
	is := is.New(t)
	gates := &refusingGates{
		reasons: map[dfuident.NodeID]dfuoutcome.Reason{"a": dfuoutcome.ReasonTargetRefused, "b": dfuoutcome.ReasonDraining},
		offers:  map[dfuident.NodeID]int{},
	}
	tracer, err := dfutrace.New(context.Background(), dfutrace.Config{})
	is.NoErr(err)
	self := dfuident.Member{Node: "entry", Incarnation: 1}
	place := dfuident.Place{Region: "r", Zone: "z"}
	chooser := dfuchoice.New(dfuchoice.MinLossSettings(), rand.New(rand.NewPCG(1, 1)))
	budget := dfubudget.NewFleetBudget(-dfuclock.Time(dfuclock.Minute), dfubudget.FleetLimits{Ratio: 0.2, Reserve: 100, Window: 10 * dfuclock.Second})
	d := New(Deps{
		Self: self, Place: place, Clock: dfuclock.New(), Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
		Times: dfuhistogram.New(), Tracer: tracer, GateClient: gates, Chooser: chooser,
		Machine: dfuattempt.New(dfuattempt.DefaultConfig(), self, place, chooser, budget), Budget: budget,
		Rand: func() float64 { return 0 }, IsRunning: func(string) bool { return false }, Local: func() dfuident.Service { return "" },
	})
	defer d.Close()
	entry := dfuroster.Entry{Entry: dfucatalogue.Entry{Service: "lager", Limits: dfucatalogue.Limits{Deadline: dfuclock.Second}}, Revision: 1}
	change := dfuroster.Change{Entries: map[dfuident.Service]*dfuroster.Entry{"lager": &entry}}
	for node := range gates.reasons {
		change.Nodes = append(change.Nodes, dfuroster.Node{
			Member: dfuident.Member{Node: node, Incarnation: 1}, Place: place, Service: "lager", Slots: 4, State: dfuroster.Alive,
		})
	}
	d.SetView(dfuroster.New().Apply(change))
	for range 10 {
		clear(gates.offers)
		result := d.Serve(dfufront.Call{Service: "lager", Remaining: 100, Allowance: 8}, func(func()) func() { return func() {} })
		is.Equal(result.Outcome, dfuoutcome.NotRun)
		is.True(gates.offers["a"] <= 1)
	}
}
