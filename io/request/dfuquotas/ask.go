package dfuquotas

import (
	"context"
	"time"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuquota"
	"dragonflyusher/core/version/dfuroster"

	"github.com/cockroachdb/errors"
)

// ReceiverName is the name of the net/rpc receiver.
const ReceiverName = "Quotas"

const (
	askMethod   = ReceiverName + ".Ask"
	yieldMethod = ReceiverName + ".Yield"
)

// errWrongIncarnation is returned for questions to another run of the node.
var errWrongIncarnation = errors.New("the question is addressed to another run of this node")

// Question asks the owner of a shard for tokens.
type Question struct {
	To    dfuident.Member
	Shard dfuquota.Shard
	// Failed is an owner that didn't reply, or zero.
	Failed dfuident.Member
	Items  []dfuquota.Item
}

// Reply is the reply to a Question. If the node owns the shard, Owner is that node and
// Shares has an element for each item, unless it can't grant yet. Otherwise, Owner is the
// owner if it is known.
type Reply struct {
	Owner  dfuident.Member
	Shares []dfuquota.Share
}

// YieldQuestion asks the owner of a shard to yield it to From.
type YieldQuestion struct {
	From, To dfuident.Member
	Shard    dfuquota.Shard
}

// YieldReply is the reply to a YieldQuestion. Revision is that of the record to replace, and
// Handover holds the buckets.
type YieldReply struct {
	Yielded  bool
	Revision dfuident.Revision
	Handover dfuquota.Handover
}

// Receiver handles questions of other nodes.
type Receiver struct {
	quotas *Quotas
}

// Receiver returns the net/rpc receiver to register under ReceiverName.
func (q *Quotas) Receiver() *Receiver {
	return &Receiver{quotas: q}
}

// Ask grants tokens.
func (r *Receiver) Ask(question *Question, reply *Reply) error {
	if question.To != r.quotas.deps.Self {
		return errWrongIncarnation
	}
	if question.Shard < 0 || question.Shard >= dfuquota.ShardCount {
		return errors.Newf("there is no shard %d", question.Shard)
	}
	*reply = r.quotas.grant(question)
	return nil
}

// Yield gives a shard up to another node.
func (r *Receiver) Yield(question *YieldQuestion, reply *YieldReply) error {
	if question.To != r.quotas.deps.Self {
		return errWrongIncarnation
	}
	if question.Shard < 0 || question.Shard >= dfuquota.ShardCount {
		return errors.Newf("there is no shard %d", question.Shard)
	}
	r.quotas.yield(question, reply)
	return nil
}

// startAsking asks the owner of a shard for what its workspaces need, unless a question is
// in flight. The caller must hold q.mu.
func (q *Quotas) startAsking(s dfuquota.Shard) {
	if q.asking[s] || q.closed {
		return
	}
	q.asking[s] = true
	q.asks.Go(func() { q.askWhileNeeded(s) })
}

// askWhileNeeded asks the owner of a shard until its workspaces need no more tokens.
func (q *Quotas) askWhileNeeded(s dfuquota.Shard) {
	for q.askOnce(s) {
		if q.ctx.Err() != nil {
			return
		}
	}
}

// noTargetWait is the time between two checks for a node that can be asked.
const noTargetWait = 20 * time.Millisecond

// askOnce asks for the tokens of a shard once. It returns false, and ends the asking, if
// none are needed.
func (q *Quotas) askOnce(s dfuquota.Shard) bool {
	q.mu.Lock()
	q.setNodes()
	now := q.deps.Clock.Now()
	to, failed, ok := q.router.Target(now, s, q.ownership.Candidates(s), q.isMember)
	items := q.cache.Items(now, s, to)
	if len(items) == 0 {
		q.asking[s] = false
		q.mu.Unlock()
		return false
	}
	for i := range items {
		items[i].Limit, _ = q.limits(items[i].Workspace)
	}
	node, _ := q.view.Node(to.Node)
	q.mu.Unlock()
	if !ok {
		time.Sleep(noTargetWait)
		return true
	}
	q.counts.asked.Inc(1)
	question := &Question{To: to, Shard: s, Failed: failed, Items: items}
	reply, err := q.ask(node, question)
	q.mu.Lock()
	defer q.mu.Unlock()
	sentAt, now := now, q.deps.Clock.Now()
	if err != nil {
		q.counts.failedAsks.Inc(1)
		q.router.Failed(now, s, to)
		return true
	}
	served := reply.Owner == to && len(reply.Shares) == len(items)
	q.router.Replied(now, s, to, reply.Owner, served)
	if served {
		q.cache.Apply(now, sentAt, to, items, reply.Shares)
	}
	return true
}

func (q *Quotas) ask(node dfuroster.Node, question *Question) (Reply, error) {
	if question.To == q.deps.Self {
		return q.grant(question), nil
	}
	var reply Reply
	ctx, cancel := context.WithTimeout(q.ctx, askTimeout)
	defer cancel()
	err := q.deps.PeerClient.Call(ctx, node.Peer, askMethod, question, &reply)
	return reply, err
}

// isMember reports whether the view lists a member as running. The caller must hold q.mu.
func (q *Quotas) isMember(m dfuident.Member) bool {
	n, ok := q.view.Node(m.Node)
	return ok && n.Member == m && n.State != dfuroster.Left && n.State != dfuroster.Dead
}

// grant replies to a question.
func (q *Quotas) grant(question *Question) Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setNodes()
	now := q.deps.Clock.Now()
	if !q.ownership.Holds(now, question.Shard) {
		q.counts.refused.Inc(1)
		defer q.wake()
		if len(question.Items) == 0 {
			q.ownership.Offered(now, question.Shard, question.Failed)
			return Reply{}
		}
		return Reply{Owner: q.ownership.Asked(now, question.Shard, question.Failed)}
	}
	reply := Reply{Owner: q.deps.Self}
	for _, item := range question.Items {
		share, ok := q.owner.Grant(now, item, q.limits)
		if !ok {
			q.counts.refused.Inc(1)
			return Reply{Owner: q.deps.Self}
		}
		q.counts.lent.Inc(int64(share.Tokens))
		reply.Shares = append(reply.Shares, share)
	}
	q.counts.answered.Inc(1)
	return reply
}

func (q *Quotas) yield(question *YieldQuestion, reply *YieldReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setNodes()
	reply.Revision, reply.Handover, reply.Yielded = q.ownership.Yield(q.deps.Clock.Now(), question.Shard, question.From)
	if reply.Yielded {
		q.deps.Log.Info("quota shard yielded", shardField(question.Shard), memberField(question.From))
	}
}
