//! Stores the texts of a job that have no result yet, and finds those that earlier drivers left.

use super::job_calls::load_results;
use super::job_driver::JobDriver;
use super::job_records::{WRITE_PAUSE, commit_head};
use super::node::{EntryNode, JobView};
use super::tables;
use crate::process::clock;
use crate::process::logs;
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::request::{
    ItemCheckpoint, ItemTranscript, JobRecord, JobResult, JobSpec, JobTracker, TextDelta, TrackerSettings,
};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoredRow};
use trestlerack::version::WeightVersion;
use trestlerack::{Name, event};

/// Ended jobs of the same model whose unfinished texts are looked through.
const KEPT_JOBS: usize = 3;

/// Interval at which new text is stored; what a lost node had made since then is made again.
const TEXT_LOG_INTERVAL: Duration = Duration::from_millis(700);

/// New events of a text from which they are stored. A takeover makes fewer again in a third of a second
/// at 40 ms an event, and a row for each event would be a write for each.
const TEXT_LOG_EVENTS: u64 = 8;

/// Collects what was recorded of the job, and texts that earlier jobs left.
pub async fn load_state(
    node: &Arc<EntryNode>,
    spec: &Arc<JobSpec>,
    head: &JobRecord,
    settings: TrackerSettings,
) -> Result<JobTracker, StoreError> {
    let mut listed: Vec<JobResult> = Vec::new();
    while listed.len() < head.recorded {
        let page = load_results(node, &spec.id, listed.len()).await?;
        if page.is_empty() {
            return Err(StoreError::Unknown);
        }
        listed.extend(page);
    }
    let mut kept: HashMap<Name, ItemCheckpoint> = HashMap::new();
    for job in earlier_jobs(node, spec, head) {
        let first = if job == spec.id { tables::CHECKPOINT_LOG } else { tables::FINAL_CHECKPOINT };
        // Kept texts only save time, so a job starts without them rather than late.
        match tables::read_from(&node.store, tables::CHECKPOINTS, &job, first).await {
            Ok(rows) => merge_kept(&mut kept, rows, spec.min_version),
            Err(error) => logs::write(event::TEXTS_LOST, &[("job", &job), ("why", &error)]),
        }
    }
    let count = kept.len();
    if count > 0 {
        logs::write(event::TEXTS_FOUND, &[("job", &spec.id), ("items", &count)]);
    }
    Ok(JobTracker::new(spec.clone(), settings, listed, kept))
}

/// Returns the job itself and the newest ended jobs of the same model and customer, newest first.
fn earlier_jobs(node: &EntryNode, spec: &JobSpec, head: &JobRecord) -> Vec<Name> {
    let jobs = node.jobs.lock().unwrap();
    // The texts of one customer never go into a result of another one, whatever its items are called.
    let is_related = |id: &Name, view: &&JobView| {
        let held = &view.record;
        let is_same = held.model == spec.model && held.host == spec.host && held.customer == head.customer;
        view.is_ended && *id != spec.id && is_same
    };
    let mut related: Vec<(u64, Name)> = jobs
        .iter()
        .filter(|(id, view)| is_related(id, view))
        .map(|(id, view)| (view.record.accepted_ms, id.clone()))
        .collect();
    related.sort_by(|left, right| right.cmp(left));
    related.truncate(KEPT_JOBS);
    let own = (head.fence > 1).then(|| spec.id.clone());
    own.into_iter().chain(related.into_iter().map(|(_, id)| id)).collect()
}

/// Adds kept texts, the longest of each item; rows of several owners of one job may lie there.
fn merge_kept(kept: &mut HashMap<Name, ItemCheckpoint>, rows: Vec<StoredRow>, min_version: WeightVersion) {
    let mut logged: HashMap<Name, ItemTranscript> = HashMap::new();
    for (key, content) in tables::join_chunks(rows) {
        let merged = if key.starts_with(tables::CHECKPOINT_LOG) {
            tables::decode(&content).map(|deltas| join_deltas(&mut logged, deltas))
        } else {
            let items = tables::decode::<Vec<ItemCheckpoint>>(&content);
            items.map(|items| items.into_iter().for_each(|item| keep_longer(kept, item, min_version)))
        };
        if let Err(error) = merged {
            logs::write(event::ROW_REFUSED, &[("key", &key), ("why", &error)]);
        }
    }
    for (id, transcript) in logged {
        keep_longer(kept, ItemCheckpoint { id, transcript, is_complete: false }, min_version);
    }
}

