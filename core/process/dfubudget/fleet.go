package dfubudget

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

const (
	// windowSlices is the number of slices in which the window of a FleetBudget
	// is counted.
	windowSlices = 20
	// directShare is the share of the fleet's budget that nodes may use for
	// their own extra attempts. The rest is reserved for the calls that targets
	// repeat while they run an extra attempt, which count against the budget
	// too.
	directShare = 0.5
	// hedgeShare is the part of directShare that hedges may use. The rest is left for
	// retries, without which a request fails, while without a hedge it is late.
	hedgeShare = 0.5
)

// FleetLimits limits the extra attempts of all nodes together for one service,
// in any window of length Window: to Ratio for each request from a caller, plus
// Reserve.
type FleetLimits struct {
	Ratio   float64
	Reserve float64
	Window  dfuclock.Duration
	// HedgeRatio limits the hedges among the extra attempts to this share of the
	// requests. What requests of one window have earned may be spent in the next. Zero
	// means none.
	HedgeRatio float64
}

// FleetBudget is one node's share of a budget for the whole fleet, enforced
// without communication between nodes: the ratio of the node's own requests and
// an equal share of the reserve. A node gets its share of the reserve only a
// full window after its start, since its previous run may have used that share
// already.
type FleetBudget struct {
	limits   FleetLimits
	nodes    int
	started  dfuclock.Time
	services map[dfuident.Service]*slidingWindow
}

// slidingWindow counts first and extra attempts by slice of the window.
type slidingWindow struct {
	first, extra [windowSlices]int
	// hedgeCredit is the number of hedges that requests have earned. It isn't counted by
	// window, in which a node with few requests would earn only a part of a hedge.
	hedgeCredit float64
	// slice is the number of the newest slice, counted from time zero.
	slice int64
}

// NewFleetBudget returns the budget of a node that has just started. It has no
// share of the reserve until SetNodes is called.
func NewFleetBudget(now dfuclock.Time, limits FleetLimits) *FleetBudget {
	return &FleetBudget{limits: limits, started: now, services: make(map[dfuident.Service]*slidingWindow)}
}

// SetLimits changes the limits.
func (b *FleetBudget) SetLimits(limits FleetLimits) {
	b.limits = limits
}

// SetNodes sets the number of nodes. The highest number ever set is used,
// because nodes that appear to be gone may be partitioned and still use their
// share.
func (b *FleetBudget) SetNodes(n int) {
	b.nodes = max(b.nodes, n)
}

// Credit records a first attempt. Nested requests, which a running request
// waits for, don't come from a caller and are not counted.
func (b *FleetBudget) Credit(now dfuclock.Time, service dfuident.Service, _ dfuident.Caller, nested bool) {
	if w := b.window(now, service); w != nil && !nested {
		w.first[w.slice%windowSlices]++
		w.hedgeCredit += b.limits.HedgeRatio
	}
}

// Take charges an extra attempt and reports whether it may be sent.
func (b *FleetBudget) Take(now dfuclock.Time, service dfuident.Service, _ dfuident.Caller) bool {
	w := b.window(now, service)
	if w == nil {
		return false
	}
	first, extra := w.counts()
	if float64(extra+1) > directShare*(b.limits.Ratio*float64(first)+b.reserve(now)) {
		return false
	}
	w.extra[w.slice%windowSlices]++
	return true
}

// TakeHedge charges a hedge, which is an extra attempt too, and reports whether it may be
// sent. Each node's hedges are limited by the number of its own requests, and so are those
// of the fleet by the sum.
func (b *FleetBudget) TakeHedge(now dfuclock.Time, service dfuident.Service, _ dfuident.Caller) bool {
	w := b.window(now, service)
	if w == nil {
		return false
	}
	first, extra := w.counts()
	w.hedgeCredit = min(w.hedgeCredit, 1+b.limits.HedgeRatio*float64(first))
	if w.hedgeCredit < 1 || b.limits.HedgeRatio <= 0 ||
		float64(extra+1) > hedgeShare*directShare*(b.limits.Ratio*float64(first)+b.reserve(now)) {
		return false
	}
	w.extra[w.slice%windowSlices]++
	w.hedgeCredit--
	return true
}

// counts returns the numbers of first and of extra attempts.
func (w *slidingWindow) counts() (first, extra int) {
	for i := range windowSlices {
		first += w.first[i]
		extra += w.extra[i]
	}
	return first, extra
}

// reserve returns the node's share of the reserve, in extra attempts.
func (b *FleetBudget) reserve(now dfuclock.Time) float64 {
	if b.nodes == 0 || now.Sub(b.started) < b.limits.Window {
		return 0
	}
	return b.limits.Reserve / float64(b.nodes)
}

// window returns the counts of a service with expired slices cleared, or nil if
// there are too many services.
func (b *FleetBudget) window(now dfuclock.Time, service dfuident.Service) *slidingWindow {
	w := b.services[service]
	if w == nil {
		if len(b.services) >= MaxServices {
			return nil
		}
		w = &slidingWindow{}
		b.services[service] = w
	}
	length := max(b.limits.Window/windowSlices, 1)
	slice := int64(now) / int64(length)
	for steps := 0; w.slice < slice && steps < windowSlices; steps++ {
		w.slice++
		w.first[w.slice%windowSlices] = 0
		w.extra[w.slice%windowSlices] = 0
	}
	w.slice = max(w.slice, slice)
	return w
}
