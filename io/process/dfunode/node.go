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
	"dragonflyusher/core/connection/dfupipeline"
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
	"dragonflyusher/core/version/dfuinstance"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfubody"
	"dragonflyusher/io/connection/dfufront"
	"dragonflyusher/io/connection/dfupeer"
	"dragonflyusher/io/connection/dfuserver"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfulog"
	"dragonflyusher/io/process/dfusettings"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/io/request/dfuadmission"
	"dragonflyusher/io/request/dfuclaimer"
	"dragonflyusher/io/request/dfudispatch"
	"dragonflyusher/io/request/dfumessage"
	"dragonflyusher/io/request/dfuquotas"
	"dragonflyusher/io/request/dfutrace"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// joinPollPeriod is how often a starting node checks whether it has joined.
	joinPollPeriod = 10 * time.Millisecond
	// routesWatchTimeout is how long a watch of the routes waits for a change. The
	// platform counts every call and allows one to wait for at most 30 s.
	routesWatchTimeout = 25 * dfuclock.Second
	// targetIdleTimeout is how long an idle connection to the target is kept,
	// unless the target states a shorter time.
	targetIdleTimeout = 30 * dfuclock.Second
	// defaultHealthPath is the path at which a target reports its load if the
	// routes don't give one.
	defaultHealthPath = "/health"
)

// errSuperseded ends a run of a node that has been started again elsewhere.
var errSuperseded = errors.New("a later run of this node lives")

// Node is one node of the system.
type Node struct {
	// settings holds the settings at the start. latest holds the newest valid
	// settings, for those that can change while the node runs.
	settings     dfusettings.Settings
	latest       atomic.Pointer[dfusettings.Settings]
	log          *zap.Logger
	logOutput    *dfulog.Log
	clock        dfuclock.Clock
	metrics      metrics.Registry
	histograms   *dfuhistogram.Set
	tracer       *dfutrace.Tracer
	httpListener net.Listener
	peerListener net.Listener
	bodies       *dfubody.Memory
	pool         *dfupeer.Pool
	server       *dfupeer.Server
	store        dfustore.Store
	// numbered is store with revisions that never become smaller.
	numbered       *dfustore.Numbered
	adapters       Adapters
	adminServers   []*dfuserver.Server
	adminListeners []net.Listener
	control        *dfucontrol.Controller
	callerServer   *dfufront.CallerServer
	components     atomic.Pointer[components]
	// stopping is set once the node has begun to stop.
	stopping atomic.Bool
	// superseded is closed when a later run of this node is detected.
	superseded chan struct{}
}

// components holds the parts of a node that need its incarnation. They are created
// once the node has joined.
type components struct {
	self       dfuident.Member
	gate       *dfuadmission.Controller
	dispatcher *dfudispatch.Dispatcher
	target     *localTarget
	// claims is nil if keys of non-idempotent services are not claimed, see
	// Adapters.Routed.
	claims   *dfuclaimer.Claimer
	reporter *crashReporter
	// quotas is nil if the settings have no quotas.
	quotas *dfuquotas.Quotas
}

// Adapters select the store client and the protocols of a platform.
type Adapters struct {
	// Store returns the client of the store. It calls count once for every call to
	// the store with the kind of the call and its result.
	Store   func(count func(call, result string)) dfustore.Store
	Callers dfufront.Dialect
	Targets dfutarget.Dialect
	// Routed is set if operators define routes. Routed requests run at most once
	// for each attempt of their caller, so that no keys are claimed.
	Routed bool
}

// New opens the node's listeners and creates the parts that don't need the node's
// incarnation.
func New(ctx context.Context, settings dfusettings.Settings, adapters Adapters, log *dfulog.Log) (*Node, error) {
	n := &Node{
		settings:   settings,
		adapters:   adapters,
		log:        log.Logger,
		logOutput:  log,
		clock:      dfuclock.New(),
		metrics:    metrics.NewRegistry(),
		histograms: dfuhistogram.New(),
		superseded: make(chan struct{}),
	}
	n.latest.Store(&settings)
	n.bodies = dfubody.NewMemory(dfubody.Limits{
		Total: settings.Limits.BodiesBytes(), Answers: settings.Limits.LargeAnswersBytes(), LinkMbps: settings.Limits.LinkMbps,
	}, n.clock, n.metrics)
	n.store = adapters.Store(n.countStoreCall)
	n.numbered = dfustore.NewNumbered(n.store, dfustore.NumberedDeps{Clock: n.clock, Log: n.log, Forget: n.forgetRevisions})
	if err := n.listen(ctx); err != nil {
		return nil, err
	}
	n.pool = dfupeer.NewPool(dfupeer.DefaultTiming(), n.peerListener.Addr().(*net.TCPAddr).IP)
	n.pool.LimitMemory(n.bodies)
	n.pool.CountBytes(n.peerCounter)
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
	n.callerServer = n.newCallerServer()
	n.adminServers = n.newAdminServers()
	n.server, err = dfupeer.NewServer(n.peerListener)
	if err != nil {
		return nil, err
	}
	n.server.LimitMemory(n.bodies)
	n.server.LimitConnections(settings.Limits.MaxPeerConnections(systemDescriptors()))
	err = n.server.Register("Gate", &gateReceiver{components: &n.components, view: n.control.View, bodies: n.bodies})
	return n, errors.CombineErrors(err, n.server.Register(dfucontrol.ReceiverName, n.control.Receiver()))
}

