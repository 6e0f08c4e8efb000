//! Idempotency records in the table service: claimed before a call is sent, completed afterwards.

use super::idempotency::{IdempotencyDecision, IdempotencyRecord, IdempotencyState, decide_idempotency};
use crate::Name;
use crate::interfaces::{CommitOutcome, StoreError, TableRow, TableStore, TableTransaction};
use crate::verdict::{Failure, Reason};
use std::time::Duration;

/// Retry delay returned to a caller whose key could not be claimed.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum attempts at recording the outcome of a call.
const MAX_FINISH_ATTEMPTS: usize = 3;

/// Stores the idempotency records of calls.
#[derive(Clone, Copy)]
pub struct IdempotencyStore<'a> {
    table: &'a dyn TableStore,
}

impl<'a> IdempotencyStore<'a> {
    /// Builds the store over the platform's table service.
    pub fn new(table: &'a dyn TableStore) -> Self {
        Self { table }
    }

    /// Claims the key for an attempt. The call may be sent only after [`IdempotencyDecision::Send`],
    /// which is returned at most once over all attempts with the same key.
    pub async fn begin(&self, key: &str, digest: &Name, attempt: &Name) -> IdempotencyDecision {
        let current = match self.read(key).await {
            Ok(current) => current,
            Err(_) => return IdempotencyDecision::Refuse(claim_failure()),
        };
        let decision = decide_idempotency(current.as_ref().map(|(_, row)| row), digest, attempt);
        if decision != IdempotencyDecision::Claim {
            return decision;
        }
        let claim =
            IdempotencyRecord { digest: digest.clone(), attempt: attempt.clone(), state: IdempotencyState::Claimed };
        match self.write(key, current.as_ref().map(|(row, _)| row), &claim).await {
            Ok(CommitOutcome::Committed) => IdempotencyDecision::Send,
            Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => self.read_back(key, digest, attempt).await,
            Err(StoreError::Unavailable | StoreError::RateLimited) => IdempotencyDecision::Refuse(claim_failure()),
        }
    }

    /// Reads the row again after a conflict or a lost answer, to find out which attempt holds the
    /// claim. If no claim is found, the call is refused: this attempt's write may still be applied
    /// later, in which case it blocks the key, and that is the safe outcome.
    async fn read_back(&self, key: &str, digest: &Name, attempt: &Name) -> IdempotencyDecision {
        let Ok(current) = self.read(key).await else { return IdempotencyDecision::Refuse(claim_failure()) };
        match decide_idempotency(current.as_ref().map(|(_, row)| row), digest, attempt) {
            IdempotencyDecision::Claim => IdempotencyDecision::Refuse(claim_failure()),
            decision => decision,
        }
    }

    /// Records the outcome of a claimed call. If the write fails, the claim stays as it is, and
    /// retries are answered with may-have-run.
    pub async fn finish(&self, key: &str, attempt: &Name, state: IdempotencyState) {
        for _ in 0..MAX_FINISH_ATTEMPTS {
            let Ok(Some((row, current))) = self.read(key).await else { continue };
            if current.attempt != *attempt || current.state == state {
                return;
            }
            let completed = IdempotencyRecord { state: state.clone(), ..current };
            if self.write(key, Some(&row), &completed).await == Ok(CommitOutcome::Committed) {
                return;
            }
        }
    }

    async fn read(&self, key: &str) -> Result<Option<(TableRow, IdempotencyRecord)>, StoreError> {
        let Some(row) = self.table.read(key).await? else { return Ok(None) };
        let claim = serde_json::from_value(row.value.clone()).map_err(|_| StoreError::Unavailable)?;
        Ok(Some((row, claim)))
    }

    async fn write(
        &self,
        key: &str,
        current: Option<&TableRow>,
        claim: &IdempotencyRecord,
    ) -> Result<CommitOutcome, StoreError> {
        let value = serde_json::to_value(claim).expect("a claim always encodes");
        let expectation = TableTransaction::expectation_of(current);
        self.table.commit(TableTransaction::default().expect(key, expectation).put(key, value)).await
    }
}

/// Returns the failure for a call whose claim may not have been written; nothing was sent.
fn claim_failure() -> Failure {
    let failure =
        Failure::not_run(Reason::StoreUnavailable, "the idempotency key could not be claimed; the call was not sent");
    failure.retry_after(STORE_RETRY_AFTER)
}
