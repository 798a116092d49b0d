package dfuroute

import (
	"cmp"
	"slices"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
)

// Version is the version number of a table. Operators increase it with each new
// table.
type Version uint64

// Route maps requests to services and holds the limits that apply to them.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait for its answer.
	Timeout dfuclock.Duration
	// TargetLatency is the latency up to which an answer has its greatest
	// value.
	TargetLatency dfuclock.Duration
	// Priority ranks routes. Zero is the highest.
	Priority int
	// Attempts is the maximum number of targets that a request may be sent to.
	Attempts int
	// Public is set if requests need no key, although the table has workspaces.
	Public bool
	// Homes are the regions in which the requests may be served. It is empty if any may.
	Homes []dfuident.Region
	// Unreadable is set for the placeholder of a route that ParseReadable could not
	// read. Its requests are refused: another route might grant them more than it did.
	Unreadable bool
	// Split distributes the requests among services by weight. A route to a
	// single service has one part.
	Split []SplitPart
	// weightSum is the sum of the weights in Split.
	weightSum int
}

// SplitPart is one service's share of a route.
type SplitPart struct {
	Service dfuident.Service
	Weight  int
}

// Service holds the settings of one service in the table.
type Service struct {
	Name       dfuident.Service
	HealthPath string
	// MaxConnections is the maximum number of connections that one target
	// accepts from all nodes together. Zero means that no limit is given.
	MaxConnections int
	// ColdStart is how long a target is cold after its start; zero if unknown.
	ColdStart dfuclock.Seconds
	// ColdRate is the number of requests per second that a cold target tolerates from
	// all nodes together. Zero means that no limit is given.
	ColdRate float64
}

// Limits bounds the sizes and timeouts of callers' requests.
type Limits struct {
	HeaderBytes   dfuident.Bytes
	BodyBytes     dfuident.Bytes
	HeaderTimeout dfuclock.Duration
	IdleTimeout   dfuclock.Duration
}

// Table is one version of all routes. It is immutable and safe for concurrent
// use.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces are the tenants whose keys requests need. It is empty if none do.
	Workspaces []Workspace
	// Unreadable lists what ParseReadable left out, and UnreadableWorkspaces is the
	// number of workspaces among it.
	Unreadable           []dfufinding.Finding
	UnreadableWorkspaces int
	// Revision is the revision at which the node took the table, and InForceSince when. They
	// are zero for a table that isn't in force.
	Revision     dfuident.Revision
	InForceSince dfuclock.Time

	byCredential map[Credential]*Workspace
	byName       map[dfuident.Workspace]*Workspace
	// byHost holds the routes of each host, longest prefix first.
	byHost   map[string][]*Route
	services map[dfuident.Service]*Service
}

// buildIndex builds the lookup maps and weight sums of a validated table.
func (t *Table) buildIndex() {
	t.byHost = make(map[string][]*Route, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, p := range r.Split {
			r.weightSum += p.Weight
		}
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), compareReadable(a, b), cmp.Compare(a.Name, b.Name))
		})
	}
	t.services = make(map[dfuident.Service]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.buildWorkspaceIndex()
}

// compareReadable orders routes that can't be read first: if a prefix stands twice, its requests
// may belong to either route.
func compareReadable(a, b *Route) int {
	switch {
	case a.Unreadable == b.Unreadable:
		return 0
	case a.Unreadable:
		return -1
	default:
		return 1
	}
}

// Match returns the route for a request: of the routes of its host, the one
// with the longest prefix of its path. The host is compared without its port
// and ignoring case, the path exactly as sent. A nil table has no routes.
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

// Service returns the settings of a service. It returns false if the table is
// nil or does not list the service.
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

// Pick selects a service of the route by weight. draw is a random number, at
// least 0 and less than 1.
func (r *Route) Pick(draw float64) dfuident.Service {
	if r.Unreadable {
		return ""
	}
	position := draw * float64(r.weightSum)
	for _, p := range r.Split {
		if position < float64(p.Weight) {
			return p.Service
		}
		position -= float64(p.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

// canonicalHost returns a host name in lower case and without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
