//! Claims that make a keyed call run at most once, whichever node its retries come through.

use crate::Name;
use crate::verdict::{Failure, Reason, Verdict};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How far a claimed call is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// A node claimed the call and may be sending it.
    Claimed,
    /// The call was answered; the answer is kept for repeated calls.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Content type of the answer.
        content_type: Name,
        /// Body of the answer.
        body: String,
    },
    /// The call was sent and its answer lost. It is never sent again.
    Uncertain,
    /// The call was proved not to have run, so the key is free again.
    NotRun,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Digest of the method, path and body; the same key with another digest is a caller's fault.
    pub digest: Name,
    /// Id of the attempt that wrote the row.
    pub attempt: Name,
    /// How far the call is.
    pub state: ClaimState,
}

/// Returns the key of a claim's row.
pub fn claim_key(user: &str, service: &str, key: &str) -> String {
    format!("claim/{user}/{service}/{key}")
}

/// What to do with a keyed call after its claim was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Write a claim on condition that the row is as it was read, then send the call.
    Claim,
    /// Send the call: the claim that was written is this attempt's own.
    Send,
    /// Answer with what was recorded.
    Replay {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Name,
        /// Body.
        body: String,
    },
    /// Answer with this failure and send nothing.
    Refuse(Failure),
}

/// Wait named to a caller whose first call is still in progress.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Decides what to do with a keyed call.
///
/// A claim whose node died stays [`ClaimState::Claimed`] for ever and is answered as
/// may-have-run: nobody can know whether the call was sent, and running it twice is the one thing
/// that must not happen.
pub fn decide_claim(row: Option<&ClaimRow>, digest: &str, attempt: &str) -> ClaimDecision {
    let Some(row) = row else { return ClaimDecision::Claim };
    if row.digest.as_ref() != digest {
        let detail = "the idempotency key was used before for a different request";
        return ClaimDecision::Refuse(Failure::not_run(Reason::Conflict, detail));
    }
    match &row.state {
        ClaimState::Claimed if row.attempt.as_ref() == attempt => ClaimDecision::Send,
        ClaimState::Claimed => {
            let detail = "a call with this idempotency key is in progress or was lost";
            let failure = Failure::may_have_run(Reason::Conflict, detail);
            ClaimDecision::Refuse(failure.retry_after(BUSY_RETRY))
        }
        ClaimState::Answered { status, content_type, body } => {
            ClaimDecision::Replay { status: *status, content_type: content_type.clone(), body: body.clone() }
        }
        ClaimState::Uncertain => {
            let detail = "the call was sent and its answer lost; it is not sent again";
            ClaimDecision::Refuse(Failure::may_have_run(Reason::BackendFailed, detail))
        }
        ClaimState::NotRun => ClaimDecision::Claim,
    }
}

impl ClaimState {
    /// Returns the state after an attempt ended without an answer.
    pub fn after_failure(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::NotRun,
            Verdict::MayHaveRun | Verdict::Ran => Self::Uncertain,
        }
    }
}
