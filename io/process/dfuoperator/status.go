package dfuoperator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfurecord"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/io/process/dfustatus"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
)

// maxViewAge is the age above which a node's view of the catalogue counts as
// lagging.
const maxViewAge = 4 * dfuclock.Second

// statusCommand prints the status of the nodes and which of them lag behind the
// catalogue.
type statusCommand struct {
	Service dfuident.Service `long:"service" value-name:"SERVICE" description:"show only this service's nodes"`
}

// nodeStatus is the status that a node reports.
type nodeStatus struct {
	Node        dfuident.NodeID              `json:"node"`
	Incarnation dfuident.Incarnation         `json:"incarnation"`
	Region      dfuident.Region              `json:"region"`
	Zone        dfuident.Zone                `json:"zone"`
	Service     dfuident.Service             `json:"service"`
	State       string                       `json:"state"`
	Draining    bool                         `json:"draining"`
	Slots       int                          `json:"slots"`
	InFlight    int                          `json:"in_flight"`
	Queued      int                          `json:"queued"`
	View        dfustatus.View               `json:"view"`
	Peers       []dfustatus.Peer             `json:"peers"`
	Refused     map[dfuoutcome.Reason]uint64 `json:"refused"`
	Measuring   measuringStatus              `json:"measuring"`
	Control     controlStatus                `json:"control"`
	// Workspaces is nil if the node's routes have none, and Quota if it has no quotas.
	Workspaces *dfustatus.Workspaces `json:"workspaces,omitempty"`
	Quota      *quotaStatus          `json:"quota,omitempty"`
}

// quotaStatus is the part of a node's status that shows the owners of quotas.
type quotaStatus struct {
	Owners []dfustatus.OwnedShards `json:"owners,omitempty"`
}

// quotaOwners returns the owners of shards that the node has found.
func (n *nodeStatus) quotaOwners() []dfustatus.OwnedShards {
	if n.Quota == nil {
		return nil
	}
	return n.Quota.Owners
}

// controlStatus is the part of dfucontrol.Status that shows how current a node's
// copy of the store's records is.
type controlStatus struct {
	HasCatalogue bool              `json:"has_catalogue"`
	Confirmed    bool              `json:"confirmed"`
	Age          dfuclock.Duration `json:"age_ms"`
	StoreError   string            `json:"store_error,omitempty"`
	// ProofBound is zero if the node needs no proof of its routes.
	ProofBound dfuclock.Duration `json:"proof_bound_ms,omitempty"`
	ProofAge   dfuclock.Duration `json:"proof_age_ms,omitempty"`
	Proven     bool              `json:"proven,omitempty"`
	// Unreadable and Invalid list what the node can't read in its route table and in the
	// newest records.
	Unreadable []dfufinding.Finding `json:"unreadable,omitempty"`
	Invalid    []dfurecord.Invalid  `json:"invalid,omitempty"`
}

// unreadable returns the number of entries and records that the node can't read.
func (c *controlStatus) unreadable() int {
	return len(c.Unreadable) + len(c.Invalid)
}

// proof returns the age of the proof of the node's routes.
func (c *controlStatus) proof() string {
	switch {
	case c.ProofBound == 0:
		return "-"
	case c.Proven:
		return c.ProofAge.String()
	case c.ProofAge == 0:
		return "never"
	default:
		return c.ProofAge.String() + ",stale"
	}
}

// measuringStatus holds the bytes that a node has spent on measuring since its
// start, and the measuring budget of its service for the whole fleet, in bytes
// per second.
type measuringStatus struct {
	SpentBytes  dfuident.Bytes `json:"spent_bytes"`
	BudgetBytes dfuident.Bytes `json:"budget_bytes"`
}

// laggard is a node that doesn't respond or whose catalogue isn't up to date.
type laggard struct {
	Node    dfuident.NodeID `json:"node"`
	Reasons []string        `json:"reasons"`
}

