//! The pace at which an engine makes events, as its caller sees it.

use super::SuspensionDetector;
use std::time::Duration;

/// Time after a suspension of the caller's VM in which events arrive that were held up meanwhile: they
/// come faster than the engine makes them. Reckoned: links bring what waited within some ten
/// milliseconds.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// The time between events of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPace {
    gauge: SuspensionDetector,
    last: Option<Duration>,
    settled_from: Duration,
}

/// What some events that came together say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceSample {
    /// Time since the events before.
    pub gap: Duration,
    /// That time for each event.
    pub pace: Duration,
}

impl EventPace {
    /// Records `count` events that came together, by both clocks. The first ones say nothing, because the
    /// prompt is read before them; nor do those after which the VM was suspended, and those that
    /// arrive just afterwards.
    pub fn arrived(&mut self, since_boot: Duration, monotonic: Duration, count: usize) -> Option<PaceSample> {
        if self.gauge.update(since_boot, monotonic).is_some() {
            self.settled_from = since_boot + SETTLE_TIME;
        }
        let is_settled = since_boot >= self.settled_from;
        let last = std::mem::replace(&mut self.last, is_settled.then_some(since_boot));
        let gap = since_boot.saturating_sub(last.filter(|_| is_settled)?);
        let pace = gap / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        Some(PaceSample { gap, pace })
    }
}
