package dfutrace

import (
	"context"
	"os"

	"dragonflyusher/core/process/dfuident"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// recentSpanCount is the capacity of the in-memory ring buffer, in spans.
const recentSpanCount = 1024

// Config configures sampling and the exporters.
type Config struct {
	// Node is the service.instance.id of the exported spans.
	Node dfuident.NodeID
	// SamplePerMille is the share of traces to sample, in thousandths, if the caller
	// sends no valid traceparent.
	SamplePerMille int
	// File is the path of the file to append spans to; empty means none.
	File string
	// OTLPEndpoint is the host:port of an OTLP/HTTP collector, which is called without
	// TLS; empty means none.
	OTLPEndpoint string
}

// Tracer starts spans, exports them and keeps the most recent ones.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	recent   *ring
	file     *os.File
}

// New returns a Tracer with the exporters that cfg enables.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	t := &Tracer{recent: newRing(recentSpanCount)}
	ratio := float64(cfg.SamplePerMille) / 1000
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithSpanProcessor(t.recent),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", string(cfg.Node)))),
	}
	if cfg.File != "" {
		file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "open trace file")
		}
		t.file = file
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Wrap(err, "create trace file exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if cfg.OTLPEndpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.OTLPEndpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, errors.Wrap(err, "create OTLP exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("dragonflyusher")
	return t, nil
}

// Start starts a span as a child of the span in traceparent, or as the root of a new
// trace if traceparent is empty or malformed. It returns the span and the traceparent
// for the next hop. Traceparents have the format of W3C Trace Context.
func (t *Tracer) Start(traceparent, name string) (trace.Span, string) {
	carrier := propagation.MapCarrier{}
	propagator := propagation.TraceContext{}
	if traceparent != "" {
		carrier.Set("traceparent", traceparent)
	}
	ctx := propagator.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, name)
	propagator.Inject(ctx, carrier)
	return span, carrier.Get("traceparent")
}

// Recent returns the spans of a trace that are still in memory, oldest first. The id
// is in hexadecimal.
func (t *Tracer) Recent(id string) []Span {
	return t.recent.find(id)
}

// Close exports the remaining spans and shuts the exporters down.
func (t *Tracer) Close(ctx context.Context) error {
	err := errors.Wrap(t.provider.Shutdown(ctx), "shut down tracing")
	if t.file != nil {
		err = errors.CombineErrors(err, t.file.Close())
	}
	return err
}
