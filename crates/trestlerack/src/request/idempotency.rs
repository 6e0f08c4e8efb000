//! Idempotency records, which make a call with an idempotency key run at most once, whichever node
//! receives its retries.

use crate::Name;
use crate::verdict::{Failure, Reason, Verdict};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Progress of a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyState {
    /// An attempt claimed the key and may be sending the call.
    Claimed,
    /// The call was answered; the answer is stored and returned to retries.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: Name,
        /// Body of the answer.
        body: String,
    },
    /// The call was sent and its answer was lost. It is never sent again.
    Uncertain,
    /// The call is known not to have run, so the key can be claimed again.
    NotRun,
}

/// The stored row of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// Digest of the method, path and body. Reusing the key with another digest is an error of the
    /// caller.
    pub digest: Name,
    /// Id of the attempt that wrote the row.
    pub attempt: Name,
    /// Progress of the call.
    pub state: IdempotencyState,
}

/// Returns the key of the row that holds an idempotency record.
pub fn idempotency_row_key(user: &str, service: &str, key: &str) -> String {
    format!("claim/{user}/{service}/{key}")
}

/// What to do with a call after the record of its idempotency key was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyDecision {
    /// Write a claim on condition that the row has not changed since it was read, then send the call.
    Claim,
    /// Send the call: the stored claim belongs to this attempt.
    Send,
    /// Return the recorded answer.
    Replay {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Name,
        /// Body.
        body: String,
    },
    /// Return this failure without sending the call.
    Refuse(Failure),
}

/// Retry delay returned to a caller whose first call is still in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides what to do with a call that carries an idempotency key.
///
/// If the node of an attempt dies, the record stays [`IdempotencyState::Claimed`] forever and retries
/// are answered with may-have-run: it is unknown whether the call was sent, and it must not run twice.
pub fn decide_idempotency(row: Option<&IdempotencyRecord>, digest: &str, attempt: &str) -> IdempotencyDecision {
    let Some(row) = row else { return IdempotencyDecision::Claim };
    if row.digest.as_ref() != digest {
        let detail = "the idempotency key was used before for a different request";
        return IdempotencyDecision::Refuse(Failure::not_run(Reason::Conflict, detail));
    }
    match &row.state {
        IdempotencyState::Claimed if row.attempt.as_ref() == attempt => IdempotencyDecision::Send,
        IdempotencyState::Claimed => {
            let detail = "a call with this idempotency key is in progress or its outcome was lost";
            let failure = Failure::may_have_run(Reason::Conflict, detail);
            IdempotencyDecision::Refuse(failure.retry_after(IN_PROGRESS_RETRY_AFTER))
        }
        IdempotencyState::Answered { status, content_type, body } => {
            IdempotencyDecision::Replay { status: *status, content_type: content_type.clone(), body: body.clone() }
        }
        IdempotencyState::Uncertain => {
            let detail = "the call was sent and its answer was lost; it is not sent again";
            IdempotencyDecision::Refuse(Failure::may_have_run(Reason::BackendFailed, detail))
        }
        IdempotencyState::NotRun => IdempotencyDecision::Claim,
    }
}

impl IdempotencyState {
    /// Returns the state after an attempt ended without an answer.
    pub fn after_failure(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::NotRun,
            Verdict::MayHaveRun | Verdict::Ran => Self::Uncertain,
        }
    }
}
