package dfunode

import (
	"cmp"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfudecode"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfugate"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfuinstance"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/connection/dfutarget"
	"dragonflyusher/io/process/dfusettings"
	"dragonflyusher/io/request/dfuadmission"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

const (
	// defaultAnnouncementTTL is how long a target stays in the roster after an
	// announcement if the settings don't give a heartbeat period.
	defaultAnnouncementTTL = 3 * dfuclock.Second
	// heartbeatsPerTTL is the time to live of an announcement in heartbeat periods.
	// It exceeds one period because an announcement may be seconds late.
	heartbeatsPerTTL = 4
	// expiryCheckPeriod is how often the announcement of the target is checked for
	// expiry.
	expiryCheckPeriod = 500 * time.Millisecond
	// slowStartPeriod is how long a target that announces itself as cold gets a
	// reduced load.
	slowStartPeriod = 10 * dfuclock.Second
	// maxIdleTargetConns bounds the idle connections to the local target.
	maxIdleTargetConns = 64
)

// Announcement is the body of POST /dragonflyusher/target, by which a target
// registers at the node on its VM.
type Announcement struct {
	Service  dfuident.Service `json:"service"`
	Address  dfuident.Address `json:"address"`
	Slots    int              `json:"slots"`
	Cold     bool             `json:"cold"`
	Draining bool             `json:"draining"`
}

// toInstanceAnnouncement converts the announcement to one without an instance and
// a sequence number.
func (a Announcement) toInstanceAnnouncement() dfuinstance.Announcement {
	i := dfuinstance.Announcement{Service: a.Service, Address: a.Address, Slots: a.Slots, Draining: a.Draining}
	if a.Cold {
		i.ColdFor = slowStartPeriod
	}
	return i
}

// advertisedTarget is the state of the local target that is sent to other nodes.
type advertisedTarget struct {
	Service  dfuident.Service
	Slots    int
	Draining bool
	ColdFor  dfuclock.Duration
}

// localTarget tracks the local target: whether it is present, and whether it has to
// drain, which the target, an operator or the stop of the node can request.
type localTarget struct {
	self           dfuident.Member
	clock          dfuclock.Clock
	log            *zap.Logger
	gate           *dfuadmission.Controller
	cfg            dfutarget.Config
	targetSettings func() dfusettings.Target
	advertise      func(advertisedTarget)
	// healthPath returns the path of the target's health check, or "" while it is not
	// known.
	healthPath func() string
	// coldLimit returns what a target of a service tolerates while it is cold.
	coldLimit func(dfuident.Service) dfugate.ColdLimit

	mu        sync.Mutex
	confirmer *dfuinstance.Confirmer
	tracker   dfuinstance.Tracker
	// present is set while current, the newest announcement, is neither withdrawn
	// nor expired.
	present       bool
	current       dfuinstance.Announcement
	lastAnnounced dfuclock.Time
	// departures holds the runs that have stated in a response that they are leaving.
	departures    dfuinstance.Departures
	operatorDrain bool
	stopping      bool
	draining      bool
	limits        dfugate.Limits
	budget        dfubudget.Budget
	evacuation    evacuationState
	// coldFor is how much longer the target is cold by the gate's state, when that was
	// last advertised.
	coldFor dfuclock.Duration
}

// applyUnnumbered applies an announcement of a target that doesn't number them:
// each is treated as newer than the one before.
func (t *localTarget) applyUnnumbered(a dfuinstance.Announcement) {
	t.mu.Lock()
	a.Sequence = t.current.Sequence + 1
	t.mu.Unlock()
	t.applyAnnouncement(a)
}

// applyAnnouncement applies an announcement, after a check of the target if the
// announcement may have been sent before the target left.
func (t *localTarget) applyAnnouncement(a dfuinstance.Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmer.Check(t.clock.Now(), a) {
		t.apply(a, 0)
		return
	}
	t.log.Info("announcement to be confirmed", zap.String("instance", string(a.Instance)),
		zap.Int64("born", int64(a.Born)), zap.Uint64("sequence", a.Sequence))
	go t.confirm(a)
}

const (
	// healthCheckTimeout bounds the check of a target.
	healthCheckTimeout = 500 * time.Millisecond
	// healthPathPollPeriod is how often a check that waits for the routes looks for
	// the path.
	healthPathPollPeriod = 20 * time.Millisecond
	// healthCheckPeriod is how long after a failed check the target is checked again.
	healthCheckPeriod = 500 * time.Millisecond
)

// confirm checks the target until a check passes, and then applies its announcement. It
// gives up when a later announcement has taken its place or it has expired.
func (t *localTarget) confirm(a dfuinstance.Announcement) {
	expiry := time.Now().Add(t.announcementTTL().Std())
	path := t.healthPath()
	for ; path == "" && time.Now().Before(expiry); path = t.healthPath() {
		time.Sleep(healthPathPollPeriod)
	}
	for !t.checkAndApply(a, path) && time.Now().Before(expiry) {
		time.Sleep(healthCheckPeriod)
	}
}

// checkAndApply checks the target and applies its announcement if the check passes. It
// reports whether no further check is needed.
func (t *localTarget) checkAndApply(a dfuinstance.Announcement, path string) bool {
	t.mu.Lock()
	isPending := t.confirmer.IsPending(a)
	t.mu.Unlock()
	if !isPending {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	client := dfutarget.New(t.clientConfig(a))
	defer client.Close()
	health, err := client.CheckHealth(ctx, path)
	if !health.InService {
		t.log.Warn("target not confirmed", zap.String("instance", string(a.Instance)),
			zap.Uint64("sequence", a.Sequence), zap.Error(err))
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmer.Confirm(a) {
		t.apply(a, health.Limit)
	}
	return true
}

// clientConfig returns the configuration of a client for the announced target.
func (t *localTarget) clientConfig(a dfuinstance.Announcement) dfutarget.Config {
	cfg := t.cfg
	cfg.Address = a.Address
	cfg.Instance = a.Instance
	cfg.OnLeaving = func() { t.markLeaving(a.Run()) }
	return cfg
}

// apply applies an announcement unless a later one has been received. limit is the rate
// limit that the target has advertised in a health check, or zero. mu must be held.
func (t *localTarget) apply(a dfuinstance.Announcement, limit dfugate.Rate) {
	result := t.tracker.Apply(a)
	if result == dfuinstance.Outdated {
		t.log.Info("outdated announcement ignored", zap.String("instance", string(a.Instance)),
			zap.Int64("born", int64(a.Born)), zap.Uint64("sequence", a.Sequence))
		return
	}
	t.lastAnnounced = t.clock.Now()
	old := t.current
	t.current = a
	event := dfugate.TargetAnnounced{
		Service: a.Service, Slots: a.Slots, NewRun: a.Run() != old.Run(), Cold: a.ColdFor > 0 && a.Instance == "", Limit: limit,
		ColdFor: a.ColdFor, ColdLimit: t.coldLimit(a.Service),
	}
	if result == dfuinstance.NewRun || !t.present || old.Address != a.Address || old.Service != a.Service || old.Slots != a.Slots {
		t.log.Info("target announced", zap.String("service", string(a.Service)), zap.String("address", string(a.Address)),
			zap.String("instance", string(a.Instance)), zap.Int("slots", a.Slots), zap.Bool("draining", a.Draining))
		t.present = true
		if t.isLeaving() {
			// The gate must not open between the two events.
			t.applyDrainState()
		}
		t.gate.SetTarget(dfutarget.New(t.clientConfig(a)), event)
		t.applyDrainState()
		return
	}
	if a.Instance != "" {
		// The gate may have withdrawn the target in the meantime.
		t.gate.Notify(event)
	}
	if old.Draining != a.Draining || (old.ColdFor > 0) != (a.ColdFor > 0) {
		t.applyDrainState()
	}
}

// removeInstance records that an instance is leaving and withdraws the target if it
// is that instance. Requests in progress there continue.
func (t *localTarget) removeInstance(instance dfuident.Instance, now dfuinstance.UnixMs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmer.MarkLeft(instance)
	if !t.tracker.MarkLeft(instance, now) {
		return
	}
	t.log.Info("target left", zap.String("instance", string(instance)))
	t.present = false
	t.gate.Notify(dfugate.TargetWithdrawn{})
	t.applyDrainState()
}

// markLeaving drains the target because it has stated in a response that it is leaving.
// Announcements of the run don't cancel the drain, since they may have been sent before.
func (t *localTarget) markLeaving(run dfuinstance.Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.departures.Add(run) {
		return
	}
	t.log.Info("target states that it is leaving", zap.String("instance", string(run.Instance)), zap.Int64("born", int64(run.Born)))
	t.applyDrainState()
}

// isLeaving reports whether the present run of the target has announced or stated that it
// is leaving. mu must be held.
func (t *localTarget) isLeaving() bool {
	return t.present && (t.current.Draining || t.departures.Contains(t.current.Run()))
}

// service returns the service of the target, or "" if there is no target.
func (t *localTarget) service() dfuident.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.present {
		return ""
	}
	return t.current.Service
}

// withdrawExpired withdraws the target if its last announcement has expired.
func (t *localTarget) withdrawExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.present || t.clock.Now().Sub(t.lastAnnounced) < t.announcementTTL() {
		return
	}
	t.log.Warn("target withdrawn", zap.String("service", string(t.current.Service)), zap.String("reason", "no announcement"))
	t.present = false
	t.tracker.MarkLost()
	t.gate.Notify(dfugate.TargetWithdrawn{})
	t.applyDrainState()
}

// announcementTTL returns how long the target stays in the roster after an
// announcement.
func (t *localTarget) announcementTTL() dfuclock.Duration {
	return cmp.Or(heartbeatsPerTTL*t.targetSettings().Heartbeat, defaultAnnouncementTTL)
}

// setView applies the limits and the operators' drain list of the service's entry.
func (t *localTarget) setView(view *dfuroster.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.present {
		return
	}
	entry, _, ok := view.Entry(t.current.Service)
	if !ok {
		return
	}
	t.operatorDrain = slices.Contains(entry.Drain, t.self.Node)
	limits := dfugate.Limits{
		Concurrency:   entry.Limits.Concurrency,
		Queue:         entry.Limits.Queue,
		RatePerSecond: entry.Limits.RatePerS,
	}
	if limits != t.limits {
		t.limits = limits
		t.gate.Notify(dfugate.LimitsChanged{Limits: limits})
	}
	t.setBudget(entry, view)
	t.applyDrainState()
}

// setBudget applies the service's budget for measuring.
func (t *localTarget) setBudget(entry dfucatalogue.Entry, view *dfuroster.View) {
	regions := map[dfuident.Region]struct{}{}
	for _, n := range view.Nodes() {
		regions[n.Place.Region] = struct{}{}
	}
	budget := dfubudget.Budget{
		BytesPerSecond:     dfubudget.Rate(entry.Measuring.BytesPerS),
		CallsPerSecond:     dfubudget.Rate(entry.Measuring.CallsPerS),
		LinkBytesPerSecond: dfubudget.Rate(entry.Measuring.LinkBytesPerS),
		Regions:            max(len(regions), t.budget.Regions),
		PlannedNodes:       entry.Measuring.PlannedTargets,
	}
	if budget != t.budget {
		t.budget = budget
		t.gate.SetBudget(budget)
	}
}

// stop drains the target because the node is stopping.
func (t *localTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	t.applyDrainState()
}

// applyDrainState starts or cancels the drain of the gate if needed, and then
// advertises the target: the gate stops accepting requests before other nodes are
// informed. mu must be held.
func (t *localTarget) applyDrainState() {
	drain := t.stopping || t.operatorDrain || t.isLeaving()
	if drain != t.draining {
		t.draining = drain
		t.log.Info("drain changed", zap.Bool("draining", drain), zap.Bool("operator", t.operatorDrain), zap.Bool("stopping", t.stopping))
		if drain {
			t.gate.Notify(dfugate.DrainRequested{})
		} else {
			t.gate.Notify(dfugate.DrainCanceled{})
		}
	}
	out := advertisedTarget{Draining: drain}
	if t.present {
		out.Service = t.current.Service
		out.Slots = t.current.Slots
		out.ColdFor = max(t.current.ColdFor, t.coldFor)
	}
	t.advertise(out)
}

// run withdraws the target whenever its announcement expires, until done is closed.
func (t *localTarget) run(done <-chan struct{}) {
	ticker := time.NewTicker(expiryCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			t.withdrawExpired()
			t.advertiseCold()
		}
	}
}

