//! Metrics of requests that may be served in some regions only.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};

/// Counters of requests that were not sent because of their allowed regions.
pub struct PlacementMetrics {
    unplaced: Counter<u64>,
    unserved: Counter<u64>,
    prevented: Counter<u64>,
}

impl PlacementMetrics {
    /// Starts the metrics.
    pub fn start(meter: &Meter) -> Self {
        Self {
            unplaced: meter.u64_counter("trestlerack.entry.placement.unplaced").build(),
            unserved: meter.u64_counter("trestlerack.entry.placement.unserved").build(),
            prevented: meter.u64_counter("trestlerack.entry.placement.prevented").build(),
        }
    }

    /// Counts a request that was refused because no zone is allowed.
    pub fn record_unplaced(&self, route: &str) {
        self.unplaced.add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Counts a request that was refused because no server in its zones accepts work.
    pub fn record_unserved(&self, service: &str) {
        self.unserved.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts an attempt that was not sent because the zone of its server is not allowed any more.
    pub fn record_prevented(&self, service: &str) {
        self.prevented.add(1, &[KeyValue::new("service", service.to_owned())]);
    }
}
