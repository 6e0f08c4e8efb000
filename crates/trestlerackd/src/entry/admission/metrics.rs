//! Counters and histograms of room.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::RefusalReason;

/// Counters and histograms of calls that want a place, by service.
pub struct RoomMetrics {
    calls: Counter<u64>,
    attempts: Counter<u64>,
    waits: Histogram<f64>,
    lengths: Histogram<u64>,
    refusals: Counter<u64>,
    retries_refused: Counter<u64>,
}

impl RoomMetrics {
    /// Starts the metrics.
    pub fn start(meter: &Meter) -> Self {
        Self {
            calls: meter.u64_counter("trestlerack.entry.room.calls").build(),
            attempts: meter.u64_counter("trestlerack.entry.room.attempts").build(),
            waits: meter.f64_histogram("trestlerack.entry.room.wait.ms").build(),
            lengths: meter.u64_histogram("trestlerack.entry.room.queue.length").build(),
            refusals: meter.u64_counter("trestlerack.entry.room.refusals").build(),
            retries_refused: meter.u64_counter("trestlerack.entry.room.retries.refused").build(),
        }
    }

    /// Counts a call, whatever becomes of it.
    pub fn call(&self, service: &Name) {
        self.calls.add(1, &[label(service)]);
    }

    /// Counts a call that is sent to a server; over the calls, this is how much second attempts add.
    pub fn attempt(&self, service: &Name) {
        self.attempts.add(1, &[label(service)]);
    }

    /// Counts a call that waits behind so many others.
    pub fn queued(&self, service: &Name, length: usize) {
        self.lengths.record(length as u64, &[label(service)]);
    }

    /// Counts the end of a wait.
    pub fn waited(&self, service: &Name, waited: Duration) {
        self.waits.record(waited.as_secs_f64() * 1_000.0, &[label(service)]);
    }

    /// Counts a refused call by reason.
    pub fn refused(&self, service: &Name, reason: RefusalReason) {
        self.refusals.add(1, &[label(service), KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a second attempt that was not made.
    pub fn retry_refused(&self, service: &Name) {
        self.retries_refused.add(1, &[label(service)]);
    }
}

fn label(service: &Name) -> KeyValue {
    KeyValue::new("service", service.clone())
}
