package dfucontrol_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfuproof"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// fakeStore is an in-memory store that can be made unavailable.
type fakeStore struct {
	mu   sync.Mutex
	down bool
	// lostReplies is the number of further writes that are applied but return
	// ErrUncertain.
	lostReplies int
	writes      int
	// pageReads counts the reads of zone pages, by Get and ListStale.
	pageReads int
	// calls is the price of all calls: a write counts two, a read one and a stale read
	// a tenth, as on the users' platform.
	calls    float64
	revision dfuident.Revision
	records  map[string]dfustore.Record
	// deleted holds the tombstones since the start or the last restoration.
	deleted []dfustore.Record
	// written holds all writes and their times.
	written []writtenRecord
	// restored is the content that the store was last restored to, and restoredAt when.
	restored   map[string]dfustore.Record
	restoredAt time.Time
	restoredTo dfuident.Revision
}

type writtenRecord struct {
	dfustore.Record
	at time.Time
}

// write must be called with mu held.
func (s *fakeStore) write(key string, value []byte) {
	s.revision++
	s.records[key] = dfustore.Record{Key: key, Value: value, Revision: s.revision}
	s.written = append(s.written, writtenRecord{s.records[key], time.Now()})
}

// heldAt returns the records below a prefix and the revision as of an earlier time.
func (s *fakeStore) heldAt(prefix string, at time.Time) ([]dfustore.Record, dfuident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]dfustore.Record)
	var revision dfuident.Revision
	isRestored := !at.Before(s.restoredAt)
	if isRestored {
		revision = s.restoredTo
		for key, r := range s.restored {
			if strings.HasPrefix(key, prefix) {
				held[key] = r
			}
		}
	}
	for _, w := range s.written {
		if w.at.After(at) {
			break
		}
		if isRestored && w.at.Before(s.restoredAt) {
			continue
		}
		revision = w.Revision
		if w.Deleted {
			delete(held, w.Key)
		} else if strings.HasPrefix(w.Key, prefix) {
			held[w.Key] = w.Record
		}
	}
	return slices.Collect(maps.Values(held)), revision
}

// restoreTo replaces the content and the revision of the store.
func (s *fakeStore) restoreTo(records []dfustore.Record, revision dfuident.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = make(map[string]dfustore.Record)
	for _, r := range records {
		s.records[r.Key] = r
	}
	s.revision, s.deleted = revision, nil
	s.restored, s.restoredAt, s.restoredTo = maps.Clone(s.records), time.Now(), revision
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: make(map[string]dfustore.Record)}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
}

// remove deletes a key.
func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.records, key)
	deleted := dfustore.Record{Key: key, Revision: s.revision, Deleted: true}
	s.deleted = append(s.deleted, deleted)
	s.written = append(s.written, writtenRecord{deleted, time.Now()})
}

func (s *fakeStore) Get(_ context.Context, key string) (dfustore.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return dfustore.Record{}, dfustore.ErrUnavailable
	}
	s.pageReads++
	s.calls++
	return s.records[key], nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	s.count(1)
	return s.since(prefix, 0)
}

func (s *fakeStore) count(price float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls += price
}

func (s *fakeStore) ListStale(_ context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	s.mu.Lock()
	if strings.HasPrefix(prefix, dfustore.ZonePrefix) {
		s.pageReads++
	}
	s.calls += 0.1
	s.mu.Unlock()
	return s.since(prefix, 0)
}

func (s *fakeStore) Ping(_ context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	s.count(0.1)
	return s.since(cmp.Or(prefix, "ping/"), 0)
}

func (s *fakeStore) Received() uint64 { return 0 }

func (s *fakeStore) since(prefix string, after dfuident.Revision) ([]dfustore.Record, dfuident.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, dfustore.ErrUnavailable
	}
	var records []dfustore.Record
	for key, r := range s.records {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix && r.Revision > after {
			records = append(records, r)
		}
	}
	return records, s.revision, nil
}

// storeState differs when the answer to a waiting watch may differ.
type storeState struct {
	revision   dfuident.Revision
	restoredAt time.Time
	down       bool
}

