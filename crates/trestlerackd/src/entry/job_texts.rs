//! Stores the unfinished texts of a job, and loads those that earlier drivers stored.

use super::job_calls::load_results;
use super::job_driver::JobDriver;
use super::job_records::{self, RECORD_RETRY_DELAY, commit_record};
use super::node::{EntryNode, JobView};
use super::tables;
use crate::process::clock;
use crate::process::logs;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
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

/// Largest number of ended jobs of the same model whose unfinished texts are loaded.
pub const MAX_CHECKPOINT_JOBS: usize = 3;

/// Interval at which new text is stored; text that a crashed node generated after its last write is generated
/// again.
const TEXT_LOG_INTERVAL: Duration = Duration::from_millis(700);

/// Smallest number of new events of a text that are stored. At 40 ms an event, a takeover regenerates fewer than
/// that within a third of a second, while storing each event would take a write for each.
const TEXT_LOG_MIN_EVENTS: u64 = 8;

/// Rows of texts that earlier drivers and jobs stored, by job.
pub type StoredTexts = Vec<(Name, Result<Vec<StoredRow>, StoreError>)>;

/// Reads the texts that earlier drivers of a job, and earlier jobs of its model, stored, with up to `max_parallel`
/// reads at a time.
pub async fn load_texts(node: &Arc<EntryNode>, job: &Name, record: &JobRecord, max_parallel: usize) -> StoredTexts {
    let reads = checkpoint_sources(node, job, record).into_iter().map(|source| async move {
        let first = if source == *job { tables::CHECKPOINT_LOG } else { tables::FINAL_CHECKPOINT };
        let rows = tables::read_from(&node.store, tables::CHECKPOINTS, &source, first).await;
        (source, rows)
    });
    stream::iter(reads).buffered(max_parallel).collect().await
}

/// Loads the recorded results of a job, the failures of its items and the checkpoints that earlier drivers and jobs stored, which are read
/// unless `texts` has them.
pub async fn load_state(
    node: &Arc<EntryNode>,
    spec: &Arc<JobSpec>,
    record: &JobRecord,
    settings: TrackerSettings,
    texts: Option<StoredTexts>,
) -> Result<JobTracker, StoreError> {
    let mut recorded: Vec<JobResult> = Vec::new();
    while recorded.len() < record.recorded {
        let page = load_results(node, &spec.id, recorded.len()).await?;
        if page.is_empty() {
            return Err(StoreError::Unknown);
        }
        recorded.extend(page);
    }
    let failures = if record.fence > 1 { job_records::load_failures(node, &spec.id).await? } else { Vec::new() };
    let mut checkpoints: HashMap<Name, ItemCheckpoint> = HashMap::new();
    let texts = match texts {
        Some(texts) => texts,
        None => load_texts(node, &spec.id, record, 1).await,
    };
    for (job, rows) in texts {
        // Checkpoints only save time, so a failed read does not delay the job.
        match rows {
            Ok(rows) => merge_checkpoints(&mut checkpoints, rows, spec.min_version),
            Err(error) => logs::write(event::TEXTS_LOST, &[("job", &job), ("why", &error)]),
        }
    }
    let count = checkpoints.len();
    if count > 0 {
        logs::write(event::TEXTS_FOUND, &[("job", &spec.id), ("items", &count)]);
    }
    let mut tracker = JobTracker::new(spec.clone(), settings, recorded, checkpoints);
    tracker.restore_failures(failures);
    Ok(tracker)
}

/// Returns the jobs whose checkpoints are loaded: the job itself if it had another driver, then the newest ended
/// jobs of the same model, host and customer, newest first.
fn checkpoint_sources(node: &EntryNode, job: &Name, record: &JobRecord) -> Vec<Name> {
    let jobs = node.jobs.lock().unwrap();
    // Texts of one customer never become part of another customer's results, even if item ids are equal.
    let is_related = |id: &Name, view: &&JobView| {
        let known = &view.record;
        let is_same = known.model == record.model && known.host == record.host && known.customer == record.customer;
        view.is_ended && id != job && is_same
    };
    let mut related: Vec<(u64, Name)> = jobs
        .iter()
        .filter(|(id, view)| is_related(id, view))
        .map(|(id, view)| (view.record.accepted_ms, id.clone()))
        .collect();
    related.sort_by(|left, right| right.cmp(left));
    related.truncate(MAX_CHECKPOINT_JOBS);
    let own = (record.fence > 1).then(|| job.clone());
    own.into_iter().chain(related.into_iter().map(|(_, id)| id)).collect()
}

