package dfuclaim

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Config holds the limits and intervals of a Machine. All nodes of a service use
// the same values.
type Config struct {
	// Shards is the number of shards in a table that this node creates.
	Shards int
	// Tolerance is how far the creation time of a key may be ahead of the node's
	// clock.
	Tolerance dfuclock.Duration
	// Skew is the maximum difference between the wall clocks of two nodes.
	Skew dfuclock.Duration
	// Window is how long a record is kept, counted from the creation time of its
	// key.
	Window dfuclock.Duration
	// AskRetry is the time after which an unanswered Ask is sent again.
	AskRetry dfuclock.Duration
	// CopyTimeout is the time after which a copy holder that answers no Ask is
	// replaced, even if membership reports it as alive.
	CopyTimeout dfuclock.Duration
	// AvoidTime is how long a copy holder that exceeded CopyTimeout is not chosen
	// again if there is any other candidate.
	AvoidTime dfuclock.Duration
	// HandoverRetry is the time after which an unanswered Snapshot, Relinquish
	// or LeaveCopy is sent again.
	HandoverRetry dfuclock.Duration
	// PlanInterval is how often the machine compares the table with the desired
	// table.
	PlanInterval dfuclock.Duration
	// WriteSpread is the maximum random delay before a write of the table, so that
	// writes of nodes that react to the same event seldom conflict. The maximum
	// doubles with each failure, up to WriteSpreadLimit.
	WriteSpread      dfuclock.Duration
	WriteSpreadLimit dfuclock.Duration
	// ReadInterval is how often the table is read in case a TableNotice was lost.
	ReadInterval dfuclock.Duration
	// RebalanceDelay is how long the roster must have been unchanged before
	// shards are moved to balance the load.
	RebalanceDelay dfuclock.Duration
	// Claims is the maximum number of claims in flight: those that await an
	// acknowledgement, wait for an earlier request or run.
	Claims int
	Limits Limits
}

// Limits bounds the memory of one shard.
type Limits struct {
	// Records is the maximum number of records.
	Records int
	// AnswerBytes is the maximum size of an answer that is kept for replay.
	AnswerBytes dfuident.Bytes
	// ShardAnswerBytes is the maximum total size of the answers kept.
	ShardAnswerBytes dfuident.Bytes
}

// DefaultConfig returns the values used if the settings give none.
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
