package dfuclaimer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfuclaimer"
	"dragonflyusher/io/request/dfumessage"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"
	"go.uber.org/zap"
)

const service dfuident.Service = "order-desk"

// memoryStore is a store with one key. While it is unavailable no call has an effect.
type memoryStore struct {
	mu          sync.Mutex
	record      dfustore.Record
	unavailable bool
}

func (s *memoryStore) Get(context.Context, string) (dfustore.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return dfustore.Record{}, errors.WithStack(dfustore.ErrUnavailable)
	}
	return s.record, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, expect dfuident.Revision, value []byte, _ dfustore.LeaseID) (dfuident.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return 0, errors.WithStack(dfustore.ErrUncertain)
	case s.record.Revision != expect:
		return 0, errors.WithStack(&dfustore.ConflictError{Current: s.record})
	}
	s.record = dfustore.Record{Key: key, Value: value, Revision: expect + 1}
	return s.record.Revision, nil
}

func (s *memoryStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// control calls peers over the control connection.
type control struct{ pool *dfupeer.Pool }

func (c control) Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error {
	return c.pool.Call(ctx, to, dfupeer.Control, method, args, reply)
}

// fleet is a fleet of three nodes of one service that communicate over loopback.
type fleet struct {
	t        *testing.T
	store    *memoryStore
	view     *dfuroster.View
	claimers map[dfuident.NodeID]*dfuclaimer.Claimer
	ids      uint64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: &memoryStore{}, view: dfuroster.New(), claimers: map[dfuident.NodeID]*dfuclaimer.Claimer{}}
	entry := dfuroster.Entry{Entry: dfucatalogue.Entry{Service: service, NonIdempotent: true}, Revision: 1}
	f.view = f.view.Apply(dfuroster.Change{Entries: map[dfuident.Service]*dfuroster.Entry{service: &entry}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		goleak.VerifyNone(t)
	})
	cfg := dfuclaim.DefaultConfig()
	cfg.Tolerance, cfg.Skew, cfg.WriteSpread = 10, 0, 20*dfuclock.Millisecond
	for i, id := range []dfuident.NodeID{"a", "b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server, err := dfupeer.NewServer(listener)
		if err != nil {
			t.Fatal(err)
		}
		pool := dfupeer.NewPool(dfupeer.DefaultTiming(), net.IPv4(127, 0, 0, 1))
		self := dfuident.Member{Node: id, Incarnation: 1}
		c := dfuclaimer.New(dfuclaimer.Deps{
			Self: self, Config: cfg, Clock: dfuclock.New(),
			Wall: func() dfuclaim.UnixMs { return dfuclaim.UnixMs(time.Now().UnixMilli()) },
			Log:  zap.NewNop(), Metrics: metrics.NewRegistry(),
			PeerClient: control{pool}, Store: f.store, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		if err := server.Register(dfuclaimer.ReceiverName, c.Receiver()); err != nil {
			t.Fatal(err)
		}
		f.claimers[id] = c
		f.view = f.view.Apply(dfuroster.Change{Nodes: []dfuroster.Node{{
			Member: self, Service: service, State: dfuroster.Alive,
			Place: dfuident.Place{Region: "downs", Zone: dfuident.Zone(id)},
			Peer:  dfuident.Address(listener.Addr().String()),
		}}})
		wg.Go(server.Run)
		wg.Go(func() {
			c.Run(ctx)
			pool.Close()
			server.Close(context.Background())
		})
	}
	f.setState("", "")
	return f
}

// setState sets a node's state in the views of all nodes.
func (f *fleet) setState(id dfuident.NodeID, state dfuroster.State) {
	if n, ok := f.view.Node(id); ok {
		n.State = state
		f.view = f.view.Apply(dfuroster.Change{Nodes: []dfuroster.Node{n}})
	}
	for _, c := range f.claimers {
		c.SetView(f.view)
	}
}

// claim claims a key at its owner and retries while there is no owner. It returns
// the owner, the id of the claimed request and the result.
func (f *fleet) claim(key dfuident.Key) (dfuident.NodeID, dfuident.RequestID, dfuadmission.ClaimResult) {
	for {
		f.ids++
		id := dfuident.RequestID{Entry: dfuident.Member{Node: "entry"}, Sequence: f.ids}
		owner, ok := f.claimers["c"].Owner(f.view, service, key)
		if !ok {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		results := make(chan dfuadmission.ClaimResult, 1)
		f.claimers[owner.Node].Claim(id, service, key, dfuclock.Minute, func(result dfuadmission.ClaimResult) { results <- result })
		result := <-results
		if result.Reason != dfuoutcome.ReasonNotOwner && result.Reason != dfuoutcome.ReasonDraining {
			return owner.Node, id, result
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// claimNew claims new keys that the node owns until one is granted.
func (f *fleet) claimNew(owner dfuident.NodeID) (dfuident.Key, dfuident.RequestID) {
	for {
		key := dfuident.Key(uuid.Must(uuid.NewV7()).String())
		if m, ok := f.claimers["c"].Owner(f.view, service, key); ok && m.Node != owner {
			continue
		}
		if node, id, result := f.claim(key); result.Granted && node == owner {
			return key, id
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestOwnerLeavesDuringOutage checks, over real connections, that a repeated request
// gets the answer of the first run, also from the node that holds the shard's copy
// after the owner has left during a store outage. New keys must be granted there too.
// A failure means that a non-idempotent request can run twice or that its keys are
// blocked during the outage.
func TestOwnerLeavesDuringOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	key, id := f.claimNew("a")
	f.claimers["a"].Finished(id, service, key, &dfumessage.Answer{Status: 201, Body: []byte("order 1")})
	node, _, result := f.claim(key)
	is.Equal(node, dfuident.NodeID("a"))
	is.Equal(result.Outcome, dfuoutcome.Answered)
	is.Equal(string(result.Answer.Body), "order 1")

	f.store.setUnavailable(true)
	f.setState("a", dfuroster.Draining)
	f.claimers["a"].Leave()
	<-f.claimers["a"].Left()
	f.setState("a", dfuroster.Left)
	node, _, result = f.claim(key)
	is.True(node != "a")
	is.Equal(result.Outcome, dfuoutcome.Answered)
	is.Equal(string(result.Answer.Body), "order 1")
	f.claimNew(node)
}
