//! The clock of a running daemon.

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use trestlerack::Timestamp;
use trestlerack::border::Clock;
use trestlerack::time::millis;

/// Reads the operating system's clocks.
pub struct SystemClock {
    started: Instant,
}

/// Time shown by a clock at its start, so that "some seconds ago" never falls below zero.
const START_MS: u64 = 3_600_000;

impl SystemClock {
    /// Starts a monotonic clock.
    pub fn new() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns wall clock milliseconds since the Unix epoch.
    pub fn unix_millis() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, millis)
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        Timestamp(START_MS + millis(self.started.elapsed()))
    }

    fn unix_seconds(&self) -> u64 {
        Self::unix_millis() / 1_000
    }
}
