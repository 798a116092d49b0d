package dfutrace

import (
	"context"
	"sync"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Span is one recorded hop, in the form that the operators' client displays.
type Span struct {
	TraceID    string      `json:"trace_id"`
	SpanID     string      `json:"span_id"`
	ParentID   string      `json:"parent_id,omitempty"`
	Name       string      `json:"name"`
	StartMS    int64       `json:"start_unix_ms"`
	DurationUS int64       `json:"duration_us"`
	Attributes []Attribute `json:"attributes"`
}

// Attribute is one attribute of a span.
type Attribute struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ring is a ring buffer of the newest ended spans. It implements
// sdktrace.SpanProcessor.
type ring struct {
	mu    sync.Mutex
	spans []sdktrace.ReadOnlySpan
	// next is the index of the oldest span, which the next one replaces.
	next int
}

func newRing(size int) *ring {
	return &ring{spans: make([]sdktrace.ReadOnlySpan, size)}
}

// OnStart does nothing, since only ended spans are kept.
func (r *ring) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd replaces the oldest span with span.
func (r *ring) OnEnd(span sdktrace.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans[r.next] = span
	r.next = (r.next + 1) % len(r.spans)
}

// ForceFlush does nothing, since spans are stored as soon as they end.
func (r *ring) ForceFlush(context.Context) error { return nil }

// Shutdown does nothing; the spans stay readable.
func (r *ring) Shutdown(context.Context) error { return nil }

// find returns the spans of the trace with the hexadecimal id, oldest first. The
// result is not nil.
func (r *ring) find(id string) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Span{}
	for i := range r.spans {
		span := r.spans[(r.next+i)%len(r.spans)]
		if span != nil && span.SpanContext().TraceID().String() == id {
			found = append(found, newSpan(span))
		}
	}
	return found
}

// newSpan converts an ended span.
func newSpan(span sdktrace.ReadOnlySpan) Span {
	v := Span{
		TraceID:    span.SpanContext().TraceID().String(),
		SpanID:     span.SpanContext().SpanID().String(),
		Name:       span.Name(),
		StartMS:    span.StartTime().UnixMilli(),
		DurationUS: span.EndTime().Sub(span.StartTime()).Microseconds(),
		Attributes: make([]Attribute, 0, len(span.Attributes())),
	}
	if span.Parent().HasSpanID() {
		v.ParentID = span.Parent().SpanID().String()
	}
	for _, a := range span.Attributes() {
		v.Attributes = append(v.Attributes, Attribute{Name: string(a.Key), Value: a.Value.String()})
	}
	return v
}
