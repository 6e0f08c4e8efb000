//! Records the results of a job and the failures of its items. Each transaction stores results together with the job
//! record that counts them, and holds only as long as no other node drives the job.

use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::result_pages::result_key;
use super::tables;
use crate::process::clock;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::request::{ItemFailures, JobRecord, JobResult};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, Timestamp};

/// Delay before a failed write of a job driver is retried.
pub const RECORD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shortest time between two writes of failures that no result goes with. The failed items wait for the write, and those
/// that fail meanwhile share it.
const FAILURE_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Most items whose failures are stored in one write.
const MAX_STORED_FAILURES: usize = 100;

/// Records results as they become ready, and failures of items, until the job is complete or its driver stops. What
/// becomes ready during a write is stored together in the next one. Returns the last job record and its version, or
/// `None` if another node drives the job.
pub async fn record_results(
    node: Arc<EntryNode>,
    driver: Arc<JobDriver>,
    mut record: JobRecord,
    mut version: u64,
) -> Option<(JobRecord, u64)> {
    let mut failure_log = FailureLog::default();
    loop {
        let (batch, failures) = {
            let mut tracker = driver.tracker.lock().unwrap();
            let batch = tracker.take_results(tables::MAX_COMMIT_ROWS / 2, tables::MAX_COMMIT_BYTES / 2);
            (batch, tracker.unstored_failures(MAX_STORED_FAILURES))
        };
        if batch.is_empty() {
            // The next driver needs the failures that this one has counted.
            let is_last_write = driver.is_handed_over() && !failures.is_empty();
            let is_done = !driver.is_driving() || driver.tracker.lock().unwrap().is_complete();
            if is_done && !is_last_write {
                return Some((record, version));
            }
            if failures.is_empty() {
                driver.wake_recorder.notified().await;
                continue;
            }
            let wait = failure_log.time_to_write(node.now());
            if !wait.is_zero() && !is_last_write {
                // A result that becomes ready meanwhile takes the failures along.
                let _ = clock::timeout(wait, driver.wake_recorder.notified()).await;
                continue;
            }
        }
        let sent_at = node.now();
        let next_record = match batch.len() {
            0 => record.clone(),
            results => JobRecord { write_id: node.write_id(), recorded: record.recorded + results, ..record.clone() },
        };
        let transaction = result_transaction(&node, &driver.spec.id, &record, version, &batch, &next_record);
        let transaction = failure_log.append(transaction, sent_at, &record, &failures, node.settings.store_row_bytes);
        match commit_record(&node, &driver, transaction, &next_record).await {
            Some(committed) if !batch.is_empty() => version = committed,
            // The record keeps its version if only failures were stored.
            Some(_) => {}
            None => {
                driver.mark_lost();
                return None;
            }
        }
        record = next_record;
        driver.record_write(sent_at);
        let mut tracker = driver.tracker.lock().unwrap();
        batch.iter().for_each(|result| tracker.mark_recorded(&result.id));
        tracker.mark_failures_stored(&failures);
        drop(tracker);
        node.metrics.record_results(batch.len());
        node.merge_job_record(record.clone(), version, &driver.spec.id);
        driver.wake.notify_one();
    }
}

/// The rows of failures that one driver writes.
#[derive(Default)]
struct FailureLog {
    written_at: Timestamp,
    rows: u64,
}

impl FailureLog {
    /// Returns the time until failures are written without results.
    fn time_to_write(&self, now: Timestamp) -> Duration {
        FAILURE_WRITE_INTERVAL.saturating_sub(now.since(self.written_at))
    }

    /// Adds a row with failures to a write. Each write has its own row, so that one that the store applies late
    /// replaces no newer counts.
    fn append(
        &mut self,
        transaction: RowTransaction,
        now: Timestamp,
        record: &JobRecord,
        failures: &[ItemFailures],
        row_bytes: usize,
    ) -> RowTransaction {
        if failures.is_empty() {
            return transaction;
        }
        self.written_at = now;
        self.rows += 1;
        let key = format!("{:04}-{:06}", record.fence, self.rows);
        tables::put_chunked(transaction, tables::FAILURES, &key, &tables::encode(&failures), row_bytes)
    }
}

/// Loads the failures of a job's items that its earlier drivers stored.
pub async fn load_failures(node: &Arc<EntryNode>, job: &Name) -> Result<Vec<ItemFailures>, StoreError> {
    let rows = tables::read_all(&node.store, tables::FAILURES, job).await?;
    let mut failures = Vec::new();
    for (_, content) in tables::join_chunks(rows) {
        failures.extend(tables::decode::<Vec<ItemFailures>>(&content)?);
    }
    Ok(failures)
}

fn result_transaction(
    node: &EntryNode,
    job: &Name,
    record: &JobRecord,
    version: u64,
    batch: &[JobResult],
    next_record: &JobRecord,
) -> RowTransaction {
    let mut transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::JOB_RECORD, version);
    if batch.is_empty() {
        return transaction;
    }
    transaction = transaction.put(tables::STATE, tables::JOB_RECORD, tables::encode(next_record));
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
