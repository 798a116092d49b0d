// Package dfutrace records a span for each hop of a request. It exports the spans
// to a file and an OTLP/HTTP collector and keeps the newest in an in-memory ring
// buffer that the operators' client reads.
package dfutrace
