package dfucatalogue

import (
	"regexp"
	"strconv"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
)

// The bounds of the values in an entry.
const (
	MaxConcurrency    = 10_000
	MaxRatePerS       = 1_000_000
	MaxQueue          = 100_000
	MaxBodyBytes      = 64 << 20
	MaxDeadline       = 10 * dfuclock.Minute
	MaxBytesPerS      = 1 << 30
	MaxPlannedTargets = 512
	MaxCallsPerS      = 1_000_000
	MinKeyWindow      = dfuclock.Second
	MaxKeyWindow      = 7 * 24 * dfuclock.Hour
	MaxDrain          = 1_000
	MaxOwnerLength    = 128
	MaxNodeLength     = 128
)

var serviceNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse parses and validates an entry in JSON. Omitted fields get their
// defaults. The error is a *dfufinding.Error that holds all findings, each at
// "file:line:col", or at its JSON path if file is empty.
func Parse(file string, data []byte) (Entry, error) {
	var findings dfufinding.List
	e := Defaults()
	positions := dfudecode.Strict(file, data, &e, &findings)
	if positions.Parsed() {
		c := checker{positions: positions, findings: &findings}
		c.entry(&e)
	}
	if err := findings.Err(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// Check validates the values of an entry. The error holds all findings, each at
// its JSON path.
func (e Entry) Check() error {
	var findings dfufinding.List
	c := checker{positions: new(dfudecode.Positions), findings: &findings}
	c.entry(&e)
	return findings.Err()
}

// checker collects the findings about one entry.
type checker struct {
	positions *dfudecode.Positions
	findings  *dfufinding.List
}

func (c *checker) add(path, format string, args ...any) {
	c.positions.Add(c.findings, path, format, args...)
}

func (c *checker) entry(e *Entry) {
	c.identity(e)
	c.limits(&e.Limits)
	c.measuring(&e.Measuring)
	c.checkRange("retry.budget_percent", int64(e.Retry.BudgetPercent), 0, 100)
	if e.Retry.Hedge && e.NonIdempotent {
		c.add("retry.hedge", "must be false for a non-idempotent service")
	}
	c.checkRange("key_window_ms", int64(e.KeyWindow), int64(MinKeyWindow), int64(MaxKeyWindow))
	c.drain(e.Drain)
}

func (c *checker) identity(e *Entry) {
	if !serviceNamePattern.MatchString(string(e.Service)) {
		c.add("service", "must be 1 to 63 lower-case letters, digits and hyphens, got %q", e.Service)
	}
	if e.Owner == "" || len(e.Owner) > MaxOwnerLength {
		c.add("owner", "must be 1 to %d bytes long", MaxOwnerLength)
	}
	switch e.Class {
	case ClassInteractive, ClassStandard, ClassBackground:
	default:
		c.add("class", "must be %q, %q or %q, got %q",
			ClassInteractive, ClassStandard, ClassBackground, e.Class)
	}
}

func (c *checker) limits(l *Limits) {
	c.checkRange("limits.concurrency", int64(l.Concurrency), 1, MaxConcurrency)
	c.checkRange("limits.rate_per_s", int64(l.RatePerS), 0, MaxRatePerS)
	c.checkRange("limits.queue", int64(l.Queue), 0, MaxQueue)
	c.checkRange("limits.body_bytes", int64(l.BodyBytes), 1, MaxBodyBytes)
	c.checkRange("limits.answer_bytes", int64(l.AnswerBytes), 1, MaxBodyBytes)
	c.checkRange("limits.deadline_ms", int64(l.Deadline), 1, int64(MaxDeadline))
}

func (c *checker) measuring(m *Measuring) {
	c.checkRange("measuring.bytes_per_s", int64(m.BytesPerS), 0, MaxBytesPerS)
	c.checkRange("measuring.calls_per_s", int64(m.CallsPerS), 0, MaxCallsPerS)
	c.checkRange("measuring.planned_targets", int64(m.PlannedTargets), 1, MaxPlannedTargets)
	c.checkRange("measuring.link_bytes_per_s", int64(m.LinkBytesPerS), 0, MaxBytesPerS)
	if m.LinkBytesPerS > m.BytesPerS {
		c.add("measuring.link_bytes_per_s", "must not exceed measuring.bytes_per_s, which is %d", m.BytesPerS)
	}
}

func (c *checker) drain(nodes []dfuident.NodeID) {
	if len(nodes) > MaxDrain {
		c.add("drain", "must name at most %d nodes, got %d", MaxDrain, len(nodes))
	}
	seen := make(map[dfuident.NodeID]bool, len(nodes))
	for i, n := range nodes {
		path := "drain[" + strconv.Itoa(i) + "]"
		if n == "" || len(n) > MaxNodeLength {
			c.add(path, "must be a node id of 1 to %d bytes", MaxNodeLength)
		}
		if seen[n] {
			c.add(path, "names node %q again", n)
		}
		seen[n] = true
	}
}

func (c *checker) checkRange(path string, got, low, high int64) {
	if got < low || got > high {
		c.add(path, "must be %d to %d, got %d", low, high, got)
	}
}
