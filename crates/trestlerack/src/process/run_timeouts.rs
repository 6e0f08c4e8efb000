//! Timeouts of a run, derived from the typical event rate of its service.

use std::time::Duration;

/// Minimum timeout of the response head, which arrives with the first event. An engine that loads weights for
/// 0.9 s or has a queue needs longer than a second.
const MIN_RESPONSE_HEAD: Duration = Duration::from_millis(2_000);

/// Minimum timeout between two events. In 77 runs of more than three seconds at 37 ms per event, no gap was
/// longer than 0.2 s.
const MIN_EVENT_GAP: Duration = Duration::from_millis(1_600);

/// Timeouts in typical gaps between events. An engine that is slowed down 3.5 times still has three of its own
/// gaps before a run leaves it, and eight until its first event.
const EVENT_GAPS: f64 = 12.0;
const RESPONSE_HEAD_GAPS: f64 = 28.0;

/// Timeouts of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTimeouts {
    /// Timeout of the response head.
    pub response_head: Duration,
    /// Timeout between two events.
    pub event_gap: Duration,
}

impl RunTimeouts {
    /// Returns the timeouts for a typical gap of `gap_ms` milliseconds between events.
    pub fn for_event_gap(gap_ms: f64) -> Self {
        let gaps = |count: f64| Duration::from_secs_f64(gap_ms.max(0.0) * count / 1_000.0);
        Self {
            response_head: MIN_RESPONSE_HEAD.max(gaps(RESPONSE_HEAD_GAPS)),
            event_gap: MIN_EVENT_GAP.max(gaps(EVENT_GAPS)),
        }
    }
}
