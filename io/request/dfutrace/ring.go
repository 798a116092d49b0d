package dfutrace

import (
	"context"
	"sync"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Span is one recorded hop as the operators' client shows it.
type Span struct {
	TraceID    string      `json:"trace_id"`
	SpanID     string      `json:"span_id"`
	ParentID   string      `json:"parent_id,omitempty"`
	Name       string      `json:"name"`
	StartMS    int64       `json:"start_unix_ms"`
	DurationUS int64       `json:"duration_us"`
	Attributes []Attribute `json:"attributes"`
}

// Attribute is one named fact of a span.
type Attribute struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// ring keeps the newest spans. It implements sdktrace.SpanProcessor.
type ring struct {
	mu    sync.Mutex
	spans []sdktrace.ReadOnlySpan
	next  int
}

func newRing(size int) *ring {
	return &ring{spans: make([]sdktrace.ReadOnlySpan, size)}
}

// OnStart does nothing: only ended spans are kept.
func (r *ring) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd keeps the span in place of the oldest one.
func (r *ring) OnEnd(span sdktrace.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans[r.next] = span
	r.next = (r.next + 1) % len(r.spans)
}

// ForceFlush has nothing to flush.
func (r *ring) ForceFlush(context.Context) error { return nil }

// Shutdown keeps the spans readable.
func (r *ring) Shutdown(context.Context) error { return nil }

// find returns the spans of a trace, the oldest first.
func (r *ring) find(id string) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Span{}
	for i := range r.spans {
		span := r.spans[(r.next+i)%len(r.spans)]
		if span != nil && span.SpanContext().TraceID().String() == id {
			found = append(found, view(span))
		}
	}
	return found
}

func view(span sdktrace.ReadOnlySpan) Span {
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
