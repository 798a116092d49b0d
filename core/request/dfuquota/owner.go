package dfuquota

import (
	"cmp"
	"math"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Stamp is the time of a grant by the owner's clock. Other nodes only return it.
type Stamp int64

// Item asks for tokens of one workspace, or returns some.
type Item struct {
	Workspace dfuident.Workspace
	// Need is the number of waiting requests, and Extra the number of tokens for requests
	// that are expected soon.
	Need, Extra int
	// Returns are the tokens that are no longer needed.
	Returns []Return
	// Limit applies if the owner's table has none for the workspace.
	Limit Limit
}

// Return is a number of tokens that were granted together.
type Return struct {
	Stamp  Stamp
	Tokens int
}

// Share is the reply to an Item.
type Share struct {
	Tokens int
	Stamp  Stamp
	// Wait is the time until the bucket has a token, if fewer were granted than asked for.
	Wait dfuclock.Duration
	// Uncertain is set if fewer were granted than needed although the quota may not be used
	// up: the owner has not had the shard for long enough, or has no limit.
	Uncertain bool
}

// Limits looks up the limit of a workspace. It returns false if there is none.
type Limits func(dfuident.Workspace) (Limit, bool)

// Owner holds the buckets of the shards that a node owns. It is not safe for concurrent
// use.
type Owner struct {
	bounds  Bounds
	buckets [ShardCount]map[dfuident.Workspace]*bucket
	// since holds the times from which tokens of the shards accumulate. advance is set if
	// buckets started with some then.
	since   [ShardCount]dfuclock.Time
	advance [ShardCount]bool
}

// Handover is what the new owner of a shard knows of its buckets. It is empty if the buckets
// have to start empty.
type Handover struct {
	// Age is the time for which tokens have accumulated in buckets that aren't listed.
	// Advance is set if these started with the tokens that the bounds leave for one takeover
	// in a window.
	Age     dfuclock.Duration
	Advance bool
	Levels  []Level
}

// Level is the state of a workspace's bucket.
type Level struct {
	Workspace       dfuident.Workspace
	Tokens, Missing float64
	Rate, Depth     float64
}

// bucket holds the tokens of one workspace, as of the time at.
type bucket struct {
	level float64
	// missing is the number of tokens that a bucket would have in addition if it had been
	// full when the owner acquired the shard.
	missing     float64
	rate, depth float64
	at          dfuclock.Time
	// grants holds the grants of the last tokenLife, in order.
	grants []grant
}

// grant is a number of tokens that were granted at once.
type grant struct {
	stamp  Stamp
	tokens int
	// spare is the least number of tokens that the bucket had room for since.
	spare float64
}

// NewOwner returns an Owner of no shards.
func NewOwner(bounds Bounds) *Owner {
	return &Owner{bounds: bounds}
}

// SetBounds replaces the bounds.
func (o *Owner) SetBounds(bounds Bounds) {
	o.bounds = bounds
}

// Acquire adds a shard with the buckets of a handover.
func (o *Owner) Acquire(s Shard, now dfuclock.Time, h Handover) {
	o.buckets[s] = make(map[dfuident.Workspace]*bucket)
	o.since[s], o.advance[s] = now.Add(-h.Age), h.Advance
	for _, l := range h.Levels {
		o.buckets[s][l.Workspace] = &bucket{level: l.Tokens, missing: l.Missing, rate: l.Rate, depth: l.Depth, at: now}
	}
}

// Release removes a shard and returns its buckets for the next owner. Tokens that are returned
// later are lost. If the Owner doesn't hold the shard, the handover is empty.
func (o *Owner) Release(s Shard, now dfuclock.Time) Handover {
	if o.buckets[s] == nil {
		return Handover{}
	}
	h := Handover{Age: now.Sub(o.since[s]), Advance: o.advance[s]}
	for w, b := range o.buckets[s] {
		b.fill(now, b.rate, b.depth)
		if b.level < b.depth { // full ones equal new ones
			h.Levels = append(h.Levels, Level{w, b.level, b.missing, b.rate, b.depth})
		}
	}
	slices.SortFunc(h.Levels, func(a, b Level) int { return cmp.Compare(a.Workspace, b.Workspace) })
	o.Drop(s)
	return h
}

// Drop removes a shard.
func (o *Owner) Drop(s Shard) {
	o.buckets[s] = nil
}

// Grant takes tokens for an item. It returns false if the Owner doesn't hold the shard of
// the workspace.
func (o *Owner) Grant(now dfuclock.Time, item Item, limits Limits) (Share, bool) {
	shard := ShardOf(item.Workspace)
	if o.buckets[shard] == nil {
		return Share{}, false
	}
	limit, ok := limits(item.Workspace)
	if !ok || limit.Rate <= 0 {
		limit = item.Limit
	}
	if limit.Rate <= 0 {
		return Share{Stamp: Stamp(now), Uncertain: true}, true
	}
	rate, depth := o.bounds.bucket(limit)
	b := o.buckets[shard][item.Workspace]
	if b == nil {
		b = &bucket{at: o.since[shard], missing: depth}
		if o.advance[shard] {
			b.level = o.bounds.advance(limit, rate, depth)
		}
		o.buckets[shard][item.Workspace] = b
	}
	b.fill(now, rate, depth)
	for _, r := range item.Returns {
		b.takeBack(r)
	}
	return b.grant(now, max(item.Need, 0), max(item.Extra, 0)), true
}

// grant takes tokens for waiting requests and extra ones.
func (b *bucket) grant(now dfuclock.Time, need, extra int) Share {
	share := Share{Tokens: min(need+extra, int(b.level)), Stamp: Stamp(now)}
	b.level -= float64(share.Tokens)
	if share.Tokens > 0 {
		b.grants = append(b.grants, grant{share.Stamp, share.Tokens, b.depth - b.level})
	}
	if share.Tokens < need+extra && b.rate > 0 {
		share.Wait = dfuclock.Duration(math.Ceil((1 - b.level) / b.rate * float64(dfuclock.Second)))
	}
	if refused := need - share.Tokens; refused > 0 && b.level+b.missing >= 1 {
		share.Uncertain = true
		b.missing = max(0, b.missing-float64(refused))
	}
	return share
}

// Workspaces returns the number of buckets.
func (o *Owner) Workspaces() int {
	n := 0
	for _, buckets := range o.buckets {
		n += len(buckets)
	}
	return n
}

// Sweep removes buckets that are full, which equal new ones.
func (o *Owner) Sweep(now dfuclock.Time) {
	for _, buckets := range o.buckets {
		for w, b := range buckets {
			if b.level+b.rate*seconds(now.Sub(b.at)) >= b.depth {
				delete(buckets, w)
			}
		}
	}
}

// fill adds the tokens since the last time, up to depth.
func (b *bucket) fill(now dfuclock.Time, rate, depth float64) {
	b.rate, b.depth = rate, depth
	b.level = min(depth, b.level+rate*seconds(now.Sub(b.at)))
	b.missing = min(b.missing, depth-b.level)
	b.at = now
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool { return now.Sub(dfuclock.Time(g.stamp)) > tokenLife })
	b.limitSpare()
}

func (b *bucket) limitSpare() {
	for i := range b.grants {
		b.grants[i].spare = min(b.grants[i].spare, b.depth-b.level)
	}
}

// takeBack adds returned tokens, unless they may have lapsed. The bucket then has at most as
// many as if they had not been granted: those that it had no room for since are lost.
func (b *bucket) takeBack(r Return) {
	i := slices.IndexFunc(b.grants, func(g grant) bool { return g.stamp == r.Stamp && g.tokens > 0 })
	if i < 0 || r.Tokens <= 0 {
		return
	}
	n := min(r.Tokens, b.grants[i].tokens)
	b.grants[i].tokens -= n
	added := min(float64(n), b.grants[i].spare)
	b.level += added
	for i := range b.grants {
		b.grants[i].spare = max(0, b.grants[i].spare-added)
	}
}