// fleetStatus is the output of the status command.
type fleetStatus struct {
	// Reference is "store", or "other nodes" if no store is set or it doesn't
	// respond, so that the nodes are compared with each other.
	Reference string `json:"reference"`
	// Entries holds the revision that every node should have of each entry.
	Entries map[dfuident.Service]dfuident.Revision `json:"entries"`
	// Deleted holds the revisions of the tombstones in the store.
	Deleted map[dfuident.Service]dfuident.Revision `json:"deleted"`
	// Asked is the number of nodes that were queried.
	Asked    int          `json:"asked"`
	Nodes    []nodeStatus `json:"nodes"`
	Laggards []laggard    `json:"laggards"`
}

func (c *statusCommand) run(ctx context.Context, s *session) error {
	client := newNodeClient(s.settings)
	nodes, err := s.nodes(ctx, client)
	if err != nil {
		return err
	}
	if c.Service != "" {
		nodes = slices.DeleteFunc(nodes, func(n dfustatus.Node) bool { return n.Service != c.Service })
	}
	nodes = slices.DeleteFunc(nodes, dfustatus.Node.HasEnded)
	f := fleetStatus{Asked: len(nodes), Nodes: []nodeStatus{}, Laggards: []laggard{}}
	answers := make([]nodeStatus, len(nodes))
	failures := make([]error, len(nodes))
	forEachNode(nodes, func(i int) {
		failures[i] = client.get(ctx, nodes[i].HTTP, "/dragonflyusher/status", nil, &answers[i])
	})
	for i := range nodes {
		if failures[i] != nil {
			f.Laggards = append(f.Laggards, laggard{nodes[i].Node, []string{"does not answer, seen as " + string(nodes[i].State)}})
			continue
		}
		f.Nodes = append(f.Nodes, answers[i])
	}
	s.setReference(ctx, &f)
	for i := range f.Nodes {
		if reasons := f.lagReasons(&f.Nodes[i]); len(reasons) > 0 {
			f.Laggards = append(f.Laggards, laggard{f.Nodes[i].Node, reasons})
		}
	}
	return s.showFleet(&f)
}

// setReference sets the revisions that every node should have: the highest that
// the store or any node has.
func (s *session) setReference(ctx context.Context, f *fleetStatus) {
	f.Reference = "other nodes"
	f.Entries = make(map[dfuident.Service]dfuident.Revision)
	f.Deleted = make(map[dfuident.Service]dfuident.Revision)
	for i := range f.Nodes {
		for service, revision := range f.Nodes[i].View.Entries {
			f.Entries[service] = max(f.Entries[service], revision)
		}
	}
	if s.settings.Store == "" {
		return
	}
	store, err := s.store()
	if err != nil {
		return
	}
	records, _, err := store.List(ctx, dfustore.CataloguePrefix)
	if err != nil {
		s.notef("the store does not answer; the nodes are compared with each other")
		return
	}
	f.Reference = "store"
	for _, record := range records {
		service, v := serviceOf(record), versionOf(record)
		if v.live() {
			f.Entries[service] = max(f.Entries[service], v.revision)
		} else if f.Entries[service] < v.revision {
			f.Deleted[service] = v.revision
			delete(f.Entries, service)
		}
	}
}

// lagReasons returns the reasons why a node lags behind, none if it doesn't.
func (f *fleetStatus) lagReasons(n *nodeStatus) []string {
	var reasons []string
	for _, service := range slices.Sorted(maps.Keys(f.Entries)) {
		if got, want := n.View.Entries[service], f.Entries[service]; got < want {
			reasons = append(reasons, fmt.Sprintf("%s at revision %d, not %d", service, got, want))
		}
	}
	for _, service := range slices.Sorted(maps.Keys(f.Deleted)) {
		if got, ok := n.View.Entries[service]; ok && got < f.Deleted[service] {
			reasons = append(reasons, fmt.Sprintf("%s at revision %d, deleted at %d", service, got, f.Deleted[service]))
		}
	}
	for _, finding := range n.Control.Unreadable {
		reasons = append(reasons, "can't read "+finding.Place+" of its routes: "+finding.Message)
	}
	for _, invalid := range n.Control.Invalid {
		reasons = append(reasons, fmt.Sprintf("rejected %s at revision %d", invalid.Key, invalid.Revision))
	}
	if n.Workspaces != nil && n.Control.ProofBound > 0 && !n.Control.Proven {
		reasons = append(reasons, "can't prove its routes and refuses keys")
	}
	switch {
	case !n.Control.HasCatalogue:
		reasons = append(reasons, "has no catalogue")
	case !n.Control.Confirmed:
		reasons = append(reasons, "view was never confirmed by the store")
	case n.Control.Age > maxViewAge:
		reasons = append(reasons, fmt.Sprintf("view is %s old", n.Control.Age))
	}
	return reasons
}

