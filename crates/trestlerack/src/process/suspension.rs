//! Detects that a VM was suspended, by comparing two clocks of which only one counts suspended time.

use std::time::Duration;

/// Minimum change of the difference between the clocks that counts as a suspension. Reading both clocks takes
/// microseconds, and longer if the thread is descheduled in between. The shortest timeouts that a suspension
/// could affect are several hundred milliseconds.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Compares the time since boot, which includes suspensions, with monotonic time, which does not.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    difference: Option<Duration>,
}

impl SuspensionDetector {
    /// Takes a reading of both clocks, and returns how long the VM was suspended since the previous reading;
    /// `None` if it was not.
    pub fn update(&mut self, since_boot: Duration, monotonic: Duration) -> Option<Duration> {
        let difference = since_boot.saturating_sub(monotonic);
        let before = self.difference.replace(difference).unwrap_or(difference);
        let suspended = difference.saturating_sub(before);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}