fn join_deltas(logged: &mut HashMap<Name, ItemTranscript>, deltas: Vec<TextDelta>) {
    for delta in deltas {
        let transcript = logged.entry(delta.id.clone()).or_default();
        if delta.after.is_none() {
            *transcript = ItemTranscript::default();
        }
        transcript.extend(&delta);
    }
}

/// Keeps the longest text whose versions fit. An item without one is kept too: that it was in an
/// earlier job says that the client waits for its group.
fn keep_longer(kept: &mut HashMap<Name, ItemCheckpoint>, item: ItemCheckpoint, min_version: WeightVersion) {
    let item = match item.transcript.fits(min_version) {
        true => item,
        false => ItemCheckpoint { transcript: ItemTranscript::default(), is_complete: false, ..item },
    };
    let is_longer = kept.get(&item.id).is_none_or(|held| {
        (held.is_complete, held.transcript.last_event) < (item.is_complete, item.transcript.last_event)
    });
    if is_longer {
        kept.insert(item.id.clone(), item);
    }
}

/// Stores what is generated while the job is driven, so that whoever takes it over from a node
/// that is lost goes on from there.
pub async fn log_texts(node: Arc<EntryNode>, driver: Arc<JobDriver>, fence: u64) {
    for number in 0.. {
        clock::sleep(TEXT_LOG_INTERVAL).await;
        let deltas = driver.ledger.lock().unwrap().take_unstored(TEXT_LOG_EVENTS, tables::MAX_COMMIT_BYTES / 2);
        if deltas.is_empty() {
            continue;
        }
        let key = format!("{}-{fence:04}-{number:06}", tables::CHECKPOINT_LOG);
        let transaction = RowTransaction::new(driver.spec.id.clone());
        let content = tables::encode(&deltas);
        let transaction =
            tables::put_chunked(transaction, tables::CHECKPOINTS, &key, &content, node.settings.store_row_bytes);
        let call = StoreCall::Commit(transaction);
        // Later deltas go on where this one ends, so it is written before them, however long it takes.
        let mut failures = 0;
        while let Err(error) = node.store.call(&call).await {
            failures += 1;
            node.store.wait_before_retry(error, failures, WRITE_PAUSE).await;
        }
    }
}

/// Keeps unfinished texts, and gives the job to another node where this one stops.
pub async fn leave_job(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, head: JobRecord, version: u64) {
    let kept = driver.ledger.lock().unwrap().checkpoints();
    let job = &driver.spec.id;
    let count = kept.len();
    for (piece, batch) in in_batches(kept).into_iter().enumerate() {
        let key = format!("{}-{:04}-{piece:04}", tables::FINAL_CHECKPOINT, head.fence);
        let content: Bytes = tables::encode(&batch);
        let transaction = RowTransaction::new(job.clone());
        let transaction =
            tables::put_chunked(transaction, tables::CHECKPOINTS, &key, &content, node.settings.store_row_bytes);
        if let Err(error) = node.store.call(&StoreCall::Commit(transaction)).await {
            logs::write(event::TEXTS_LOST, &[("job", job), ("why", &error)]);
        }
    }
    logs::write(event::TEXTS_KEPT, &[("job", job), ("items", &count)]);
    if driver.is_handed_over() {
        let next = JobRecord { owner: "".into(), write_id: node.write_id(), ..head };
        let transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::JOB_RECORD, version).put(
            tables::STATE,
            tables::JOB_RECORD,
            tables::encode(&next),
        );
        // A peer that notices this node's silence takes the job too, only later.
        let _ = commit_head(node, driver, transaction, &next).await;
    }
}

/// Splits texts so that each batch fits a transaction.
fn in_batches(kept: Vec<ItemCheckpoint>) -> Vec<Vec<ItemCheckpoint>> {
    let (mut batches, mut batch, mut bytes) = (Vec::new(), Vec::new(), 0);
    for item in kept {
        bytes += item.transcript.text.len();
        batch.push(item);
        if bytes > tables::MAX_COMMIT_BYTES / 2 {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    batches.push(batch);
    batches
}
