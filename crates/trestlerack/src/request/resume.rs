//! Whether a broken call is sent again, and from where.

use crate::Timestamp;
use crate::verdict::{Failure, Reason, Verdict};

/// What to do after an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// Send the call again, from the tokens already held.
    Resume,
    /// Answer with this failure.
    GiveUp(Failure),
}

/// What the caller of a broken call wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePolicy {
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether the caller waits for an engine to come free rather than being told to come back.
    pub patient: bool,
}

/// Decides what to do after an attempt at a call failed.
///
/// A completion may always be resumed, because tokens are only kept once by their offset. A call
/// that must not be repeated is sent again only on a not-run verdict. Only a retry that may reach
/// a backend server again spends from the budget; `in_budget` is asked last, since asking spends.
pub fn decide_resume(
    failure: &Failure,
    policy: ResumePolicy,
    now: Timestamp,
    deadline: Timestamp,
    in_budget: impl FnOnce() -> bool,
) -> ResumeDecision {
    let is_safe = policy.repeatable || failure.verdict == Verdict::NotRun;
    let may_help = match failure.reason {
        Reason::BackendFailed => in_time(now, deadline) && is_safe && in_budget(),
        Reason::NoBackend | Reason::Overloaded | Reason::Stopping => policy.patient,
        _ => false,
    };
    if is_safe && may_help && in_time(now, deadline) {
        ResumeDecision::Resume
    } else {
        ResumeDecision::GiveUp(failure.clone())
    }
}

fn in_time(now: Timestamp, deadline: Timestamp) -> bool {
    now < deadline
}
