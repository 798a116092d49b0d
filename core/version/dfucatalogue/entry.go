package dfucatalogue

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Class ranks a service: under overload, work of a lower class is shed first.
type Class string

// The classes, highest first.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBackground  Class = "background"
)

// Rank returns 0 for the highest class and more for lower ones. An unknown
// class ranks lowest.
func (c Class) Rank() int {
	switch c {
	case ClassInteractive:
		return 0
	case ClassStandard:
		return 1
	default:
		return 2
	}
}

// Entry is everything operators say about one service.
type Entry struct {
	Service dfuident.Service `json:"service"`
	Owner   dfuident.Owner   `json:"owner"`
	Class   Class            `json:"class"`
	// NonIdempotent services run each idempotency key at most once.
	NonIdempotent bool      `json:"non_idempotent"`
	Limits        Limits    `json:"limits"`
	Measuring     Measuring `json:"measuring"`
	Retry         Retry     `json:"retry"`
	// KeyWindow is how long after its first use an idempotency key is
	// remembered. An older key is refused and never run again.
	KeyWindow dfuclock.Duration `json:"key_window_ms"`
	// ClaimEpoch is raised by an operator who gives up on the claims that
	// earlier owners may hold.
	ClaimEpoch uint64 `json:"claim_epoch"`
	// Drain lists the nodes whose target is to receive no new requests. Nil
	// stands for a list that was left out.
	Drain []dfuident.NodeID `json:"drain"`
}

// Limits bounds the work of one service at each of its targets.
type Limits struct {
	// Concurrency is the most requests that one target runs at once.
	Concurrency int `json:"concurrency"`
	// RatePerS is the most requests that one target starts in a second; zero
	// means no limit.
	RatePerS int `json:"rate_per_s"`
	// Queue is the most requests that wait for one target; zero means none.
	Queue int `json:"queue"`
	// BodyBytes is the largest body of a request.
	BodyBytes dfuident.Bytes `json:"body_bytes"`
	// AnswerBytes is the largest body of an answer.
	AnswerBytes dfuident.Bytes `json:"answer_bytes"`
	// Deadline is the longest time that a request may take. A longer one that
	// a caller asks for is cut to it.
	Deadline dfuclock.Duration `json:"deadline_ms"`
}

// Measuring is the budget of the whole fleet for measuring one service's
// targets: probes, load reports, health polls and their replies.
type Measuring struct {
	BytesPerS dfuident.Bytes `json:"bytes_per_s"`
	CallsPerS int            `json:"calls_per_s"`
	// LinkBytesPerS is the part of BytesPerS that may cross the link between
	// regions.
	LinkBytesPerS dfuident.Bytes `json:"link_bytes_per_s"`
	// PlannedTargets is the most targets of the service that one region ever
	// has. The budget is shared out by it.
	PlannedTargets int `json:"planned_targets"`
}

// Retry bounds the extra attempts that the system makes by itself.
type Retry struct {
	// BudgetPercent is the most extra attempts in percent of first attempts.
	BudgetPercent int `json:"budget_percent"`
	// Hedge allows a second attempt before the first has failed.
	Hedge bool `json:"hedge"`
}

// The values of fields that an entry leaves out.
const (
	DefaultConcurrency    = 8
	DefaultQueue          = 32
	DefaultBodyBytes      = 1 << 20
	DefaultAnswerBytes    = 4 << 20
	DefaultDeadline       = 10 * dfuclock.Second
	DefaultBytesPerS      = 20_000
	DefaultCallsPerS      = 200
	DefaultLinkBytesPerS  = 2_000
	DefaultPlannedTargets = 16
	DefaultRetryPercent   = 10
	DefaultKeyWindow      = 10 * dfuclock.Minute
)

// Defaults returns an entry of which only the service and owner are missing.
func Defaults() Entry {
	return Entry{
		Class: ClassStandard,
		Limits: Limits{
			Concurrency: DefaultConcurrency,
			Queue:       DefaultQueue,
			BodyBytes:   DefaultBodyBytes,
			AnswerBytes: DefaultAnswerBytes,
			Deadline:    DefaultDeadline,
		},
		Measuring: Measuring{
			BytesPerS:      DefaultBytesPerS,
			CallsPerS:      DefaultCallsPerS,
			LinkBytesPerS:  DefaultLinkBytesPerS,
			PlannedTargets: DefaultPlannedTargets,
		},
		Retry:     Retry{BudgetPercent: DefaultRetryPercent},
		KeyWindow: DefaultKeyWindow,
	}
}

// Unbounded returns the entry of a service that operators name only in a table
// of routes: its requests are bounded by their route and by its targets' slots.
func Unbounded(s dfuident.Service) Entry {
	e := Defaults()
	e.Service = s
	e.Limits = Limits{
		Concurrency: MaxConcurrency,
		Queue:       MaxQueue,
		BodyBytes:   MaxBodyBytes,
		AnswerBytes: MaxBodyBytes,
		Deadline:    MaxDeadline,
	}
	return e
}

// WithDefaults returns the entry with defaults in place of those zero values
// that are not valid. It serves entries that are built in Go; Parse tells a
// field that was left out from one that was set to zero.
func (e Entry) WithDefaults() Entry {
	d := Defaults()
	fill(&e.Class, d.Class)
	fill(&e.Limits.Concurrency, d.Limits.Concurrency)
	fill(&e.Limits.BodyBytes, d.Limits.BodyBytes)
	fill(&e.Limits.AnswerBytes, d.Limits.AnswerBytes)
	fill(&e.Limits.Deadline, d.Limits.Deadline)
	fill(&e.Measuring.PlannedTargets, d.Measuring.PlannedTargets)
	fill(&e.KeyWindow, d.KeyWindow)
	return e
}

// Inherit returns the entry with the fields that are kept from one version to
// the next unless the new one sets them: the drain list, which the drain command
// edits, and the claim epoch, which never falls.
func (e Entry) Inherit(current Entry) Entry {
	if e.Drain == nil {
		e.Drain = current.Drain
	}
	if e.ClaimEpoch == 0 {
		e.ClaimEpoch = current.ClaimEpoch
	}
	return e
}

// fill sets a zero field to its default.
func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
