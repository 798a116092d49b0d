package dfunode

import (
	"cmp"
	"context"
	"hash/maphash"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuhistogram"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/process/dfuring"
	"dragonflyusher/core/request/dfuattempt"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfulog"
	"dragonflyusher/io/process/dfusettings"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfuclaimer"
	"dragonflyusher/io/request/dfudispatch"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfutrace"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

const (
	// joinPoll is how often a starting node looks whether it has joined.
	joinPoll = 10 * time.Millisecond
	// routesWatchWait is how long a watch of the routes waits for a change. The
	// platform counts each call and lets one wait for 30 s.
	routesWatchWait = 25 * dfuclock.Second
	// idleTargetTime is how long a connection to the target is kept idle unless
	// the target states less.
	idleTargetTime = 30 * dfuclock.Second
	// defaultHealthPath is where a target tells its load unless the routes say.
	defaultHealthPath = "/health"
	// adminBodyBytes bounds an announcement.
	adminBodyBytes = 1 << 20
)

// errSuperseded ends a run whose node has been started again elsewhere.
var errSuperseded = errors.New("a later run of this node lives")

// Node is one node of the system.
type Node struct {
	// settings are those of the start, and live the newest of those that may
	// change while the node runs.
	settings dfusettings.Settings
	live     atomic.Pointer[dfusettings.Settings]
	log      *zap.Logger
	lines    *dfulog.Log
	clock    dfuclock.Clock
	metrics  metrics.Registry
	times    *dfuhistogram.Set
	tracer   *dfutrace.Tracer
	http     net.Listener
	peer     net.Listener
	pool     *dfupeer.Pool
	server   *dfupeer.Server
	store    dfustore.Store
	adapters Adapters
	admins   []*fasthttp.Server
	adminOn  []net.Listener
	control  *dfucontrol.Duty
	front    *dfufront.Front
	started  atomic.Pointer[started]
	// stopping says that the node is about to end.
	stopping atomic.Bool
	// superseded ends when a later run of this node is found to live.
	superseded chan struct{}
}

// started holds the duties that need the node's incarnation.
type started struct {
	self   dfuident.Member
	gate   *dfuadmission.Duty
	entry  *dfudispatch.Duty
	target *localTarget
	// claims is nil unless keys of non-idempotent services are claimed.
	claims *dfuclaimer.Duty
	news   *newsDuty
}

// Adapters are how a node speaks to what is around it.
type Adapters struct {
	// Store returns the client of the store, which tells count of each call and
	// what became of it.
	Store   func(count func(call, result string)) dfustore.Store
	Callers dfufront.Dialect
	Targets dfutarget.Dialect
	// Routed says that operators give routes, whose requests run at most once
	// for each attempt of their caller, so that no keys are claimed.
	Routed bool
}

// New opens the node's listeners and prepares its duties.
func New(ctx context.Context, settings dfusettings.Settings, adapters Adapters, log *dfulog.Log) (*Node, error) {
	n := &Node{
		settings:   settings,
		adapters:   adapters,
		log:        log.Logger,
		lines:      log,
		clock:      dfuclock.New(),
		metrics:    metrics.NewRegistry(),
		times:      dfuhistogram.New(),
		superseded: make(chan struct{}),
	}
	n.live.Store(&settings)
	n.store = adapters.Store(n.countStore)
	if err := n.listen(ctx); err != nil {
		return nil, err
	}
	n.pool = dfupeer.NewPool(dfupeer.DefaultTiming(), n.peer.Addr().(*net.TCPAddr).IP)
	tracer, err := dfutrace.New(ctx, dfutrace.Config{
		Node:           settings.Node,
		SamplePerMille: settings.Trace.SamplePerMille,
		File:           settings.Trace.File,
		OTLPEndpoint:   settings.Trace.OTLPEndpoint,
	})
	if err != nil {
		return nil, err
	}
	n.tracer = tracer
	n.control = n.newControl()
	n.front = n.newFront()
	n.server, err = dfupeer.NewServer(n.peer)
	if err != nil {
		return nil, err
	}
	err = n.server.Register("Gate", &gateReceiver{started: &n.started, view: n.control.View})
	return n, errors.CombineErrors(err, n.server.Register(dfucontrol.ReceiverName, n.control.Receiver()))
}

// Addresses returns where the node listens for callers and for other nodes.
func (n *Node) Addresses() (callers, peers dfuident.Address) {
	return dfuident.Address(n.http.Addr().String()), dfuident.Address(n.peer.Addr().String())
}

// Serve implements dfufront.Entry. Before the node has joined it knows nothing
// and says so.
func (n *Node) Serve(call dfufront.Call, watch func(gone func()) (stop func())) dfufront.Result {
	s := n.started.Load()
	if s == nil {
		return dfufront.Result{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNoCatalogue, Detail: "this node has not joined yet"}
	}
	return s.entry.Serve(call, watch)
}

// Run works until ctx ends, then drains the target and leaves.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	wg.Go(func() { n.pool.Run(life) })
	wg.Go(n.server.Run)
	for i, l := range n.adminOn {
		wg.Go(func() {
			if err := n.admins[i].Serve(l); err != nil {
				n.log.Error("serve operators", zap.Error(err))
			}
		})
	}
	wg.Go(func() {
		if err := n.front.Run(n.http); err != nil {
			failed <- err
		}
	})
	wg.Go(func() {
		if err := n.control.Run(life); err != nil && life.Err() == nil {
			failed <- err
		}
	})
	s := n.join(ctx, life, &wg)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-n.superseded:
		err = errSuperseded
	}
	n.stopping.Store(true)
	n.front.CloseConnections()
	err = errors.CombineErrors(err, n.leave(s))
	if s != nil {
		s.entry.Close()
		s.gate.Close()
	}
	end()
	for _, admin := range n.admins {
		err = errors.CombineErrors(err, admin.Shutdown())
	}
	n.server.Close()
	n.pool.Close()
	wg.Wait()
	return errors.CombineErrors(err, n.tracer.Close(context.Background()))
}

