package dfunode

import (
	"encoding/json"
	"fmt"
	"strings"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/core/version/dfuroster"
	"dragonflyusher/core/version/dfuroute"
	"dragonflyusher/io/process/dfucontrol"
	"dragonflyusher/io/process/dfustatus"
	"dragonflyusher/io/request/dfuquotas"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Status is the response to GET /dragonflyusher/status.
type Status struct {
	Node        dfuident.NodeID      `json:"node"`
	Incarnation dfuident.Incarnation `json:"incarnation"`
	Region      dfuident.Region      `json:"region"`
	Zone        dfuident.Zone        `json:"zone"`
	Service     dfuident.Service     `json:"service"`
	// Target is the address of the local target.
	Target      dfuident.Address  `json:"target"`
	State       string            `json:"state"`
	Draining    bool              `json:"draining"`
	Slots       int               `json:"slots"`
	InFlight    int               `json:"in_flight"`
	Queued      int               `json:"queued"`
	ServiceTime dfuclock.Duration `json:"service_time_ms"`
	View        dfustatus.View    `json:"view"`
	Peers       []dfustatus.Peer  `json:"peers"`
	// Measuring is the traffic that the gate spent on reporting its load.
	Measuring MeasuringStatus             `json:"measuring"`
	Refused   map[dfuoutcome.Reason]int64 `json:"refused"`
	// Banned is the number of requests that are refused because they crashed targets.
	Banned  int               `json:"banned"`
	Control dfucontrol.Status `json:"control"`
	// Quota is nil if the node has no quotas.
	Quota *QuotaStatus `json:"quota,omitempty"`
	// Workspaces is nil if the routes have none.
	Workspaces *dfustatus.Workspaces `json:"workspaces,omitempty"`
}

// QuotaStatus describes the node's part in quotas.
type QuotaStatus struct {
	dfuquotas.Status
	// Owners lists the owners of shards as far as the node has found them; empty if the
	// routes have no workspaces.
	Owners []dfustatus.OwnedShards `json:"owners,omitempty"`
}

// MeasuringStatus holds the traffic spent on measuring since the start, and the
// service's budget for the whole fleet in bytes per second.
type MeasuringStatus struct {
	SpentBytes     dfuident.Bytes `json:"spent_bytes"`
	SpentLinkBytes dfuident.Bytes `json:"spent_link_bytes"`
	Refused        uint64         `json:"refused"`
	BudgetBytes    dfuident.Bytes `json:"budget_bytes"`
}

// serveAdmin handles requests below /dragonflyusher/.
func (n *Node) serveAdmin(ctx *fasthttp.RequestCtx) {
	path := strings.TrimPrefix(string(ctx.Path()), "/dragonflyusher/")
	if instance, ok := strings.CutPrefix(path, "targets/"); ok {
		n.adminInstance(ctx, dfuident.Instance(instance))
		return
	}
	switch path {
	case "target":
		n.adminTarget(ctx)
	case "ready":
		n.adminReady(ctx)
	case "status":
		writeJSON(ctx, n.status())
	case "nodes":
		writeJSON(ctx, n.nodes())
	case "metrics":
		n.updateWorkspaceMetrics()
		writeJSON(ctx, n.metrics)
	case "metrics.txt":
		n.adminMetricsText(ctx)
	case "trace":
		writeJSON(ctx, n.tracer.Recent(string(ctx.QueryArgs().Peek("id"))))
	case "route":
		n.adminRoute(ctx)
	case "log-level":
		n.adminLogLevel(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, errors.Newf("no such page: %s", path))
	}
}

// adminTarget handles the announcements of a target that does not number them.
func (n *Node) adminTarget(ctx *fasthttp.RequestCtx) {
	c := n.components.Load()
	if c == nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, errors.New("the node has not joined yet"))
		return
	}
	if !ctx.IsPost() {
		writeError(ctx, fasthttp.StatusMethodNotAllowed, errors.New("method not allowed: use POST"))
		return
	}
	c.target.handleAnnouncement(ctx)
}

// adminInstance handles the announcements of one instance of the local target.
func (n *Node) adminInstance(ctx *fasthttp.RequestCtx, instance dfuident.Instance) {
	c := n.components.Load()
	if c == nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, errors.New("the node has not joined yet"))
		return
	}
	c.target.handleInstance(ctx, instance)
}

