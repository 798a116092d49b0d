package dfuquotas

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuquota"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
)

const (
	// tickPeriod is the time between two checks for calls to make.
	tickPeriod = 50 * time.Millisecond
	// storeTimeout bounds a call to the store, so that a renewal whose answer is lost can
	// be repeated before the lease ends.
	storeTimeout = time.Second
	// sweepPeriod is the time between two removals of buckets that are full.
	sweepPeriod = 10 * time.Second
)

// Run makes the calls that keep this node's shards, and returns tokens to their owners,
// until ctx ends or, after Leave, all shards are released.
func (q *Quotas) Run(ctx context.Context) {
	defer q.stop()
	calls := time.NewTicker(tickPeriod)
	defer calls.Stop()
	returns := time.NewTicker(returnPeriod)
	defer returns.Stop()
	sweeps := time.NewTicker(sweepPeriod)
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-calls.C:
			q.makeCalls(ctx)
		case <-q.poke:
			q.makeCalls(ctx)
		case <-returns.C:
			q.returnTokens()
		case <-sweeps.C:
			q.sweep()
		}
	}
}

// Leave ends the ownership of all shards. The node may announce that it left only after
// this call.
func (q *Quotas) Leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ownership.Leave()
	q.wake()
}

// stop ends the ownership of all shards and the asking. A later run of the node may follow.
func (q *Quotas) stop() {
	q.mu.Lock()
	q.closed = true
	q.ownership.Leave()
	q.mu.Unlock()
	q.asks.Wait()
}

// wake makes Run check for calls to make.
func (q *Quotas) wake() {
	select {
	case q.poke <- struct{}{}:
	default:
	}
}

// setNodes passes the nodes of the view to the ownership if the view has changed. The
// caller must hold q.mu.
func (q *Quotas) setNodes() {
	if q.nodes == q.view {
		return
	}
	q.nodes = q.view
	q.setIdle()
	var nodes []dfuquota.Node
	for _, n := range q.view.Nodes() {
		nodes = append(nodes, dfuquota.Node{
			Member:  n.Member,
			Address: n.Peer,
			Usable:  n.State == dfuroster.Alive || n.State == dfuroster.Suspect,
			Left:    n.State == dfuroster.Left,
		})
	}
	q.ownership.SetNodes(q.deps.Clock.Now(), nodes)
}

// setIdle ends the ownership of shards while no workspace has a quota. The caller must hold
// q.mu.
func (q *Quotas) setIdle() {
	q.idle = true
	if routes := q.view.Routes(); routes != nil {
		q.idle = !slices.ContainsFunc(routes.Workspaces, func(w dfuroute.Workspace) bool { return w.Rate > 0 })
	}
	q.ownership.SetIdle(q.deps.Clock.Now(), q.idle)
}

// makeCalls makes the calls that are due, one at a time.
func (q *Quotas) makeCalls(ctx context.Context) {
	for ctx.Err() == nil {
		q.mu.Lock()
		q.setNodes()
		sentAt := q.deps.Clock.Now()
		if q.idle {
			q.updateGauges(sentAt)
			q.mu.Unlock()
			return
		}
		if era, ok := q.deps.Era(); ok {
			q.ownership.ObserveEra(sentAt, dfuquota.Era(era))
		}
		call := q.ownership.Next(sentAt)
		q.updateGauges(sentAt)
		q.mu.Unlock()
		if call == nil {
			return
		}
		result := q.makeCall(ctx, call)
		q.mu.Lock()
		now := q.deps.Clock.Now()
		if era, ok := q.deps.Era(); ok {
			q.ownership.ObserveEra(now, dfuquota.Era(era))
		}
		q.ownership.Done(now, sentAt, call, result)
		q.logCall(call, result)
		q.updateGauges(now)
		q.mu.Unlock()
	}
}

func (q *Quotas) updateGauges(now dfuclock.Time) {
	held := q.ownership.Held(now)
	if held != q.held {
		q.deps.Log.Info("quota shards owned", zap.Int("before", q.held), zap.Int("now", held))
		q.counts.dropped.Inc(int64(max(0, q.held-held)))
		q.counts.acquired.Inc(int64(max(0, held-q.held)))
		q.held = held
	}
	q.counts.owned.Update(int64(held))
	q.counts.buckets.Update(int64(q.owner.Workspaces()))
}

func (q *Quotas) logCall(call dfuquota.Call, result dfuquota.Result) {
	w, ok := call.(dfuquota.WriteRecord)
	if !ok {
		return
	}
	q.deps.Log.Info("quota shard written", shardField(w.Shard), memberField(w.Record.Owner),
		zap.Bool("accepted", result.Status == dfuquota.OK), zap.Uint64("revision", uint64(result.Revision)))
}

