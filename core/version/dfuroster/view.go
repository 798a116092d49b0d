package dfuroster

import (
	"cmp"
	"maps"
	"slices"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/core/version/dfuroute"
)

// State is what a node is believed to be.
type State string

// The states of a node.
const (
	// Alive takes requests.
	Alive State = "alive"
	// Suspect failed to answer probes and has not refuted it yet.
	Suspect State = "suspect"
	// Unreachable is in a region that can't be reached as a whole.
	Unreachable State = "unreachable"
	// Draining finishes the requests it has and takes no more.
	Draining State = "draining"
	// Left said that it takes no more requests and has none.
	Left State = "left"
	// Dead did not refute its suspicion in time.
	Dead State = "dead"
)

// Node is one node and the target beside it.
type Node struct {
	Member dfuident.Member  `json:"member"`
	Place  dfuident.Place   `json:"place"`
	Peer   dfuident.Address `json:"peer"`
	HTTP   dfuident.Address `json:"http"`
	// Service is empty while no target has announced itself to the node.
	Service dfuident.Service `json:"service,omitempty"`
	// Slots is the number of requests that the target runs at once.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
	// ColdFor is how long the target is slower after it first serves.
	ColdFor dfuclock.Duration `json:"cold_for,omitempty"`
	// ServingSince is when this view's owner first saw the target serve, on
	// the owner's own scale.
	ServingSince dfuclock.Time `json:"serving_since,omitempty"`
}

// Claims is the ownership record of a service's claims as the store holds it.
type Claims struct {
	Value    []byte            `json:"value"`
	Revision dfuident.Revision `json:"revision"`
}

// Entry is a catalogue entry with the revision it was accepted at.
type Entry struct {
	Entry    dfucatalogue.Entry `json:"entry"`
	Revision dfuident.Revision  `json:"revision"`
}

// View is one version of what a node knows. The zero value and New both give
// the empty view, version zero. A View is safe for concurrent use.
type View struct {
	version  uint64
	nodes    map[dfuident.NodeID]*Node
	services map[dfuident.Service][]Node
	entries  map[dfuident.Service]Entry
	claims   map[dfuident.Service]Claims
	routes   *dfuroute.Table
}

// Change lists what differs in the next version of a view.
type Change struct {
	// Nodes are added, or replace the node of the same id.
	Nodes []Node
	// Forgotten nodes are removed.
	Forgotten []dfuident.NodeID
	// Entries holds new entries; nil values remove the service's entry.
	Entries map[dfuident.Service]*Entry
	// Claims holds new claims; nil values remove the service's claims.
	Claims map[dfuident.Service]*Claims
	// Routes replaces the table of routes unless it is nil.
	Routes *dfuroute.Table
}

// New returns the empty view.
func New() *View {
	return &View{}
}

// IsEmpty reports whether the change changes nothing.
func (c Change) IsEmpty() bool {
	return len(c.Nodes) == 0 && len(c.Forgotten) == 0 && len(c.Entries) == 0 && len(c.Claims) == 0 && c.Routes == nil
}

// Apply returns the next version of the view with a change made. Lists of the
// services that the change doesn't touch are shared with the old version.
func (v *View) Apply(c Change) *View {
	next := *v
	next.version++
	if len(c.Nodes) > 0 || len(c.Forgotten) > 0 {
		next.applyNodes(c)
	}
	next.entries = applyMap(v.entries, c.Entries)
	next.claims = applyMap(v.claims, c.Claims)
	if c.Routes != nil {
		next.routes = c.Routes
	}
	return &next
}

// Version counts the changes since the empty view.
func (v *View) Version() uint64 {
	return v.version
}

// Node returns a node by its id.
func (v *View) Node(id dfuident.NodeID) (Node, bool) {
	n, ok := v.nodes[id]
	if !ok {
		return Node{}, false
	}
	return *n, true
}

