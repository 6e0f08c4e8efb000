//! Lets something happen once in an interval, however often it is called for.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::time::millis;

/// Passes once in an interval and counts the other times.
pub struct PaceGate {
    interval_ms: u64,
    next_ms: AtomicU64,
    skipped: AtomicU64,
}

impl PaceGate {
    /// Builds a gate that passes at once, and then once in an interval.
    pub fn every(interval: Duration) -> Self {
        Self { interval_ms: millis(interval), next_ms: AtomicU64::new(0), skipped: AtomicU64::new(0) }
    }

    /// Returns how many times were skipped since it passed last, if it passes.
    pub fn pass(&self, now: Timestamp) -> Option<u64> {
        if now.0 < self.next_ms.load(Ordering::Relaxed) {
            self.skipped.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.next_ms.store(now.0 + self.interval_ms, Ordering::Relaxed);
        Some(self.skipped.swap(0, Ordering::Relaxed))
    }
}