// makeCall makes one call. Its error only shows in the result, since the call is repeated.
func (q *Quotas) makeCall(ctx context.Context, call dfuquota.Call) dfuquota.Result {
	var answer dfustore.AnswerEra
	callCtx, cancel := context.WithTimeout(dfustore.WithAnswerEra(ctx, &answer), storeTimeout)
	defer cancel()
	var result dfuquota.Result
	var err error
	switch c := call.(type) {
	case dfuquota.AskYield:
		return q.askYield(ctx, c)
	case dfuquota.OfferShard:
		q.offerShard(ctx, c)
		return dfuquota.Result{}
	case dfuquota.GrantLease:
		var lease dfustore.LeaseID
		lease, err = q.deps.Store.GrantLease(callCtx, dfuquota.LeaseTTL)
		result.Lease = dfuquota.LeaseID(lease)
	case dfuquota.KeepAlive:
		err = q.deps.Store.KeepAlive(callCtx, dfustore.LeaseID(c.Lease))
	case dfuquota.ReadRecord:
		var record dfustore.Record
		record, err = q.deps.Store.Get(callCtx, dfustore.QuotaKey(int(c.Shard)))
		result.Revision, result.Record = decodeRecord(record)
	case dfuquota.WriteRecord:
		result, err = q.write(callCtx, c)
	}
	q.counts.storeCalls.Inc(1)
	if !answer.Known {
		answer.Era, _ = q.deps.Era()
	}
	result.Era = dfuquota.Era(answer.Era)
	switch {
	case err == nil:
		result.Status = dfuquota.OK
	case errors.Is(err, dfustore.ErrLeaseExpired):
		result.Status = dfuquota.LeaseEnded
	case errors.Is(err, dfustore.ErrConflict):
		result.Status = dfuquota.Conflict
	default:
		result.Status = dfuquota.Failed
		q.deps.Log.Warn("quota call to the store failed", zap.Error(err))
	}
	return result
}

func (q *Quotas) write(ctx context.Context, c dfuquota.WriteRecord) (dfuquota.Result, error) {
	value, err := json.Marshal(c.Record)
	if err != nil {
		return dfuquota.Result{}, err
	}
	revision, err := q.deps.Store.CompareAndSwap(ctx, dfustore.QuotaKey(int(c.Shard)), c.Expect, value, dfustore.LeaseID(c.Lease))
	result := dfuquota.Result{Revision: revision}
	if conflict := (*dfustore.ConflictError)(nil); errors.As(err, &conflict) {
		result.Revision, result.Record = decodeRecord(conflict.Current)
	}
	return result, err
}

// decodeRecord returns the content of a shard's record. One that can't be decoded counts as
// that of an unknown owner, who may hold the shard as long as the record exists.
func decodeRecord(r dfustore.Record) (dfuident.Revision, dfuquota.Record) {
	if !r.Exists() {
		return 0, dfuquota.Record{}
	}
	var record dfuquota.Record
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return r.Revision, dfuquota.Record{Owner: dfuident.Member{Node: "?"}}
	}
	return r.Revision, record
}

func (q *Quotas) askYield(ctx context.Context, c dfuquota.AskYield) dfuquota.Result {
	q.mu.Lock()
	node, ok := q.view.Node(c.Owner.Node)
	q.mu.Unlock()
	if !ok || node.Member != c.Owner {
		return dfuquota.Result{}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply YieldReply
	question := &YieldQuestion{From: q.deps.Self, To: c.Owner, Shard: c.Shard}
	if err := q.deps.PeerClient.Call(ctx, node.Peer, yieldMethod, question, &reply); err != nil || !reply.Yielded {
		return dfuquota.Result{}
	}
	return dfuquota.Result{Status: dfuquota.OK, Revision: reply.Revision, Handover: reply.Handover}
}

// offerShard sends a question without items that names this node as an owner that failed.
func (q *Quotas) offerShard(ctx context.Context, c dfuquota.OfferShard) {
	q.mu.Lock()
	node, ok := q.view.Node(c.To.Node)
	q.mu.Unlock()
	if !ok || node.Member != c.To {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question := &Question{To: c.To, Shard: c.Shard, Failed: q.deps.Self}
	if err := q.deps.PeerClient.Call(ctx, node.Peer, askMethod, question, &Reply{}); err != nil {
		q.counts.failedAsks.Inc(1)
	}
}

// returnTokens starts questions for shards that have tokens to return.
func (q *Quotas) returnTokens() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Clock.Now()
	for s := range dfuquota.Shard(dfuquota.ShardCount) {
		if q.cache.HasReturns(now, s) {
			q.startAsking(s)
		}
	}
}

func (q *Quotas) sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Clock.Now()
	q.cache.Sweep(now)
	q.owner.Sweep(now)
}

func shardField(s dfuquota.Shard) zap.Field {
	return zap.String("shard", strconv.Itoa(int(s)))
}

func memberField(m dfuident.Member) zap.Field {
	return zap.Stringer("member", m)
}
