package dfucatalogue

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Class is the priority class of a service. Under overload, requests of a lower
// class are shed first.
type Class string

// The classes, highest first.
const (
	ClassInteractive Class = "interactive"
	ClassStandard    Class = "standard"
	ClassBackground  Class = "background"
)

// Rank returns 0 for the highest class and greater numbers for lower ones. An
// unknown class ranks lowest.
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

// Entry is the operators' configuration of one service.
type Entry struct {
	Service dfuident.Service `json:"service"`
	Owner   dfuident.Owner   `json:"owner"`
	Class   Class            `json:"class"`
	// NonIdempotent services run each idempotency key at most once.
	NonIdempotent bool      `json:"non_idempotent"`
	Limits        Limits    `json:"limits"`
	Measuring     Measuring `json:"measuring"`
	Retry         Retry     `json:"retry"`
	// KeyWindow is how long an idempotency key is remembered, counted from the
	// creation time embedded in the key. An older key is rejected and never run
	// again.
	KeyWindow dfuclock.Duration `json:"key_window_ms"`
	// ClaimEpoch is raised by an operator to confirm that the processes of
	// shard holders that appear dead have ended, so that other nodes may take
	// over their shards.
	ClaimEpoch uint64 `json:"claim_epoch"`
	// Drain lists the nodes whose target must not receive new requests. Nil
	// means that the list was omitted.
	Drain []dfuident.NodeID `json:"drain"`
}

// Limits bounds the load of one service on each of its targets.
type Limits struct {
	// Concurrency is the maximum number of requests that one target runs
	// concurrently.
	Concurrency int `json:"concurrency"`
	// RatePerS is the maximum number of requests that one target starts per
	// second. Zero means no limit.
	RatePerS int `json:"rate_per_s"`
	// Queue is the maximum number of requests queued for one target. Zero
	// disables the queue.
	Queue int `json:"queue"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes dfuident.Bytes `json:"body_bytes"`
	// AnswerBytes is the maximum size of an answer body.
	AnswerBytes dfuident.Bytes `json:"answer_bytes"`
	// Deadline is the maximum duration of a request. A longer deadline
	// requested by a caller is reduced to it.
	Deadline dfuclock.Duration `json:"deadline_ms"`
}

// Measuring is the budget of the entire fleet for measuring the targets of one
// service: probes, load reports, health polls and their replies.
type Measuring struct {
	BytesPerS dfuident.Bytes `json:"bytes_per_s"`
	CallsPerS int            `json:"calls_per_s"`
	// LinkBytesPerS is the part of BytesPerS that may cross the link between
	// regions.
	LinkBytesPerS dfuident.Bytes `json:"link_bytes_per_s"`
	// PlannedTargets is the maximum number of targets that the service will
	// have in one region. The budget is divided on this basis.
	PlannedTargets int `json:"planned_targets"`
}

// Retry limits the additional attempts that the system makes on its own.
type Retry struct {
	// BudgetPercent is the maximum number of additional attempts as a
	// percentage of first attempts.
	BudgetPercent int `json:"budget_percent"`
	// Hedge allows a second attempt to start before the first has failed.
	Hedge bool `json:"hedge"`
}

// The defaults of omitted fields.
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

// Defaults returns an entry with default values. Service and Owner are empty.
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

// WithMaxLimits returns the entry of a service that is only in a route table.
// Its limits are the greatest allowed, since the route and the slots of the
// targets bound its requests.
func WithMaxLimits(s dfuident.Service) Entry {
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

// WithDefaults returns the entry with zero values replaced by defaults where
// zero is invalid. It is for entries built in Go; Parse distinguishes an
// omitted field from one set to zero.
func (e Entry) WithDefaults() Entry {
	d := Defaults()
	setDefault(&e.Class, d.Class)
	setDefault(&e.Limits.Concurrency, d.Limits.Concurrency)
	setDefault(&e.Limits.BodyBytes, d.Limits.BodyBytes)
	setDefault(&e.Limits.AnswerBytes, d.Limits.AnswerBytes)
	setDefault(&e.Limits.Deadline, d.Limits.Deadline)
	setDefault(&e.Measuring.PlannedTargets, d.Measuring.PlannedTargets)
	setDefault(&e.KeyWindow, d.KeyWindow)
	return e
}

// Inherit returns the entry with the drain list and the claim epoch of the
// current version, unless the entry sets them itself. The drain command edits
// the drain list, and the claim epoch never decreases.
func (e Entry) Inherit(current Entry) Entry {
	if e.Drain == nil {
		e.Drain = current.Drain
	}
	if e.ClaimEpoch == 0 {
		e.ClaimEpoch = current.ClaimEpoch
	}
	return e
}

// setDefault sets a zero field to its default.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
