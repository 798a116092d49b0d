package dfubudget

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

const (
	// fleetSlices is how many slices the window of a FleetBudget is counted in.
	fleetSlices = 20
	// fleetShare is the part of the fleet's budget that all nodes together spend
	// on extra attempts themselves. The rest is for the calls that targets make
	// again while they run an extra attempt, which count too.
	fleetShare = 0.5
)

// FleetLimits bounds the extra attempts of the whole fleet for one service in
// any window: so many for each request of callers, and a reserve besides.
type FleetLimits struct {
	Ratio   float64
	Reserve float64
	Window  dfuclock.Duration
}

// FleetBudget is one node's part of a budget that the whole fleet shares without
// talking about it: the ratio of the node's own requests, and an equal part of
// the reserve. A process that has just started has no part of the reserve until
// a window has passed, since the run before it may have spent that.
type FleetBudget struct {
	limits   FleetLimits
	nodes    int
	started  dfuclock.Time
	services map[dfuident.Service]*fleetWindow
}

// fleetWindow counts the requests and the extra attempts of the slices of one
// window.
type fleetWindow struct {
	first, extra [fleetSlices]int
	// slice is the number of the newest slice since the origin of time.
	slice int64
}

// NewFleetBudget returns the budget of a node that has just started and knows no
// other.
func NewFleetBudget(now dfuclock.Time, limits FleetLimits) *FleetBudget {
	return &FleetBudget{limits: limits, started: now, services: make(map[dfuident.Service]*fleetWindow)}
}

// SetLimits changes the limits from now on.
func (b *FleetBudget) SetLimits(limits FleetLimits) {
	b.limits = limits
}

// SetNodes tells how many nodes there are. The greatest number counts: nodes that
// seem gone may be cut off and go on spending.
func (b *FleetBudget) SetNodes(n int) {
	b.nodes = max(b.nodes, n)
}

// Earn notes a first attempt. A request that a running one waits for earns
// nothing: it is not a caller's.
func (b *FleetBudget) Earn(now dfuclock.Time, service dfuident.Service, _ dfuident.Caller, nested bool) {
	if w := b.window(now, service); w != nil && !nested {
		w.first[w.slice%fleetSlices]++
	}
}

// Take charges an extra attempt, and reports whether it may be sent.
func (b *FleetBudget) Take(now dfuclock.Time, service dfuident.Service, _ dfuident.Caller) bool {
	w := b.window(now, service)
	if w == nil {
		return false
	}
	first, extra := 0, 0
	for i := range fleetSlices {
		first += w.first[i]
		extra += w.extra[i]
	}
	if float64(extra+1) > fleetShare*(b.limits.Ratio*float64(first)+b.reserve(now)) {
		return false
	}
	w.extra[w.slice%fleetSlices]++
	return true
}

// reserve returns the node's part of the reserve.
func (b *FleetBudget) reserve(now dfuclock.Time) float64 {
	if b.nodes == 0 || now.Sub(b.started) < b.limits.Window {
		return 0
	}
	return b.limits.Reserve / float64(b.nodes)
}

// window returns the counts of a service as of now, or nil if there are too many
// services.
func (b *FleetBudget) window(now dfuclock.Time, service dfuident.Service) *fleetWindow {
	w := b.services[service]
	if w == nil {
		if len(b.services) >= MaxServices {
			return nil
		}
		w = &fleetWindow{}
		b.services[service] = w
	}
	length := max(b.limits.Window/fleetSlices, 1)
	slice := int64(now) / int64(length)
	for steps := 0; w.slice < slice && steps < fleetSlices; steps++ {
		w.slice++
		w.first[w.slice%fleetSlices] = 0
		w.extra[w.slice%fleetSlices] = 0
	}
	w.slice = max(w.slice, slice)
	return w
}
