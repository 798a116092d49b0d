package dfugate

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuheap"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfucrash"
	"dragonflyusher/core/request/dfuoutcome"
)

// Config holds the bounds of a gate.
type Config struct {
	// Limits are in force until the first LimitsChanged.
	Limits Limits
	// VerdictsMax bounds the finished and sealed ids that are remembered.
	VerdictsMax int
	// EntriesMax bounds the entry nodes that are remembered.
	EntriesMax int
	// LinkRate is what the link of the gate's VM carries; zero if that isn't known.
	LinkRate LinkRate
	// CrashWindow is how long before the report of a crash a connection to
	// the target may have broken because of it.
	CrashWindow dfuclock.Duration
	Crash       dfucrash.Config
	// AdmitQuantile is the quantile of the times of a kind's runs that a request
	// which has to wait must have left within its objective.
	AdmitQuantile float64
	// AllSlots keeps the gate using all slots of a target that slows down when
	// it is nearly full, and IgnorePace lets requests in however slow the target
	// is. Measurements compare with them.
	AllSlots   bool
	IgnorePace bool
}

// admitQuantile leaves out the slowest quarter of the runs: neighbors disturb a third
// of them, most of these not for long.
const admitQuantile = 0.75

// DefaultConfig returns the bounds used by a node.
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

// Load is what the gate tells others about its target.
type Load struct {
	InFlight uint16 `json:"in_flight"`
	Queued   uint16 `json:"queued"`
	Slots    uint16 `json:"slots"`
	// ServiceTime is the recent mean time of a run, without queueing.
	ServiceTime dfuclock.Duration `json:"service_time"`
	// Sequence grows with every event, so that a late report is recognized.
	Sequence uint32 `json:"sequence"`
	// Slowdown is how long work takes at the moment in percent of the usual
	// time; zero if the target hasn't told it lately.
	Slowdown uint16 `json:"slowdown,omitempty"`
}

// Machine is a gate. It is not safe for concurrent use.
type Machine struct {
	cfg  Config
	self dfuident.Member

	limits  Limits
	rate    rateLimit
	target  target
	service serviceTime
	kinds   map[dfuident.Kind]*runTimes
	pace    pace
	full    fullness
	// now is the time of the present step.
	now   dfuclock.Time
	crash *dfucrash.Tracker
	lost  []lostRun

	live map[dfuident.RequestID]*record
	// asking are the requests that wait for the target to tell its load.
	asking   []*record
	bodies   bodies
	claiming int
	// unwanted holds what to do if the claim of an id is granted that was
	// refused while its claim was asked for.
	unwanted map[dfuident.RequestID]ReleaseClaim
	queue    *queue
	running  []*record
	timers   *dfuheap.Heap[*record]
	ledger   *ledger

	draining bool
	drained  bool
	arrivals uint64
	sequence uint32
	actions  []Action
}

// target is the local target as it announced itself.
type target struct {
	up      bool
	service dfuident.Service
	slots   int
	// warm is how many slots may be used; it grows to slots while a cold
	// target completes requests.
	warm    int
	crashes uint64
}

// lostRun is a run whose connection broke, perhaps in a crash.
type lostRun struct {
	fingerprint dfucrash.Fingerprint
	at          dfuclock.Time
}

// lostMax bounds the lost runs that are remembered.
const lostMax = 64

// state is where a live request stands.
type state uint8

const (
	stateClaiming state = iota
	stateAsking
	stateHeld
	stateQueued
	stateRunning
)

