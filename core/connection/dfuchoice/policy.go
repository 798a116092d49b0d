package dfuchoice

// Policy is a target selection algorithm. All of them are kept so that they can
// be compared in one run.
//
//sumtype:decl
type Policy interface {
	isPolicy()
}

// Random picks a target uniformly at random.
type Random struct {
	// Regional excludes other regions as long as the entry node's region has a
	// target.
	Regional bool
}

// RoundRobin cycles through the targets.
type RoundRobin struct {
	// Regional excludes other regions as long as the entry node's region has a
	// target.
	Regional bool
}

// LeastReported picks the target with the lowest load in its last report.
type LeastReported struct {
	// Regional excludes other regions as long as the entry node's region has a
	// target.
	Regional bool
}

// TwoChoicesOnReports draws two targets at random and picks the one with the
// lower load in its last report.
type TwoChoicesOnReports struct {
	// Regional excludes other regions as long as the entry node's region has a
	// target.
	Regional bool
}

// TwoChoices is LateBinding with two draws.
type TwoChoices struct{}

// LateBinding draws several targets of a region at random and picks the one
// with the lowest expected response time, which is based on this node's
// in-flight counts and the most recent load and corrected by observed
// latencies. It relies on the targets' nodes to refuse requests that they can't
// run in time.
type LateBinding struct {
	// Draws is the number of targets of a region that are compared on the first
	// attempt. Later attempts compare all of them.
	Draws int
}

// MinLoss picks the target with the lowest expected loss: the probability that
// the answer misses its objective, given the wait for a slot, the target's
// current speed and the network delay, plus the cost of the bytes sent. The
// target's node refuses the request if no slot is free or the target is
// currently slowed down. The request waits in a queue only if a target that
// refused it still has the lowest expected loss.
type MinLoss struct{}

func (Random) isPolicy()              {}
func (RoundRobin) isPolicy()          {}
func (LeastReported) isPolicy()       {}
func (TwoChoicesOnReports) isPolicy() {}
func (TwoChoices) isPolicy()          {}
func (LateBinding) isPolicy()         {}
func (MinLoss) isPolicy()             {}
