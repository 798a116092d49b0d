package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Config holds the limits and intervals of a machine. All nodes of a service
// have the same.
type Config struct {
	// Shards is the number of shards of a table that this node creates.
	Shards int
	// Tolerance is how far in the future of the node's clock a key's birth may
	// lie.
	Tolerance dfuclock.Duration
	// Skew is the greatest difference between two nodes' wall clocks.
	Skew dfuclock.Duration
	// Window is how long after its birth a key's record is kept.
	Window dfuclock.Duration
	// AskRetry is the time after which an unanswered Ask is sent again.
	AskRetry dfuclock.Duration
	// CopyTimeout is the time after which a copy holder that answers no Ask is
	// replaced even if membership sees it alive.
	CopyTimeout dfuclock.Duration
	// AvoidTime is how long a copy holder replaced for that reason is not chosen
	// again.
	AvoidTime dfuclock.Duration
	// HandoverRetry is the time after which an unanswered Snapshot, Relinquish
	// or LeaveCopy is sent again.
	HandoverRetry dfuclock.Duration
	// PlanInterval is how often the machine compares the table with what it
	// should be.
	PlanInterval dfuclock.Duration
	// WriteSpread bounds the random wait before a write of the table, so that
	// nodes that react to the same event seldom conflict. It doubles with each
	// failure up to WriteSpreadLimit.
	WriteSpread      dfuclock.Duration
	WriteSpreadLimit dfuclock.Duration
	// ReadInterval is how often the table is read in case a notice was lost.
	ReadInterval dfuclock.Duration
	// RebalanceDelay is how long the roster must have been unchanged before
	// shards move for the sake of balance.
	RebalanceDelay dfuclock.Duration
	// Claims bounds the claims in flight: asked, waiting and running.
	Claims int
	Limits Limits
}

// Limits bound the memory of one shard.
type Limits struct {
	// Records is the number of records kept.
	Records int
	// AnswerBytes is the size of the largest answer kept for repeats.
	AnswerBytes dfuident.Bytes
	// ShardAnswerBytes is the size of all answers kept.
	ShardAnswerBytes dfuident.Bytes
}

// DefaultConfig returns the values used where the settings give none.
func DefaultConfig() Config {
	return Config{
		Shards:           32,
		Tolerance:        30 * dfuclock.Second,
		Skew:             5 * dfuclock.Second,
		Window:           24 * dfuclock.Hour,
		AskRetry:         50 * dfuclock.Millisecond,
		CopyTimeout:      2 * dfuclock.Second,
		AvoidTime:        dfuclock.Minute,
		HandoverRetry:    500 * dfuclock.Millisecond,
		PlanInterval:     100 * dfuclock.Millisecond,
		WriteSpread:      200 * dfuclock.Millisecond,
		WriteSpreadLimit: 5 * dfuclock.Second,
		ReadInterval:     dfuclock.Minute,
		RebalanceDelay:   10 * dfuclock.Second,
		Claims:           4096,
		Limits: Limits{
			Records:          8192,
			AnswerBytes:      4 << 10,
			ShardAnswerBytes: 1 << 20,
		},
	}
}
