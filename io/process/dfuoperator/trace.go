package dfuoperator

import (
	"cmp"
	"context"
	"net/url"
	"slices"
	"strings"
	"time"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
)

// traceCommand prints the trace of one request.
type traceCommand struct {
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// traceSpan is one span of a trace, a hop of the request.
type traceSpan struct {
	TraceID    string           `json:"trace_id"`
	SpanID     string           `json:"span_id"`
	ParentID   string           `json:"parent_id,omitempty"`
	Name       string           `json:"name"`
	StartMS    int64            `json:"start_unix_ms"`
	DurationUS int64            `json:"duration_us"`
	Attributes []traceAttribute `json:"attributes"`
	// Node is the node that recorded the span.
	Node dfuident.NodeID `json:"node"`
}

// traceAttribute is an attribute of a span.
type traceAttribute struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// run queries all nodes, since each stores only the spans that it recorded.
func (c *traceCommand) run(ctx context.Context, s *session) error {
	client := newNodeClient(s.settings)
	nodes, err := s.nodes(ctx, client)
	if err != nil {
		return err
	}
	answers := make([][]traceSpan, len(nodes))
	failures := make([]error, len(nodes))
	forEachNode(nodes, func(i int) {
		failures[i] = client.get(ctx, nodes[i].HTTP, "/dragonflyusher/trace", url.Values{"id": {c.Args.ID}}, &answers[i])
	})
	spans := []traceSpan{}
	for i := range nodes {
		if failures[i] != nil {
			s.notef("node %s does not answer; its hops are missing", nodes[i].Node)
		}
		for _, span := range answers[i] {
			span.Node = nodes[i].Node
			spans = append(spans, span)
		}
	}
	if len(spans) == 0 {
		s.notef("no node remembers trace %s", c.Args.ID)
		return errors.WithStack(errFailed)
	}
	if s.json {
		return s.printJSON(spans)
	}
	s.showTree(spans)
	return nil
}

// showTree prints the spans as a tree. A span whose parent no node recorded, such
// as the caller's, is a root.
func (s *session) showTree(spans []traceSpan) {
	slices.SortStableFunc(spans, func(a, b traceSpan) int {
		return cmp.Or(cmp.Compare(a.StartMS, b.StartMS), cmp.Compare(a.SpanID, b.SpanID))
	})
	recorded := make(map[string]bool, len(spans))
	for _, span := range spans {
		recorded[span.SpanID] = true
	}
	children := make(map[string][]traceSpan)
	for _, span := range spans {
		parent := span.ParentID
		if !recorded[parent] || parent == span.SpanID {
			parent = ""
		}
		children[parent] = append(children[parent], span)
	}
	s.showSubtree(children, "", "")
}

func (s *session) showSubtree(children map[string][]traceSpan, parent, indent string) {
	for _, span := range children[parent] {
		duration := (time.Duration(span.DurationUS) * time.Microsecond).String()
		parts := []string{indent + span.Name, "on", string(span.Node), duration}
		for _, a := range span.Attributes {
			parts = append(parts, a.Name+"="+a.Value)
		}
		s.printf("%s", strings.Join(parts, " "))
		s.showSubtree(children, span.SpanID, indent+"  ")
	}
}