// Addresses returns the addresses on which the node listens for callers and for
// other nodes.
func (n *Node) Addresses() (callers, peers dfuident.Address) {
	return dfuident.Address(n.httpListener.Addr().String()), dfuident.Address(n.peerListener.Addr().String())
}

// Serve implements dfufront.CallHandler. Until the node has joined, every call ends
// as not run with the reason no_catalogue.
func (n *Node) Serve(call dfufront.Call, watchClose func(onClose func()) (stop func())) dfufront.Result {
	c := n.components.Load()
	if c == nil {
		return dfufront.Result{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNoCatalogue, Detail: "this node has not joined yet"}
	}
	return c.dispatcher.Serve(call, watchClose)
}

// Run serves until ctx ends, the HTTP server for callers or the control plane fails,
// or a later run of this node is detected. It then drains the target, leaves and
// returns the error.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	wg.Go(func() { n.pool.Run(runCtx) })
	wg.Go(n.server.Run)
	for i, l := range n.adminListeners {
		wg.Go(func() {
			if err := n.adminServers[i].Run(l); err != nil {
				n.log.Error("admin server failed", zap.Error(err))
			}
		})
	}
	wg.Go(func() {
		if err := n.callerServer.Run(n.httpListener); err != nil {
			failed <- err
		}
	})
	wg.Go(func() {
		if err := n.control.Run(runCtx); err != nil && runCtx.Err() == nil {
			failed <- err
		}
	})
	c := n.join(ctx, runCtx, &wg)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-n.superseded:
		err = errSuperseded
	}
	n.stopping.Store(true)
	n.callerServer.CloseConnections()
	closeLinksAt, leaveErr := n.leave(c)
	err = errors.CombineErrors(err, leaveErr)
	if c != nil {
		c.dispatcher.Close()
		c.gate.Close()
	}
	cancel()
	err = errors.CombineErrors(err, n.closeAdmin())
	closeCtx, cancelClose := context.WithDeadline(context.Background(), closeLinksAt)
	n.server.Close(closeCtx)
	cancelClose()
	n.pool.Close()
	wg.Wait()
	return errors.CombineErrors(err, n.tracer.Close(context.Background()))
}

// adminCloseTimeout bounds how long a node that has left waits for the connections to
// its pages.
const adminCloseTimeout = 100 * time.Millisecond

// closeAdmin closes the servers of the node's pages.
func (n *Node) closeAdmin() error {
	ctx, cancel := context.WithTimeout(context.Background(), adminCloseTimeout)
	defer cancel()
	var err error
	for _, admin := range n.adminServers {
		if closeErr := admin.Close(ctx); !errors.Is(closeErr, context.DeadlineExceeded) {
			err = errors.CombineErrors(err, closeErr)
		}
	}
	return err
}

