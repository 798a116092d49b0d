package dfureturn

import "dragonflyusher/core/process/dfuclock"

const (
	// minFirstTryShare is the minimum time left on a first try, as a fraction of the
	// route's longest deadline. In the users' traffic, the deadlines of first tries
	// lie within 15 % of each other. A caller with less time left has tried before.
	minFirstTryShare = 0.85
	// meanFirstTryShare is the mean time left on a first try, as the same fraction.
	meanFirstTryShare = (1 + minFirstTryShare) / 2
	// deadlineWindow is the minimum time for which the longest deadline of a route is
	// kept. It is dropped at the end of the following window, so that callers that
	// have shortened their deadlines aren't treated as retrying indefinitely.
	deadlineWindow = 30 * dfuclock.Second
	// maxRoutes is the maximum number of routes that are tracked.
	maxRoutes = 4096
)

// DeadlineTracker tracks the longest deadline of the requests of each route. K
// identifies a route. It is not safe for concurrent use.
type DeadlineTracker[K comparable] struct {
	routes map[K]*routeDeadlines
}

// routeDeadlines holds the longest deadline of a route in the current and in the
// previous window.
type routeDeadlines struct {
	windowStart             dfuclock.Time
	currentMax, previousMax dfuclock.Duration
}

// New returns an empty DeadlineTracker.
func New[K comparable]() *DeadlineTracker[K] {
	return &DeadlineTracker[K]{routes: make(map[K]*routeDeadlines)}
}

// EstimateWaited records a request with the time remaining until its deadline, and
// returns an estimate of how long its caller has been waiting, which is zero on a
// first try. It also returns zero for a new route if maxRoutes are already tracked.
func (d *DeadlineTracker[K]) EstimateWaited(now dfuclock.Time, route K, remaining dfuclock.Duration) dfuclock.Duration {
	l := d.routes[route]
	if l == nil {
		if len(d.routes) >= maxRoutes {
			return 0
		}
		l = &routeDeadlines{windowStart: now}
		d.routes[route] = l
	}
	l.observe(now, remaining)
	longestDeadline := float64(max(l.currentMax, l.previousMax))
	if float64(remaining) >= minFirstTryShare*longestDeadline {
		return 0
	}
	return dfuclock.Duration(meanFirstTryShare*longestDeadline) - remaining
}

// observe records a deadline. It starts a new window if the current one has ended.
func (l *routeDeadlines) observe(now dfuclock.Time, remaining dfuclock.Duration) {
	if now.Sub(l.windowStart) >= deadlineWindow {
		l.previousMax, l.currentMax = l.currentMax, 0
		l.windowStart = now
	}
	l.currentMax = max(l.currentMax, remaining)
}
