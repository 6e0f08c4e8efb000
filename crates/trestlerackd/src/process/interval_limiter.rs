//! Limits an action to once per interval.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::time::millis;

/// Lets one call per interval pass, and counts the calls that it skips.
pub struct IntervalLimiter {
    interval_ms: u64,
    next_ms: AtomicU64,
    skipped: AtomicU64,
}

impl IntervalLimiter {
    /// Creates a limiter whose first call passes.
    pub fn every(interval: Duration) -> Self {
        Self { interval_ms: millis(interval), next_ms: AtomicU64::new(0), skipped: AtomicU64::new(0) }
    }

    /// Returns the number of calls skipped since the last one that passed; `None` if this one is skipped.
    pub fn try_pass(&self, now: Timestamp) -> Option<u64> {
        if now.0 < self.next_ms.load(Ordering::Relaxed) {
            self.skipped.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.next_ms.store(now.0 + self.interval_ms, Ordering::Relaxed);
        Some(self.skipped.swap(0, Ordering::Relaxed))
    }
}
