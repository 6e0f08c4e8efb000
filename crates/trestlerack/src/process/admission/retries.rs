//! Retry times of refused callers, and the budget of second attempts.

use super::AdmissionSettings;
use crate::hash::hash_parts;
use crate::process::limiter::RetryBudget;
use crate::{Name, Timestamp};
use std::time::Duration;

/// Minimum fraction of the maximum retry time over which callers are spread, even if the queue is expected to
/// drain only after it.
const MIN_SPREAD_FRACTION: f64 = 0.25;

/// Tells refused callers of a service when to retry.
///
/// Callers that are refused while the queue drains are spread over the time that serving them all takes, by a
/// hash of their ids, so that they do not retry at the same moment.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    /// When all callers that were told to retry would have been served one after the other.
    served_by: Timestamp,
}

impl RetrySchedule {
    /// Returns the time after which the caller of the request `id` should retry.
    ///
    /// `expected` is the time until the queue is expected to be empty and the interval at which slots become
    /// free, or `None` if nothing is known of the service. `left` is the time until the caller's deadline.
    pub fn retry_after(
        &mut self,
        settings: &AdmissionSettings,
        now: Timestamp,
        expected: Option<(Duration, Duration)>,
        id: &str,
        left: Duration,
    ) -> Duration {
        let max = left.mul_f64(settings.max_retry_fraction);
        let (drain_time, slot_interval) = expected.unwrap_or((settings.default_retry_after, Duration::ZERO));
        self.served_by = self.served_by.max(now + drain_time) + slot_interval;
        let window = drain_time.max(self.served_by.since(now).saturating_sub(drain_time));
        let earliest = drain_time.min(max.mul_f64(1.0 - MIN_SPREAD_FRACTION));
        let window = window.min(max.saturating_sub(earliest));
        earliest + window.mul_f64(jitter_of(id))
    }
}

/// Returns a number in `0.0..1.0` that depends on the id only.
fn jitter_of(id: &str) -> f64 {
    const STEPS: u64 = 1 << 20;
    (hash_parts(&["return", id]) % STEPS) as f64 / STEPS as f64
}

/// Why a call is sent to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// The previous attempt failed, and no free slot is known.
    Retry,
    /// The first server is slow, and its attempt continues.
    Hedge,
}

impl AttemptReason {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Retry => "after a failure",
            Self::Hedge => "beside another",
        }
    }
}

/// Limits second attempts, by customer and route.
#[derive(Debug)]
pub struct SecondAttemptBudget {
    budget: RetryBudget,
}

impl SecondAttemptBudget {
    /// Creates a budget that is full for each customer and route.
    pub fn new(settings: &AdmissionSettings) -> Self {
        Self { budget: RetryBudget::new(settings.retry_ratio, settings.retry_reserve) }
    }

    /// Records a call, which adds a fraction of a second attempt to the budget.
    pub fn record_call(&mut self, customer: Option<&Name>, route: &Name) {
        self.budget.earn(&budget_key(customer), route);
    }

    /// Takes a second attempt from the budget, or returns `false` if it is not allowed.
    ///
    /// While the service is overloaded, hedges are not allowed: the second server would work on a call that
    /// is already being served, and that capacity would be missing for calls that are not.
    #[must_use]
    pub fn try_spend(
        &mut self,
        customer: Option<&Name>,
        route: &Name,
        reason: AttemptReason,
        is_overloaded: bool,
    ) -> bool {
        let is_allowed = !is_overloaded || reason == AttemptReason::Retry;
        is_allowed && self.budget.spend(&budget_key(customer), route)
    }
}

/// Calls without a customer share one budget per route.
fn budget_key(customer: Option<&Name>) -> Name {
    customer.cloned().unwrap_or_else(|| "".into())
}
