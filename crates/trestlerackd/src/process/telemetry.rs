//! Metrics for `/metrics` and a span per hop with W3C trace context.

use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{SpanKind, TraceContextExt, Tracer, TracerProvider};
use opentelemetry::{Context, KeyValue};
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use prometheus::{Encoder, TextEncoder};
use std::collections::HashMap;
use trestlerack::Name;
use trestlerack::process::DaemonSettings;

const SCOPE: &str = "trestlerackd";

/// Metrics and spans of one daemon.
pub struct Telemetry {
    registry: prometheus::Registry,
    meters: SdkMeterProvider,
    spans: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
    /// Requests by route and status.
    pub requests: Counter<u64>,
    /// Refusals by reason.
    pub refusals: Counter<u64>,
    /// Calls to engines by outcome.
    pub engine_calls: Counter<u64>,
    /// Tokens relayed.
    pub tokens: Counter<u64>,
    /// Time spent in the queue of an engine, in milliseconds.
    pub queue_time: Histogram<u64>,
    /// Failed calls of the table service.
    pub store_failures: Counter<u64>,
    /// Samples finished.
    pub samples: Counter<u64>,
    /// Samples that were made again, by cause.
    pub remade: Counter<u64>,
    /// Frames and bytes sent on node links.
    pub link_bytes: Counter<u64>,
    /// Groups in the spool, counted in and out.
    pub spooled: Counter<u64>,
}

impl Telemetry {
    /// Starts metrics, and spans with an exporter if the settings name a collector.
    pub fn start(settings: &DaemonSettings) -> anyhow::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let meters = SdkMeterProvider::builder().with_reader(exporter).build();
        let spans = span_provider(settings)?;
        let meter = meters.meter(SCOPE);
        Ok(Self {
            requests: meter.u64_counter("trestlerack.requests").build(),
            refusals: meter.u64_counter("trestlerack.refusals").build(),
            engine_calls: meter.u64_counter("trestlerack.engine.calls").build(),
            tokens: meter.u64_counter("trestlerack.tokens").build(),
            queue_time: meter.u64_histogram("trestlerack.queue.time.ms").build(),
            store_failures: meter.u64_counter("trestlerack.store.failures").build(),
            samples: meter.u64_counter("trestlerack.samples").build(),
            remade: meter.u64_counter("trestlerack.samples.remade").build(),
            link_bytes: meter.u64_counter("trestlerack.link.bytes").build(),
            spooled: meter.u64_counter("trestlerack.spooled").build(),
            tracer: spans.tracer(SCOPE),
            propagator: TraceContextPropagator::new(),
            registry,
            meters,
            spans,
        })
    }

    /// Returns the metrics page.
    pub fn page(&self) -> anyhow::Result<Vec<u8>> {
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(page)
    }

    /// Starts the span of a hop below the caller's trace context.
    pub fn hop(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> HopSpan {
        let parent = parent.map_or_else(Context::new, |value| {
            self.propagator.extract_with_context(&Context::new(), &TraceHeader(value))
        });
        let span = self.tracer.span_builder(name).with_kind(kind).start_with_context(&self.tracer, &parent);
        let context = parent.with_span(span);
        let mut headers = HeaderMap::default();
        self.propagator.inject_context(&context, &mut headers);
        let traceparent = headers.0.get("traceparent").map(|value| value.as_str().into());
        HopSpan { context, traceparent }
    }

    /// Flushes what is not exported yet.
    pub fn close(&self) {
        // The process ends next; an exporter that cannot flush has nowhere to report to.
        let _ = self.spans.shutdown();
        let _ = self.meters.shutdown();
    }
}

fn span_provider(settings: &DaemonSettings) -> anyhow::Result<SdkTracerProvider> {
    if settings.otlp_endpoint.is_empty() {
        return Ok(SdkTracerProvider::builder().build());
    }
    let exporter = opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_endpoint(settings.otlp_endpoint.clone())
        .build()?;
    Ok(SdkTracerProvider::builder().with_batch_exporter(exporter).build())
}

/// The span of one hop; it ends when it is dropped.
pub struct HopSpan {
    context: Context,
    /// Trace context to hand to the next hop.
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
        (key == "traceparent").then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec!["traceparent"]
    }
}

#[derive(Default)]
struct HeaderMap(HashMap<String, String>);

impl Injector for HeaderMap {
    fn set(&mut self, key: &str, value: String) {
        self.0.insert(key.to_owned(), value);
    }
}
