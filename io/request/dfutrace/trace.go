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

// recentSpans is the number of spans that the ring in memory holds.
const recentSpans = 1024

// Config selects what is traced and where the spans go.
type Config struct {
	Node           dfuident.NodeID
	SamplePerMille int
	File           string
	OTLPEndpoint   string
}

// Tracer starts spans and keeps the recent ones.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	recent   *ring
	file     *os.File
}

// New returns a tracer with the exporters that cfg names.
func New(ctx context.Context, cfg Config) (*Tracer, error) {
	t := &Tracer{recent: newRing(recentSpans)}
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
			return nil, errors.Wrap(err, "make trace file exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if cfg.OTLPEndpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.OTLPEndpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, errors.Wrap(err, "make OTLP exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("dragonflyusher")
	return t, nil
}

// Start begins a span below the caller's traceparent. It returns the
// traceparent for the next hop.
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

// Recent returns the spans of a trace that the ring still holds.
func (t *Tracer) Recent(id string) []Span {
	return t.recent.find(id)
}

// Close exports what is left and ends the exporters.
func (t *Tracer) Close(ctx context.Context) error {
	err := errors.Wrap(t.provider.Shutdown(ctx), "stop tracing")
	if t.file != nil {
		err = errors.CombineErrors(err, t.file.Close())
	}
	return err
}
