//! Metrics of admission control.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::RefusalReason;

/// Counters and histograms of calls that need a slot, by service.
pub struct AdmissionMetrics {
    calls: Counter<u64>,
    attempts: Counter<u64>,
    waits: Histogram<f64>,
    queue_lengths: Histogram<u64>,
    refusals: Counter<u64>,
    retries_refused: Counter<u64>,
}

impl AdmissionMetrics {
    /// Registers the metrics with a meter.
    pub fn start(meter: &Meter) -> Self {
        Self {
            calls: meter.u64_counter("trestlerack.entry.room.calls").build(),
            attempts: meter.u64_counter("trestlerack.entry.room.attempts").build(),
            waits: meter.f64_histogram("trestlerack.entry.room.wait.ms").build(),
            queue_lengths: meter.u64_histogram("trestlerack.entry.room.queue.length").build(),
            refusals: meter.u64_counter("trestlerack.entry.room.refusals").build(),
            retries_refused: meter.u64_counter("trestlerack.entry.room.retries.refused").build(),
        }
    }

    /// Counts a call, whatever its outcome.
    pub fn record_call(&self, service: &Name) {
        self.calls.add(1, &[label(service)]);
    }

    /// Counts a call that is sent to a server. Divided by the number of calls, this shows the load that second
    /// attempts add.
    pub fn record_attempt(&self, service: &Name) {
        self.attempts.add(1, &[label(service)]);
    }

    /// Records the length of the queue that a call joins.
    pub fn record_queued(&self, service: &Name, length: usize) {
        self.queue_lengths.record(length as u64, &[label(service)]);
    }

    /// Records how long a call waited.
    pub fn record_wait(&self, service: &Name, waited: Duration) {
        self.waits.record(waited.as_secs_f64() * 1_000.0, &[label(service)]);
    }

    /// Counts a refused call by reason.
    pub fn record_refusal(&self, service: &Name, reason: RefusalReason) {
        self.refusals.add(1, &[label(service), KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a second attempt that was not made.
    pub fn record_retry_refused(&self, service: &Name) {
        self.retries_refused.add(1, &[label(service)]);
    }
}

fn label(service: &Name) -> KeyValue {
    KeyValue::new("service", service.clone())
}