// showFleet prints the status. It returns an error if a node lags behind, so that
// scripts can poll the command until a change is in force everywhere.
func (s *session) showFleet(f *fleetStatus) error {
	var failure error
	if len(f.Laggards) > 0 {
		failure = errors.WithStack(errFailed)
	}
	if s.json {
		return errors.CombineErrors(failure, s.printJSON(f))
	}
	s.showNodes(f.Nodes)
	s.showTotals(f.Nodes)
	s.showPeers(f.Nodes)
	s.showQuotaOwners(f.Nodes)
	for _, l := range f.Laggards {
		s.printf("laggard %s: %s", l.Node, strings.Join(l.Reasons, "; "))
	}
	s.printf("lagging nodes: %d of %d, compared with the %s", len(f.Laggards), f.Asked, f.Reference)
	return failure
}

func (s *session) showNodes(nodes []nodeStatus) {
	rows := [][]string{{"NODE", "SERVICE", "PLACE", "STATE", "SLOTS", "IN-FLIGHT", "QUEUED", "REVISION", "AGE"}}
	showUnreadable := slices.ContainsFunc(nodes, func(n nodeStatus) bool { return n.Control.unreadable() > 0 })
	if showUnreadable {
		rows[0] = append(rows[0], "UNREADABLE")
	}
	showProof := slices.ContainsFunc(nodes, func(n nodeStatus) bool { return n.Workspaces != nil && n.Control.ProofBound > 0 })
	if showProof {
		rows[0] = append(rows[0], "PROOF")
	}
	for i := range nodes {
		n := &nodes[i]
		state := n.State
		if n.Draining {
			state += ",draining"
		}
		rows = append(rows, []string{
			string(n.Node), string(n.Service), dfuident.Place{Region: n.Region, Zone: n.Zone}.String(), state,
			strconv.Itoa(n.Slots), strconv.Itoa(n.InFlight), strconv.Itoa(n.Queued),
			strconv.FormatUint(uint64(n.View.Revision), 10), n.Control.Age.String(),
		})
		if showUnreadable {
			rows[i+1] = append(rows[i+1], strconv.Itoa(n.Control.unreadable()))
		}
		if showProof {
			rows[i+1] = append(rows[i+1], n.Control.proof())
		}
	}
	s.table(rows)
}

// showTotals prints the number of refused requests by reason, and the bytes spent
// on measuring.
func (s *session) showTotals(nodes []nodeStatus) {
	refused := make(map[dfuoutcome.Reason]uint64)
	var spent dfuident.Bytes
	budgets := make(map[dfuident.Service]dfuident.Bytes)
	for i := range nodes {
		for reason, count := range nodes[i].Refused {
			refused[reason] += count
		}
		spent += nodes[i].Measuring.SpentBytes
		if budget := nodes[i].Measuring.BudgetBytes; budget > 0 {
			budgets[nodes[i].Service] = budget
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(refused)) {
		s.printf("refused %s: %d", reason, refused[reason])
	}
	if len(budgets) > 0 {
		var budget dfuident.Bytes
		for _, b := range budgets {
			budget += b
		}
		s.printf("measuring: %d bytes since the nodes started; the budget of %d services is %d bytes/s", spent, len(budgets), budget)
	}
}

// showPeers prints the peers that a node doesn't see as alive or that it avoids.
func (s *session) showPeers(nodes []nodeStatus) {
	for i := range nodes {
		for _, p := range nodes[i].Peers {
			text := string(p.State)
			if p.Reason != "" {
				text += ": " + p.Reason
			}
			if p.State != dfuroster.Alive || p.Reason != "" {
				s.printf("%s sees %s as %s", nodes[i].Node, p.Node, text)
			}
		}
	}
}
