//! Metrics for `/metrics`, and the tracing spans of a daemon.

use super::tracing::{HopSpan, HopTracer};
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::trace::SpanKind;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};
use trestlerack::process::DaemonSettings;

const SCOPE: &str = "trestlerackd";

/// Metrics and spans of one daemon.
pub struct Telemetry {
    registry: prometheus::Registry,
    meters: SdkMeterProvider,
    tracer: HopTracer,
    /// Requests by route and status.
    pub requests: Counter<u64>,
    /// Rejected requests by reason.
    pub refusals: Counter<u64>,
    /// Calls to engines by outcome.
    pub engine_calls: Counter<u64>,
    /// Tokens relayed.
    pub tokens: Counter<u64>,
    /// Time spent in the queue of an engine, in milliseconds.
    pub queue_time: Histogram<u64>,
    /// Failed calls to the table service.
    pub store_failures: Counter<u64>,
    /// Samples finished.
    pub samples: Counter<u64>,
    /// Samples that were generated again, by cause.
    pub regenerated: Counter<u64>,
    /// Bytes sent on links to peers.
    pub link_bytes: Counter<u64>,
    /// Groups put into the spool.
    pub spooled: Counter<u64>,
}

impl Telemetry {
    /// Starts metrics and spans. Spans are exported if the settings name a collector.
    pub fn start(settings: &DaemonSettings) -> anyhow::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let meters = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = meters.meter(SCOPE);
        Ok(Self {
            requests: meter.u64_counter("trestlerack.requests").build(),
            refusals: meter.u64_counter("trestlerack.refusals").build(),
            engine_calls: meter.u64_counter("trestlerack.engine.calls").build(),
            tokens: meter.u64_counter("trestlerack.tokens").build(),
            queue_time: meter.u64_histogram("trestlerack.queue.time.ms").build(),
            store_failures: meter.u64_counter("trestlerack.store.failures").build(),
            samples: meter.u64_counter("trestlerack.samples").build(),
            regenerated: meter.u64_counter("trestlerack.samples.remade").build(),
            link_bytes: meter.u64_counter("trestlerack.link.bytes").build(),
            spooled: meter.u64_counter("trestlerack.spooled").build(),
            tracer: HopTracer::start(&settings.otlp_endpoint)?,
            registry,
            meters,
        })
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn page(&self) -> anyhow::Result<Vec<u8>> {
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(page)
    }

    /// Starts the span of a hop below the caller's trace context.
    pub fn start_span(&self, name: &'static str, kind: SpanKind, parent: Option<&str>) -> HopSpan {
        self.tracer.start_span(name, kind, parent)
    }

    /// Exports the remaining spans and metrics.
    pub fn close(&self) {
        self.tracer.close();
        // The process ends next, so a failed export cannot be reported anywhere.
        let _ = self.meters.shutdown();
    }
}