// untilSuperseded returns a context that ends with life, or at once when a later
// run of this node lives: that run's claims rely on the end of this one's.
func (n *Node) untilSuperseded(life context.Context) context.Context {
	ctx, cancel := context.WithCancel(life)
	go func() {
		defer cancel()
		select {
		case <-n.superseded:
		case <-life.Done():
		}
	}()
	return ctx
}

func (n *Node) listen(ctx context.Context) error {
	var cfg net.ListenConfig
	callers, err := cfg.Listen(ctx, "tcp", string(n.settings.Listen.HTTP))
	if err != nil {
		return errors.Wrap(err, "listen.http")
	}
	peers, err := cfg.Listen(ctx, "tcp", string(n.settings.Listen.Peer))
	if err != nil {
		callers.Close()
		return errors.Wrap(err, "listen.peer")
	}
	n.http, n.peer = callers, peers
	for _, address := range n.settings.Listen.Admin {
		l, err := cfg.Listen(ctx, "tcp", string(address))
		if err != nil {
			return errors.Wrap(err, "listen.admin")
		}
		n.adminOn = append(n.adminOn, l)
		n.admins = append(n.admins, &fasthttp.Server{
			Handler:               n.admin,
			MaxRequestBodySize:    adminBodyBytes,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			Logger:                quiet{},
		})
	}
	return nil
}

// quiet drops fasthttp's own lines, which are not JSON.
type quiet struct{}

// Printf drops the line.
func (quiet) Printf(string, ...any) {}

// newFront returns the front of callers. It serves the operators' pages too
// unless they have addresses of their own.
func (n *Node) newFront() *dfufront.Front {
	admin := n.admin
	if len(n.settings.Listen.Admin) > 0 {
		admin = nil
	}
	return dfufront.New(n, n.adapters.Callers, admin, dfufront.Limits{
		Header: n.settings.Limits.RequestHeader,
		Body:   n.settings.Limits.RequestBody,
	})
}

func (n *Node) newControl() *dfucontrol.Duty {
	cfg := dfucontrol.DefaultConfig()
	cfg.Node = n.settings.Node
	if n.adapters.Routed {
		cfg.Prefixes = []string{dfustore.RoutesKey, dfustore.CataloguePrefix}
		cfg.WatchWait = routesWatchWait
		cfg.JoinByPeers = true
		cfg.ReadAtStart = true
	}
	cfg.Place = n.place()
	callers, peers := n.Addresses()
	cfg.HTTP = cmp.Or(n.settings.Advertise.HTTP, callers)
	cfg.Peer = cmp.Or(n.settings.Advertise.Peer, peers)
	return dfucontrol.New(cfg, dfucontrol.Deps{
		Store:      n.store,
		Caller:     controlCaller{n.pool},
		Clock:      n.clock,
		Wall:       time.Now,
		Rand:       newRand(),
		Log:        n.log,
		Publish:    n.publish,
		Superseded: sync.OnceFunc(func() { close(n.superseded) }),
	})
}

