//! Records the results of a job: position and content in one transaction with the head.

use super::job_calls::result_key;
use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::tables;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::Name;
use trestlerack::interfaces::StoreError;
use trestlerack::request::{JobRecord, JobResult};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};

/// Pause before a write that failed is sent again.
pub const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// Records results as they come, several in one write while the write before is on its way.
/// Returns the head row at the end, or `None` if another node drives the job.
pub async fn record_results(
    node: Arc<EntryNode>,
    driver: Arc<JobDriver>,
    mut head: JobRecord,
    mut version: u64,
) -> Option<(JobRecord, u64)> {
    loop {
        let batch =
            driver.ledger.lock().unwrap().take_results(tables::MAX_COMMIT_ROWS / 2, tables::MAX_COMMIT_BYTES / 2);
        if batch.is_empty() {
            let is_over = !driver.is_driving() || driver.ledger.lock().unwrap().is_complete();
            if is_over {
                return Some((head, version));
            }
            driver.record.notified().await;
            continue;
        }
        let next = JobRecord { write_id: node.write_id(), recorded: head.recorded + batch.len(), ..head.clone() };
        let transaction = result_writes(&node, &driver.spec.id, &head, version, &batch, &next);
        match commit_head(&node, &driver, transaction, &next).await {
            Some(committed) => {
                version = committed;
                head = next;
            }
            None => {
                driver.lose();
                return None;
            }
        }
        let mut ledger = driver.ledger.lock().unwrap();
        batch.iter().for_each(|result| ledger.mark_recorded(&result.id));
        drop(ledger);
        node.metrics.results(batch.len());
        node.merge_job_record(head.clone(), version, &driver.spec.id);
        driver.wake.notify_one();
    }
}

fn result_writes(
    node: &EntryNode,
    job: &Name,
    head: &JobRecord,
    version: u64,
    batch: &[JobResult],
    next: &JobRecord,
) -> RowTransaction {
    let mut transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::JOB_RECORD, version).put(
        tables::STATE,
        tables::JOB_RECORD,
        tables::encode(next),
    );
    for (offset, result) in batch.iter().enumerate() {
        let content = tables::encode(result);
        let key = result_key(head.recorded + offset);
        transaction = tables::put_chunked(transaction, tables::RESULTS, &key, &content, node.settings.store_row_bytes);
    }
    transaction
}

/// Commits a write of the head until its outcome is known. Returns the new version, or `None` if
/// another node has taken the job over.
pub async fn commit_head(
    node: &Arc<EntryNode>,
    driver: &JobDriver,
    transaction: RowTransaction,
    next: &JobRecord,
) -> Option<u64> {
    let call = StoreCall::Commit(transaction);
    for failures in 1.. {
        let error = match node.store.call(&call).await {
            Ok(StoreReply::Committed(moment)) => return Some(moment.version),
            Ok(StoreReply::Conflict(rows)) => {
                let row = rows.into_iter().find(|row| &*row.key == tables::JOB_RECORD)?;
                let held: JobRecord = tables::decode(&row.value).ok()?;
                // An earlier try of the same write may have been applied without its reply.
                return (held.write_id == next.write_id).then_some(row.version);
            }
            Ok(_) => StoreError::Unknown,
            Err(error) => error,
        };
        if driver.is_lost() {
            return None;
        }
        node.store.wait_before_retry(error, failures, WRITE_PAUSE).await;
    }
    None
}
