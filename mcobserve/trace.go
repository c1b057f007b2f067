package mcobserve

import (
	"context"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"marigoldcroft"
	"marigoldcroft/mcsetting"
)

// Kind classifies an error of the package.
type Kind string

// Error is the error type of the package.
type Error = marigoldcroft.Failure[Kind]

// KindExporter means that the span exporter could not be created.
const KindExporter Kind = "exporter"

// Propagator transfers W3C trace context and baggage.
var Propagator = propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{})

// NewTracerProvider returns a tracer provider with the exporter that settings select. The
// caller must shut it down to export the remaining spans.
func NewTracerProvider(ctx context.Context, settings mcsetting.Trace, instance string, w io.Writer) (*trace.TracerProvider, error) {
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(settings.Ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "marigoldcroft"), attribute.String("service.instance.id", instance))),
	}
	exporter, err := newExporter(ctx, settings, w)
	if err != nil {
		return nil, marigoldcroft.NewFailure("new tracer provider", KindExporter, err)
	}
	if exporter == nil {
		options = append(options, trace.WithSampler(trace.NeverSample()))
	} else {
		options = append(options, trace.WithBatcher(exporter))
	}
	return trace.NewTracerProvider(options...), nil
}

// newExporter returns the selected span exporter, or nil for "none".
func newExporter(ctx context.Context, settings mcsetting.Trace, w io.Writer) (trace.SpanExporter, error) {
	switch settings.Exporter {
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case "otlp":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(settings.Endpoint), otlptracehttp.WithInsecure())
	}
	return nil, nil
}