func (s *fakeStore) state() storeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeState{s.revision, s.restoredAt, s.down}
}

// changesSince is like since, with tombstones.
func (s *fakeStore) changesSince(prefix string, after dfuident.Revision) ([]dfustore.Record, dfuident.Revision, error) {
	records, revision, err := s.since(prefix, after)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.deleted {
		if strings.HasPrefix(r.Key, prefix) && r.Revision > after && r.Revision <= revision {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b dfustore.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return records, revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	s.count(1)
	ctx, cancel := context.WithTimeout(ctx, wait.Std())
	defer cancel()
	for seen := (storeState{}); ; {
		if state := s.state(); state != seen || ctx.Err() != nil {
			seen = state
			records, revision, err := s.changesSince(prefix, after)
			if len(records) > 0 || err != nil || ctx.Err() != nil {
				return records, revision, err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expect dfuident.Revision, value []byte, _ dfustore.LeaseID) (dfuident.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls += 2
	if s.down {
		return 0, dfustore.ErrUnavailable
	}
	if current := s.records[key]; current.Revision != expect {
		return 0, &dfustore.ConflictError{Current: current}
	}
	s.write(key, value)
	s.writes++
	if s.lostReplies > 0 {
		s.lostReplies--
		return 0, dfustore.ErrUncertain
	}
	return s.revision, nil
}

// price returns the price of all calls so far.
func (s *fakeStore) price() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// pageReadCount returns the number of reads of zone pages so far.
func (s *fakeStore) pageReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pageReads
}

// page returns the nodes that a zone page lists, and the number of writes to the
// store so far.
func (s *fakeStore) page(t *testing.T, key string) (nodes []dfuident.Member, writes int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if value := s.records[key].Value; value != nil {
		if err := json.Unmarshal(value, &nodes); err != nil {
			t.Fatal(err)
		}
	}
	return nodes, s.writes
}

// nodeStore is a node's access to the store, which can be refused or get no answers.
type nodeStore struct {
	*fakeStore
	refused    atomic.Bool
	unanswered atomic.Bool
	// throttled is set if lists and watches are refused, but no stale reads.
	throttled atomic.Bool
}

func (s *nodeStore) List(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	if err := s.check(ctx, 0); err != nil {
		return nil, 0, err
	}
	if s.throttled.Load() {
		return nil, 0, dfustore.ErrUnavailable
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s *nodeStore) Watch(ctx context.Context, prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfustore.Record, dfuident.Revision, error) {
	if err := s.check(ctx, wait); err != nil {
		return nil, 0, err
	}
	records, revision, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	if lost := s.check(ctx, wait); lost != nil {
		return nil, 0, lost
	}
	if s.throttled.Load() {
		return nil, 0, dfustore.ErrUnavailable
	}
	return records, revision, err
}

func (s *nodeStore) Ping(ctx context.Context, prefix string) ([]dfustore.Record, dfuident.Revision, error) {
	if err := s.check(ctx, 0); err != nil {
		return nil, 0, err
	}
	return s.fakeStore.Ping(ctx, prefix)
}

// unansweredTimeout, plus the wait of a watch, is the time after which a call without an
// answer fails.
const unansweredTimeout = 2 * dfuclock.Second

// check returns an error if calls are refused, and waits for the timeout or the end of ctx if
// they get no answer.
func (s *nodeStore) check(ctx context.Context, wait dfuclock.Duration) error {
	if s.unanswered.Load() {
		ctx, cancel := context.WithTimeout(ctx, (unansweredTimeout + wait).Std())
		defer cancel()
		<-ctx.Done()
		return ctx.Err()
	}
	if s.refused.Load() {
		return dfustore.ErrUnavailable
	}
	return nil
}

// network delivers calls between controllers in one process.
type network struct {
	mu    sync.Mutex
	nodes map[dfuident.Address]*dfucontrol.Controller
}

func (n *network) Call(_ context.Context, to dfuident.Address, _ string, args, reply any) error {
	n.mu.Lock()
	c := n.nodes[to]
	n.mu.Unlock()
	if c == nil {
		return errors.New("connection refused")
	}
	if statement, ok := reply.(*dfuproof.Statement); ok {
		return c.Receiver().Prove(args.(*struct{}), statement)
	}
	return c.Receiver().Deliver(args.(*dfuroster.Packet), reply.(*dfuroster.Packet))
}

// fleet runs several controllers on one store and one network.
type fleet struct {
	t     *testing.T
	store *fakeStore
	// access holds the access of each node to the store.
	access map[dfuident.NodeID]*nodeStore
	net    *network
	// joinPeriod overrides the times of Config.Membership after which a node no longer waits
	// for others if it is positive.
	joinPeriod dfuclock.Duration
	// watchWait overrides Config.WatchWait and the short Config.PagePeriod of the tests
	// by the values of the daemon if it is positive.
	watchWait dfuclock.Duration
	// proofBound is Config.ProofBound. If it is positive, the nodes replicate the routes, and
	// bootClocks holds their clocks.
	proofBound dfuclock.Duration
	bootClocks map[dfuident.NodeID]*jumpingClock
	// wrapStore wraps the access of each node to the store; nil for none.
	wrapStore func(*nodeStore) dfustore.Versioned
	// regions is the number of regions with two zones each; zero means one.
	regions int
	// number wraps the access of node vm-i, after wrapStore.
	number func(i int, s dfustore.Versioned) dfucontrol.Store
	// operated is set if the nodes replicate the routes and evacuations.
	operated bool
}

func newFleet(t *testing.T) *fleet {
	number := func(_ int, s dfustore.Versioned) dfucontrol.Store { return numbered(s) }
	return &fleet{t: t, store: newFakeStore(), number: number, access: make(map[dfuident.NodeID]*nodeStore), net: &network{nodes: make(map[dfuident.Address]*dfucontrol.Controller)}}
}

func numbered(s dfustore.Versioned) *dfustore.Numbered {
	return dfustore.NewNumbered(s, dfustore.NumberedDeps{Clock: dfuclock.New(), Log: zap.NewNop(), Forget: func() {}})
}

// start runs the controller of node vm-i and returns it with a function that
// stops it.
func (f *fleet) start(i int) (*dfucontrol.Controller, func()) {
	return f.startAt(i, time.Now)
}

// place returns the zone of node vm-i.
func (f *fleet) place(i int) dfuident.Place {
	region := []dfuident.Region{"sued", "nord"}[i/2%max(1, f.regions)]
	return dfuident.Place{Region: region, Zone: dfuident.Zone(fmt.Sprintf("%s-%c", region, 'a'+i%2))}
}

// listOnPages writes zone pages that list former runs of n nodes.
func (f *fleet) listOnPages(n int) {
	f.t.Helper()
	pages := make(map[dfuident.Place][]map[string]any)
	for i := range n {
		pages[f.place(i)] = append(pages[f.place(i)], map[string]any{
			"node": fmt.Sprintf("vm-%d", i), "incarnation": 1, "peer": fmt.Sprintf("127.0.0.1:%d", 7000+i), "place": f.place(i),
		})
	}
	for place, page := range pages {
		value, err := json.Marshal(page)
		if err != nil {
			f.t.Fatal(err)
		}
		f.store.put(dfustore.ZoneKey(place), value)
	}
}

// startAt is start with a given wall clock.
func (f *fleet) startAt(i int, wall func() time.Time) (*dfucontrol.Controller, func()) {
	cfg := dfucontrol.DefaultConfig()
	cfg.PagePeriod = 100 * dfuclock.Millisecond
	if f.watchWait > 0 {
		cfg.WatchWait = f.watchWait
		cfg.PagePeriod = dfucontrol.DefaultConfig().PagePeriod
	}
	cfg.JoinByPeers = true
	cfg.ReadAtStart = true
	if f.joinPeriod > 0 {
		cfg.Membership.JoinPeriod = f.joinPeriod
		cfg.Membership.MeetPeriod = f.joinPeriod
	}
	bootClock := &jumpingClock{Clock: dfuclock.New()}
	if f.proofBound > 0 {
		cfg.ProofBound = f.proofBound
		cfg.Prefixes = []string{dfustore.RoutesKey, dfustore.CataloguePrefix}
	}
	if f.operated {
		cfg.ProofBound = f.proofBound
		cfg.Prefixes = []string{dfustore.OperatorPrefix, dfustore.CataloguePrefix}
		cfg.Evacuations = true
	}
	cfg.Membership.SeedPeriod = dfuclock.Second
	cfg.Membership.DeadRetention = 5 * dfuclock.Second
	cfg.Node = dfuident.NodeID(fmt.Sprintf("vm-%d", i))
	cfg.Place = f.place(i)
	cfg.Peer = dfuident.Address(fmt.Sprintf("127.0.0.1:%d", 7000+i))
	if f.proofBound > 0 {
		f.bootClocks[cfg.Node] = bootClock
	}
	access := &nodeStore{fakeStore: f.store}
	f.access[cfg.Node] = access
	var store dfustore.Versioned = access
	if f.wrapStore != nil {
		store = f.wrapStore(access)
	}
	c := dfucontrol.New(cfg, dfucontrol.Deps{
		Store: f.number(i, store), PeerClient: f.net, Clock: dfuclock.New(), BootClock: bootClock, Wall: wall,
		Rand: rand.New(rand.NewPCG(1, uint64(i))), Log: zap.NewNop(),
	})
	c.Announce(dfucontrol.Announcement{Target: dfumembership.Target{Service: "lager", Slots: 12}})
	f.net.mu.Lock()
	f.net.nodes[cfg.Peer] = c
	f.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		f.net.mu.Lock()
		delete(f.net.nodes, cfg.Peer)
		f.net.mu.Unlock()
		cancel()
		<-done
	})
	f.t.Cleanup(stop)
	return c, stop
}

// wait polls a condition until it holds. The limit is generous, so that only a
// hanging test reaches it.
func (f *fleet) wait(desc string, condition func() bool) {
	f.t.Helper()
	for limit := time.Now().Add(time.Minute); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			f.t.Fatal("timed out waiting until " + desc)
		}
	}
}

func entryValue(t *testing.T, change string) []byte {
	t.Helper()
	return encodeEntry(t, "lager", change)
}

// serviceValue returns the entry of the service that the change with a number adds.
func serviceValue(t *testing.T, change int) []byte {
	t.Helper()
	return encodeEntry(t, dfuident.Service(fmt.Sprintf("service-%d", change)), "one")
}

func encodeEntry(t *testing.T, service dfuident.Service, change string) []byte {
	t.Helper()
	e := dfucatalogue.Defaults()
	e.Service, e.Owner = service, "stock"
	value, err := dfucatalogue.EncodeStored(dfucatalogue.Stored{ChangeID: dfuident.ChangeID(change), Entry: e})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// allAlive returns a condition that holds if each controller sees n live targets.
func allAlive(controllers []*dfucontrol.Controller, n int) func() bool {
	return func() bool {
		for _, c := range controllers {
			alive := 0
			for _, node := range c.View().Service("lager") {
				if node.State == dfuroster.Alive {
					alive++
				}
			}
			if alive != n {
				return false
			}
		}
		return true
	}
}

func TestNodesMeetAndSeeTheCatalogue(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.store.setDown(true)
	var controllers []*dfucontrol.Controller
	for i := range 5 {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("the status reports a store error", func() bool { return controllers[0].Status().StoreError != "" })
	is.True(controllers[0].Member().IsZero()) // not joined while the store is down
	f.store.setDown(false)
	f.wait("every node sees five targets", allAlive(controllers, 5))

	f.store.put("catalogue/lager", entryValue(t, "one"))
	f.wait("the entry is in force", func() bool {
		for _, c := range controllers {
			if _, revision, ok := c.View().Entry("lager"); !ok || revision == 0 {
				return false
			}
		}
		return true
	})
	f.store.put("catalogue/lager", []byte(`{"change_id":"two","entry":{"class":"gold"}}`))
	f.wait("the invalid entry is reported", func() bool { return len(controllers[0].Status().Invalid) == 1 })
	_, _, ok := controllers[0].View().Entry("lager")
	is.True(ok) // the last valid entry stays in force
}

// A watcher that the store refuses must not keep the role, since changes would be late at
// all nodes of its zone. It takes the role back when it reaches the store again.
func TestRefusedWatcherHandsOver(t *testing.T) {
	checkWatchersHandOver(t, newFleet(t), func(s *nodeStore) *atomic.Bool { return &s.refused })
}

// A watcher to which the store gives no answer must not keep the role until its watch ends,
// since changes would be late at all nodes of its zone.
func TestUnansweredWatcherHandsOver(t *testing.T) {
	f := newFleet(t)
	f.watchWait = dfuclock.Hour
	checkWatchersHandOver(t, f, func(s *nodeStore) *atomic.Bool { return &s.unanswered })
}

// checkWatchersHandOver checks that other nodes watch while a fault of the store is set for
// the first watchers, and that these watch again afterwards.
func checkWatchersHandOver(t *testing.T, f *fleet, fault func(*nodeStore) *atomic.Bool) {
	t.Helper()
	var controllers []*dfucontrol.Controller
	for i := range 8 {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node sees eight targets", allAlive(controllers, 8))
	watchers := func() map[dfuident.NodeID]bool {
		nodes := map[dfuident.NodeID]bool{}
		for _, c := range controllers {
			if c.Status().Watcher {
				nodes[c.Member().Node] = true
			}
		}
		return nodes
	}
	f.wait("two nodes of each zone watch", func() bool { return len(watchers()) == 4 })
	first := watchers()
	for node := range first {
		fault(f.access[node]).Store(true)
	}
	f.wait("the other nodes watch", func() bool {
		now := watchers()
		return len(now) == 4 && !slices.ContainsFunc(slices.Collect(maps.Keys(now)), func(n dfuident.NodeID) bool { return first[n] })
	})
	f.store.put("catalogue/lager", entryValue(t, "one"))
	f.wait("the entry is in force everywhere", func() bool {
		return !slices.ContainsFunc(controllers, func(c *dfucontrol.Controller) bool {
			_, _, ok := c.View().Entry("lager")
			return !ok
		})
	})
	for node := range first {
		fault(f.access[node]).Store(false)
	}
	f.wait("the first nodes watch again", func() bool { return maps.Equal(watchers(), first) })
}

// A packet that arrives while the control plane stops must be rejected at once. The node's
// server waits for calls in progress, so that the node would run on after its grace period.
func TestPacketToAStoppingNodeIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	c, stop := f.start(0)
	f.wait("the node sees itself", allAlive([]*dfucontrol.Controller{c}, 1))
	failed := make(chan error)
	for range 8 {
		go func() {
			for {
				var answer dfuroster.Packet
				if err := c.Receiver().Deliver(&dfuroster.Packet{}, &answer); err != nil {
					failed <- err
					return
				}
			}
		}()
	}
	stop()
	for range 8 {
		is.True(!errors.Is(<-failed, context.DeadlineExceeded))
	}
}

func TestRestartedNodeHasGreaterIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	first, stop := f.start(0)
	second, _ := f.start(1)
	f.wait("both see each other", allAlive([]*dfucontrol.Controller{first, second}, 2))
	before := first.Member()
	stop()
	restarted, _ := f.start(0)
	f.wait("both see each other again", allAlive([]*dfucontrol.Controller{restarted, second}, 2))
	is.True(restarted.Member().Incarnation > before.Incarnation)
	n, _ := second.View().Node("vm-0")
	is.Equal(n.Member, restarted.Member())
}

// A node that restarts with its clock set back must get a higher incarnation
// than its previous run, also if that run left. It can only take it from the zone
// page, so the bridge must not remove the node before the retention period ends.
func TestRunAfterLeaveUnderASlowClockIsNewer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	first, stop := f.start(0)
	second, _ := f.start(2)
	f.wait("both see each other", allAlive([]*dfucontrol.Controller{first, second}, 2))
	before := first.Member()
	first.Announce(dfucontrol.Announcement{Left: true})
	first.Announce(dfucontrol.Announcement{})
	f.wait("the peer sees that the node has left", func() bool {
		n, _ := second.View().Node("vm-0")
		return n.State == dfuroster.Left
	})
	stop()
	pageReads := f.store.pageReadCount()
	f.wait("the bridge has checked the page", func() bool { return f.store.pageReadCount() >= pageReads+2 })
	restarted, stopRestarted := f.startAt(0, func() time.Time { return time.Now().Add(-time.Hour) })
	f.wait("both see each other again", allAlive([]*dfucontrol.Controller{restarted, second}, 2))
	is.Equal(restarted.Member().Incarnation, before.Incarnation+1)

	stopRestarted()
	f.wait("the page no longer lists the node", func() bool {
		nodes, _ := f.store.page(t, "zone/sued/sued-a")
		return !slices.ContainsFunc(nodes, func(m dfuident.Member) bool { return m.Node == "vm-0" })
	})
}

// A write of the zone page that was applied but whose reply was lost must be
// detected by reading the page, and must not be written again.
func TestPageWriteWithLostReplyIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.store.lostReplies = 1
	c, _ := f.start(0)
	f.wait("the node sees itself", allAlive([]*dfucontrol.Controller{c}, 1))
	f.wait("the page lists the node and the store error is cleared", func() bool {
		nodes, _ := f.store.page(t, "zone/sued/sued-a")
		return len(nodes) == 1 && c.Status().StoreError == ""
	})
	nodes, writes := f.store.page(t, "zone/sued/sued-a")
	is.Equal(nodes, []dfuident.Member{c.Member()})
	is.Equal(writes, 1)
}

