//! Metrics of evacuated zones.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Mutex;
use trestlerack::Name;
use trestlerack::process::LoadBalancer;

/// Counters of what evacuations prevent.
pub struct EvacuationMetrics {
    refused_requests: Counter<u64>,
    refused_sends: Counter<u64>,
}

impl EvacuationMetrics {
    /// Registers the metrics with a meter.
    pub fn start(meter: &Meter) -> Self {
        Self {
            refused_requests: meter.u64_counter("trestlerack.entry.requests.evacuated").build(),
            refused_sends: meter.u64_counter("trestlerack.entry.sends.evacuated").build(),
        }
    }

    /// Counts a request that was refused because evacuations leave its service without a server.
    pub fn record_refusal(&self, service: &Name) {
        self.refused_requests.add(1, &[KeyValue::new("service", service.clone())]);
    }

    /// Counts an attempt or an order that was not sent because its server lies in an evacuated zone.
    pub fn record_refused_send(&self, service: &Name) {
        self.refused_sends.add(1, &[KeyValue::new("service", service.clone())]);
    }
}

/// Returns the lines of the metrics page with the requests of this node that still run in each evacuated zone.
pub fn zone_lines(zones: &BTreeSet<Name>, balancer: &Mutex<LoadBalancer>) -> String {
    let mut lines = String::new();
    for zone in zones {
        let in_progress = balancer.lock().unwrap().in_flight_in_zone(zone);
        // Writing to a string cannot fail.
        let _ = writeln!(lines, "trestlerack_entry_zone_evacuated{{zone=\"{zone}\"}} {in_progress}");
    }
    lines
}
