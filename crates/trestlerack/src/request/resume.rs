//! Decides whether a call is sent again after a failed attempt.

use crate::Timestamp;
use crate::verdict::{Failure, Reason, Verdict};

/// The decision after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// Send the call again, continuing after the tokens received so far.
    Resume,
    /// Answer with this failure.
    GiveUp(Failure),
}

/// How the caller wants failed attempts to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePolicy {
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Whether the caller waits for a free engine instead of receiving a retry delay.
    pub waits_for_engine: bool,
}

/// Decides what to do after a failed attempt.
///
/// A completion can always be resumed, because tokens are deduplicated by their offset. A call that
/// must not be repeated is sent again only if the verdict is not-run. Only a retry after a failed
/// backend server spends from the retry budget; `in_budget` is evaluated last, because calling it
/// spends.
pub fn decide_resume(
    failure: &Failure,
    policy: ResumePolicy,
    now: Timestamp,
    deadline: Timestamp,
    in_budget: impl FnOnce() -> bool,
) -> ResumeDecision {
    let is_safe = policy.repeatable || failure.verdict == Verdict::NotRun;
    let can_help = match failure.reason {
        Reason::BackendFailed => before_deadline(now, deadline) && is_safe && in_budget(),
        Reason::NoBackend | Reason::Overloaded | Reason::Stopping => policy.waits_for_engine,
        _ => false,
    };
    if is_safe && can_help && before_deadline(now, deadline) {
        ResumeDecision::Resume
    } else {
        ResumeDecision::GiveUp(failure.clone())
    }
}

fn before_deadline(now: Timestamp, deadline: Timestamp) -> bool {
    now < deadline
}
