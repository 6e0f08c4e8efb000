//! Notices that a VM was suspended, by two clocks of which only one counts that time.

use std::time::Duration;

/// Difference from which the clocks' distance counts as a suspension. Reading one clock after the
/// other takes microseconds, and longer if the thread is descheduled in between; the shortest time limits
/// that matter are some hundred milliseconds.
const LEAST_SUSPENSION: Duration = Duration::from_millis(50);

/// Compares the time since boot, which counts suspensions, with monotonic time, which does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionGauge {
    distance: Option<Duration>,
}

impl SuspensionGauge {
    /// Takes a reading of both clocks; returns how long the VM was suspended since the one before, if it
    /// was.
    pub fn read(&mut self, since_boot: Duration, monotonic: Duration) -> Option<Duration> {
        let distance = since_boot.saturating_sub(monotonic);
        let before = self.distance.replace(distance).unwrap_or(distance);
        let suspended = distance.saturating_sub(before);
        (suspended >= LEAST_SUSPENSION).then_some(suspended)
    }
}
