package dfuoperator

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"dragonflyusher/core/connection/dfuchoice"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/request/dfuoutcome"
	"dragonflyusher/io/process/dfustatus"
)

// routeCommand prints where a request would go now from each node, and why, without sending
// it.
type routeCommand struct {
	At      []dfuident.NodeID `long:"at" value-name:"NODE" description:"ask only this node; may be repeated"`
	Method  string            `long:"method" default:"GET" description:"method of the request"`
	Headers []string          `long:"header" value-name:"NAME:VALUE" description:"a header that the caller sends; may be repeated"`
	Bytes   dfuident.Bytes    `long:"bytes" description:"size of the request's body"`
	Args    struct {
		URL string `positional-arg-name:"HOST/PATH" required:"yes"`
	} `positional-args:"yes"`
}

// routePreview is a node's answer.
type routePreview struct {
	Node       dfuident.NodeID        `json:"node"`
	Route      string                 `json:"route,omitempty"`
	Service    dfuident.Service       `json:"service,omitempty"`
	Workspace  dfuident.Workspace     `json:"workspace,omitempty"`
	Quota      bool                   `json:"quota,omitempty"`
	QuotaOwner dfuident.NodeID        `json:"quota_owner,omitempty"`
	Target     dfuident.NodeID        `json:"target,omitempty"`
	Choice     dfuchoice.ChoiceReason `json:"choice,omitempty"`
	Waits      bool                   `json:"waits,omitempty"`
	Reason     dfuoutcome.Reason      `json:"reason,omitempty"`
	Detail     string                 `json:"detail,omitempty"`
	Candidates []dfuchoice.Candidate  `json:"candidates,omitempty"`
}

// request returns the request that the arguments describe.
func (c *routeCommand) request() (dfustatus.Request, error) {
	host, path, _ := strings.Cut(c.Args.URL, "/")
	r := dfustatus.Request{Method: c.Method, Host: host, URI: "/" + path, BodyBytes: c.Bytes}
	for i, field := range c.Headers {
		name, value, ok := strings.Cut(field, ":")
		if !ok {
			// A header may be a key, which must not be shown.
			return r, badInput("--header number " + strconv.Itoa(i+1) + " has no colon")
		}
		r.Headers = append(r.Headers, dfustatus.Header{Name: strings.TrimSpace(name), Value: strings.TrimSpace(value)})
	}
	return r, nil
}

func (c *routeCommand) run(ctx context.Context, s *session) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	client := newNodeClient(s.settings)
	nodes, err := s.nodes(ctx, client)
	if err != nil {
		return err
	}
	nodes = selectNodes(nodes, c.At)
	previews := make([]routePreview, len(nodes))
	failures := make([]error, len(nodes))
	forEachNode(nodes, func(i int) {
		failures[i] = client.post(ctx, nodes[i].HTTP, "/dragonflyusher/route", body, &previews[i])
		previews[i].Node = nodes[i].Node
	})
	answers := []routePreview{}
	for i, failure := range failures {
		if failure != nil {
			s.notef("%s: %s", nodes[i].Node, failure)
			continue
		}
		answers = append(answers, previews[i])
	}
	if s.json {
		return s.printJSON(answers)
	}
	for _, p := range answers {
		s.showPreview(p, len(c.At) > 0)
	}
	return nil
}

// selectNodes returns the nodes with the given ids, or all if none are given.
func selectNodes(nodes []dfustatus.Node, ids []dfuident.NodeID) []dfustatus.Node {
	if len(ids) == 0 {
		return nodes
	}
	var selected []dfustatus.Node
	for _, id := range ids {
		for _, n := range nodes {
			if n.Node == id {
				selected = append(selected, n)
			}
		}
	}
	return selected
}

// showPreview prints one line, and one more for each target if all is set.
func (s *session) showPreview(p routePreview, all bool) {
	about := fmt.Sprintf("route=%s service=%s", p.Route, p.Service)
	if p.Workspace != "" {
		about += " workspace=" + string(p.Workspace)
	}
	switch {
	case p.QuotaOwner != "":
		about += " quota_owner=" + string(p.QuotaOwner)
	case p.Quota:
		about += " quota_owner=unknown"
	}
	switch {
	case p.Target == "" && p.Detail != "":
		s.printf("%s: refused: %s (%s) %s", p.Node, p.Reason, p.Detail, about)
	case p.Target == "":
		s.printf("%s: refused: %s %s", p.Node, p.Reason, about)
	default:
		s.printf("%s: to %s: %s %s", p.Node, p.Target, p.Choice, about)
	}
	for _, t := range p.Candidates {
		if !all {
			return
		}
		s.printf("  %s %s loss=%.3f in_time=%t running=%d+%.0f/%.0f slow=%t barred=%q", t.Node, t.Place, t.Loss, t.InTime, t.InFlight, t.Others, t.Slots, t.Slow, t.Barred)
	}
}
