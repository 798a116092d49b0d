package dfucontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfustore"

	"go.uber.org/zap"
)

// statusPeriod is the time between two updates of the status while the view
// doesn't change.
const statusPeriod = dfuclock.Second

// eventLoop owns the keeper and runs in one goroutine.
type eventLoop struct {
	control *Controller
	keeper  *dfuroster.Keeper
	// nextStatusAt is when the status is updated next, unless statusStale is
	// set before.
	nextStatusAt dfuclock.Time
	statusStale  bool
	// storeLost is the state that the keeper was last informed of.
	storeLost bool
	// startedAt is when the loop began to run.
	startedAt dfuclock.Time
	// joined is the state that was last logged, and watchingSince the time since which the
	// node has had the role of a watcher, or zero.
	joined        bool
	watchingSince dfuclock.Time
	// reported holds the revision of each key whose invalid value was logged last, and
	// rejected counts them.
	reported map[string]dfuident.Revision
	rejected uint64
	// dropped counts the records of the store that were older than those held.
	dropped uint64
}

func newEventLoop(c *Controller, member dfuident.Member) *eventLoop {
	self := dfumembership.Self{
		Member: member, Place: c.cfg.Place, Peer: c.cfg.Peer, HTTP: c.cfg.HTTP,
	}
	cfg := dfuroster.Config{
		Membership:      c.cfg.Membership,
		Limits:          dfurecord.DefaultLimits(),
		CataloguePrefix: dfustore.CataloguePrefix,
		ClaimsPrefix:    dfustore.ClaimsPrefix,
		RoutesKey:       dfustore.RoutesKey,
		Exchange:        c.exchangeConfig(),
	}
	if c.cfg.Evacuations {
		cfg.EvacuationsPrefix = dfustore.EvacuationsPrefix
	}
	seed := uint64(c.jitter(maxSeed))
	rng := rand.New(rand.NewPCG(seed, uint64(member.Incarnation)))
	l := &eventLoop{control: c, keeper: dfuroster.NewKeeper(self, cfg, rng)}
	// The zone page is generated from the view, so the view must contain this
	// node before maintainPage starts.
	l.publish(l.keeper.View())
	return l
}

// exchangeConfig returns the intervals of the exchange of records with peers. Watches
// that wait long confirm the copies rarely, so that copies may become as much older.
func (c *Controller) exchangeConfig() dfurecord.ExchangeConfig {
	cfg := dfurecord.DefaultExchangeConfig(c.cfg.Prefixes...)
	if c.cfg.ReadAtStart {
		cfg.WatchWait = c.cfg.WatchWait
		cfg.FirstReadDelay = startReadTimeout + startReadSpread
		cfg.FirstComparePeriod = startComparePeriod
	}
	return cfg
}

// maxSeed is the maximum seed of the keeper's random number generator.
const maxSeed = 1 << 50

// run passes events to the keeper until ctx ends.
func (l *eventLoop) run(ctx context.Context, seeds []dfumembership.Seed) error {
	ticker := time.NewTicker(l.control.cfg.Membership.TickPeriod.Std())
	defer ticker.Stop()
	l.startedAt = l.control.deps.Clock.Now()
	l.step(dfuroster.SeedsListed{Seeds: seeds}, nil)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.checkStore()
			l.step(dfuroster.Tick{}, nil)
		case <-l.control.announcementChanged:
			if a := l.control.announcement.Load(); a != nil {
				l.step(dfuroster.Announced{Target: a.Target, Left: a.Left}, nil)
			}
		case in := <-l.control.inbox.Items():
			l.step(in.event, in.answer)
			l.updateProof(in.proof)
		}
		l.updateStatus()
	}
}

// checkStore informs the keeper if the node has lost the store or reaches it again.
func (l *eventLoop) checkStore() {
	if lost := l.control.storeLost.Load(); lost != l.storeLost {
		l.storeLost = lost
		l.control.deps.Log.Info("store reachability changed", zap.Bool("lost", lost))
		l.step(dfuroster.StoreChecked{Lost: lost}, nil)
	}
}

// step passes one event to the keeper and executes the resulting actions. If
// answer isn't nil, it always receives one packet, which may be empty, since a
// call of a peer waits for it.
func (l *eventLoop) step(event dfuroster.Event, answer chan<- dfuroster.Packet) {
	var reply dfuroster.Packet
	before := l.keeper.View().Routes()
	if response, ok := event.(dfuroster.StoreResponse); ok {
		l.noteDropped(response.Answer)
	}
	for _, action := range l.keeper.Step(l.control.deps.Clock.Now(), event) {
		switch a := action.(type) {
		case dfuroster.Send:
			if a.Answer && answer != nil && reply.IsEmpty() {
				reply = a.Packet
			} else {
				l.control.outbox.Offer(outgoing{to: a.To, packet: a.Packet})
			}
		case dfuroster.Publish:
			l.publish(a.View)
		case dfuroster.ReadStore:
			l.control.requestRead()
		case dfuroster.StoreRestored:
			l.control.deps.Store.Restored(a.Revision)
		case dfuroster.RegionStatusChanged:
			l.control.deps.Log.Info("region reachability changed", zap.String("region", string(a.Status.Observed)),
				zap.Bool("unreachable", a.Status.Unreachable))
		case dfuroster.Superseded:
			if !l.control.superseded.Swap(true) {
				l.control.deps.Log.Error("a later run of this node lives", zap.Stringer("member", a.By))
				if l.control.deps.Superseded != nil {
					l.control.deps.Superseded()
				}
			}
		}
	}
	l.observeRevisions(event)
	l.noteRoutes(before, event)
	if answer != nil {
		answer <- reply
	}
}

