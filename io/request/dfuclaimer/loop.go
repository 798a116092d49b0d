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

// loop is the state of the goroutine that steps the machine.
type loop struct {
	*Claimer
	service dfuident.Service
	// machine is nil until the node has a non-idempotent service.
	machine *dfuclaim.Machine
	// pendingResults holds the callbacks of claims that the machine has not decided.
	// Its size is bounded by the machine's bound on claims.
	pendingResults map[dfuident.RequestID]func(dfuadmission.ClaimResult)
	// tableRevision is the newest revision of the claim table taken from a view.
	tableRevision dfuident.Revision
}

func newLoop(c *Claimer) *loop {
	return &loop{Claimer: c, pendingResults: make(map[dfuident.RequestID]func(dfuadmission.ClaimResult))}
}

// run steps the machine until ctx ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leave := l.leave
	for {
		// A node without claims has no deadlines to check.
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
			l.applyView(l.view.Load())
		case <-leave:
			leave = nil
			l.step(dfuclaim.Stopping{})
			if l.machine == nil {
				l.execute(dfuclaim.HandoverDone{})
			}
		case event := <-l.storeResults:
			l.step(event)
		case in := <-l.completions.Items():
			l.step(in.event)
		case in := <-l.inbox.Items():
			l.handleInput(in)
		}
	}
}

// applyView passes the nodes, catalogue entry and claim table of the node's service
// to the machine. It creates the machine when the service is first known to be
// non-idempotent.
func (l *loop) applyView(view *dfuroster.View) {
	service, ok := l.Claimer.service()
	entry, _, hasEntry := view.Entry(service)
	switch {
	case l.machine == nil && (!ok || !hasEntry || !entry.NonIdempotent):
		return
	case l.machine == nil:
		l.service = service
		l.machine = dfuclaim.New(l.deps.Config, l.deps.Self, service, l.deps.Rand)
	case ok && service != l.service:
		l.deps.Log.Error("the target's service changed while the node was running; the claim table of the previous service stays in use",
			zap.String("service", string(service)), zap.String("claims", string(l.service)))
	}
	l.step(dfuclaim.RosterChanged{Nodes: claimNodes(view, l.service)})
	if hasEntry {
		l.step(dfuclaim.EntryChanged{Epoch: entry.ClaimEpoch, Window: entry.KeyWindow})
	}
	if revision, table, ok := l.tables.get(view, l.service); ok && revision > l.tableRevision {
		l.tableRevision = revision
		notice := dfuclaim.TableNotice{Revision: revision, Table: table}
		l.step(dfuclaim.PeerMessage{From: l.deps.Self, Message: notice})
	}
}

// handleInput passes a claim or message to the machine. It denies the claim if there
// is no machine.
func (l *loop) handleInput(in input) {
	if c, ok := in.event.(dfuclaim.Claim); ok {
		if l.machine == nil {
			in.onResult(dfuadmission.ClaimResult{Outcome: dfuoutcome.NotRun, Reason: dfuoutcome.ReasonNotOwner})
			return
		}
		l.pendingResults[c.Request] = in.onResult
	}
	l.step(in.event)
}

// step passes an event to the machine, executes the resulting actions and publishes
// the claim table if it has changed.
func (l *loop) step(event dfuclaim.Event) {
	if l.machine == nil {
		return
	}
	for _, action := range l.machine.Step(l.deps.Clock.Now(), event) {
		l.execute(action)
	}
	if old := l.published.Load(); old == nil || old.revision != l.machine.Revision() {
		table, revision := l.machine.Table()
		l.published.Store(&publishedTable{service: l.service, revision: revision, table: table})
	}
}

// execute executes one action of the machine.
func (l *loop) execute(action dfuclaim.Action) {
	switch a := action.(type) {
	case dfuclaim.Grant:
		l.counts.granted.Inc(1)
		l.resolve(a.Request, dfuadmission.ClaimResult{Granted: true})
	case dfuclaim.Deny:
		l.counts.denied.Inc(1)
		l.resolve(a.Request, dfuadmission.ClaimResult{Outcome: a.Outcome, Reason: a.Reason})
	case dfuclaim.Replay:
		l.counts.replayed.Inc(1)
		l.resolve(a.Request, replayResult(a))
	case dfuclaim.SendMessage:
		queue := xxhash.Sum64String(string(a.To.Node)) % sendQueueCount
		if !l.sendQueues[queue].Offer(outgoingMessage{to: a.To, msg: a.Message}) {
			l.counts.lost.Inc(1)
		}
	case dfuclaim.ReadTable:
		l.storeCalls <- storeCall{service: l.service}
	case dfuclaim.WriteTable:
		l.storeCalls <- storeCall{service: l.service, writeTable: &a}
	case dfuclaim.HandoverDone:
		l.handoverDoneOnce.Do(func() { close(l.handoverDone) })
	case dfuclaim.Log:
		l.deps.Log.Info("claim shard", zap.String("service", string(l.service)),
			zap.Int("shard", int(a.Shard)), zap.Uint64("generation", uint64(a.Generation)),
			zap.String("transition", string(a.Transition)), zap.Stringer("member", a.Member))
	}
}

// resolve passes the result of a claim to its callback.
func (l *loop) resolve(id dfuident.RequestID, result dfuadmission.ClaimResult) {
	if resolve := l.pendingResults[id]; resolve != nil {
		delete(l.pendingResults, id)
		resolve(result)
	}
}

// claimNodes converts the nodes of a service for the machine. A node in an
// unreachable region counts as dead, since it can't be called, but it may still be
// running.
func claimNodes(view *dfuroster.View, service dfuident.Service) []dfuclaim.Node {
	var nodes []dfuclaim.Node
	for _, n := range view.Service(service) {
		nodes = append(nodes, dfuclaim.Node{Member: n.Member, Place: n.Place, State: claimNodeState(n.State)})
	}
	return nodes
}

func claimNodeState(s dfuroster.State) dfuclaim.NodeState {
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