// record is a live request.
type record struct {
	id          dfuident.RequestID
	service     dfuident.Service
	caller      dfuident.Caller
	class       Class
	key         dfuident.Key
	fingerprint dfucrash.Fingerprint
	kind        dfuident.Kind
	idempotent  bool
	noWait      bool
	nested      bool
	deadline    dfuclock.Time
	// objective is when an answer is no longer worth most, or zero.
	objective dfuclock.Time
	arrival   uint64
	// bodyLater says that the request's body, of so many bytes, is still to come.
	bodyLater bool
	bytes     dfuident.Bytes
	// heldUntil is when a request is given up whose body may not be sent.
	heldUntil dfuclock.Time

	state   state
	claimed bool
	started dfuclock.Time
	// startedLevel is how many slots were taken, this request's included, and
	// startedDisturbances how often the target had told that it is slow, when the
	// request was handed over.
	startedLevel        int
	startedDisturbances int
	// canceled is the reason for which the target was asked to stop.
	canceled   dfuoutcome.Reason
	queueIndex int
	timerIndex int
}

// New returns a gate without a target.
func New(cfg Config, self dfuident.Member) *Machine {
	m := &Machine{
		cfg:      cfg,
		self:     self,
		limits:   cfg.Limits,
		crash:    dfucrash.New(cfg.Crash),
		live:     make(map[dfuident.RequestID]*record),
		unwanted: make(map[dfuident.RequestID]ReleaseClaim),
		kinds:    make(map[dfuident.Kind]*runTimes),
		queue:    newQueue(),
		timers:   newTimers(),
		ledger:   newLedger(cfg.VerdictsMax, cfg.EntriesMax),
		bodies:   newBodies(cfg.LinkRate),
	}
	m.rate.change(0, cfg.Limits.RatePerSecond)
	return m
}

// Step takes an event and returns what is to be done. The actions are valid
// until the next Step.
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
	case TargetTold:
		m.targetTold(now, e.Load)
	case TargetSilent:
		m.targetSilent(now)
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
		m.limits = e.Limits
		m.rate.change(now, e.Limits.RatePerSecond)
	case DrainRequested:
		m.draining = true
		m.flush(dfuoutcome.ReasonDraining)
	case DrainCanceled:
		m.draining, m.drained = false, false
	case FingerprintBanned:
		m.crash.Ban(now, e.Fingerprint, e.For)
	case FingerprintCleared:
		m.crash.Completed(e.Fingerprint)
	case PeerCrashed:
		m.crash.Crashed(now, e.Crash, e.Fingerprints)
	case Tick:
		m.expire(now)
	}
	m.askForBodies(now)
	m.dispatch(now)
	m.checkDrained()
	return m.actions
}

// Next returns when the next Tick is due, if one is.
func (m *Machine) Next() (dfuclock.Time, bool) {
	next, due := m.bodies.next()
	sooner := func(t dfuclock.Time) {
		if !due || t < next {
			next, due = t, true
		}
	}
	if m.timers.Len() > 0 {
		sooner(m.timers.First().deadline)
	}
	if m.pace.askAt != 0 {
		sooner(m.pace.askAt)
	}
	return next, due
}

// Load returns the present load.
func (m *Machine) Load() Load {
	return Load{
		InFlight:    uint16(len(m.running)),
		Queued:      uint16(m.waiting()),
		Slots:       uint16(m.slots()),
		ServiceTime: m.service.mean(),
		Slowdown:    m.pace.recent(m.now),
		Sequence:    m.sequence,
	}
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) log(kind LogKind, id dfuident.RequestID) {
	m.emit(Log{Kind: kind, ID: id})
}

// waiting returns how many requests wait for a claim, their body or a slot.
func (m *Machine) waiting() int {
	return m.claiming + len(m.asking) + len(m.bodies.held) + len(m.bodies.expected) + m.queue.length
}

// slots returns how many requests may run at once now.
func (m *Machine) slots() int {
	if !m.target.up {
		return 0
	}
	n := min(m.target.slots, m.target.warm)
	if !m.cfg.AllSlots {
		n = min(n, m.full.limit(m.now, m.target.slots, m.pace.told))
	}
	if m.limits.Concurrency > 0 {
		n = min(n, m.limits.Concurrency)
	}
	return n
}
