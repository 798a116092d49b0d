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

// State is the state of a node as seen by the local node.
type State string

// The states of a node.
const (
	// Alive nodes accept requests.
	Alive State = "alive"
	// Suspect nodes did not answer probes and have not refuted the suspicion
	// yet.
	Suspect State = "suspect"
	// Unreachable nodes are in a region that cannot be reached as a whole.
	Unreachable State = "unreachable"
	// Draining nodes finish their requests and accept no new ones.
	Draining State = "draining"
	// Left nodes announced that they have no requests and accept none.
	Left State = "left"
	// Dead nodes did not refute the suspicion in time, or their address is used
	// by a later run of another node.
	Dead State = "dead"
)

// Node describes one node and the target on the same VM.
type Node struct {
	Member dfuident.Member  `json:"member"`
	Place  dfuident.Place   `json:"place"`
	Peer   dfuident.Address `json:"peer"`
	HTTP   dfuident.Address `json:"http"`
	// Service is empty until a target has announced itself to the node.
	Service dfuident.Service `json:"service,omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int   `json:"slots,omitempty"`
	State State `json:"state"`
	// ColdFor is how long the target is slower after it starts to serve.
	ColdFor dfuclock.Duration `json:"cold_for,omitempty"`
	// ServingSince is when the local node first saw the target serve, or saw it become
	// cold again, by the local node's clock.
	ServingSince dfuclock.Time `json:"serving_since,omitempty"`
}

// Claims is the ownership record of a service's claims as stored.
type Claims struct {
	Value    []byte            `json:"value"`
	Revision dfuident.Revision `json:"revision"`
}

// Entry is a catalogue entry with the revision at which it was accepted.
type Entry struct {
	Entry    dfucatalogue.Entry `json:"entry"`
	Revision dfuident.Revision  `json:"revision"`
}

// Evacuation is the state of a zone that is or was evacuated: its targets get no new
// requests while Active is set.
type Evacuation struct {
	Active bool `json:"active"`
	// Since is when the local node learned of this state, by its clock.
	Since dfuclock.Time `json:"since"`
}

// View is one version of the data that a node has about the fleet. The zero
// value, which New also returns, is the empty view with version zero. A View is
// safe for concurrent use.
type View struct {
	version  uint64
	nodes    map[dfuident.NodeID]*Node
	services map[dfuident.Service][]Node
	entries  map[dfuident.Service]Entry
	claims   map[dfuident.Service]Claims
	routes   *dfuroute.Table

	evacuations map[dfuident.Zone]Evacuation
	synced      bool
}

// Change lists the differences between a view and its next version.
type Change struct {
	// Nodes are added, or replace the nodes with the same ids.
	Nodes []Node
	// Forgotten lists the nodes to remove.
	Forgotten []dfuident.NodeID
	// Entries holds new entries by service. A nil value removes the entry.
	Entries map[dfuident.Service]*Entry
	// Claims holds new claims by service. A nil value removes the claims.
	Claims map[dfuident.Service]*Claims
	// Routes replaces the route table unless it is nil.
	Routes *dfuroute.Table
	// Evacuations holds new states by zone.
	Evacuations map[dfuident.Zone]*Evacuation
	// Synced is set if the records are complete from now on.
	Synced bool
}

// New returns the empty view.
func New() *View {
	return &View{}
}

// IsEmpty reports whether the change has no effect.
func (c Change) IsEmpty() bool {
	return len(c.Nodes) == 0 && len(c.Forgotten) == 0 && len(c.Entries) == 0 && len(c.Claims) == 0 && c.Routes == nil &&
		len(c.Evacuations) == 0 && !c.Synced
}

// Apply returns the next version of the view, with the change applied. The node
// lists of services that the change does not affect are shared with the old
// version.
func (v *View) Apply(c Change) *View {
	next := *v
	next.version++
	if len(c.Nodes) > 0 || len(c.Forgotten) > 0 {
		next.applyNodes(c)
	}
	next.entries = applyMap(v.entries, c.Entries)
	next.claims = applyMap(v.claims, c.Claims)
	next.evacuations = applyMap(v.evacuations, c.Evacuations)
	next.synced = v.synced || c.Synced
	if c.Routes != nil {
		next.routes = c.Routes
	}
	return &next
}

// Version returns the number of changes since the empty view.
func (v *View) Version() uint64 {
	return v.version
}

// Node returns the node with the given id.
func (v *View) Node(id dfuident.NodeID) (Node, bool) {
	n, ok := v.nodes[id]
	if !ok {
		return Node{}, false
	}
	return *n, true
}

// Service returns the nodes in any state whose target runs a service, sorted by
// node id. The caller must not modify the list.
func (v *View) Service(s dfuident.Service) []Node {
	return v.services[s]
}

// Len returns the number of nodes in any state.
func (v *View) Len() int {
	return len(v.nodes)
}

// Nodes returns all nodes, sorted by node id.
func (v *View) Nodes() []Node {
	nodes := make([]Node, 0, len(v.nodes))
	for _, n := range v.nodes {
		nodes = append(nodes, *n)
	}
	sortNodes(nodes)
	return nodes
}

// Entry returns the catalogue entry of a service and its revision. For a
// service that is only in the route table it returns the entry of
// dfucatalogue.WithMaxLimits and revision zero.
func (v *View) Entry(s dfuident.Service) (dfucatalogue.Entry, dfuident.Revision, bool) {
	if e, ok := v.entries[s]; ok {
		return e.Entry, e.Revision, true
	}
	if _, ok := v.routes.Service(s); ok {
		return dfucatalogue.WithMaxLimits(s), 0, true
	}
	return dfucatalogue.Entry{}, 0, false
}

// Services returns the services that have a catalogue entry or are in the route
// table, sorted.
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

// Routes returns the route table, or nil if none has been received.
func (v *View) Routes() *dfuroute.Table {
	return v.routes
}

// IsEvacuated reports whether the targets of a zone get no new requests.
func (v *View) IsEvacuated(zone dfuident.Zone) bool {
	return v.evacuations[zone].Active
}

// Evacuations returns the states of all zones that are or were evacuated. The caller must
// not modify the map.
func (v *View) Evacuations() map[dfuident.Zone]Evacuation {
	return v.evacuations
}

// Synced reports whether the node has had a complete copy of the records, so that a zone
// without a record is not evacuated. It is always false in a fleet without evacuations.
func (v *View) Synced() bool {
	return v.synced
}

// Claims returns the ownership record of a service's claims.
func (v *View) Claims(s dfuident.Service) (Claims, bool) {
	c, ok := v.claims[s]
	return c, ok
}

// applyNodes replaces the node map and the lists of the affected services by
// modified copies.
func (v *View) applyNodes(c Change) {
	v.nodes = cloneMap(v.nodes, len(c.Nodes))
	affected := make(map[dfuident.Service]map[dfuident.NodeID]bool)
	markAffected := func(s dfuident.Service, id dfuident.NodeID) {
		if affected[s] == nil {
			affected[s] = make(map[dfuident.NodeID]bool)
		}
		affected[s][id] = true
	}
	for _, id := range c.Forgotten {
		if old, ok := v.nodes[id]; ok {
			markAffected(old.Service, id)
			delete(v.nodes, id)
		}
	}
	for i := range c.Nodes {
		n := c.Nodes[i]
		if old, ok := v.nodes[n.Member.Node]; ok {
			markAffected(old.Service, n.Member.Node)
		}
		markAffected(n.Service, n.Member.Node)
		v.nodes[n.Member.Node] = &n
	}
	v.services = cloneMap(v.services, 1)
	for s, ids := range affected {
		v.rebuildService(s, ids)
	}
}

// rebuildService replaces the node list of one service, given the nodes that
// changed.
func (v *View) rebuildService(s dfuident.Service, changed map[dfuident.NodeID]bool) {
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

func cloneMap[K comparable, V any](old map[K]V, capacity int) map[K]V {
	if old == nil {
		return make(map[K]V, capacity)
	}
	return maps.Clone(old)
}

func sortNodes(nodes []Node) {
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Compare(a.Member.Node, b.Member.Node)
	})
}
