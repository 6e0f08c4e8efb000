//! Records the results of a job: each transaction stores results together with the job record that counts them.

use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::result_pages::result_key;
use super::tables;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::Name;
use trestlerack::interfaces::StoreError;
use trestlerack::request::{JobRecord, JobResult};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};

/// Delay before a failed write of a job driver is retried.
pub const RECORD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Records results as they become ready, until the job is complete or its driver stops. Results that become
/// ready during a write are stored together in the next one. Returns the last job record and its version, or
/// `None` if another node drives the job.
pub async fn record_results(
    node: Arc<EntryNode>,
    driver: Arc<JobDriver>,
    mut record: JobRecord,
    mut version: u64,
) -> Option<(JobRecord, u64)> {
    loop {
        let batch =
            driver.tracker.lock().unwrap().take_results(tables::MAX_COMMIT_ROWS / 2, tables::MAX_COMMIT_BYTES / 2);
        if batch.is_empty() {
            let is_done = !driver.is_driving() || driver.tracker.lock().unwrap().is_complete();
            if is_done {
                return Some((record, version));
            }
            driver.wake_recorder.notified().await;
            continue;
        }
        let next_record =
            JobRecord { write_id: node.write_id(), recorded: record.recorded + batch.len(), ..record.clone() };
        let transaction = result_transaction(&node, &driver.spec.id, &record, version, &batch, &next_record);
        match commit_record(&node, &driver, transaction, &next_record).await {
            Some(committed) => {
                version = committed;
                record = next_record;
            }
            None => {
                driver.mark_lost();
                return None;
            }
        }
        let mut tracker = driver.tracker.lock().unwrap();
        batch.iter().for_each(|result| tracker.mark_recorded(&result.id));
        drop(tracker);
        node.metrics.record_results(batch.len());
        node.merge_job_record(record.clone(), version, &driver.spec.id);
        driver.wake.notify_one();
    }
}

fn result_transaction(
    node: &EntryNode,
    job: &Name,
    record: &JobRecord,
    version: u64,
    batch: &[JobResult],
    next_record: &JobRecord,
) -> RowTransaction {
    let mut transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::JOB_RECORD, version).put(
        tables::STATE,
        tables::JOB_RECORD,
        tables::encode(next_record),
    );
    for (offset, result) in batch.iter().enumerate() {
        let content = tables::encode(result);
        let key = result_key(record.recorded + offset);
        transaction = tables::put_chunked(transaction, tables::RESULTS, &key, &content, node.settings.store_row_bytes);
    }
    transaction
}

/// Retries a write of the job record until its outcome is known. Returns the new version, or `None` if another
/// node has taken the job over.
pub async fn commit_record(
    node: &Arc<EntryNode>,
    driver: &JobDriver,
    transaction: RowTransaction,
    next_record: &JobRecord,
) -> Option<u64> {
    let call = StoreCall::Commit(transaction);
    for failures in 1.. {
        let error = match node.store.call(&call).await {
            Ok(StoreReply::Committed(moment)) => return Some(moment.version),
            Ok(StoreReply::Conflict(rows)) => {
                let row = rows.into_iter().find(|row| &*row.key == tables::JOB_RECORD)?;
                let stored: JobRecord = tables::decode(&row.value).ok()?;
                // An earlier attempt of the same write may have been committed although its reply was lost.
                return (stored.write_id == next_record.write_id).then_some(row.version);
            }
            Ok(_) => StoreError::Unknown,
            Err(error) => error,
        };
        if driver.is_lost() {
            return None;
        }
        node.store.wait_before_retry(error, failures, RECORD_RETRY_DELAY).await;
    }
    None
}