// adminReady answers 200 if callers should use this node, and 503 with the
// reason if not.
func (n *Node) adminReady(ctx *fasthttp.RequestCtx) {
	if err := n.ready(); err != nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

// ready returns nil if callers should use this node, or an error with the reason
// why not.
func (n *Node) ready() error {
	switch {
	case n.stopping.Load():
		return errors.New("the node is stopping")
	case n.components.Load() == nil:
		return errors.New("the node has not joined yet")
	case n.adapters.Routed && n.control.View().Routes() == nil:
		return errors.New("the node has no routes yet")
	}
	return nil
}

// adminLogLevel returns the log level, after setting it if the method is PUT.
func (n *Node) adminLogLevel(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		if err := json.Unmarshal(ctx.PostBody(), &n.logOutput.Level); err != nil {
			writeError(ctx, fasthttp.StatusBadRequest, errors.Wrap(err, "the log level must be a JSON string such as \"debug\""))
			return
		}
		n.log.Info("log level changed")
	}
	writeJSON(ctx, n.logOutput.Level)
}

func (n *Node) status() Status {
	view := n.control.View()
	control := n.control.Status()
	status := Status{
		Node:    n.settings.Node,
		Region:  n.settings.Region,
		Zone:    n.settings.Zone,
		State:   "joining",
		View:    dfustatus.View{Revision: control.CatalogueRevision, Entries: map[dfuident.Service]dfuident.Revision{}},
		Peers:   []dfustatus.Peer{},
		Control: control,
	}
	for _, service := range view.Services() {
		_, revision, _ := view.Entry(service)
		status.View.Entries[service] = revision.InStore()
	}
	status.Workspaces = describeWorkspaces(view.Routes())
	for _, peer := range view.Nodes() {
		if peer.State != dfuroster.Alive {
			status.Peers = append(status.Peers, dfustatus.Peer{Node: peer.Member.Node, State: peer.State})
		}
	}
	if c := n.components.Load(); c != nil {
		c.fillStatus(&status)
	}
	return status
}

// describeWorkspaces returns nil if a route table has no workspaces.
func describeWorkspaces(table *dfuroute.Table) *dfustatus.Workspaces {
	if table == nil || !table.HasWorkspaces() {
		return nil
	}
	described := &dfustatus.Workspaces{Count: len(table.Workspaces)}
	for _, w := range table.Workspaces {
		if w.Rate > 0 {
			described.Limited++
		}
	}
	return described
}

// fillStatus sets the fields that are only known after the node has joined.
func (c *components) fillStatus(status *Status) {
	gate := c.gate.Status()
	status.Incarnation = c.self.Incarnation
	status.State = "serving"
	status.Draining = gate.Draining
	if gate.Draining {
		status.State = "draining"
	}
	if gate.Drained {
		status.State = "drained"
	}
	status.Slots = int(gate.Load.Slots)
	status.InFlight = int(gate.Load.InFlight)
	status.Queued = int(gate.Load.Queued)
	status.ServiceTime = gate.Load.ServiceTime
	status.Refused = gate.Refused
	status.Banned = gate.Banned
	if c.quotas != nil {
		status.Quota = &QuotaStatus{Status: c.quotas.Status()}
		if status.Workspaces != nil {
			status.Quota.Owners = c.quotas.Owners()
		}
	}
	for _, e := range c.dispatcher.Ejections() {
		status.Peers = append(status.Peers, dfustatus.Peer{Node: e.Member.Node, State: dfuroster.Alive, Reason: ejectionReason(e)})
	}
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	status.Measuring = MeasuringStatus{
		SpentBytes:     gate.Measuring.Bytes,
		SpentLinkBytes: gate.Measuring.LinkBytes,
		Refused:        gate.Measuring.Refused,
		BudgetBytes:    dfuident.Bytes(c.target.budget.BytesPerSecond),
	}
	if c.target.present {
		status.Service = c.target.current.Service
		status.Target = c.target.current.Address
	}
}

// ejectionReason describes why this node sends no requests, or only trial
// requests, to a live node.
func ejectionReason(e dfuchoice.Ejection) string {
	if e.Remaining == 0 {
		return fmt.Sprintf("on probation, %d %% of attempts failed", e.FailedPercent)
	}
	return fmt.Sprintf("ejected for %s more, %d %% of attempts failed", e.Remaining, e.FailedPercent)
}

func (n *Node) nodes() []dfustatus.Node {
	nodes := []dfustatus.Node{}
	for _, v := range n.control.View().Nodes() {
		nodes = append(nodes, dfustatus.Node{
			Node:        v.Member.Node,
			Incarnation: v.Member.Incarnation,
			Region:      v.Place.Region,
			Zone:        v.Place.Zone,
			HTTP:        v.HTTP,
			Service:     v.Service,
			State:       v.State,
		})
	}
	return nodes
}
