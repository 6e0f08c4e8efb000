//! One tracing span for each hop of a request, with W3C trace context.

use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::runtime::TokioCurrentThread;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use std::collections::HashMap;
use trestlerack::Name;

const SCOPE: &str = "trestlerackd";

/// Header that carries the trace context, as W3C names it.
pub const TRACE_HEADER: &str = "traceparent";

/// Creates the spans of a process.
pub struct HopTracer {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

impl HopTracer {
    /// Builds a tracer that exports to the OTLP collector at `endpoint`, or nowhere if that is
    /// empty.
    pub fn start(endpoint: &str) -> anyhow::Result<Self> {
        let provider = span_provider(endpoint)?;
        Ok(Self { tracer: provider.tracer(SCOPE), propagator: TraceContextPropagator::new(), provider })
    }

    /// Starts the span of a hop below the caller's trace context.
    pub fn start_span(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> HopSpan {
        let parent = parent.map_or_else(Context::new, |value| {
            self.propagator.extract_with_context(&Context::new(), &TraceHeader(value))
        });
        let span = self.tracer.span_builder(name).with_kind(kind).start_with_context(&self.tracer, &parent);
        let context = parent.with_span(span);
        let mut headers = HeaderMap::default();
        self.propagator.inject_context(&context, &mut headers);
        let traceparent = headers.0.get(TRACE_HEADER).map(|value| value.as_str().into());
        HopSpan { context, traceparent }
    }

    /// Exports the remaining spans.
    pub fn close(&self) {
        // The process ends next, so a failed export cannot be reported anywhere.
        let _ = self.provider.shutdown();
    }
}

fn span_provider(endpoint: &str) -> anyhow::Result<SdkTracerProvider> {
    if endpoint.is_empty() {
        return Ok(SdkTracerProvider::builder().build());
    }
    let exporter = opentelemetry_otlp::SpanExporter::builder().with_http().with_endpoint(endpoint).build()?;
    // The exporter needs a tokio runtime. It gets a separate one, so that a single-threaded process can
    // wait for its last spans.
    let processor = BatchSpanProcessor::builder(exporter, TokioCurrentThread).build();
    Ok(SdkTracerProvider::builder().with_span_processor(processor).build())
}

/// The span of one hop; it ends when it is dropped.
pub struct HopSpan {
    context: Context,
    /// Trace context to send to the next hop.
    pub traceparent: Option<Name>,
}

impl HopSpan {
    /// Adds an attribute.
    pub fn set(&self, key: &'static str, value: String) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

struct TraceHeader<'a>(&'a str);

impl Extractor for TraceHeader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        (key == TRACE_HEADER).then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACE_HEADER]
    }
}

#[derive(Default)]
struct HeaderMap(HashMap<String, String>);

impl Injector for HeaderMap {
    fn set(&mut self, key: &str, value: String) {
        self.0.insert(key.to_owned(), value);
    }
}