func (n *Node) place() dfuident.Place {
	return dfuident.Place{Region: n.settings.Region, Zone: n.settings.Zone}
}

// newRand returns a generator seeded by the system.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(new(maphash.Hash).Sum64(), uint64(time.Now().UnixNano())))
}

// join waits until the node knows its incarnation and then starts the duties
// that need it. It returns nil if ctx ends before.
func (n *Node) join(ctx, life context.Context, wg *sync.WaitGroup) *started {
	ticker := time.NewTicker(joinPoll)
	defer ticker.Stop()
	for n.control.Member().IsZero() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	s := n.assemble(n.control.Member())
	if s.claims != nil {
		if err := n.server.Register(dfuclaimer.ReceiverName, s.claims.Receiver()); err != nil {
			n.log.Error("register receivers", zap.Error(err))
			return nil
		}
		wg.Go(func() { s.claims.Run(n.untilSuperseded(life)) })
	}
	wg.Go(func() { s.news.run(life) })
	wg.Go(func() { s.target.run(life.Done()) })
	n.started.Store(s)
	n.publish(n.control.View())
	return s
}

// assemble makes the duties of a node with a known incarnation.
func (n *Node) assemble(self dfuident.Member) *started {
	s := &started{self: self}
	var claims dfuadmission.Claims = noClaims{}
	var owners dfudispatch.Owners = noClaims{}
	if !n.adapters.Routed {
		s.claims = n.newClaims(self)
		claims, owners = s.claims, s.claims
	}
	news := &newsDuty{
		log:   n.log,
		pool:  n.pool,
		view:  n.control.View,
		local: func() (dfuroster.Node, bool) { return n.control.View().Node(self.Node) },
		ring:  dfuring.New[News](newsWaiting),
	}
	gate := dfuadmission.New(dfuadmission.Deps{
		Self:    self,
		Clock:   n.clock,
		Log:     n.log,
		Metrics: n.metrics,
		Times:   n.times,
		Tracer:  n.tracer,
		Region:  n.settings.Region,
		Claims:  claims,
		Machine: dfugate.New(n.gateConfig(), self),
		Tell:    news.tell,

		TellsLoad:  n.adapters.Routed,
		HealthPath: n.healthPath,
	})
	chooser := dfuchoice.New(n.chooserSettings(), newRand())
	budget := n.newBudget()
	random := newRand()
	entry := dfudispatch.New(dfudispatch.Deps{
		Self:    self,
		Place:   n.place(),
		Clock:   n.clock,
		Log:     n.log,
		Metrics: n.metrics,
		Times:   n.times,
		Tracer:  n.tracer,
		Gates:   gates{pool: n.pool, local: &receiver{duty: gate, view: n.control.View}},
		Owners:  owners,
		Chooser: chooser,
		Budget:  budget,
		Machine: dfuattempt.New(n.attemptConfig(), self, n.place(), chooser, budget),
		Rand:    n.draw(random),
		Local:   n.localService,
		Runs:    gate.Runs,
	})
	target := &localTarget{
		self:    self,
		clock:   n.clock,
		log:     n.log,
		gate:    gate,
		publish: n.announce,
		expect:  func() dfusettings.Target { return n.live.Load().Target },
		cfg: dfutarget.Config{
			AnswerLimit: n.settings.Limits.Answer,
			IdleLimit:   idleTargetConns,
			IdleTime:    idleTargetTime,
			Dialect:     n.adapters.Targets,
		},
	}
	s.gate, s.entry, s.target, s.news = gate, entry, target, news
	return s
}

// bytesPerMillisecond is what a link of 1 Mbit/s carries.
const bytesPerMillisecond = 1e6 / 8 / 1e3

// gateConfig returns the bounds of the gate beside the target.
func (n *Node) gateConfig() dfugate.Config {
	cfg := dfugate.DefaultConfig()
	cfg.LinkRate = dfugate.LinkRate(n.settings.Limits.LinkMbps * bytesPerMillisecond)
	return cfg
}

