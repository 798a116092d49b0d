package dfugate

import (
	"math"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/process/dfustop"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// Config holds the limits and settings of a gate.
type Config struct {
	// Limits apply until the first LimitsChanged.
	Limits Limits
	// VerdictsMax is the maximum number of finished and sealed IDs kept. It also
	// limits the pending releases of claims whose requests were refused while waiting
	// for them.
	VerdictsMax int
	// EntriesMax is the maximum number of entry nodes kept.
	EntriesMax int
	// LinkRate is the capacity of the network link of the gate's VM, or zero if
	// unknown.
	LinkRate LinkRate
	// CrashWindow is how long before a crash report a lost connection to the
	// target is still attributed to that crash.
	CrashWindow dfuclock.Duration
	Crash       dfucrash.Config
	// AdmitQuantile is the quantile of the run times of a request's kind. A request
	// that has to queue is admitted only if a run of that length still fits its
	// objective.
	AdmitQuantile float64
	// AwaitEvacuations makes the gate refuse all requests until the first
	// EvacuationChanged.
	AwaitEvacuations bool
	// IgnoreSaturation makes the gate use all slots even if the target slows down
	// under high load. IgnoreSlowdown makes it ignore the slowdown that the target
	// reports. Both exist for comparison measurements.
	IgnoreSaturation bool
	IgnoreSlowdown   bool
}

// admitQuantile excludes the slowest quarter of the runs. Noisy neighbors affect a
// third of all runs, most of them only briefly.
const admitQuantile = 0.75

// DefaultConfig returns the configuration used by a node.
func DefaultConfig() Config {
	return Config{
		Limits:      Limits{Queue: 64},
		VerdictsMax: 16384,
		EntriesMax:  4096,
		CrashWindow: dfuclock.Second,
		Crash:       dfucrash.DefaultConfig(),

		AdmitQuantile: admitQuantile,
	}
}

// Load is the load of a target as its gate reports it to other nodes.
type Load struct {
	InFlight uint16 `json:"in_flight"`
	Queued   uint16 `json:"queued"`
	Slots    uint16 `json:"slots"`
	// ServiceTime is the recent mean run time, excluding time in the queue.
	ServiceTime dfuclock.Duration `json:"service_time"`
	// Sequence increases with every event, so that outdated reports can be
	// detected.
	Sequence uint32 `json:"sequence"`
	// Slowdown is the current processing time in percent of the normal one, or zero
	// if the target hasn't reported it recently.
	Slowdown uint16 `json:"slowdown,omitempty"`
}

// Machine is the state machine of a gate. It is not safe for concurrent use.
type Machine struct {
	cfg  Config
	self dfuident.Member

	limits          Limits
	rate            tokenBucket
	targetLimit     targetLimit
	cold            cold
	target          target
	meanServiceTime serviceTime
	runTimesByKind  map[dfuident.Kind]*runTimeEstimates
	slowdown        slowdown
	saturation      saturationDetector
	// now is the time of the current step.
	now      dfuclock.Time
	crash    *dfucrash.Tracker
	lostRuns []lostRun

	live map[dfuident.RequestID]*request
	// awaitingLoad holds the requests that wait for the target to report its load.
	awaitingLoad  []*request
	bodyWindow    bodyWindow
	awaitingClaim int
	// pendingReleases holds, by ID, the releases to emit if a claim is granted
	// after its request was refused.
	pendingReleases map[dfuident.RequestID]ReleaseClaim
	queue           *queue
	running         []*request
	timers          *dfuheap.Heap[*request]
	outcomes        *outcomes

	// evacuated is the reason to refuse all requests while the zone is evacuated or that is
	// not known yet, otherwise ReasonNone.
	evacuated dfuoutcome.Reason

	draining bool
	drained  bool
	stop     dfustop.Schedule
	arrivals uint64
	sequence uint32
	actions  []Action
}

// target is the state of the local target, as announced.
type target struct {
	up      bool
	service dfuident.Service
	slots   int
	// warmSlots is the number of slots that may be used. It grows up to slots as a
	// cold target completes requests.
	warmSlots int
	crashes   uint64
}

// lostRun is a run whose connection was lost, possibly because the target crashed.
type lostRun struct {
	fingerprint dfucrash.Fingerprint
	at          dfuclock.Time
}

// lostRunsMax is the maximum number of lost runs kept.
const lostRunsMax = 64

// state is the state of a live request.
type state uint8

const (
	stateAwaitingClaim state = iota
	stateAwaitingLoad
	stateAwaitingBody
	stateQueued
	stateRunning
)

// request is a live request: it was offered and is neither refused nor completed.
type request struct {
	id          dfuident.RequestID
	service     dfuident.Service
	flow        flow
	weight      float64
	class       Class
	key         dfuident.Key
	fingerprint dfucrash.Fingerprint
	kind        dfuident.Kind
	idempotent  bool
	noWait      bool
	nested      bool
	deadline    dfuclock.Time
	// objective is the time after which an answer loses value, or zero.
	objective dfuclock.Time
	arrival   uint64
	// bodyLater is set if the request was offered without its body, whose size is
	// bytes.
	bodyLater bool
	bytes     dfuident.Bytes
	// bodyWaitUntil is when a request in stateAwaitingBody is refused.
	bodyWaitUntil dfuclock.Time

	state   state
	claimed bool
	started dfuclock.Time
	// startedInUse is the number of slots in use when the request started, including
	// its own. startedSlowReports is slowdown.slowReports at that time, less one if
	// the target was slow.
	startedInUse       int
	startedSlowReports int
	// canceled is the reason why the target was asked to stop the request.
	canceled   dfuoutcome.Reason
	queueIndex int
	timerIndex int
}

// New returns a gate whose target has not been announced yet.
func New(cfg Config, self dfuident.Member) *Machine {
	m := &Machine{
		cfg:             cfg,
		self:            self,
		limits:          cfg.Limits,
		crash:           dfucrash.New(cfg.Crash),
		live:            make(map[dfuident.RequestID]*request),
		pendingReleases: make(map[dfuident.RequestID]ReleaseClaim),
		runTimesByKind:  make(map[dfuident.Kind]*runTimeEstimates),
		queue:           newQueue(),
		timers:          newTimers(),
		outcomes:        newOutcomes(cfg.VerdictsMax, cfg.EntriesMax),
		bodyWindow:      newBodyWindow(cfg.LinkRate),
	}
	m.rate.fill(0, Rate(cfg.Limits.RatePerSecond))
	if cfg.AwaitEvacuations {
		m.evacuated = dfuoutcome.ReasonNoLocalTarget
	}
	return m
}

// Step processes an event and returns the resulting actions. The returned slice is
// valid until the next call.
func (m *Machine) Step(now dfuclock.Time, event Event) []Action {
	m.actions = m.actions[:0]
	m.now = now
	m.sequence++
	switch e := event.(type) {
	case Offer:
		m.offer(now, e)
	case Cancel:
		m.cancel(now, e)
	case Seal:
		m.seal(now, e)
	case TargetDone:
		m.targetDone(now, e)
	case TargetFailed:
		m.targetFailed(now, e)
	case TargetLoadReported:
		m.loadReported(now, e.Load)
	case TargetLoadUnavailable:
		m.loadUnavailable(now)
	case ColdLimitChanged:
		m.cold.setLimit(now, e.Limit)
	case TargetAnnounced:
		m.targetAnnounced(e)
	case TargetWithdrawn:
		m.targetWithdrawn()
	case TargetCrashed:
		m.targetCrashed(now)
	case ClaimGranted:
		m.claimGranted(e.ID)
	case ClaimDenied:
		m.claimDenied(e)
	case LimitsChanged:
		m.limitsChanged(now, e.Limits)
	case DrainRequested:
		m.drain()
	case DrainCanceled:
		m.draining, m.drained = false, false
	case EvacuationChanged:
		m.evacuationChanged(now, e)
	case StopScheduled:
		m.stop = e.Schedule
	case FingerprintBanned:
		m.crash.Ban(now, e.Fingerprint, e.For)
	case FingerprintCleared:
		m.crash.ClearSuspect(e.Fingerprint)
	case PeerCrashed:
		m.crash.RecordCrash(now, e.Crash, e.Fingerprints)
	case Tick:
		m.expireDeadlines(now)
	}
	m.advance(now)
	return m.actions
}

// advance starts what can start after an event.
func (m *Machine) advance(now dfuclock.Time) {
	m.requestBodies(now)
	m.dispatch(now)
	m.checkDrained()
}

func (m *Machine) limitsChanged(now dfuclock.Time, limits Limits) {
	m.limits = limits
	m.rate.fill(now, Rate(limits.RatePerSecond))
}

func (m *Machine) drain() {
	m.draining = true
	m.refuseWaiting(dfuoutcome.ReasonDraining)
}

// Next returns the time of the next Tick, or false if none is needed.
func (m *Machine) Next() (dfuclock.Time, bool) {
	next, due := m.bodyWindow.next()
	consider := func(t dfuclock.Time) {
		if !due || t < next {
			next, due = t, true
		}
	}
	if m.timers.Len() > 0 {
		consider(m.timers.Peek().deadline)
	}
	if m.slowdown.nextRequestAt != 0 {
		consider(m.slowdown.nextRequestAt)
	}
	if at, limited := m.nextTokenAt(); limited {
		consider(at)
	}
	return next, due
}

// Load returns the current load.
func (m *Machine) Load() Load {
	return Load{
		InFlight:    uint16(len(m.running)),
		Queued:      uint16(min(m.queuedWithLimit(), math.MaxUint16)),
		Slots:       uint16(m.slots()),
		ServiceTime: m.meanServiceTime.mean(),
		Slowdown:    m.slowdown.currentPercent(m.now),
		Sequence:    m.sequence,
	}
}

// BanCount returns the number of fingerprints that are refused because their requests
// crashed targets.
func (m *Machine) BanCount(now dfuclock.Time) int {
	return m.crash.BanCount(now)
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) log(kind LogKind, id dfuident.RequestID) {
	m.emit(Log{Kind: kind, ID: id})
}

// waiting returns the number of requests that wait for a claim, the target's load,
// their body or a slot.
func (m *Machine) waiting() int {
	return m.awaitingClaim + len(m.awaitingLoad) + len(m.bodyWindow.pending) + len(m.bodyWindow.inFlight) + m.queue.length
}

// slots returns the current maximum of concurrently running requests.
func (m *Machine) slots() int {
	if !m.target.up {
		return 0
	}
	n := min(m.target.slots, m.target.warmSlots)
	if !m.cfg.IgnoreSaturation {
		n = min(n, m.saturation.limit(m.now, m.target.slots, m.slowdown.reported))
	}
	if m.limits.Concurrency > 0 {
		n = min(n, m.limits.Concurrency)
	}
	return n
}
