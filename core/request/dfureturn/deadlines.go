package dfureturn

import "dragonflyusher/core/process/dfuclock"

const (
	// firstShareLeast is the least part of a route's longest deadline that callers
	// leave to a first try: deadlines of first tries lie within 15 % of each other
	// in what the users' callers send. Who has less left has tried before.
	firstShareLeast = 0.85
	// firstShareMean is the mean part.
	firstShareMean = (1 + firstShareLeast) / 2
	// memory is how long the longest deadline of a route counts at least, so that
	// callers whose deadlines became shorter aren't taken for returned ones for
	// good.
	memory = 30 * dfuclock.Second
	// routesMax bounds the routes that are remembered.
	routesMax = 4096
)

// Deadlines knows the longest deadline of each route's requests. K names a route. It
// is not safe for concurrent use.
type Deadlines[K comparable] struct {
	routes map[K]*longest
}

// longest is the longest deadline in the present and in the former span of memory.
type longest struct {
	began           dfuclock.Time
	present, former dfuclock.Duration
}

// New returns Deadlines that know no route.
func New[K comparable]() *Deadlines[K] {
	return &Deadlines[K]{routes: make(map[K]*longest)}
}

// Waited notes a request whose caller has so much time left, and returns for how
// long the caller has probably been waiting: zero on a first try.
func (d *Deadlines[K]) Waited(now dfuclock.Time, route K, left dfuclock.Duration) dfuclock.Duration {
	l := d.routes[route]
	if l == nil {
		if len(d.routes) >= routesMax {
			return 0
		}
		l = &longest{began: now}
		d.routes[route] = l
	}
	l.note(now, left)
	whole := float64(max(l.present, l.former))
	if float64(left) >= firstShareLeast*whole {
		return 0
	}
	return dfuclock.Duration(firstShareMean*whole) - left
}

// note takes a deadline, and begins a new span when the present one is over.
func (l *longest) note(now dfuclock.Time, left dfuclock.Duration) {
	if now.Sub(l.began) >= memory {
		l.former, l.present = l.present, 0
		l.began = now
	}
	l.present = max(l.present, left)
}
