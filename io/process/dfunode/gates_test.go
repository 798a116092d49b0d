package dfunode

import (
	"context"
	"sync/atomic"
	"testing"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// A restarted node must not state that a request never ran which was offered to its earlier
// run, and must not run a late offer for it. Otherwise a request that the earlier run handed
// to its target runs again or is reported as not run.
func TestSealOfEarlierRunProvesNothing(t *testing.T) {
	is := is.New(t)
	former, self := dfuident.Member{Node: "n", Incarnation: 1}, dfuident.Member{Node: "n", Incarnation: 2}
	tracer, err := dfutrace.New(context.Background(), dfutrace.Config{})
	is.NoErr(err)
	gate := dfuadmission.New(dfuadmission.Deps{
		Self: self, Clock: dfuclock.New(), Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Times: dfuhistogram.New(),
		Tracer: tracer, Machine: dfugate.New(dfugate.DefaultConfig(), self), PublishCrashInfo: func(dfugate.Action) {},
	})
	defer gate.Close()
	var joined atomic.Pointer[components]
	r := &gateReceiver{components: &joined, view: dfuroster.New}
	sequence := uint64(0)
	for _, c := range []*components{nil, {gate: gate}} {
		joined.Store(c)
		sequence++
		id := dfuident.RequestID{Entry: dfuident.Member{Node: "entry", Incarnation: 1}, Sequence: sequence}
		sealed := dfumessage.SealReply{}
		is.NoErr(r.Seal(&dfumessage.Seal{ID: id, To: former}, &sealed))
		is.Equal(sealed, dfumessage.SealReply{ID: id, State: dfumessage.SealForgotten})

		reply := dfumessage.Reply{}
		is.NoErr(r.Offer(&dfumessage.Offer{ID: id, To: former, Checksum: dfumessage.BodyChecksum(id, nil)}, &reply))
		is.Equal(reply, dfumessage.Reply{ID: id, Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonStaleRequest})
	}
	id := dfuident.RequestID{Entry: dfuident.Member{Node: "entry", Incarnation: 1}, Sequence: sequence + 1}
	sealed := dfumessage.SealReply{}
	is.NoErr(r.Seal(&dfumessage.Seal{ID: id, To: self}, &sealed))
	is.Equal(sealed, dfumessage.SealReply{ID: id, State: dfumessage.SealNever})
}
