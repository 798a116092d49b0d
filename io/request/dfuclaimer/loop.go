package dfuclaimer

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuclaim"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/request/dfuadmission"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// loop is the state of the goroutine that owns the machine.
type loop struct {
	*Duty
	service dfuident.Service
	machine *dfuclaim.Machine
	// undecided holds the claims that the machine has not answered; its bound
	// on claims is theirs.
	undecided map[dfuident.RequestID]func(dfuadmission.Verdict)
	seen      dfuident.Revision
}

func newLoop(d *Duty) *loop {
	return &loop{Duty: d, undecided: make(map[dfuident.RequestID]func(dfuadmission.Verdict))}
}

// run steps the machine until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leave := l.leave
	for {
		// A node without claims has no deadlines to look at.
		var tick <-chan time.Time
		if l.machine != nil {
			tick = ticker.C
		}
		select {
		case <-ctx.Done():
			return
		case <-tick:
			l.step(dfuclaim.Tick{Wall: l.deps.Wall()})
		case <-l.viewChanged:
			l.takeView(l.view.Load())
		case <-leave:
			leave = nil
			l.step(dfuclaim.Leaving{})
			if l.machine == nil {
				l.act(dfuclaim.Left{})
			}
		case event := <-l.results:
			l.step(event)
		case in := <-l.ends.Items():
			l.step(in.event)
		case in := <-l.inbox.Items():
			l.take(in)
		}
	}
}

// takeView gives the machine what a view says of its service.
func (l *loop) takeView(view *dfuroster.View) {
	service, ok := l.Duty.service()
	entry, _, known := view.Entry(service)
	switch {
	case l.machine == nil && (!ok || !known || !entry.NonIdempotent):
		return
	case l.machine == nil:
		l.service = service
		l.machine = dfuclaim.New(l.deps.Config, l.deps.Self, service, l.deps.Rand)
	case ok && service != l.service:
		l.deps.Log.Error("the target's service changed while the node runs",
			zap.String("service", string(service)), zap.String("claims", string(l.service)))
	}
	l.step(dfuclaim.RosterChanged{Nodes: rosterOf(view, l.service)})
	if known {
		l.step(dfuclaim.EntryChanged{Epoch: entry.ClaimEpoch, Window: entry.KeyWindow})
	}
	if revision, table, ok := l.tables.get(view, l.service); ok && revision > l.seen {
		l.seen = revision
		notice := dfuclaim.TableNotice{Revision: revision, Table: table}
		l.step(dfuclaim.PeerMessage{From: l.deps.Self, Message: notice})
	}
}

// take steps the machine with a claim or message.
func (l *loop) take(in input) {
	if c, ok := in.event.(dfuclaim.Claim); ok {
		if l.machine == nil {
			in.decide(dfuadmission.Verdict{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNotOwner})
			return
		}
		l.undecided[c.Request] = in.decide
	}
	l.step(in.event)
}

// step steps the machine and carries out its actions.
func (l *loop) step(event dfuclaim.Event) {
	if l.machine == nil {
		return
	}
	for _, action := range l.machine.Step(l.deps.Clock.Now(), event) {
		l.act(action)
	}
	if old := l.owned.Load(); old == nil || old.revision != l.machine.Revision() {
		table, revision := l.machine.Table()
		l.owned.Store(&ownedTable{service: l.service, revision: revision, table: table})
	}
}

// act carries out one action.
func (l *loop) act(action dfuclaim.Action) {
	switch a := action.(type) {
	case dfuclaim.Grant:
		l.counts.granted.Inc(1)
		l.decide(a.Request, dfuadmission.Verdict{Granted: true})
	case dfuclaim.Deny:
		l.counts.denied.Inc(1)
		l.decide(a.Request, dfuadmission.Verdict{Outcome: a.Outcome, Reason: a.Reason})
	case dfuclaim.Replay:
		l.counts.replayed.Inc(1)
		l.decide(a.Request, verdictOf(a))
	case dfuclaim.SendPeer:
		lane := xxhash.Sum64String(string(a.To.Node)) % laneCount
		if !l.lanes[lane].Offer(outgoing{to: a.To, msg: a.Message}) {
			l.counts.lost.Inc(1)
		}
	case dfuclaim.ReadTable:
		l.calls <- storeCall{service: l.service}
	case dfuclaim.WriteTable:
		l.calls <- storeCall{service: l.service, write: &a}
	case dfuclaim.Left:
		l.leftOnce.Do(func() { close(l.left) })
	case dfuclaim.Log:
		l.deps.Log.Info("claim shard", zap.String("service", string(l.service)),
			zap.Int("shard", int(a.Shard)), zap.Uint64("generation", uint64(a.Generation)),
			zap.String("transition", string(a.Transition)), zap.Stringer("member", a.Member))
	}
}

// decide gives a claim its verdict.
func (l *loop) decide(id dfuident.RequestID, v dfuadmission.Verdict) {
	if decide := l.undecided[id]; decide != nil {
		delete(l.undecided, id)
		decide(v)
	}
}

// rosterOf returns the nodes of a service as the machine wants them. A node in
// an unreachable region can't be spoken to but is not known to have ended.
func rosterOf(view *dfuroster.View, service dfuident.Service) []dfuclaim.Node {
	var nodes []dfuclaim.Node
	for _, n := range view.Service(service) {
		nodes = append(nodes, dfuclaim.Node{Member: n.Member, Place: n.Place, State: stateOf(n.State)})
	}
	return nodes
}

func stateOf(s dfuroster.State) dfuclaim.NodeState {
	switch s {
	case dfuroster.Alive, dfuroster.Suspect:
		return dfuclaim.NodeAlive
	case dfuroster.Draining:
		return dfuclaim.NodeLeaving
	case dfuroster.Left:
		return dfuclaim.NodeLeft
	default:
		return dfuclaim.NodeDead
	}
}
