package dfucontrol

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfumembership"
	"dragonflyusher/core/version/dfuproof"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfustore"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

// A proof is renewed at an age, in hundredths of its bound: first by the zone's first
// watcher, which asks the store, then by the other watchers and then by the other nodes,
// which ask a watcher. From fallbackAge on, these ask the store and other zones as well.
const (
	firstRenewalAge   = 30
	watcherRenewalAge = 40
	otherRenewalAge   = 50
	fallbackAge       = 60
	// storeSpread is over what share of the bound the nodes spread their calls to the
	// store from fallbackAge on, and how long each then waits at least until the next, so
	// that one answer reaches the others meanwhile.
	storeSpread = 20

	// answerTimeoutDivisor and renewalPauseDivisor are the inverses of the share of the
	// bound that an answer may take, and that lies at most between two attempts. The next
	// attempt doesn't wait for the answer, which may be delayed by large bodies.
	answerTimeoutDivisor = 5
	renewalPauseDivisor  = 16
)

// proofGrace is how long after a proof has become too old requests wait for a new one,
// which a node that was suspended gets from a peer.
const proofGrace = 150 * dfuclock.Millisecond

// proveMethod is the net/rpc method by which a node asks a peer for its proof.
const proveMethod = ReceiverName + ".Prove"

// storeProof describes a linearizable call to the store.
type storeProof struct {
	sentAt dfuclock.Time
	asOf   dfuident.Revision
}

// routesProof is the proof that the route table is in force.
type routesProof struct {
	mu    sync.Mutex
	proof dfuproof.Proof
	// held is the revision as of which the table in force is up to date, or zero if a newer
	// value is known that can't be read. version is the table's version.
	held    dfuident.Revision
	version dfuroute.Version
	// renewed is closed and replaced when the proof becomes newer.
	renewed chan struct{}
	// staleSince is when a request first met the current lack of a proof, or zero.
	staleSince dfuclock.Time
	// kick wakes the renewal.
	kick     chan struct{}
	watchers []dfumembership.Contact
	// provider is the peer from which the table in force came, or empty if the store or
	// nobody provided it.
	provider dfuident.Address
	// nextStoreCallAt is when a node that is no watcher may ask the store; zero if that
	// isn't decided. Only renewProof uses it.
	nextStoreCallAt dfuclock.Time
}

// update sets the table in force and, unless it is nil, applies an answer of the store.
func (p *routesProof) update(held dfuident.Revision, version dfuroute.Version, answer *storeProof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.version = held, version
	if answer != nil && p.proof.Confirm(answer.sentAt, answer.asOf, held) {
		p.announce()
	}
}

// adopt applies the answer of a peer to a call sent at a time.
func (p *routesProof) adopt(askedAt dfuclock.Time, s dfuproof.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proof.Adopt(askedAt, s, p.held) {
		p.announce()
	}
}

// announce wakes the requests that wait for a proof. The caller must hold p.mu.
func (p *routesProof) announce() {
	p.staleSince = 0
	close(p.renewed)
	p.renewed = make(chan struct{})
}

// knownUpTo returns a revision of the store up to which all changes of the routes are known.
func (p *routesProof) knownUpTo() dfuident.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.proof.AsOf(), p.held)
}

func (p *routesProof) setWatchers(watchers []dfumembership.Contact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchers = watchers
}

func (p *routesProof) setProvider(provider dfuident.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.provider = provider
}

// updateProof passes the table in force, and the answer of the store that the last event
// may have delivered, to the proof.
func (l *eventLoop) updateProof(answer *storeProof) {
	if l.control.cfg.ProofBound == 0 {
		return
	}
	routes := l.keeper.View().Routes()
	if routes == nil {
		return
	}
	held := l.keeper.Exchange().Set().UpToDate(dfustore.RoutesKey)
	l.control.proof.update(held, routes.Version, answer)
}

// proofTime returns the time from which an answer to a call proves the routes.
func (c *Controller) proofTime() dfuclock.Time {
	if c.cfg.ProofBound == 0 {
		return 0
	}
	return c.deps.BootClock.Now()
}

// deliverProof is deliver for the answer to a linearizable call sent at a time.
func (c *Controller) deliverProof(answer dfurecord.StoreResponse, sentAt dfuclock.Time) error {
	if !strings.HasPrefix(dfustore.RoutesKey, answer.Prefix) {
		return c.deliver(answer)
	}
	c.recordStoreSuccess()
	in := input{event: dfuroster.StoreResponse{Answer: answer}, proof: &storeProof{sentAt: sentAt, asOf: answer.Revision}}
	if !c.inbox.Offer(in) {
		return errQueueFull
	}
	return nil
}

