package dfuroute

import (
	"cmp"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Version numbers the tables that operators give; a later one is greater.
type Version uint64

// Route says which requests go to which services, and on what terms.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout dfuclock.Duration
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency dfuclock.Duration
	// Priority ranks routes; zero is the highest.
	Priority int
	// Attempts is the most targets that one request may be sent to.
	Attempts int
	// Split shares the requests out among services by weight. A route to one
	// service has one part.
	Split []Part
	// weights is the sum of the parts' weights.
	weights int
}

// Part is one service's share of a route.
type Part struct {
	Service dfuident.Service
	Weight  int
}

// Service is what the table says of one service.
type Service struct {
	Name       dfuident.Service
	HealthPath string
	// MaxConnections is the most connections that one target takes from all
	// nodes together; zero means that it tells no limit.
	MaxConnections int
}

// Limits bounds what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   dfuident.Bytes
	BodyBytes     dfuident.Bytes
	HeaderTimeout dfuclock.Duration
	IdleTimeout   dfuclock.Duration
}

// Table is one version of all routes. It is safe for concurrent use.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// byHost holds the routes of each host, the longest prefix first.
	byHost   map[string][]*Route
	services map[dfuident.Service]*Service
}

// index prepares a table whose values have been checked.
func (t *Table) index() {
	t.byHost = make(map[string][]*Route, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, p := range r.Split {
			r.weights += p.Weight
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	t.services = make(map[dfuident.Service]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
}

// Match returns the route of a request: of those of its host the one with the
// longest prefix of its path. Host names compare without regard to case and
// port, the path as it was sent.
func (t *Table) Match(host, path string) (*Route, bool) {
	if t == nil {
		return nil, false
	}
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns what the table says of a service.
func (t *Table) Service(name dfuident.Service) (Service, bool) {
	if t == nil {
		return Service{}, false
	}
	s, ok := t.services[name]
	if !ok {
		return Service{}, false
	}
	return *s, true
}

// Pick returns the service of a part of the route: draw, from 0 up to but
// without 1, stands for a place among the weights.
func (r *Route) Pick(draw float64) dfuident.Service {
	place := draw * float64(r.weights)
	for _, p := range r.Split {
		if place < float64(p.Weight) {
			return p.Service
		}
		place -= float64(p.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

// canonicalHost returns a host name in lower case without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
