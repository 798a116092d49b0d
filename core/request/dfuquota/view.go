package dfuquota

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Preview returns the verdict on a request now, without spending a token: Pending if the
// owner would be asked.
func (c *Cache) Preview(now dfuclock.Time, w dfuident.Workspace) Verdict {
	d := c.workspaces[ShardOf(w)][w]
	switch {
	case d == nil:
		return Pending
	case d.live(now) > 0:
		return Granted
	case now.Before(d.deniedUntil):
		return d.denied
	default:
		return Pending
	}
}

// Preview returns the verdict on one request of the item's workspace now, without granting a
// token. It returns false if the Owner doesn't hold the shard of the workspace.
func (o *Owner) Preview(now dfuclock.Time, item Item, limits Limits) (Verdict, bool) {
	shard := ShardOf(item.Workspace)
	if o.buckets[shard] == nil {
		return Unknown, false
	}
	copied := *o
	copied.buckets[shard] = make(map[dfuident.Workspace]*bucket)
	if b := o.buckets[shard][item.Workspace]; b != nil {
		level := *b
		level.grants = nil
		copied.buckets[shard][item.Workspace] = &level
	}
	share, _ := copied.Grant(now, Item{Workspace: item.Workspace, Need: 1, Limit: item.Limit}, limits)
	switch {
	case share.Tokens > 0:
		return Granted, true
	case share.Uncertain:
		return Unknown, true
	default:
		return Exceeded, true
	}
}

// Owner returns the owner of a shard as far as this node has found it, or the zero Member.
func (o *Ownership) Owner(now dfuclock.Time, s Shard) dfuident.Member {
	sh := &o.shards[s]
	switch {
	case o.Holds(now, s):
		return o.self
	case sh.known && sh.record.Owner != o.self && o.usable(sh.record.Owner):
		return sh.record.Owner
	default:
		return dfuident.Member{}
	}
}
