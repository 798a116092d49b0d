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
	"dragonflyusher/io/process/dfustore"

	"go.uber.org/zap"
)

// statusPeriod is the time between two statuses while nothing changes.
const statusPeriod = dfuclock.Second

// owner is the goroutine that owns the keeper.
type owner struct {
	duty   *Duty
	keeper *dfuroster.Keeper
	// statusAt is when the status is next made, unless it is stale before.
	statusAt    dfuclock.Time
	statusStale bool
}

func newOwner(d *Duty, member dfuident.Member) *owner {
	self := dfumembership.Self{
		Member: member, Place: d.cfg.Place, Peer: d.cfg.Peer, HTTP: d.cfg.HTTP,
	}
	cfg := dfuroster.Config{
		Membership:      d.cfg.Membership,
		Limits:          dfurecord.DefaultLimits(),
		CataloguePrefix: dfustore.CataloguePrefix,
		ClaimsPrefix:    dfustore.ClaimsPrefix,
		RoutesKey:       dfustore.RoutesKey,
		Exchanged:       d.cfg.Prefixes,
	}
	seed := uint64(d.jitter(maxSeed))
	rng := rand.New(rand.NewPCG(seed, uint64(member.Incarnation)))
	o := &owner{duty: d, keeper: dfuroster.NewKeeper(self, cfg, rng)}
	// The zone page is written from the view, so the node must be in it.
	o.publish(o.keeper.View())
	return o
}

// maxSeed bounds the seed of the keeper's random numbers.
const maxSeed = 1 << 50

// run steps the keeper until ctx ends.
func (o *owner) run(ctx context.Context, seeds []dfumembership.Seed) error {
	ticker := time.NewTicker(o.duty.cfg.Membership.TickPeriod.Std())
	defer ticker.Stop()
	o.step(dfuroster.Seeded{Seeds: seeds}, nil)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			o.step(dfuroster.Tick{}, nil)
		case <-o.duty.announced:
			if a := o.duty.announcement.Load(); a != nil {
				o.step(dfuroster.Announced{Target: a.Target, Left: a.Left}, nil)
			}
		case in := <-o.duty.inbox.Items():
			o.step(in.event, in.answer)
		}
		o.report()
	}
}

// step steps the keeper. The answer to a peer's packet goes to answer, even
// when it is empty, since the peer's call waits for it.
func (o *owner) step(event dfuroster.Event, answer chan<- dfuroster.Packet) {
	var reply dfuroster.Packet
	for _, action := range o.keeper.Step(o.duty.deps.Clock.Now(), event) {
		switch a := action.(type) {
		case dfuroster.Send:
			if a.Answer && answer != nil && reply.IsEmpty() {
				reply = a.Packet
			} else {
				o.duty.outbox.Offer(outgoing{to: a.To, packet: a.Packet})
			}
		case dfuroster.Publish:
			o.publish(a.View)
		case dfuroster.ReadStore:
			select {
			case o.duty.reads <- struct{}{}:
			default:
			}
		case dfuroster.RegionJudged:
			o.duty.deps.Log.Info("region judged", zap.String("region", string(a.Status.Observed)),
				zap.Bool("unreachable", a.Status.Unreachable))
		case dfuroster.Superseded:
			if !o.duty.superseded.Swap(true) {
				o.duty.deps.Log.Error("a later run of this node lives", zap.Stringer("member", a.By))
				if o.duty.deps.Superseded != nil {
					o.duty.deps.Superseded()
				}
			}
		}
	}
	if answer != nil {
		answer <- reply
	}
}

func (o *owner) publish(view *dfuroster.View) {
	o.statusStale = true
	o.duty.view.Store(view)
	if o.duty.deps.Publish != nil {
		o.duty.deps.Publish(view)
	}
}

// report tells the other duties of the node's roles, and makes the status.
func (o *owner) report() {
	d := o.duty
	d.bridge.Store(o.keeper.Membership().IsBridge())
	d.watcher.Store(o.keeper.Exchange().Watcher())
	if now := d.deps.Clock.Now(); o.statusStale || !now.Before(o.statusAt) {
		o.statusStale = false
		o.statusAt = now.Add(statusPeriod)
		d.status.Store(o.status(now))
	}
}
