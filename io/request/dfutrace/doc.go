// Package dfutrace records a span for each hop of a request and exports the
// spans to a file, to an OTLP/HTTP collector and to a ring in memory that the
// operators' client reads.
package dfutrace