// Service returns the nodes whose target runs a service, in any state, sorted
// by node id. The caller must not alter the list.
func (v *View) Service(s dfuident.Service) []Node {
	return v.services[s]
}

// Len returns the number of nodes in any state.
func (v *View) Len() int {
	return len(v.nodes)
}

// Nodes returns every node sorted by node id.
func (v *View) Nodes() []Node {
	nodes := make([]Node, 0, len(v.nodes))
	for _, n := range v.nodes {
		nodes = append(nodes, *n)
	}
	sortNodes(nodes)
	return nodes
}

// Entry returns the catalogue entry of a service. A service that only the table
// of routes names has an entry without a revision that bounds nothing of its
// own.
func (v *View) Entry(s dfuident.Service) (dfucatalogue.Entry, dfuident.Revision, bool) {
	if e, ok := v.entries[s]; ok {
		return e.Entry, e.Revision, true
	}
	if _, ok := v.routes.Service(s); ok {
		return dfucatalogue.Unbounded(s), 0, true
	}
	return dfucatalogue.Entry{}, 0, false
}

// Services returns the services that have an entry, sorted.
func (v *View) Services() []dfuident.Service {
	services := slices.Collect(maps.Keys(v.entries))
	if v.routes != nil {
		for _, s := range v.routes.Services {
			services = append(services, s.Name)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// Routes returns the table of routes, or nil while none is known.
func (v *View) Routes() *dfuroute.Table {
	return v.routes
}

// Claims returns the ownership record of a service's claims.
func (v *View) Claims(s dfuident.Service) (Claims, bool) {
	c, ok := v.claims[s]
	return c, ok
}

// applyNodes makes new maps, and new lists of the services touched.
func (v *View) applyNodes(c Change) {
	v.nodes = cloneMap(v.nodes, len(c.Nodes))
	touched := make(map[dfuident.Service]map[dfuident.NodeID]bool)
	touch := func(s dfuident.Service, id dfuident.NodeID) {
		if touched[s] == nil {
			touched[s] = make(map[dfuident.NodeID]bool)
		}
		touched[s][id] = true
	}
	for _, id := range c.Forgotten {
		if old, ok := v.nodes[id]; ok {
			touch(old.Service, id)
			delete(v.nodes, id)
		}
	}
	for i := range c.Nodes {
		n := c.Nodes[i]
		if old, ok := v.nodes[n.Member.Node]; ok {
			touch(old.Service, n.Member.Node)
		}
		touch(n.Service, n.Member.Node)
		v.nodes[n.Member.Node] = &n
	}
	v.services = cloneMap(v.services, 1)
	for s, ids := range touched {
		v.rebuild(s, ids)
	}
}

// rebuild makes the list of one service anew, given the nodes that changed.
func (v *View) rebuild(s dfuident.Service, changed map[dfuident.NodeID]bool) {
	if s == "" {
		return
	}
	nodes := make([]Node, 0, len(v.services[s])+len(changed))
	for i := range v.services[s] {
		if n := &v.services[s][i]; !changed[n.Member.Node] {
			nodes = append(nodes, *n)
		}
	}
	for id := range changed {
		if n, ok := v.nodes[id]; ok && n.Service == s {
			nodes = append(nodes, *n)
		}
	}
	if len(nodes) == 0 {
		delete(v.services, s)
		return
	}
	sortNodes(nodes)
	v.services[s] = nodes
}

func applyMap[K comparable, V any](old map[K]V, changes map[K]*V) map[K]V {
	if len(changes) == 0 {
		return old
	}
	next := cloneMap(old, len(changes))
	for k, v := range changes {
		if v == nil {
			delete(next, k)
		} else {
			next[k] = *v
		}
	}
	return next
}

func cloneMap[K comparable, V any](old map[K]V, room int) map[K]V {
	if old == nil {
		return make(map[K]V, room)
	}
	return maps.Clone(old)
}

func sortNodes(nodes []Node) {
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
}
