//! How long a run may keep its driver waiting, by the pace that is usual for its service.

use std::time::Duration;

/// Shortest time to the head of an answer, which comes with the first event; an engine that loads
/// weights for 0.9 s or has a queue needs longer than a second.
const HEAD_LEAST: Duration = Duration::from_millis(2_000);

/// Shortest time between two events. Of 77 runs over three seconds at 37 ms an event none paused for
/// more than 0.2 s.
const EVENT_LEAST: Duration = Duration::from_millis(1_600);

/// Usual gaps between events that make either time longer: an engine that is slowed down 3.5 times
/// still has three gaps of its own before it is left, and eight until its first event.
const EVENT_GAPS: f64 = 12.0;
const HEAD_GAPS: f64 = 28.0;

/// Time limits of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunLimits {
    /// Time to the head of the answer.
    pub head: Duration,
    /// Time between two events.
    pub event: Duration,
}

impl RunLimits {
    /// Returns the limits where events usually come every `pace_ms` milliseconds.
    pub fn at_pace(pace_ms: f64) -> Self {
        let gaps = |count: f64| Duration::from_secs_f64(pace_ms.max(0.0) * count / 1_000.0);
        Self { head: HEAD_LEAST.max(gaps(HEAD_GAPS)), event: EVENT_LEAST.max(gaps(EVENT_GAPS)) }
    }
}
