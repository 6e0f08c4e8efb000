//! Counters and histograms, served as text on the metrics address.

use super::admission::AdmissionMetrics;
use super::cold::ColdMetrics;
use super::evacuations::{self, EvacuationMetrics};
use super::node::EntryNode;
use super::placement::PlacementMetrics;
use super::{engine_memory, resource_limits, status};
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use trestlerack::process::{ServerHealth, ServerStatus};
use trestlerack::request::RunEnd;
use trestlerack::version::OrderOutcome;

const SCOPE: &str = "trestlerackd.entry";

/// Counters and histograms of an entry node.
pub struct EntryMetrics {
    registry: prometheus::Registry,
    _meters: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    runs: Counter<u64>,
    results: Counter<u64>,
    orders: Counter<u64>,
    missed_usage: Counter<u64>,
    blocked_requests: Counter<u64>,
    server_crashes: Counter<u64>,
    over_share: Counter<u64>,
    /// Metrics of admission control.
    pub admission: AdmissionMetrics,
    /// Metrics of allowed regions.
    pub placement: PlacementMetrics,
    /// Metrics of evacuated zones.
    pub evacuations: EvacuationMetrics,
    /// Metrics of the limit of requests to cold engines.
    pub cold: ColdMetrics,
}

impl EntryMetrics {
    /// Starts the metrics.
    pub fn start() -> anyhow::Result<Self> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let meters = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = meters.meter(SCOPE);
        Ok(Self {
            requests: meter.u64_counter("trestlerack.entry.requests").build(),
            latency: meter.f64_histogram("trestlerack.entry.latency.ms").build(),
            runs: meter.u64_counter("trestlerack.entry.runs").build(),
            results: meter.u64_counter("trestlerack.entry.results").build(),
            orders: meter.u64_counter("trestlerack.entry.orders").build(),
            missed_usage: meter.u64_counter("trestlerack.entry.usage.missed").build(),
            blocked_requests: meter.u64_counter("trestlerack.entry.requests.held").build(),
            server_crashes: meter.u64_counter("trestlerack.entry.servers.ended").build(),
            over_share: meter.u64_counter("trestlerack.entry.requests.over.share").build(),
            admission: AdmissionMetrics::start(&meter),
            placement: PlacementMetrics::start(&meter),
            evacuations: EvacuationMetrics::start(&meter),
            cold: ColdMetrics::start(&meter),
            registry,
            _meters: meters,
        })
    }

    /// Counts a client's request by route and status.
    pub fn record_request(&self, route: &str, status: StatusCode, took: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        self.latency.record(took.as_secs_f64() * 1_000.0, std::slice::from_ref(&route));
        self.requests.add(1, &[route, KeyValue::new("status", i64::from(status.as_u16()))]);
    }

    /// Counts a run of an item by its end.
    pub fn record_run(&self, end: RunEnd) {
        self.runs.add(1, &[KeyValue::new("end", end.as_str())]);
    }

    /// Counts recorded results.
    pub fn record_results(&self, count: usize) {
        self.results.add(count as u64, &[]);
    }

    /// Counts an order by its outcome.
    pub fn record_order(&self, outcome: OrderOutcome) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    /// Counts usage windows that were not reported.
    pub fn record_missed_usage(&self, windows: u64) {
        self.missed_usage.add(windows, &[]);
    }

    /// Counts a request that was not sent because its content is blocked after server crashes.
    pub fn record_blocked_request(&self) {
        self.blocked_requests.add(1, &[]);
    }

    /// Counts a server that crashed while it ran a request of this node.
    pub fn record_server_crash(&self) {
        self.server_crashes.add(1, &[]);
    }

    /// Counts a request that was refused because its customer is over its share of a service.
    pub fn record_over_share(&self, service: &str) {
        self.over_share.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    fn render(&self) -> Vec<u8> {
        let mut page = Vec::new();
        // Encoding numbers as text cannot fail; an empty page would show it.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut page);
        page
    }
}

/// Serves the metrics until the process ends.
pub async fn serve(node: Arc<EntryNode>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let node = node.clone();
        tokio::spawn(async move {
            let service = hyper::service::service_fn(move |record_request: Request<Incoming>| {
                let render = status::respond(&node, record_request.uri().path()).unwrap_or_else(|| metrics_page(&node));
                async move { Ok::<_, Infallible>(Response::new(Full::new(bytes::Bytes::from(render)))) }
            });
            // A client whose connection breaks sends its request again.
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn metrics_page(node: &EntryNode) -> Vec<u8> {
    let mut page = node.metrics.render();
    page.extend_from_slice(engine_memory::metrics_lines(node).as_bytes());
    server_gauges(node, &mut page);
    page.extend_from_slice(evacuations::zone_lines(&node.evacuations.zones(), &node.balancer).as_bytes());
    let mut lines = format!("trestlerack_entry_connections_opened {}\n", node.pool.opened_count());
    resource_limits::write_metrics(&node.resource_limits, &mut lines);
    node.regions.write_metrics(&node.balancer, &mut lines);
    node.peers.write_metrics(&mut lines);
    page.extend_from_slice(lines.as_bytes());
    page
}

/// Adds the gauges of the servers whose latency is compared with that of other servers.
fn server_gauges(node: &EntryNode, page: &mut Vec<u8>) {
    let lines = node.balancer.lock().unwrap().server_statuses(node.now());
    for ServerStatus { instance, service, health, expected_slowness: expected, sent, .. } in lines {
        let labels = format!("{{server=\"{instance}\",service=\"{service}\"}}");
        let is_degraded = u8::from(health != ServerHealth::Healthy);
        let gauges = format!(
            "trestlerack_entry_server_expected{labels} {expected:.3}\n\
             trestlerack_entry_server_sent{labels} {sent}\n\
             trestlerack_entry_server_aside{labels} {is_degraded}\n"
        );
        page.extend_from_slice(gauges.as_bytes());
    }
}
