//! Counts what was sent within the last second.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Span in which requests are counted: one second, and 100 ms for differences in transit time.
pub(super) const SEND_SPAN: Duration = Duration::from_millis(1_100);

/// Most sends that a window keeps, which bounds its memory. An engine with far fewer slots does not get more
/// requests per second than this.
const MAX_SENDS: usize = 4_096;

/// The times of the latest sends to one engine, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct SendWindow {
    sends: VecDeque<Timestamp>,
}

impl SendWindow {
    /// Records a send. At most `capacity` sends are kept, which must be the largest limit that is checked.
    pub(super) fn record(&mut self, now: Timestamp, capacity: u32) {
        let first = self.first_counted(now);
        self.sends.drain(..first);
        let capacity = (capacity as usize).clamp(1, MAX_SENDS);
        while self.sends.len() >= capacity {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Returns the number of sends in the span that ends now.
    pub(super) fn count(&self, now: Timestamp) -> u32 {
        // The deque is bounded by `MAX_SENDS`.
        (self.sends.len() - self.first_counted(now)) as u32
    }

    /// Returns the number of sends in the second that ends now.
    pub(super) fn count_last_second(&self, now: Timestamp) -> usize {
        self.sends.iter().filter(|sent| now.since(**sent) <= Duration::from_secs(1)).count()
    }

    /// Returns when there are fewer than `limit` sends in the span; `None` if that is never.
    pub(super) fn free_at(&self, now: Timestamp, limit: u32) -> Option<Timestamp> {
        let limit = (limit as usize).min(MAX_SENDS);
        if limit == 0 {
            return None;
        }
        let Some(blocking) = self.sends.len().checked_sub(limit) else { return Some(now) };
        // A send counts up to and including the end of the span.
        Some(now.max(self.sends[blocking] + SEND_SPAN + Duration::from_millis(1)))
    }

    fn first_counted(&self, now: Timestamp) -> usize {
        self.sends.partition_point(|sent| now.since(*sent) > SEND_SPAN)
    }
}
