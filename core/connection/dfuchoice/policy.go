package dfuchoice

// Policy is one way to choose among targets. The versions stand side by side
// so that one run can measure them against each other.
//
//sumtype:decl
type Policy interface {
	isPolicy()
}

// Random picks any target with equal chance.
type Random struct {
	// Regional leaves out other regions while the own one has a target left.
	Regional bool
}

// RoundRobin takes the targets in turn.
type RoundRobin struct {
	// Regional leaves out other regions while the own one has a target left.
	Regional bool
}

// LeastReported picks the target with the least load in its last report.
type LeastReported struct {
	// Regional leaves out other regions while the own one has a target left.
	Regional bool
}

// TwoChoicesOnReports draws two targets and picks the one with less load in
// its last report.
type TwoChoicesOnReports struct {
	// Regional leaves out other regions while the own one has a target left.
	Regional bool
}

// TwoChoices draws two targets of the region and picks the one with less
// expected response time, by own in-flight counts and the freshest load.
type TwoChoices struct{}

// LateBinding picks by expected response time among several drawn targets,
// corrects the expectation by observed latencies, and relies on the targets'
// nodes to refuse what they can't run in time.
type LateBinding struct {
	// Draws is the number of targets compared in each region.
	Draws int
}

// Paced sends a request to the target where the least is lost: the chance that
// the answer misses its objective, by the wait for a slot, the work at the
// target's pace and the network, and the price of the bytes. The target's gate refuses it if it has no free slot or is
// slowed down at the moment. The request waits only at a target that still costs
// least after it refused.
type Paced struct{}

func (Random) isPolicy()              {}
func (RoundRobin) isPolicy()          {}
func (LeastReported) isPolicy()       {}
func (TwoChoicesOnReports) isPolicy() {}
func (TwoChoices) isPolicy()          {}
func (LateBinding) isPolicy()         {}
func (Paced) isPolicy()               {}