// withSupersededCancel returns a context that ends with runCtx, or as soon as a
// later run of this node is detected: the claims of that run rely on the claims of
// this run having stopped.
func (n *Node) withSupersededCancel(runCtx context.Context) context.Context {
	ctx, cancel := context.WithCancel(runCtx)
	go func() {
		defer cancel()
		select {
		case <-n.superseded:
		case <-runCtx.Done():
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
	n.httpListener, n.peerListener = callers, peers
	for _, address := range n.settings.Listen.Admin {
		l, err := cfg.Listen(ctx, "tcp", string(address))
		if err != nil {
			return errors.Wrap(err, "listen.admin")
		}
		n.adminListeners = append(n.adminListeners, l)
	}
	return nil
}

// newCallerServer returns the HTTP server for callers. It also serves the admin
// pages unless the settings give them separate addresses.
func (n *Node) newCallerServer() *dfufront.CallerServer {
	serveAdmin := n.serveAdmin
	if len(n.settings.Listen.Admin) > 0 {
		serveAdmin = nil
	}
	limits := n.settings.Limits
	return dfufront.New(dfufront.Deps{
		Handler: n,
		Dialect: n.adapters.Callers,
		Admin:   serveAdmin,
		Log:     n.log,
		Metrics: n.metrics,
		Times:   n.histograms,
	}, dfuserver.Config{
		MaxHeader: limits.RequestHeader,
		MaxBody:   limits.RequestBody,
		Pipeline:  dfupipeline.Limits{Requests: limits.PipelineRequests, Bytes: limits.PipelineBytes},
		Memory:    n.bodies,
		MaxConns:  limits.MaxCallerConnections(systemDescriptors()),
		Timeouts:  n.callerTimeouts,
		Closed:    metrics.GetOrRegisterCounter("callers.connections_closed", n.metrics),
	})
}

func (n *Node) newControl() *dfucontrol.Controller {
	cfg := dfucontrol.DefaultConfig()
	cfg.Node = n.settings.Node
	if n.adapters.Routed {
		cfg.Prefixes = []string{dfustore.RoutesKey, dfustore.CataloguePrefix}
		if n.evacuates() {
			// One watch covers the routes as well: the platform counts every call.
			cfg.Evacuations = true
			cfg.Prefixes[0] = dfustore.OperatorPrefix
		}
		cfg.WatchWait = routesWatchTimeout
		cfg.JoinByPeers = true
		cfg.ReadAtStart = true
	}
	cfg.ProofBound = n.proofBound()
	cfg.Place = n.place()
	callers, peers := n.Addresses()
	cfg.HTTP = cmp.Or(n.settings.Advertise.HTTP, callers)
	cfg.Peer = cmp.Or(n.settings.Advertise.Peer, peers)
	return dfucontrol.New(cfg, dfucontrol.Deps{
		Store:      n.numbered,
		PeerClient: controlCaller{n.pool},
		Clock:      n.clock,
		BootClock:  dfuclock.Boot{},
		Wall:       time.Now,
		Rand:       newRand(),
		Log:        n.log,
		Publish:    n.applyView,
		Superseded: sync.OnceFunc(func() { close(n.superseded) }),
	})
}

func (n *Node) place() dfuident.Place {
	return dfuident.Place{Region: n.settings.Region, Zone: n.settings.Zone}
}

// newRand returns a generator with a random seed.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(new(maphash.Hash).Sum64(), uint64(time.Now().UnixNano())))
}

// join waits until the node has an incarnation, then creates and starts the
// components that need it; they run until runCtx ends. It returns nil if ctx ends
// first or the claims receiver can't be registered.
func (n *Node) join(ctx, runCtx context.Context, wg *sync.WaitGroup) *components {
	ticker := time.NewTicker(joinPollPeriod)
	defer ticker.Stop()
	for n.control.Member().IsZero() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	c := n.newComponents(runCtx, n.control.Member())
	if c.claims != nil {
		if err := n.server.Register(dfuclaimer.ReceiverName, c.claims.Receiver()); err != nil {
			n.log.Error("failed to register the claims receiver", zap.Error(err))
			return nil
		}
		wg.Go(func() { c.claims.Run(n.withSupersededCancel(runCtx)) })
	}
	if c.quotas != nil {
		if err := n.server.Register(dfuquotas.ReceiverName, c.quotas.Receiver()); err != nil {
			n.log.Error("failed to register the quotas receiver", zap.Error(err))
			return nil
		}
		wg.Go(func() { c.quotas.Run(n.withSupersededCancel(runCtx)) })
	}
	wg.Go(func() { c.reporter.run(runCtx) })
	wg.Go(func() { c.target.run(runCtx.Done()) })
	n.components.Store(c)
	n.applyView(n.control.View())
	return c
}

func (n *Node) newCrashReporter(self dfuident.Member) *crashReporter {
	return &crashReporter{
		log:   n.log,
		pool:  n.pool,
		view:  n.control.View,
		local: func() (dfuroster.Node, bool) { return n.control.View().Node(self.Node) },
		queue: dfuring.New[News](maxQueuedReports),
		calls: make(chan struct{}, maxReportCalls),
	}
}

// newComponents creates the components of a node with its incarnation. Its quotas can be
// asked for until runCtx ends.
func (n *Node) newComponents(runCtx context.Context, self dfuident.Member) *components {
	c := &components{self: self, quotas: n.newQuotas(runCtx, self)}
	var claims dfuadmission.Claims = noClaims{}
	var owners dfudispatch.OwnerLookup = noClaims{}
	if !n.adapters.Routed {
		c.claims = n.newClaims(self)
		claims, owners = c.claims, c.claims
	}
	reporter := n.newCrashReporter(self)
	gate := dfuadmission.New(dfuadmission.Deps{
		Self:             self,
		Clock:            n.clock,
		Log:              n.log,
		Metrics:          n.metrics,
		Times:            n.histograms,
		Tracer:           n.tracer,
		Region:           n.settings.Region,
		Claims:           claims,
		Machine:          dfugate.New(n.gateConfig(), self),
		PublishCrashInfo: reporter.enqueue, Verify: n.verify,

		CanQueryLoad: n.adapters.Routed,
		HealthPath:   n.healthPath,
	})
	chooser := dfuchoice.New(n.chooserSettings(), newRand())
	budget := n.newBudget()
	random := newRand()
	dispatcher := dfudispatch.New(dfudispatch.Deps{
		Self:        self,
		Place:       n.place(),
		Clock:       n.clock,
		Log:         n.log,
		Metrics:     n.metrics,
		Times:       n.histograms,
		Tracer:      n.tracer,
		GateClient:  gates{pool: n.pool, local: &receiver{admission: gate, view: n.control.View}},
		OwnerLookup: owners,
		Chooser:     chooser,
		Budget:      budget,
		Machine:     dfuattempt.New(n.attemptConfig(), self, n.place(), chooser, budget),
		Rand:        n.lockedFloat64(random),
		Quota:       dispatcherQuota(c.quotas), WorkspaceSeries: n.settings.Metrics.Workspaces,
		Local:     n.localService,
		IsRunning: gate.IsRunning, RunningWorkspace: gate.RunningWorkspace, RoutesProven: n.control.RoutesProven, StrictKeys: n.proofBound() > 0,
	})
	target := &localTarget{
		self:           self,
		clock:          n.clock,
		log:            n.log,
		gate:           gate,
		confirmer:      dfuinstance.NewConfirmer(n.clock.Now()),
		advertise:      n.advertiseTarget,
		healthPath:     n.healthPath,
		coldLimit:      n.coldLimit,
		targetSettings: func() dfusettings.Target { return n.latest.Load().Target },
		cfg: dfutarget.Config{
			AnswerLimit:  n.settings.Limits.Answer,
			LargeAnswers: n.answersMemory(),
			IdleLimit:    maxIdleTargetConns,
			IdleTime:     targetIdleTimeout,
			Dialect:      n.adapters.Targets,
		},
	}
	c.gate, c.dispatcher, c.target, c.reporter = gate, dispatcher, target, reporter
	return c
}

// answersMemory returns the memory of large answers that are being read from the target: that of
// all bodies, so that answers which nobody reads leave less of it, unless that has no limit.
func (n *Node) answersMemory() *dfubody.Memory {
	if n.settings.Limits.BodiesBytes() == 0 {
		return dfutarget.NewMemory(n.settings.Limits.LargeAnswersBytes())
	}
	return n.bodies
}

// bytesPerMsPerMbps is the number of bytes that a link of 1 Mbit/s carries in a
// millisecond.
const bytesPerMsPerMbps = 1e6 / 8 / 1e3

// gateConfig returns the configuration of the gate of the local target.
func (n *Node) gateConfig() dfugate.Config {
	cfg := dfugate.DefaultConfig()
	cfg.LinkRate = dfugate.LinkRate(n.settings.Limits.LinkMbps * bytesPerMsPerMbps)
	cfg.AwaitEvacuations = n.evacuates()
	return cfg
}

// lockedFloat64 returns a function that returns random numbers in [0, 1) and is
// safe for concurrent use.
func (n *Node) lockedFloat64(random *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// localService returns the service of the local target: the one in the settings,
// otherwise the announced one, or "" if there is none.
func (n *Node) localService() dfuident.Service {
	if service := n.latest.Load().Target.Service; service != "" {
		return service
	}
	if c := n.components.Load(); c != nil {
		return c.target.service()
	}
	return ""
}

// chooserSettings returns the settings by which targets are chosen.
func (n *Node) chooserSettings() dfuchoice.Settings {
	if n.adapters.Routed {
		return dfuchoice.MinLossSettings()
	}
	return dfuchoice.DefaultSettings()
}

// attemptConfig returns the configuration for attempts of requests that enter at
// this node.
func (n *Node) attemptConfig() dfuattempt.Config {
	cfg := dfuattempt.DefaultConfig()
	cfg.UnsentFree = n.settings.Retry.Window > 0
	cfg.RetryErrors = n.adapters.Routed
	cfg.HedgeRatio = n.settings.Hedge.Ratio
	return cfg
}

// newBudget returns the budget for attempts beyond the first.
func (n *Node) newBudget() dfuattempt.Budget {
	r := n.settings.Retry
	if r.Window == 0 {
		return dfubudget.NewRetryBudget()
	}
	return dfubudget.NewFleetBudget(n.clock.Now(), fleetLimits(n.settings))
}

func fleetLimits(s dfusettings.Settings) dfubudget.FleetLimits {
	return dfubudget.FleetLimits{
		Ratio: s.Retry.Ratio, Reserve: s.Retry.Reserve, Window: s.Retry.Window.Duration(),
		HedgeRatio: s.Hedge.Ratio,
	}
}

// revisionChecker is implemented by store clients that compare the revisions of answers with
// earlier ones.
type revisionChecker interface {
	// ForgetRevisions makes the client accept revisions that are smaller than earlier ones.
	ForgetRevisions()
}

// forgetRevisions prepares the client of the store for smaller revisions.
func (n *Node) forgetRevisions() {
	if c, ok := n.store.(revisionChecker); ok {
		c.ForgetRevisions()
	}
}

// countStoreCall counts a call to the store by its kind and result.
func (n *Node) countStoreCall(call, result string) {
	metrics.GetOrRegisterCounter("store."+call+"."+result, n.metrics).Inc(1)
}

// healthPath returns the path at which the local target reports its load, or ""
// if the node has no routes yet.
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

// noClaims implements the claim interfaces for nodes that claim no keys.
type noClaims struct{}

// Claim denies every claim with the reason not_owner.
func (noClaims) Claim(_ dfuident.RequestID, _ dfuident.Service, _ dfuident.Key, _ dfuclock.Duration, onResult func(dfuadmission.ClaimResult)) {
	onResult(dfuadmission.ClaimResult{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNotOwner})
}

// Finished does nothing.
func (noClaims) Finished(dfuident.RequestID, dfuident.Service, dfuident.Key, *dfumessage.Answer) {}

// Released does nothing.
func (noClaims) Released(dfuident.RequestID, dfuident.Service, dfuident.Key) {}

// Owner reports that no key has an owner.
func (noClaims) Owner(*dfuroster.View, dfuident.Service, dfuident.Key) (dfuident.Member, bool) {
	return dfuident.Member{}, false
}

func (n *Node) newClaims(self dfuident.Member) *dfuclaimer.Claimer {
	return dfuclaimer.New(dfuclaimer.Deps{
		Self:       self,
		Config:     dfuclaim.DefaultConfig(),
		Clock:      n.clock,
		Wall:       func() dfuclaim.UnixMs { return dfuclaim.UnixMs(time.Now().UnixMilli()) },
		Log:        n.log,
		Metrics:    n.metrics,
		PeerClient: controlCaller{n.pool},
		Store:      n.numbered,
		Rand:       newRand(),
	})
}

// advertiseTarget announces the state of the local target to the other nodes.
func (n *Node) advertiseTarget(a advertisedTarget) {
	n.control.Announce(dfucontrol.Announcement{Target: dfumembership.Target{
		Service:  a.Service,
		Slots:    a.Slots,
		Draining: a.Draining,
		ColdFor:  a.ColdFor,
	}})
}

// applyView passes a new view to the components that use it.
func (n *Node) applyView(view *dfuroster.View) {
	c := n.components.Load()
	if c == nil {
		return
	}
	if c.claims != nil {
		c.claims.SetView(view)
	}
	if c.quotas != nil {
		c.quotas.SetView(view)
	}
	c.dispatcher.SetView(view)
	c.target.setView(view)
	if n.settings.Cold.Overage > 0 {
		c.target.updateColdLimit()
	}
	if n.evacuates() {
		c.target.setEvacuation(view, n.settings.Zone)
	}
}

// controlCaller sends control calls over the control lane of the peer links.
type controlCaller struct {
	pool *dfupeer.Pool
}

// Call makes one call on the control lane.
func (c controlCaller) Call(ctx context.Context, to dfuident.Address, method string, args, reply any) error {
	return c.pool.Call(ctx, to, dfupeer.Control, method, args, reply)
}
