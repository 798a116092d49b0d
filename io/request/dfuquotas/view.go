package dfuquotas

import (
	"cmp"
	"context"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuquota"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfustatus"

	"github.com/cockroachdb/errors"
)

const previewMethod = ReceiverName + ".Preview"

// Owners returns the owners of shards as far as this node has found them, sorted.
func (q *Quotas) Owners() []dfustatus.OwnedShards {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Clock.Now()
	var owners []dfustatus.OwnedShards
	for s := range dfuquota.Shard(dfuquota.ShardCount) {
		owner := q.ownerOf(now, s).Node
		if owner == "" {
			continue
		}
		i := slices.IndexFunc(owners, func(o dfustatus.OwnedShards) bool { return o.Owner == owner })
		if i < 0 {
			i = len(owners)
			owners = append(owners, dfustatus.OwnedShards{Owner: owner})
		}
		owners[i].Shards = append(owners[i].Shards, s)
	}
	slices.SortFunc(owners, func(a, b dfustatus.OwnedShards) int { return cmp.Compare(a.Owner, b.Owner) })
	return owners
}

// ownerOf returns the owner of a shard as far as this node has found it. The caller must
// hold q.mu.
func (q *Quotas) ownerOf(now dfuclock.Time, s dfuquota.Shard) dfuident.Member {
	if named := q.router.Owner(s); !named.IsZero() && named != q.deps.Self && !q.ownership.Holds(now, s) {
		return named
	}
	return q.ownership.Owner(now, s)
}

// PreviewReply is the reply to a Question about a request that isn't sent. Owned is set if
// the node owns the shard. Otherwise, Owner is the owner if it is known.
type PreviewReply struct {
	Owned   bool
	Owner   dfuident.Member
	Verdict dfuquota.Verdict
}

// Preview returns the verdict on a request of the first item's workspace, without granting a
// token.
func (r *Receiver) Preview(question *Question, reply *PreviewReply) error {
	q := r.quotas
	if question.To != q.deps.Self {
		return errWrongIncarnation
	}
	if len(question.Items) != 1 {
		return errors.Newf("%d items instead of one", len(question.Items))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.deps.Clock.Now()
	item := question.Items[0]
	shard := dfuquota.ShardOf(item.Workspace)
	reply.Owner = q.ownerOf(now, shard)
	if q.ownership.Holds(now, shard) {
		reply.Verdict, reply.Owned = q.owner.Preview(now, item, q.limits)
	}
	return nil
}

// previewAsks is the number of nodes that Preview asks: one that may name another.
const previewAsks = 2

// Preview returns the verdict on a request of a workspace now, without spending a token, and
// the owner of its quota if that is known. It may block for the time of two questions to
// other nodes.
func (q *Quotas) Preview(w *dfuroute.Workspace) (dfuquota.Verdict, dfuident.NodeID) {
	shard := dfuquota.ShardOf(w.Name)
	q.mu.Lock()
	now := q.deps.Clock.Now()
	to := q.ownerOf(now, shard)
	verdict := q.cache.Preview(now, w.Name)
	candidates := q.ownership.Candidates(shard)
	q.mu.Unlock()
	if verdict != dfuquota.Pending {
		return verdict, to.Node
	}
	if to.IsZero() && len(candidates) > 0 {
		to = candidates[0]
	}
	item := dfuquota.Item{Workspace: w.Name, Limit: dfuquota.Limit{Rate: w.Rate, Burst: w.Burst}}
	for range previewAsks {
		reply, err := q.askPreview(&Question{To: to, Shard: shard, Items: []dfuquota.Item{item}})
		if err != nil {
			break
		}
		if reply.Owned {
			return reply.Verdict, to.Node
		}
		to = reply.Owner
	}
	return dfuquota.Unknown, ""
}

func (q *Quotas) askPreview(question *Question) (PreviewReply, error) {
	var reply PreviewReply
	if question.To == q.deps.Self {
		err := q.Receiver().Preview(question, &reply)
		return reply, err
	}
	q.mu.Lock()
	node, ok := q.view.Node(question.To.Node)
	q.mu.Unlock()
	if !ok || node.Member != question.To {
		return reply, errors.Newf("%s isn't in the view", question.To)
	}
	ctx, cancel := context.WithTimeout(q.ctx, askTimeout)
	defer cancel()
	err := q.deps.PeerClient.Call(ctx, node.Peer, previewMethod, question, &reply)
	return reply, err
}
