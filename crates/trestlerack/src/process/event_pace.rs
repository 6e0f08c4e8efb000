//! The pace at which an engine generates events, as observed by its caller.

use super::SuspensionDetector;
use std::time::Duration;

/// Time after a suspension of the caller's VM during which delayed events arrive, faster than the engine
/// generates them. Links deliver what was waiting within about ten milliseconds.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// The time between events of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPace {
    suspensions: SuspensionDetector,
    last_arrival: Option<Duration>,
    valid_from: Duration,
}

/// The pace of events that arrived together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSample {
    /// Time since the previous arrival.
    pub gap: Duration,
    /// That time divided by the number of events.
    pub pace: Duration,
}

impl EventPace {
    /// Records `count` events that arrived together, with the time on both clocks. Returns no sample for the
    /// first events, which also include the prefill of the prompt, and none for events that arrive shortly after
    /// a suspension of the VM.
    pub fn record_arrival(&mut self, since_boot: Duration, monotonic: Duration, count: usize) -> Option<PaceSample> {
        if self.suspensions.update(since_boot, monotonic).is_some() {
            self.valid_from = since_boot + SETTLE_TIME;
        }
        let is_valid = since_boot >= self.valid_from;
        let previous = std::mem::replace(&mut self.last_arrival, is_valid.then_some(since_boot));
        let gap = since_boot.saturating_sub(previous.filter(|_| is_valid)?);
        let pace = gap / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        Some(PaceSample { gap, pace })
    }
}