/// Merges stored checkpoints and keeps the longest text of each item, since several owners of one job may have
/// stored rows.
fn merge_checkpoints(
    checkpoints: &mut HashMap<Name, ItemCheckpoint>,
    rows: Vec<StoredRow>,
    min_version: WeightVersion,
) {
    let mut transcripts: HashMap<Name, ItemTranscript> = HashMap::new();
    for (key, content) in tables::join_chunks(rows) {
        let merged = if key.starts_with(tables::CHECKPOINT_LOG) {
            tables::decode(&content).map(|deltas| join_deltas(&mut transcripts, deltas))
        } else {
            let items = tables::decode::<Vec<ItemCheckpoint>>(&content);
            items.map(|items| items.into_iter().for_each(|item| keep_longest(checkpoints, item, min_version)))
        };
        if let Err(error) = merged {
            logs::write(event::ROW_REFUSED, &[("key", &key), ("why", &error)]);
        }
    }
    for (id, transcript) in transcripts {
        keep_longest(checkpoints, ItemCheckpoint { id, transcript, is_complete: false }, min_version);
    }
}

fn join_deltas(transcripts: &mut HashMap<Name, ItemTranscript>, deltas: Vec<TextDelta>) {
    for delta in deltas {
        let transcript = transcripts.entry(delta.id.clone()).or_default();
        if delta.after.is_none() {
            *transcript = ItemTranscript::default();
        }
        transcript.extend(&delta);
    }
}

/// Keeps the longest text whose weight versions are recent enough. An item without one is kept too, with an empty
/// text: its presence in an earlier job shows that the client waits for its group.
fn keep_longest(checkpoints: &mut HashMap<Name, ItemCheckpoint>, item: ItemCheckpoint, min_version: WeightVersion) {
    let item = match item.transcript.fits(min_version) {
        true => item,
        false => ItemCheckpoint { transcript: ItemTranscript::default(), is_complete: false, ..item },
    };
    let is_longer = checkpoints.get(&item.id).is_none_or(|known| {
        (known.is_complete, known.transcript.last_event) < (item.is_complete, item.transcript.last_event)
    });
    if is_longer {
        checkpoints.insert(item.id.clone(), item);
    }
}

/// Stores generated text while the job is driven, so that a node that takes the job over after a crash continues
/// from there.
pub async fn log_texts(node: Arc<EntryNode>, driver: Arc<JobDriver>, fence: u64) {
    for number in 0.. {
        clock::sleep(TEXT_LOG_INTERVAL).await;
        let deltas = driver.tracker.lock().unwrap().take_unstored(TEXT_LOG_MIN_EVENTS, tables::MAX_COMMIT_BYTES / 2);
        if deltas.is_empty() {
            continue;
        }
        let key = format!("{}-{fence:04}-{number:06}", tables::CHECKPOINT_LOG);
        let transaction = RowTransaction::new(driver.spec.id.clone());
        let content = tables::encode(&deltas);
        let transaction =
            tables::put_chunked(transaction, tables::CHECKPOINTS, &key, &content, node.settings.store_row_bytes);
        let call = StoreCall::Commit(transaction);
        // Later deltas continue this one, so it is retried until it is stored.
        let mut failures = 0;
        while let Err(error) = node.store.call(&call).await {
            failures += 1;
            node.store.wait_before_retry(error, failures, RECORD_RETRY_DELAY).await;
        }
    }
}

/// Stores unfinished texts as checkpoints. If this node stops, also gives up ownership of the job.
pub async fn release_job(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, record: JobRecord, version: u64) {
    let checkpoints = driver.tracker.lock().unwrap().checkpoints();
    let job = &driver.spec.id;
    let count = checkpoints.len();
    for (piece, batch) in split_batches(checkpoints).into_iter().enumerate() {
        let key = format!("{}-{:04}-{piece:04}", tables::FINAL_CHECKPOINT, record.fence);
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
        let next_record = JobRecord { owner: "".into(), write_id: node.write_id(), ..record };
        let transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::JOB_RECORD, version).put(
            tables::STATE,
            tables::JOB_RECORD,
            tables::encode(&next_record),
        );
        // An error is ignored: a peer that gets no response from this node takes the job over too, only later.
        let _ = commit_record(node, driver, transaction, &next_record).await;
    }
}

/// Splits checkpoints into batches that each fit a transaction.
fn split_batches(checkpoints: Vec<ItemCheckpoint>) -> Vec<Vec<ItemCheckpoint>> {
    let (mut batches, mut batch, mut bytes) = (Vec::new(), Vec::new(), 0);
    for item in checkpoints {
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
