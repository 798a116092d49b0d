package dfunode

import (
	"cmp"
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
	// announcementLifetime is how long an announcement keeps a target in the
	// roster, if the settings don't tell how often there are some.
	announcementLifetime = 3 * dfuclock.Second
	// announcementPeriods is how many periods of announcements may pass without
	// one. An announcement may be seconds late.
	announcementPeriods = 4
	// sweepPeriod is the time between two looks for a missing target.
	sweepPeriod = 500 * time.Millisecond
	// coldFor is how long a target that announces itself as cold is loaded
	// slowly.
	coldFor = 10 * dfuclock.Second
	// idleTargetConns bounds the idle connections to the local target.
	idleTargetConns = 64
)

// Announcement is what a target tells the node beside it.
type Announcement struct {
	Service  dfuident.Service `json:"service"`
	Address  dfuident.Address `json:"address"`
	Slots    int              `json:"slots"`
	Cold     bool             `json:"cold"`
	Draining bool             `json:"draining"`
}

// instance returns the announcement as the node keeps it.
func (a Announcement) instance() dfuinstance.Announcement {
	i := dfuinstance.Announcement{Service: a.Service, Address: a.Address, Slots: a.Slots, Draining: a.Draining}
	if a.Cold {
		i.ColdFor = coldFor
	}
	return i
}

// announced is what other nodes are told about the local target.
type announced struct {
	Service  dfuident.Service
	Slots    int
	Draining bool
	ColdFor  dfuclock.Duration
}

// localTarget follows the target beside the node: whether it is there, and
// whether it is to be drained, which the target, an operator or the stop of
// the node may ask for.
type localTarget struct {
	self    dfuident.Member
	clock   dfuclock.Clock
	log     *zap.Logger
	gate    *dfuadmission.Duty
	cfg     dfutarget.Config
	expect  func() dfusettings.Target
	publish func(announced)

	mu     sync.Mutex
	ledger dfuinstance.Ledger
	// present is whether current, the newest announcement, still counts.
	present  bool
	current  dfuinstance.Announcement
	heard    dfuclock.Time
	operator bool
	stopping bool
	closed   bool
	limits   dfugate.Limits
	budget   dfubudget.Budget
}

// announceNext takes an announcement of a target that doesn't number them: each
// counts as newer than the one before.
func (t *localTarget) announceNext(a dfuinstance.Announcement) {
	t.mu.Lock()
	a.Sequence = t.current.Sequence + 1
	t.mu.Unlock()
	t.announce(a)
}

// announce takes an announcement unless a later one has been heard.
func (t *localTarget) announce(a dfuinstance.Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := t.ledger.Take(a)
	if verdict == dfuinstance.Late {
		t.log.Info("late announcement ignored", zap.String("instance", string(a.Instance)),
			zap.Int64("born", int64(a.Born)), zap.Uint64("sequence", a.Sequence))
		return
	}
	t.heard = t.clock.Now()
	old := t.current
	t.current = a
	event := dfugate.TargetAnnounced{Service: a.Service, Slots: a.Slots, Cold: a.ColdFor > 0 && a.Instance == ""}
	if verdict == dfuinstance.Fresh || !t.present || old.Address != a.Address || old.Service != a.Service || old.Slots != a.Slots {
		t.log.Info("target announced", zap.String("service", string(a.Service)), zap.String("address", string(a.Address)),
			zap.String("instance", string(a.Instance)), zap.Int("slots", a.Slots), zap.Bool("draining", a.Draining))
		cfg := t.cfg
		cfg.Address = a.Address
		cfg.Instance = a.Instance
		t.present = true
		t.gate.SetTarget(dfutarget.New(cfg), event)
		t.settle()
		return
	}
	if a.Instance != "" {
		// The gate may have given the target up meanwhile.
		t.gate.Notify(event)
	}
	if old.Draining != a.Draining || (old.ColdFor > 0) != (a.ColdFor > 0) {
		t.settle()
	}
}

// leave takes the word that an instance ends. Its requests in progress go on.
func (t *localTarget) leave(instance dfuident.Instance, now dfuinstance.UnixMs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ledger.Leave(instance, now) {
		return
	}
	t.log.Info("target left", zap.String("instance", string(instance)))
	t.present = false
	t.gate.Notify(dfugate.TargetWithdrawn{})
	t.settle()
}

// service returns the service of the target, or nothing if there is none.
func (t *localTarget) service() dfuident.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.present {
		return ""
	}
	return t.current.Service
}

// sweep withdraws a target that has not announced itself for a while.
func (t *localTarget) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.present || t.clock.Now().Sub(t.heard) < t.lifetime() {
		return
	}
	t.log.Warn("target withdrawn", zap.String("service", string(t.current.Service)), zap.String("reason", "no announcement"))
	t.present = false
	t.ledger.Lose()
	t.gate.Notify(dfugate.TargetWithdrawn{})
	t.settle()
}

// lifetime returns how long an announcement keeps the target in the roster.
func (t *localTarget) lifetime() dfuclock.Duration {
	return cmp.Or(announcementPeriods*t.expect().Heartbeat, announcementLifetime)
}

// setView takes over limits and the operators' drain list.
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
	t.operator = slices.Contains(entry.Drain, t.self.Node)
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
	t.settle()
}

// setBudget takes over the service's budget for measuring.
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

// stop drains the target because the node is about to end.
func (t *localTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	t.settle()
}

// settle closes or opens the gate and tells the other nodes. The gate closes
// before anybody is told.
func (t *localTarget) settle() {
	drain := t.stopping || t.operator || (t.present && t.current.Draining)
	if drain != t.closed {
		t.closed = drain
		t.log.Info("drain changed", zap.Bool("draining", drain), zap.Bool("operator", t.operator), zap.Bool("stopping", t.stopping))
		if drain {
			t.gate.Notify(dfugate.DrainRequested{})
		} else {
			t.gate.Notify(dfugate.DrainCanceled{})
		}
	}
	out := announced{Draining: drain}
	if t.present {
		out.Service = t.current.Service
		out.Slots = t.current.Slots
		out.ColdFor = t.current.ColdFor
	}
	t.publish(out)
}

// run looks for a missing target until done ends.
func (t *localTarget) run(done <-chan struct{}) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			t.sweep()
		}
	}
}

// handle answers POST /dragonflyusher/target.
func (t *localTarget) handle(ctx *fasthttp.RequestCtx) {
	var a Announcement
	if err := parseAnnouncement(ctx.PostBody(), &a); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	t.announceNext(a.instance())
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
		writeError(ctx, fasthttp.StatusInternalServerError, errors.Wrap(err, "encode answer"))
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
