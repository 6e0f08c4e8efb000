//! Admission control: which calls are served when a service has less capacity than its callers ask for.
//!
//! This module only decides; see [docs/design/room.md](../../../../../docs/design/room.md).

mod queue;
mod retries;
mod served_fractions;

pub use queue::{
    AdmissionDecision, AdmissionQueue, CallKind, CallRefusal, QueuedCallId, RefusalReason, ServiceLoad, WaitOutcome,
    WaitingCall,
};
pub use retries::{AttemptReason, RetrySchedule, SecondAttemptBudget};

use std::time::Duration;

/// Settings of admission to a service and of the retry times given to refused callers.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Maximum number of waiting client calls. Each of them keeps its body in memory, which a node has for
    /// this many.
    pub max_waiting: usize,
    /// Maximum wait as a fraction of a call's target latency, so that a refused caller can still be served in
    /// time elsewhere.
    pub max_wait_fraction: f64,
    /// Fraction of the maximum wait after which a call goes before new ones, while its class is served less
    /// than `min_served_fraction` demands.
    pub aging_fraction: f64,
    /// Minimum served fraction of a less urgent class, relative to the best served of the more urgent ones.
    /// It is small because less urgent classes may ask for many times the capacity, and a larger one would
    /// leave little for the most urgent class.
    pub min_served_fraction: f64,
    /// Minimum retry time while nothing is known of the service.
    pub default_retry_after: Duration,
    /// Maximum retry time as a fraction of the time until the caller's deadline.
    pub max_retry_fraction: f64,
    /// Second attempts that each call adds to the budget.
    pub retry_ratio: f64,
    /// Second attempts in the budget of a customer and route before the first call.
    pub retry_reserve: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_waiting: 64,
            max_wait_fraction: 0.25,
            aging_fraction: 0.5,
            min_served_fraction: 0.04,
            default_retry_after: Duration::from_millis(150),
            max_retry_fraction: 1.0 / 3.0,
            retry_ratio: 0.1,
            retry_reserve: 3.0,
        }
    }
}