// RoutesProven reports whether the node's route table is known to have been in force less
// than ProofBound ago. version is that of the caller's table, which must not be an older
// one. If the proof has just become too old, RoutesProven waits up to proofGrace for
// another. Without a ProofBound, it reports whether the store has confirmed the routes
// lately.
func (c *Controller) RoutesProven(version dfuroute.Version) bool {
	if c.cfg.ProofBound == 0 {
		return c.deps.Clock.Now() <= dfuclock.Time(c.inForceUntil.Load())
	}
	for {
		proven, renewed, wait := c.checkProof(version)
		if proven || wait <= 0 {
			return proven
		}
		timer := time.NewTimer(wait.Std())
		select {
		case <-renewed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// checkProof reports whether the table is proven and, if not, for how long to wait until
// renewed is closed.
func (c *Controller) checkProof(version dfuroute.Version) (proven bool, renewed <-chan struct{}, wait dfuclock.Duration) {
	p := &c.proof
	p.mu.Lock()
	defer p.mu.Unlock()
	if version < p.version {
		return false, nil, 0
	}
	// The clock is read after the proof: a suspension in between makes the proof older.
	if p.proof.Within(c.deps.BootClock.Now(), c.cfg.ProofBound) {
		return true, nil, 0
	}
	now := c.deps.Clock.Now()
	if p.staleSince == 0 {
		p.staleSince = now
		select {
		case p.kick <- struct{}{}:
		default:
		}
	}
	return false, p.renewed, p.staleSince.Add(proofGrace).Sub(now)
}

// proofStatus returns the age of the proof and whether it is within its bound.
func (c *Controller) proofStatus() (dfuclock.Duration, bool) {
	if c.cfg.ProofBound == 0 {
		return 0, false
	}
	p := &c.proof
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.deps.BootClock.Now()
	age, _ := p.proof.Age(now)
	return age, p.proof.Within(now, c.cfg.ProofBound)
}

// errNoProof is returned to peers if the node has no proofs.
var errNoProof = errors.New("the node proves no routes")

// Prove answers a peer that asks for the proof of the routes.
func (r *Receiver) Prove(_ *struct{}, reply *dfuproof.Statement) error {
	c := r.control
	if c.cfg.ProofBound == 0 {
		return errNoProof
	}
	c.proof.mu.Lock()
	defer c.proof.mu.Unlock()
	*reply = c.proof.proof.State(c.deps.BootClock.Now(), c.proof.held)
	return nil
}

// renewProof renews the proof before it becomes too old, until ctx ends.
func (c *Controller) renewProof(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	attempt, stale := 0, false
	for {
		if c.View().Routes() == nil {
			if err := sleep(ctx, startPollPeriod); err != nil {
				return err
			}
			continue
		}
		age, proven := c.proofStatus()
		if stale == proven {
			stale = !proven
			c.deps.Log.Info("proof of the routes changed", zap.Bool("proven", proven), zap.Stringer("age", age))
		}
		wait := c.hundredths(c.renewalAge()) - age
		if wait > 0 && proven {
			attempt = 0
			c.proof.nextStoreCallAt = 0
		} else {
			if sources := c.proofSources(); len(sources) > 0 {
				source := sources[attempt%len(sources)]
				wg.Go(func() { c.renew(ctx, source) })
			}
			pause := c.renewalPause(attempt)
			attempt++
			wait = pause/2 + c.jitter(pause)
		}
		timer := time.NewTimer(wait.Std())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.proof.kick:
			attempt = 0
		case <-timer.C:
		}
		timer.Stop()
	}
}

// maxFirstDoublings bounds how often the pause before the first proof doubles.
const maxFirstDoublings = 16

// renewalPause returns the mean pause after an attempt to renew the proof. Before the first
// proof every request waits for it, so that the pause begins short. It grows since nobody
// may have a proof.
func (c *Controller) renewalPause(attempt int) dfuclock.Duration {
	pause := c.cfg.ProofBound / renewalPauseDivisor
	if c.everProven() {
		return pause
	}
	return min(pause, startPollPeriod<<min(attempt, maxFirstDoublings))
}

// everProven reports whether this run of the node has had a proof.
func (c *Controller) everProven() bool {
	c.proof.mu.Lock()
	defer c.proof.mu.Unlock()
	_, ok := c.proof.proof.Age(c.deps.BootClock.Now())
	return ok
}

// hundredths returns a share of the bound of proofs.
func (c *Controller) hundredths(n dfuclock.Duration) dfuclock.Duration {
	return c.cfg.ProofBound * n / 100
}

// renewalAge returns the age at which the node renews its proof, in hundredths of the
// bound.
func (c *Controller) renewalAge() dfuclock.Duration {
	switch {
	case c.firstWatcher.Load():
		return firstRenewalAge
	case c.watcher.Load():
		return watcherRenewalAge
	default:
		return otherRenewalAge
	}
}

// renew makes one attempt to renew the proof from a source.
func (c *Controller) renew(ctx context.Context, source dfuident.Address) {
	ctx, cancel := context.WithTimeout(ctx, (c.cfg.ProofBound / answerTimeoutDivisor).Std())
	defer cancel()
	if source == "" {
		if err := c.askStore(ctx); err != nil {
			c.deps.Log.Info("the store didn't prove the routes", zap.Error(err))
		}
		return
	}
	c.askPeer(ctx, source)
}

// proofSources returns the peers to ask for a proof, in order. The empty address stands
// for the store.
func (c *Controller) proofSources() []dfuident.Address {
	var sources []dfuident.Address
	if c.firstWatcher.Load() {
		sources = append(sources, "")
	}
	c.proof.mu.Lock()
	for _, w := range c.proof.watchers {
		sources = append(sources, w.Address)
	}
	c.proof.mu.Unlock()
	if !c.watcher.Load() && len(sources) > 1 && xxhash.Sum64String(string(c.cfg.Node))%2 == 1 {
		sources[0], sources[1] = sources[1], sources[0]
	}
	if c.watcher.Load() && !slices.Contains(sources, "") {
		sources = append(sources, "")
	}
	sources = append(sources, c.randomPeer(true)...)
	if age, proven := c.proofStatus(); proven && age < c.hundredths(fallbackAge) {
		return sources
	}
	if c.mayAskStore() {
		return []dfuident.Address{""}
	}
	sources = append(sources, c.randomPeer(false)...)
	if !c.everProven() {
		return append(c.firstProofSources(), sources...)
	}
	return sources
}

// firstProofSources returns the peers to ask first for the first proof. Watchers that start
// at the same time have none yet, while the peer that provided the table has one or soon
// gets it in the same way.
func (c *Controller) firstProofSources() []dfuident.Address {
	c.proof.mu.Lock()
	provider := c.proof.provider
	c.proof.mu.Unlock()
	if provider == "" {
		return c.randomPeer(true)
	}
	return append(append([]dfuident.Address{provider}, c.randomPeer(true)...), provider)
}

// mayAskStore reports whether a node that is no watcher may ask the store now.
func (c *Controller) mayAskStore() bool {
	now := c.deps.Clock.Now()
	spread := c.hundredths(storeSpread)
	next := c.proof.nextStoreCallAt
	switch {
	case c.watcher.Load():
		return false
	case next == 0:
		c.proof.nextStoreCallAt = now.Add(c.jitter(spread))
		return false
	case now.Before(next):
		return false
	}
	c.proof.nextStoreCallAt = now.Add(spread + c.jitter(spread))
	return true
}

// randomPeer returns a live node of the zone, or of another zone, if there is one.
func (c *Controller) randomPeer(inZone bool) []dfuident.Address {
	nodes := slices.DeleteFunc(slices.Clone(c.View().Nodes()), func(n dfuroster.Node) bool {
		return n.Member.Node == c.cfg.Node || (n.Place == c.cfg.Place) != inZone || n.State != dfuroster.Alive
	})
	if len(nodes) == 0 {
		return nil
	}
	return []dfuident.Address{nodes[int(c.jitter(dfuclock.Duration(len(nodes)-1)))].Peer}
}

// askPeer asks a peer for its proof.
func (c *Controller) askPeer(ctx context.Context, peer dfuident.Address) {
	askedAt := c.deps.BootClock.Now()
	var statement dfuproof.Statement
	if err := c.deps.PeerClient.Call(ctx, peer, proveMethod, &struct{}{}, &statement); err != nil {
		c.failedCalls.Add(1)
		return
	}
	c.proof.adopt(askedAt, statement)
}

// askStore asks the store for changes of the routes since the revision up to which the
// node knows them, or for the routes if it no longer keeps those changes.
func (c *Controller) askStore(ctx context.Context) error {
	sentAt := c.deps.BootClock.Now()
	if after := c.proof.knownUpTo(); after > 0 {
		records, next, err := c.deps.Store.Watch(ctx, dfustore.RoutesKey, after, checkWait)
		if err == nil {
			return c.deliverProof(dfurecord.StoreResponse{Prefix: dfustore.RoutesKey, Records: toRecords(records), Revision: next}, sentAt)
		}
		if !errors.Is(err, dfustore.ErrCompacted) {
			return err
		}
	}
	_, _, err := c.list(ctx, dfustore.RoutesKey)
	return err
}
