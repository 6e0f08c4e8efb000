//! Monotonic time in milliseconds, passed to the state machines by their caller.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on a monotonic clock in milliseconds, comparable only within one process.
///
/// It is passed in with every event, so that a test or a replayed trace controls the time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(millis(span)))
    }
}

/// Converts a duration to whole milliseconds, saturating at [`u64::MAX`].
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
