package dfuquota

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

const (
	// askAgainTime is how long a node waits before it asks again for a shard without an
	// owner.
	askAgainTime = 50 * dfuclock.Millisecond
	// failedTime is how long an owner that didn't answer is avoided.
	failedTime = dfuclock.Second
)

// Router selects the node to ask for the tokens of each shard. It is not safe for
// concurrent use.
type Router struct {
	routes [ShardCount]route
}

type route struct {
	// owner is the node that is expected to own the shard, or zero.
	owner dfuident.Member
	// tries counts the candidates that were asked without success.
	tries int
	// named counts the nodes in a row that named another as the owner.
	named       int
	failed      dfuident.Member
	failedUntil dfuclock.Time
	askAt       dfuclock.Time
}

// Target returns the node to ask for a shard, and an owner that didn't answer recently. It
// returns false if none should be asked now.
func (r *Router) Target(now dfuclock.Time, s Shard, candidates []dfuident.Member, known func(dfuident.Member) bool) (to, failed dfuident.Member, ok bool) {
	rt := &r.routes[s]
	if now >= rt.failedUntil {
		rt.failed = dfuident.Member{}
	}
	if now < rt.askAt {
		return dfuident.Member{}, rt.failed, false
	}
	if !rt.owner.IsZero() && known(rt.owner) {
		return rt.owner, rt.failed, true
	}
	rt.owner = dfuident.Member{}
	if len(candidates) == 0 {
		return dfuident.Member{}, rt.failed, false
	}
	to = candidates[rt.tries%len(candidates)]
	if to == rt.failed && len(candidates) > 1 {
		rt.tries++
		to = candidates[rt.tries%len(candidates)]
	}
	return to, rt.failed, true
}

// Owner returns the node that is expected to own a shard, or the zero Member.
func (r *Router) Owner(s Shard) dfuident.Member {
	return r.routes[s].owner
}

// Replied records that a node replied, and the owner that it named. If it owns the shard,
// owner is the node itself; if it named none, owner is zero. served is set if it granted
// tokens or refused to, by the quota.
func (r *Router) Replied(now dfuclock.Time, s Shard, from, owner dfuident.Member, served bool) {
	rt := &r.routes[s]
	if owner.IsZero() && rt.owner == from {
		rt.failed, rt.failedUntil = from, now.Add(failedTime)
	}
	rt.owner = owner
	rt.named++
	if served || owner.IsZero() {
		rt.named = 0
	}
	switch {
	case served:
		rt.tries, rt.failed = 0, dfuident.Member{}
	case owner.IsZero():
		rt.tries++
		rt.askAt = now.Add(askAgainTime)
	case owner == from, rt.named > 1:
		rt.askAt = now.Add(askAgainTime)
	}
}

// Failed records that a node didn't reply.
func (r *Router) Failed(now dfuclock.Time, s Shard, to dfuident.Member) {
	rt := &r.routes[s]
	rt.failed, rt.failedUntil = to, now.Add(failedTime)
	rt.owner = dfuident.Member{}
	rt.tries++
	rt.askAt = now.Add(askAgainTime)
}