func TestNodesThatStartTogetherAreAllOnTheirPages(t *testing.T) {
	f := newFleet(t)
	const n = 20
	var controllers []*dfucontrol.Controller
	for i := range n {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node sees all targets", allAlive(controllers, n))
	f.wait("the pages list all nodes of their zones", func() bool {
		for i, c := range controllers {
			nodes, _ := f.store.page(t, fmt.Sprintf("zone/sued/sued-%c", 'a'+i%2))
			if !slices.Contains(nodes, c.Member()) {
				return false
			}
		}
		return true
	})
}

// maxStartCalls is the price of a node's calls to the store until its zone has started
// and for 10 s after that: a third of what a node cost before nodes read and wrote for
// each other, 8.8 at 295 nodes.
const maxStartCalls = 8.8 / 3

// Load: a fleet that starts at once. Every node finds an empty store and would write
// its zone page in conflict with all others, and read all records. One node of a zone
// writes and a few read for the rest.
func TestStoreCallsOfAFleetThatStartsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.watchWait = 25 * dfuclock.Second
	f.store.put("catalogue/lager", entryValue(t, "one"))
	const n = 40
	var controllers []*dfucontrol.Controller
	for i := range n {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node sees all targets", allAlive(controllers, n))
	f.wait("the entry is in force", func() bool {
		return !slices.ContainsFunc(controllers, func(c *dfucontrol.Controller) bool {
			_, _, ok := c.View().Entry("lager")
			return !ok
		})
	})
	time.Sleep(10 * time.Second)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	t.Logf("%.1f calls a node", f.store.calls/n)
	is.True(f.store.calls < n*maxStartCalls)
}

// unwritableStore reads no single record, without which no zone page is written.
type unwritableStore struct{ *nodeStore }

func (s *unwritableStore) Get(context.Context, string) (dfustore.Record, error) {
	return dfustore.Record{}, dfustore.ErrUnavailable
}

// Load: all nodes of two regions start at once. They must meet without waiting until a bridge
// has written its zone's page, which here never succeeds.
func TestRegionsThatStartAtOnceMeetBeforeTheirPagesAreWritten(t *testing.T) {
	t.Parallel()
	const n = 16
	f := newFleet(t)
	f.watchWait, f.regions = longWatchWait, 2
	f.wrapStore = func(s *nodeStore) dfustore.Versioned { return &unwritableStore{s} }
	f.listOnPages(n)
	var controllers []*dfucontrol.Controller
	for i := range n {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.wait("every node sees all targets", allAlive(controllers, n))
}

// A node whose zone page lists only nodes that are gone lists itself.
func TestNodeWithoutABridgeListsItself(t *testing.T) {
	f := newFleet(t)
	page, err := json.Marshal([]map[string]any{{
		"node": "vm-8", "incarnation": 1, "peer": "127.0.0.1:7999", "place": map[string]string{"region": "sued", "zone": "sued-a"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	f.store.put("zone/sued/sued-a", page)
	c, _ := f.start(0)
	f.wait("the page lists the node", func() bool {
		nodes, _ := f.store.page(t, "zone/sued/sued-a")
		return slices.Contains(nodes, c.Member())
	})
}

func TestMembershipGoesOnWithoutTheStore(t *testing.T) {
	f := newFleet(t)
	var controllers []*dfucontrol.Controller
	for i := range 4 {
		c, _ := f.start(i)
		controllers = append(controllers, c)
	}
	f.store.put("catalogue/lager", entryValue(t, "one"))
	f.wait("every node sees four targets", allAlive(controllers, 4))
	f.wait("the entry is in force", func() bool {
		_, _, ok := controllers[0].View().Entry("lager")
		return ok
	})
	f.store.setDown(true)
	f.wait("the status reports a store error, or the node is no watcher", func() bool { return controllers[0].Status().StoreError != "" || !controllers[0].Status().Watcher })
	controllers[3].Announce(dfucontrol.Announcement{Left: true})
	f.wait("the peer sees that the node has left", func() bool {
		node, _ := controllers[0].View().Node("vm-3")
		return node.State == dfuroster.Left && node.Service == "lager"
	})
	if _, _, ok := controllers[0].View().Entry("lager"); !ok {
		t.Fatal("the entry is missing from the view")
	}
}

// A node that restarts while the store is down must join through the peers that
// contact it, and receive the catalogue from them.
func TestNodeJoinsByPeersWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(t)
	var controllers []*dfucontrol.Controller
	var stop func()
	for i := range 4 {
		var c *dfucontrol.Controller
		c, stop = f.start(i)
		controllers = append(controllers, c)
	}
	f.store.put("catalogue/lager", entryValue(t, "one"))
	f.wait("every node sees four targets", allAlive(controllers, 4))
	previous := controllers[3].Member()
	f.store.setDown(true)
	controllers[3].Announce(dfucontrol.Announcement{Left: true})
	f.wait("the peer sees that the node has left", func() bool {
		node, _ := controllers[0].View().Node("vm-3")
		return node.State == dfuroster.Left
	})
	stop()
	restarted, _ := f.start(3)
	controllers[3] = restarted
	f.wait("the restarted node joins", func() bool { return restarted.Member().Incarnation > previous.Incarnation })
	f.wait("every node sees four targets", allAlive(controllers, 4))
	f.wait("the entry is in force", func() bool {
		_, _, ok := restarted.View().Entry("lager")
		return ok
	})
	f.store.setDown(false)
	f.wait("its zone page lists the restarted node", func() bool {
		nodes, _ := f.store.page(t, "zone/sued/sued-b")
		return slices.ContainsFunc(nodes, func(m dfuident.Member) bool { return m == restarted.Member() })
	})
}

// With ReadAtStart a node must read its records from the store right after it
// has joined. After a power failure no peer holds them, and there is no watcher
// until the nodes have discovered each other.
func TestNodeReadsAtItsStart(t *testing.T) {
	f := newFleet(t)
	f.store.put("catalogue/lager", entryValue(t, "one"))
	page, err := json.Marshal([]map[string]any{{
		"node": "vm-9", "incarnation": 1, "peer": "127.0.0.1:7999", "place": map[string]string{"region": "sued", "zone": "sued-a"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	f.store.put("zone/sued/sued-a", page)
	f.joinPeriod = dfuclock.Hour
	c, _ := f.start(0)
	f.wait("the entry is in force", func() bool {
		_, _, ok := c.View().Entry("lager")
		return ok
	})
	if status := c.Status(); status.Watcher || status.Exchange.Reads > 0 {
		t.Fatalf("the entry was not read at startup: %+v", status)
	}
}
