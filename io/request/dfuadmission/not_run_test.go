package dfuadmission

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// runCounter is a target that counts its runs by URI and refuses some requests.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP runs or refuses a request.
func (r *runCounter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if rand.IntN(8) == 0 {
		w.Header().Set(dfutarget.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	r.runs[request.URL.Path]++
	r.mu.Unlock()
	time.Sleep(time.Duration(rand.IntN(2000)) * time.Microsecond)
}

// newTestGate returns a gate without a target.
func newTestGate(t *testing.T, self dfuident.Member) *Controller {
	t.Helper()
	tracer, err := dfutrace.New(context.Background(), dfutrace.Config{})
	is.New(t).NoErr(err)
	return New(Deps{
		Self: self, Clock: dfuclock.New(), Log: zap.NewNop(), Metrics: metrics.NewRegistry(), Times: dfuhistogram.New(),
		Tracer: tracer, Machine: dfugate.New(dfugate.DefaultConfig(), self), PublishCrashInfo: func(dfugate.Action) {},
	})
}

// A request that a gate has answered as not run, or sealed with the state never, must not
// have run and must not run later, whatever meets its offer: a second offer, a seal, a
// cancellation, the leaving or the crash of the target, or the end of the gate. Otherwise it
// runs twice, or a caller is promised that it did not run.
func TestNotRunIsTrue(t *testing.T) {
	const count = 300
	is := is.New(t)
	target := &runCounter{runs: map[string]int{}}
	server := httptest.NewServer(target)
	defer server.Close()
	self := dfuident.Member{Node: "gate", Incarnation: 1}
	former := dfuident.Member{Node: "gate", Incarnation: 0}
	gate := newTestGate(t, self)
	announce := func() {
		client := dfutarget.New(dfutarget.Config{
			Address: dfuident.Address(strings.TrimPrefix(server.URL, "http://")), AnswerLimit: 1 << 20, IdleLimit: 4,
			IdleTime: dfuclock.Second, Dialect: dfutarget.Native{},
		})
		gate.SetTarget(client, dfugate.TargetAnnounced{Service: "s", Slots: 8})
	}
	announce()

	var mu sync.Mutex
	notRun := map[string]string{}
	state := func(uri, by string) {
		mu.Lock()
		defer mu.Unlock()
		notRun[uri] = by
	}
	var outcomes sync.Map
	var wg sync.WaitGroup
	for i := range count {
		id := dfuident.RequestID{Entry: dfuident.Member{Node: "entry", Incarnation: 1}, Sequence: uint64(i + 1)}
		uri := "/" + strconv.Itoa(i)
		offer := dfumessage.Offer{
			ID: id, To: self, Service: "s", Remaining: 30, NoClaim: true, Method: http.MethodPost, URI: uri,
			Checksum: dfumessage.BodyChecksum(id, nil), NoWait: rand.IntN(4) == 0,
		}
		send := func(o dfumessage.Offer) {
			reply := gate.Offer(&o, 0)
			outcomes.Store(reply.Outcome, true)
			if reply.Outcome == dfuoutcome.NotRun && o.To == self {
				state(uri, "reply "+string(reply.Reason))
			}
		}
		wg.Go(func() { send(offer) })
		switch rand.IntN(6) {
		case 0:
			wg.Go(func() { send(offer) })
		case 1:
			wg.Go(func() {
				if reply := gate.Seal(id); reply != nil && reply.State == dfumessage.SealNever {
					state(uri, "seal")
				}
			})
		case 2:
			wg.Go(func() { gate.Cancel(dfumessage.Cancel{ID: id, Reason: dfuoutcome.ReasonCanceled}) })
		case 3:
			toFormer := offer
			toFormer.To = former
			wg.Go(func() { send(toFormer) })
		case 4:
			wg.Go(func() { send(*offer.WithoutBody()) })
		}
		switch {
		case i%60 == 30:
			gate.Notify(dfugate.TargetWithdrawn{})
		case i%60 == 59:
			gate.Notify(dfugate.TargetCrashed{})
		case i%60 == 31 || i%60 == 0:
			announce()
		case i == count-15:
			wg.Go(gate.Close)
		}
		time.Sleep(time.Duration(rand.IntN(600)) * time.Microsecond)
	}
	wg.Wait()
	target.mu.Lock()
	defer target.mu.Unlock()
	for uri, by := range notRun {
		if target.runs[uri] != 0 {
			t.Errorf("%s ran, but was stated not to run by %s", uri, by)
		}
	}
	for uri, runs := range target.runs {
		if runs > 1 {
			t.Errorf("%s ran %d times", uri, runs)
		}
	}
	for _, o := range []dfuoutcome.Outcome{dfuoutcome.Answered, dfuoutcome.NotRun, dfuoutcome.Unknown} {
		_, seen := outcomes.Load(o)
		is.True(seen)
	}
}

// A gate that has ended must not state that a request has not run which it ran before, if the
// offer comes once more. It still states so for an offer that it has not had, so that the
// request can go to another target.
func TestEndedGateKnowsWhatRan(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	self := dfuident.Member{Node: "gate", Incarnation: 1}
	gate := newTestGate(t, self)
	client := dfutarget.New(dfutarget.Config{
		Address: dfuident.Address(strings.TrimPrefix(server.URL, "http://")), AnswerLimit: 1 << 20, Dialect: dfutarget.Native{},
	})
	gate.SetTarget(client, dfugate.TargetAnnounced{Service: "s", Slots: 1})
	offer := func(sequence uint64) *dfumessage.Reply {
		id := dfuident.RequestID{Entry: dfuident.Member{Node: "entry", Incarnation: 1}, Sequence: sequence}
		return gate.Offer(&dfumessage.Offer{
			ID: id, To: self, Service: "s", Remaining: 5000, NoClaim: true, Method: http.MethodPost, URI: "/",
			Checksum: dfumessage.BodyChecksum(id, nil),
		}, 0)
	}
	is.Equal(offer(1).Outcome, dfuoutcome.Answered)
	gate.Close()
	is.Equal(offer(1).Outcome, dfuoutcome.Unknown)
	is.Equal(offer(2).Outcome, dfuoutcome.NotRun)
	is.Equal(offer(2).Reason, dfuoutcome.ReasonDraining)
}