// draw returns a function that draws numbers from 0 up to 1, for any goroutine.
func (n *Node) draw(random *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// localService returns the service of the target beside the node.
func (n *Node) localService() dfuident.Service {
	if service := n.live.Load().Target.Service; service != "" {
		return service
	}
	if s := n.started.Load(); s != nil {
		return s.target.service()
	}
	return ""
}

// chooserSettings returns how targets are chosen.
func (n *Node) chooserSettings() dfuchoice.Settings {
	if n.adapters.Routed {
		return dfuchoice.PacedSettings()
	}
	return dfuchoice.DefaultSettings()
}

// attemptConfig returns the bounds of the entry side.
func (n *Node) attemptConfig() dfuattempt.Config {
	cfg := dfuattempt.DefaultConfig()
	cfg.UnsentFree = n.settings.Retry.Window > 0
	cfg.RetryErrors = n.adapters.Routed
	return cfg
}

// newBudget returns the budget of extra attempts.
func (n *Node) newBudget() dfuattempt.Budget {
	r := n.settings.Retry
	if r.Window == 0 {
		return dfubudget.NewRetryBudget()
	}
	return dfubudget.NewFleetBudget(n.clock.Now(), fleetLimits(r))
}

func fleetLimits(r dfusettings.Retry) dfubudget.FleetLimits {
	return dfubudget.FleetLimits{Ratio: r.Ratio, Reserve: r.Reserve, Window: r.Window.Duration()}
}

// countStore counts a call to the store by its kind and what became of it.
func (n *Node) countStore(call, result string) {
	metrics.GetOrRegisterCounter("store."+call+"."+result, n.metrics).Inc(1)
}

// healthPath returns the path at which the target beside the node tells its
// load.
func (n *Node) healthPath() string {
	table := n.control.View().Routes()
	if table == nil {
		return ""
	}
	s, ok := table.Service(n.localService())
	if !ok || s.HealthPath == "" {
		return defaultHealthPath
	}
	return s.HealthPath
}

// noClaims stands in where no keys are claimed.
type noClaims struct{}

// Claim denies the claim.
func (noClaims) Claim(_ dfuident.RequestID, _ dfuident.Service, _ dfuident.Key, _ dfuclock.Duration, decide func(dfuadmission.Verdict)) {
	decide(dfuadmission.Verdict{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNotOwner})
}

// Finished does nothing.
func (noClaims) Finished(dfuident.RequestID, dfuident.Service, dfuident.Key, *dfumessage.Answer) {}

// Released does nothing.
func (noClaims) Released(dfuident.RequestID, dfuident.Service, dfuident.Key) {}

// Owner knows no owner.
func (noClaims) Owner(*dfuroster.View, dfuident.Service, dfuident.Key) (dfuident.Member, bool) {
	return dfuident.Member{}, false
}

func (n *Node) newClaims(self dfuident.Member) *dfuclaimer.Duty {
	return dfuclaimer.New(dfuclaimer.Deps{
		Self:    self,
		Config:  dfuclaim.DefaultConfig(),
		Clock:   n.clock,
		Wall:    func() dfuclaim.UnixMs { return dfuclaim.UnixMs(time.Now().UnixMilli()) },
		Log:     n.log,
		Metrics: n.metrics,
		Caller:  controlCaller{n.pool},
		Store:   n.store,
		Rand:    newRand(),
	})
}

// announce tells the other nodes about the local target.
func (n *Node) announce(a announced) {
	n.control.Announce(dfucontrol.Announcement{Target: dfumembership.Target{
		Service:  a.Service,
		Slots:    a.Slots,
		Draining: a.Draining,
		ColdFor:  a.ColdFor,
	}})
}

// publish hands a new view to the duties that decide by it.
func (n *Node) publish(view *dfuroster.View) {
	s := n.started.Load()
	if s == nil {
		return
	}
	if s.claims != nil {
		s.claims.SetView(view)
	}
	s.entry.SetView(view)
	s.target.setView(view)
}

// controlCaller sends control traffic over its own lane.
type controlCaller struct {
	pool *dfupeer.Pool
}

// Call makes one call on the control lane.
func (c controlCaller) Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error {
	return c.pool.Call(ctx, to, dfupeer.Control, method, args, reply)
}
