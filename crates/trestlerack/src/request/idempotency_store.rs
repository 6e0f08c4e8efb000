//! Claims in the table service, written before a keyed call is sent and ended afterwards.

use super::idempotency::{ClaimDecision, ClaimRow, ClaimState, decide_claim};
use crate::Name;
use crate::interfaces::{CommitOutcome, StoreError, TableRow, TableStore, TableTransaction};
use crate::verdict::{Failure, Reason};
use std::time::Duration;

/// Wait named to a caller whose claim could not be written.
const STORE_RETRY: Duration = Duration::from_secs(2);

/// Tries at writing the end of a claim.
const FINISH_TRIES: usize = 3;

/// Claims of keyed calls.
#[derive(Clone, Copy)]
pub struct ClaimStore<'a> {
    table: &'a dyn TableStore,
}

impl<'a> ClaimStore<'a> {
    /// Builds the store over the platform's table service.
    pub fn new(table: &'a dyn TableStore) -> Self {
        Self { table }
    }

    /// Claims a call. [`ClaimDecision::Send`] is the only answer after which it may be sent, and
    /// it is given once at most for all attempts with the same key together.
    pub async fn begin(&self, key: &str, digest: &Name, attempt: &Name) -> ClaimDecision {
        let held = match self.read(key).await {
            Ok(held) => held,
            Err(_) => return ClaimDecision::Refuse(unclaimed()),
        };
        let decision = decide_claim(held.as_ref().map(|(_, row)| row), digest, attempt);
        if decision != ClaimDecision::Claim {
            return decision;
        }
        let claim = ClaimRow { digest: digest.clone(), attempt: attempt.clone(), state: ClaimState::Claimed };
        match self.write(key, held.as_ref().map(|(row, _)| row), &claim).await {
            Ok(CommitOutcome::Committed) => ClaimDecision::Send,
            Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => self.settle(key, digest, attempt).await,
            Err(StoreError::Unavailable | StoreError::RateLimited) => ClaimDecision::Refuse(unclaimed()),
        }
    }

    /// Learns from the row whose claim stands. Where the row cannot tell, nothing is sent: the
    /// claim may still come to stand, and then it blocks the key, which is the safe side.
    async fn settle(&self, key: &str, digest: &Name, attempt: &Name) -> ClaimDecision {
        let Ok(held) = self.read(key).await else { return ClaimDecision::Refuse(unclaimed()) };
        match decide_claim(held.as_ref().map(|(_, row)| row), digest, attempt) {
            ClaimDecision::Claim => ClaimDecision::Refuse(unclaimed()),
            decision => decision,
        }
    }

    /// Records how a claimed call ended. If that cannot be written the claim stays as it is, and a
    /// repeated call is told that it may have run.
    pub async fn finish(&self, key: &str, attempt: &Name, state: ClaimState) {
        for _ in 0..FINISH_TRIES {
            let Ok(Some((row, held))) = self.read(key).await else { continue };
            if held.attempt != *attempt || held.state == state {
                return;
            }
            let ended = ClaimRow { state: state.clone(), ..held };
            if self.write(key, Some(&row), &ended).await == Ok(CommitOutcome::Committed) {
                return;
            }
        }
    }

    async fn read(&self, key: &str) -> Result<Option<(TableRow, ClaimRow)>, StoreError> {
        let Some(row) = self.table.read(key).await? else { return Ok(None) };
        let claim = serde_json::from_value(row.value.clone()).map_err(|_| StoreError::Unavailable)?;
        Ok(Some((row, claim)))
    }

    async fn write(&self, key: &str, held: Option<&TableRow>, claim: &ClaimRow) -> Result<CommitOutcome, StoreError> {
        let value = serde_json::to_value(claim).expect("a claim always encodes");
        let expectation = TableTransaction::expectation_of(held);
        self.table.commit(TableTransaction::default().expect(key, expectation).put(key, value)).await
    }
}

/// The failure of a call whose claim could not be written for certain; nothing was sent.
fn unclaimed() -> Failure {
    let failure = Failure::not_run(Reason::StoreUnavailable, "the call cannot be claimed now, so it was not sent");
    failure.retry_after(STORE_RETRY)
}
