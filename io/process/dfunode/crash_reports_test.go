package dfunode

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfupeer"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// newsReceiver passes on the reports that a node receives.
type newsReceiver struct {
	reports chan News
}

// News receives a report.
func (r *newsReceiver) News(report *News, _ *struct{}) error {
	r.reports <- *report
	return nil
}

// startReceiver starts a node that receives reports and returns its address.
func startReceiver(t *testing.T) (*newsReceiver, dfuident.Address) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server, err := dfupeer.NewServer(l)
	is.NoErr(err)
	receiver := &newsReceiver{reports: make(chan News, 8)}
	is.NoErr(server.Register("Gate", receiver))
	go server.Run()
	t.Cleanup(func() { server.Close(context.Background()) })
	return receiver, dfuident.Address(l.Addr().String())
}

// A node that appears in the view after requests were banned, or starts again, must get the
// ban. Otherwise requests that crash targets crash its target too.
func TestBanReachesNodesThatAppearLater(t *testing.T) {
	is := is.New(t)
	receiver, address := startReceiver(t)
	const banned = dfucrash.Fingerprint(7)
	self := dfuident.Member{Node: "vm-0", Incarnation: 1}
	withNode := func(v *dfuroster.View, m dfuident.Member, peer dfuident.Address) *dfuroster.View {
		return v.Apply(dfuroster.Change{Nodes: []dfuroster.Node{{
			Member: m, Peer: peer, State: dfuroster.Alive, Service: "lager",
		}}})
	}
	var view atomic.Pointer[dfuroster.View]
	view.Store(withNode(dfuroster.New(), self, "127.0.0.1:1"))
	pool := dfupeer.NewPool(dfupeer.DefaultTiming(), nil)
	t.Cleanup(pool.Close)
	r := &crashReporter{
		log: zap.NewNop(), pool: pool, view: view.Load,
		local: func() (dfuroster.Node, bool) { return view.Load().Node(self.Node) },
		queue: dfuring.New[News](maxQueuedReports), calls: make(chan struct{}, maxReportCalls),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	r.enqueue(dfugate.BanFingerprint{Fingerprint: banned, For: 5 * dfuclock.Minute})
	for incarnation := range dfuident.Incarnation(2) {
		view.Store(withNode(view.Load(), dfuident.Member{Node: "vm-1", Incarnation: incarnation + 1}, address))
		report := <-receiver.reports
		is.Equal(report.Ban.Fingerprint, banned)
		is.True(report.Ban.For > 4*dfuclock.Minute && report.Ban.For <= 5*dfuclock.Minute)
	}
	select {
	case <-receiver.reports:
		t.Fatal("the ban was sent twice to a node")
	default:
	}
}