// observeRevisions passes the greatest revision that a peer provided to the client of the store.
func (l *eventLoop) observeRevisions(event dfuroster.Event) {
	e, ok := event.(dfuroster.Received)
	if !ok || e.Packet.Records == nil {
		return
	}
	var greatest dfuident.Revision
	for _, r := range e.Packet.Records.Records {
		greatest = max(greatest, r.Revision)
	}
	l.control.deps.Store.Observe(greatest)
}

// noteDropped logs and counts the records of a response that are older than those held. They
// are dropped.
func (l *eventLoop) noteDropped(answer dfurecord.StoreResponse) {
	for _, r := range answer.Records {
		held := l.keeper.Exchange().Set().Revisions(r.Key).Noted
		if r.Revision >= held {
			continue
		}
		l.dropped++
		l.control.deps.Log.Warn("a record of the store is older than the one held", zap.String("key", r.Key),
			zap.Uint64("revision", uint64(r.Revision)), zap.Uint64("held", uint64(held)),
			zap.Uint64("as_of", uint64(answer.Revision)), zap.Bool("listed", answer.Listed))
	}
}

// noteRoutes logs the version of the routes if the event changed it, and where the
// routes came from, and keeps the peer that provided them.
func (l *eventLoop) noteRoutes(before *dfuroute.Table, event dfuroster.Event) {
	routes := l.keeper.View().Routes()
	if routes == before {
		return
	}
	source, provider := "store", dfuident.Address("")
	if e, ok := event.(dfuroster.Received); ok && e.Packet.Records != nil {
		source, provider = string(e.Packet.Records.From.Node), e.Packet.Records.From.Address
	}
	l.control.proof.setProvider(provider)
	record := l.keeper.Exchange().Set().Revisions(dfustore.RoutesKey)
	l.control.deps.Log.Info("routes in force", zap.Uint64("version", uint64(routes.Version)),
		zap.Uint64("revision", uint64(record.InForce)), zap.String("source", source),
		zap.Int("routes", len(routes.Routes)))
	for _, f := range routes.Unreadable[:min(len(routes.Unreadable), maxReportedFindings)] {
		l.control.deps.Log.Warn("part of the routes can't be read", zap.Uint64("version", uint64(routes.Version)),
			zap.String("path", f.Place), zap.String("finding", f.Message), zap.Int("findings", len(routes.Unreadable)))
	}
}

// publish makes a new view available to the readers.
func (l *eventLoop) publish(view *dfuroster.View) {
	l.statusStale = true
	l.control.view.Store(view)
	if l.control.deps.Publish != nil {
		l.control.deps.Publish(view)
	}
}

// updateStatus updates the node's roles, which other goroutines read, and the
// status if it is due.
func (l *eventLoop) updateStatus() {
	c := l.control
	now := c.deps.Clock.Now()
	l.logRoles(now)
	c.bridge.Store(l.keeper.Membership().IsBridge())
	rank, _ := l.keeper.Membership().WatchRank()
	c.watcher.Store(l.keeper.Exchange().Watcher())
	c.firstWatcher.Store(l.keeper.Exchange().Watcher() && rank == 0)
	c.lead.Store(l.keeper.Membership().IsLead())
	c.synced.Store(l.keeper.Exchange().Synced())
	if until, ok := l.keeper.Exchange().InForceUntil(); ok {
		c.inForceUntil.Store(int64(until))
	}
	if l.statusStale || !now.Before(l.nextStatusAt) {
		c.proof.setWatchers(l.keeper.Membership().Watchers())
		for _, w := range c.watches {
			w.known.Store(uint64(l.keeper.Exchange().Set().GreatestRevision(w.prefix)))
		}
		l.statusStale = false
		l.nextStatusAt = now.Add(statusPeriod)
		c.status.Store(l.status(now))
	}
}

// logRoles logs when the node has joined, and when it takes or leaves the role of a watcher.
func (l *eventLoop) logRoles(now dfuclock.Time) {
	log, membership := l.control.deps.Log, l.keeper.Membership()
	if joined := membership.Joined(); joined != l.joined {
		l.joined, l.statusStale = joined, true
		log.Info("joining state changed", zap.Bool("joined", joined),
			zap.Int64("started_ms", int64(now.Sub(l.startedAt))), zap.Int("members", l.keeper.View().Len()))
	}
	if watching := l.keeper.Exchange().Watcher(); watching != (l.watchingSince != 0) {
		rank, size := membership.WatchRank()
		fields := []zap.Field{zap.Int("rank", rank), zap.Int("zone_size", size), zap.Bool("joined", l.joined)}
		if watching {
			log.Info("watcher of the store", fields...)
			l.watchingSince = now
		} else {
			log.Info("no watcher of the store", append(fields, zap.Int64("watched_ms", int64(now.Sub(l.watchingSince))))...)
			l.watchingSince = 0
		}
		l.statusStale = true
	}
}
