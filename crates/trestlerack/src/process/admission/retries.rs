//! When refused callers return, and which calls may be sent to a second server.

use super::RoomSettings;
use crate::hash::hash_parts;
use crate::process::limiter::RetryBudget;
use crate::{Name, Timestamp};
use std::time::Duration;

/// Part of the longest time over which callers are spread in any case, also those whose turn would come
/// after it.
const LEAST_SPREAD: f64 = 0.25;

/// Tells refused callers of one service when to return.
///
/// Those refused while the queue drains are spread over the time that serving them all takes, by their
/// ids, so that they do not return together.
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    /// When all who were told to return would have been served one after the other.
    served_by: Timestamp,
}

impl ReturnTimes {
    /// Returns the time after which the caller of the request `id` returns.
    ///
    /// `drain` is when the queue is expected to be empty and `step` the time between two places;
    /// `None` where nothing is known of the service. `left` is the caller's time.
    pub fn return_after(
        &mut self,
        settings: &RoomSettings,
        now: Timestamp,
        expected: Option<(Duration, Duration)>,
        id: &str,
        left: Duration,
    ) -> Duration {
        let longest = left.mul_f64(settings.return_part);
        let (drain, step) = expected.unwrap_or((settings.return_time, Duration::ZERO));
        self.served_by = self.served_by.max(now + drain) + step;
        let window = drain.max(self.served_by.since(now).saturating_sub(drain));
        let first = drain.min(longest.mul_f64(1.0 - LEAST_SPREAD));
        let window = window.min(longest.saturating_sub(first));
        first + window.mul_f64(spread(id))
    }
}

/// Returns a number from 0 to below 1 that is the same for the same id.
fn spread(id: &str) -> f64 {
    const STEPS: u64 = 1 << 20;
    (hash_parts(&["return", id]) % STEPS) as f64 / STEPS as f64
}

/// Why a call is to be sent to one more server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// The one before failed it, and no free place is known.
    AfterFailure,
    /// The one before takes long and goes on.
    Beside,
}

impl AttemptReason {
    /// Returns the reason as logs name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AfterFailure => "after a failure",
            Self::Beside => "beside another",
        }
    }
}

/// Pays for second attempts at servers, by customer and route.
#[derive(Debug)]
pub struct SecondAttempts {
    budget: RetryBudget,
}

impl SecondAttempts {
    /// Builds a budget that is full for everyone.
    pub fn new(settings: &RoomSettings) -> Self {
        Self { budget: RetryBudget::new(settings.retry_ratio, settings.retry_reserve) }
    }

    /// Records a call, which earns a part of a second attempt.
    pub fn call(&mut self, customer: Option<&Name>, route: &Name) {
        self.budget.earn(&key(customer), route);
    }

    /// Takes a second attempt of a call out of the budget, or returns `false` if there is none for it.
    ///
    /// While the service is short, a call has no second server beside a first one that works on it: it
    /// would take the room of a call that has none.
    #[must_use]
    pub fn pay(&mut self, customer: Option<&Name>, route: &Name, reason: AttemptReason, is_short: bool) -> bool {
        let is_allowed = !is_short || reason == AttemptReason::AfterFailure;
        is_allowed && self.budget.spend(&key(customer), route)
    }
}

/// Calls of nobody in particular share one budget a route.
fn key(customer: Option<&Name>) -> Name {
    customer.cloned().unwrap_or_else(|| "".into())
}
