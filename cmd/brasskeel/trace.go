package main

import (
	"context"
	"io"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"brasskeel/internal/coordination"
)

// tracer writes the core's spans with the OpenTelemetry SDK, as one JSON value each.
type tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
}

// traceToStderr is the path that stands for standard error.
const traceToStderr = "-"

// newTracer returns a tracer that appends to a file, or nil if path is empty.
func newTracer(path string) (*tracer, error) {
	var out io.Writer = os.Stderr
	switch path {
	case "":
		return nil, nil
	case traceToStderr:
	default:
		file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		out = file
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return &tracer{provider, provider.Tracer("brasskeel")}, nil
}

// record queues spans; they are written in batches on another goroutine. It does nothing on a
// nil tracer.
func (t *tracer) record(spans []coordination.Span) {
	if t == nil {
		return
	}
	for i := range spans {
		t.span(context.Background(), &spans[i])
	}
}

// span records a span with its parts as child spans.
func (t *tracer) span(ctx context.Context, s *coordination.Span) {
	var attributes []attribute.KeyValue
	for _, a := range s.Attributes {
		attributes = append(attributes, attribute.String(a.Key, a.Value))
	}
	ctx, span := t.tracer.Start(ctx, s.Name, trace.WithTimestamp(s.From), trace.WithAttributes(attributes...))
	for i := range s.Parts {
		t.span(ctx, &s.Parts[i])
	}
	span.End(trace.WithTimestamp(s.Until))
}

// close writes the queued spans.
func (t *tracer) close() {
	if t != nil {
		_ = t.provider.Shutdown(context.Background())
	}
}
