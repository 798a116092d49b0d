package dfutrace

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/attribute"
)

const (
	traceID   = "0af7651916cd43dd8448eb211c80319c"
	sampled   = "00-" + traceID + "-b7ad6b7169203331-01"
	unsampled = "00-" + traceID + "-b7ad6b7169203331-00"
)

func newTracer(t testing.TB, cfg Config) *Tracer {
	t.Helper()
	tracer, err := New(context.Background(), cfg)
	is.New(t).NoErr(err)
	return tracer
}

// TestSampling checks that a valid parent's sampled flag decides whether a span is
// recorded, and the sampling ratio decides without a parent. A malformed parent must
// count as none and must not be propagated.
func TestSampling(t *testing.T) {
	for _, c := range []struct {
		name, parent        string
		perMille            int
		recorded, continued bool
	}{
		{"none, all", "", 1000, true, false},
		{"none, nothing", "", 0, false, false},
		{"sampled, nothing", sampled, 0, true, true},
		{"unsampled, all", unsampled, 1000, false, true},
		{"too short", sampled[:50], 1000, true, false},
		{"too long", sampled + "0", 1000, true, false},
		{"upper case", strings.ToUpper(sampled), 1000, true, false},
		{"zero trace", "00-" + strings.Repeat("0", 32) + "-b7ad6b7169203331-01", 1000, true, false},
		{"zero span", "00-" + traceID + "-0000000000000000-01", 1000, true, false},
		{"bad version", "ff" + sampled[2:], 1000, true, false},
		{"later version", "01" + sampled[2:] + "-more", 1000, true, true},
		{"injection", sampled + "\r\nInjected: 1", 1000, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracer := newTracer(t, Config{SamplePerMille: c.perMille})
			span, next := tracer.Start(c.parent, "hop")
			span.End()
			is.Equal(len(next), len(sampled))
			is.Equal(strings.Contains(next, traceID), c.continued)
			is.Equal(strings.HasSuffix(next, "-01"), c.recorded)
			is.Equal(len(tracer.Recent(next[3:35])) == 1, c.recorded)
			is.NoErr(tracer.Close(context.Background()))
		})
	}
}

// TestRingWraps checks that the ring buffer keeps the newest spans, oldest first,
// when it overflows.
func TestRingWraps(t *testing.T) {
	is := is.New(t)
	tracer := newTracer(t, Config{})
	for i := range recentSpanCount + 3 {
		span, _ := tracer.Start(sampled, fmt.Sprint(i))
		span.End()
	}
	spans := tracer.Recent(traceID)
	is.Equal(len(spans), recentSpanCount)
	is.Equal(spans[0].Name, "3")
	is.Equal(spans[recentSpanCount-1].Name, fmt.Sprint(recentSpanCount+2))
	is.Equal(len(tracer.Recent("")), 0)
	is.NoErr(tracer.Close(context.Background()))
}

// TestTraceOfTwoHops checks that two hops record two spans, the second a child of the
// first, with their attributes.
func TestTraceOfTwoHops(t *testing.T) {
	is := is.New(t)
	tracer := newTracer(t, Config{})
	entry, next := tracer.Start(sampled, "entry")
	gate, _ := tracer.Start(next, "gate")
	gate.SetAttributes(attribute.String("outcome", "answered"), attribute.Int("status", 200))
	gate.End()
	entry.End()
	spans := tracer.Recent(traceID)
	is.Equal(len(spans), 2)
	is.Equal(spans[0].ParentID, spans[1].SpanID)
	for i := range spans {
		spans[i].SpanID, spans[i].ParentID, spans[i].StartMS, spans[i].DurationUS = "", "", 0, 0
	}
	got, err := json.Marshal(spans)
	is.NoErr(err)
	is.Equal(string(got), `[{"trace_id":"`+traceID+`","span_id":"","name":"gate","start_unix_ms":0,"duration_us":0,"attributes":[{"name":"outcome","value":"answered"},{"name":"status","value":"200"}]},`+
		`{"trace_id":"`+traceID+`","span_id":"","name":"entry","start_unix_ms":0,"duration_us":0,"attributes":[]}]`)
	is.NoErr(tracer.Close(context.Background()))
}

// TestCloseExports checks that Close exports the remaining spans to the collector and
// the file.
func TestCloseExports(t *testing.T) {
	is := is.New(t)
	var got atomic.Pointer[string]
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		text := r.URL.Path + string(body)
		got.Store(&text)
	}))
	defer collector.Close()
	file := filepath.Join(t.TempDir(), "spans")
	tracer := newTracer(t, Config{Node: "node-1", File: file, OTLPEndpoint: collector.Listener.Addr().String()})
	span, _ := tracer.Start(sampled, "hop-name")
	span.End()
	is.NoErr(tracer.Close(context.Background()))
	is.True(got.Load() != nil)
	is.True(strings.HasPrefix(*got.Load(), "/v1/traces"))
	is.True(strings.Contains(*got.Load(), "hop-name"))
	is.True(strings.Contains(*got.Load(), "node-1"))
	written, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(strings.Count(string(written), "hop-name"), 1)
}

// FuzzTraceparent checks that Start returns a well-formed traceparent for any input.
func FuzzTraceparent(f *testing.F) {
	for _, seed := range []string{"", sampled, unsampled, sampled[:54], "01" + sampled[2:] + "-more", "\x00"} {
		f.Add(seed)
	}
	tracer := newTracer(f, Config{SamplePerMille: 500})
	f.Fuzz(func(t *testing.T, parent string) {
		span, next := tracer.Start(parent, "hop")
		span.End()
		if len(next) != len(sampled) || strings.Trim(next, "0123456789abcdef-") != "" {
			t.Fatalf("Start(%q) returned malformed traceparent %q", parent, next)
		}
	})
}
