package dfuquota

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShardCount is the number of shards. All nodes have to use the same number.
	ShardCount = 16
	// tokenLife is the time within which a granted token may be spent.
	tokenLife = 500 * dfuclock.Millisecond
	// LeaseTTL is the time to live of an owner's lease.
	LeaseTTL = 4 * dfuclock.Second
	// leaseMargin is the part of LeaseTTL in which an owner grants nothing any more, in
	// case its clock runs slower than that of the store.
	leaseMargin = 200 * dfuclock.Millisecond
)

// Shard is the index of a shard.
type Shard int

// ShardOf returns the shard of a workspace.
func ShardOf(w dfuident.Workspace) Shard {
	return Shard(xxhash.Sum64String(string(w)) % ShardCount)
}

// Limit is the quota of a workspace: Rate requests per second, of which Burst may come at
// once.
type Limit struct {
	Rate, Burst float64
}

// Bounds states how far the requests of a workspace in any window may exceed its quota: to
// 1 + Overage times the quota, plus Tolerance.
type Bounds struct {
	Window             dfuclock.Duration
	Overage, Tolerance float64
}

// bucket returns the rate in tokens per second and the capacity of a workspace's bucket. Half
// of the tolerance is added to the burst, so that requests within the quota aren't refused
// because tokens are held by other nodes. In any window, depth + rate × (window + tokenLife)
// requests run at most. If one token is too many for that at the rate of the quota, the rate
// is reduced.
func (b Bounds) bucket(l Limit) (rate, depth float64) {
	window, life := seconds(b.Window), seconds(tokenLife)
	allowed := b.allowed(l)
	depth = min(l.Burst+b.Tolerance/2, allowed-l.Rate*(window+life))
	if depth >= 1 {
		return l.Rate, depth
	}
	return min(l.Rate, max(0, allowed-1)/(window+life)), 1
}

// allowed returns the number of requests of a workspace that may run in a window.
func (b Bounds) allowed(l Limit) float64 {
	return (l.Rate*seconds(b.Window)+l.Burst)*(1+b.Overage) + b.Tolerance
}

// advance returns the number of tokens with which a bucket of that rate and depth may start
// once in a window, although the former owner may have granted as many as it could.
func (b Bounds) advance(l Limit, rate, depth float64) float64 {
	return min(depth, max(0, b.allowed(l)-depth-rate*seconds(b.span())))
}

// span is the time in which the tokens are granted whose requests run in one window.
func (b Bounds) span() dfuclock.Duration {
	return b.Window + tokenLife
}

func seconds(d dfuclock.Duration) float64 {
	return float64(d) / float64(dfuclock.Second)
}