// handleAnnouncement handles POST /dragonflyusher/target. The response holds the
// state of the gate: serving, draining or drained.
func (t *localTarget) handleAnnouncement(ctx *fasthttp.RequestCtx) {
	var a Announcement
	if err := parseAnnouncement(ctx.PostBody(), &a); err != nil {
		t.log.Warn("announcement rejected", zap.Error(err))
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	t.applyUnnumbered(a.toInstanceAnnouncement())
	status := t.gate.Status()
	state := "serving"
	switch {
	case status.Drained:
		state = "drained"
	case status.Draining:
		state = "draining"
	}
	writeJSON(ctx, struct {
		State string `json:"state"`
	}{state})
}

func parseAnnouncement(data []byte, a *Announcement) error {
	var findings dfufinding.List
	positions := dfudecode.Strict("announcement", data, a, &findings)
	if !positions.Parsed() {
		return findings.Err()
	}
	if a.Service == "" {
		positions.Add(&findings, "service", "must not be empty")
	}
	if _, err := netip.ParseAddrPort(string(a.Address)); err != nil {
		positions.Add(&findings, "address", "must be an IP address with a port")
	}
	if a.Slots <= 0 {
		positions.Add(&findings, "slots", "must be positive")
	}
	return findings.Err()
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(ctx, fasthttp.StatusInternalServerError, errors.Wrap(err, "encode response"))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

func writeError(ctx *fasthttp.RequestCtx, status int, err error) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(err.Error() + "\n")
}
