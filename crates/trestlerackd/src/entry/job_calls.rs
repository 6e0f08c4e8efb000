//! Client calls on accepted jobs: read results, read the body of an item, end a job.

use super::client_requests::{ClientRequest, ReplyBody, empty_reply, full_body};
use super::node::{EntryNode, JobView};
use super::{result_pages, tables};
use crate::process::clock;
use crate::process::logs;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::request::{JobRecord, JobResult, JobSpec};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Time for which a write is retried before the client is told that it failed, or that its outcome is unknown.
pub const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay between two attempts of one write.
pub const CLIENT_WRITE_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Retry-After of a reply to a client whose job cannot be read from the store.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Largest size of the texts in one page of results, in bytes; the platform allows pages of 1 MB.
const MAX_PAGE_BYTES: usize = 700_000;

/// Interval at which a node that does not watch the store polls it for results.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Why a job could not be read.
pub enum JobLookupError {
    /// The job does not exist.
    NotFound,
    /// The store is unavailable.
    Unavailable,
}

/// Finds the job of a request if it belongs to the customer of the caller. To any other caller it does not
/// exist.
async fn find_caller_job(
    node: &Arc<EntryNode>,
    job: &Name,
    request: &ClientRequest,
) -> Result<JobView, JobLookupError> {
    let view = find_job(node, job).await?;
    if request.caller.may_access(view.record.customer.as_ref()) { Ok(view) } else { Err(JobLookupError::NotFound) }
}

/// Finds a job, and reads it from the store if this node does not know it.
async fn find_job(node: &Arc<EntryNode>, job: &Name) -> Result<JobView, JobLookupError> {
    if let Some(view) = node.job(job) {
        return Ok(view);
    }
    read_job(node, job).await
}

/// Reads a job's record, and whether the job has ended, from the store.
async fn read_job(node: &Arc<EntryNode>, job: &Name) -> Result<JobView, JobLookupError> {
    let rows = tables::read_all(&node.store, tables::STATE, job).await.map_err(|_| JobLookupError::Unavailable)?;
    let is_ended = rows.iter().any(|row| &*row.key == tables::JOB_END);
    let row = rows.into_iter().find(|row| &*row.key == tables::JOB_RECORD).ok_or(JobLookupError::NotFound)?;
    node.merge_job_record(tables::decode(&row.value).map_err(|_| JobLookupError::Unavailable)?, row.version, job);
    if is_ended {
        node.record_job_end(job);
    }
    node.job(job).ok_or(JobLookupError::Unavailable)
}

fn error_reply(error: &JobLookupError, request: &ClientRequest, job: &Name) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    match error {
        JobLookupError::NotFound => {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &"no such job")]);
            empty_reply(StatusCode::NOT_FOUND, id)
        }
        JobLookupError::Unavailable => {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &"the store is unavailable")]);
            platform::not_run_reply(id, UNAVAILABLE_RETRY_AFTER).map(full_body)
        }
    }
}

/// Returns the results from a position on, and waits up to the poll time of the request if there are none yet.
pub async fn read_results(
    node: &Arc<EntryNode>,
    job: &Name,
    from: usize,
    request: &ClientRequest,
) -> Response<ReplyBody> {
    let deadline = node.now() + request.head.poll_timeout;
    if let Err(error) = find_caller_job(node, job, request).await {
        return error_reply(&error, request, job);
    }
    let view = match wait_for_result(node, job, from, deadline).await {
        Ok(view) => view,
        Err(error) => return error_reply(&error, request, job),
    };
    let results = if view.record.recorded > from {
        match load_results(node, job, from).await {
            Ok(results) => results,
            Err(_) => return error_reply(&JobLookupError::Unavailable, request, job),
        }
    } else {
        Vec::new()
    };
    if view.record.recorded > from && results.is_empty() {
        return error_reply(&JobLookupError::Unavailable, request, job);
    }
    let page = platform::ResultPage { total: view.record.total, offset: from, results };
    match platform::encode_result_page(&page) {
        Ok(body) => json_reply(body, request),
        Err(error) => {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &error)]);
            empty_reply(StatusCode::INTERNAL_SERVER_ERROR, request.head.request_id.as_ref())
        }
    }
}

fn json_reply(body: Bytes, request: &ClientRequest) -> Response<ReplyBody> {
    let mut reply = platform::plain_reply(StatusCode::OK, request.head.request_id.as_ref(), body).map(full_body);
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

async fn wait_for_result(
    node: &Arc<EntryNode>,
    job: &Name,
    from: usize,
    deadline: Timestamp,
) -> Result<JobView, JobLookupError> {
    let mut changes = node.job_changes.subscribe();
    loop {
        let view = find_job(node, job).await?;
        let has_more = view.record.recorded > from;
        let now = node.now();
        if has_more || view.record.is_complete() {
            return Ok(view);
        }
        if view.is_ended {
            // The driver may have recorded more results before it learned of the end, and records of ended jobs
            // are not read again when a watch loses its history.
            return read_job(node, job).await;
        }
        if node.is_stopping() || now >= deadline {
            // The watch may lag by 1.8 s at 300 nodes, and a client may already have read results at another
            // node. So the store is read before the answer that there are none. If that fails, results may have
            // been recorded that this node has not seen.
            return read_job(node, job).await;
        }
        if node.follower.is_direct() {
            // A change of any job and the deadline both lead to the next check, so the outcome is ignored.
            let _ = clock::timeout(deadline.since(now), changes.changed()).await;
        } else {
            clock::sleep(deadline.since(now).min(RESULT_POLL_INTERVAL)).await;
            // While the store is unavailable no results are recorded either, so an error is ignored.
            let _ = read_job(node, job).await;
        }
    }
}

/// Reads up to one page of recorded results from a position on.
pub async fn load_results(node: &Arc<EntryNode>, job: &str, from: usize) -> Result<Vec<JobResult>, StoreError> {
    let (rows, more) = tables::read_page(&node.store, tables::RESULTS, job, &result_pages::result_key(from)).await?;
    let mut joined = tables::join_chunks(rows);
    if more && joined.len() > 1 {
        // The last result may have pieces on the next page.
        joined.pop();
    }
    result_pages::decode_page(joined, from, MAX_PAGE_BYTES)
}

/// Returns the body of an item.
pub async fn read_item(node: &Arc<EntryNode>, job: &Name, item: &Name, request: &ClientRequest) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    let view = match find_caller_job(node, job, request).await {
        Ok(view) => view,
        Err(error) => return error_reply(&error, request, job),
    };
    let driven_spec = node.drivers.lock().unwrap().get(job).map(|driver| driver.spec.clone());
    let spec = match driven_spec {
        Some(spec) => spec,
        None => match load_spec(node, job, &view.record).await {
            Ok(spec) => Arc::new(spec),
            Err(_) => return error_reply(&JobLookupError::Unavailable, request, job),
        },
    };
    match spec.items.iter().find(|job_item| job_item.id == *item) {
        Some(job_item) => platform::plain_reply(StatusCode::OK, id, job_item.body.clone()).map(full_body),
        None => empty_reply(StatusCode::NOT_FOUND, id),
    }
}

/// Returns the name of the object that stores a large submission. It contains the digest, because the object of
/// a refused submission stays and must not be read as that of a later one with the same id.
pub fn spec_object(job: &str, digest: u64) -> Name {
    format!("spec-{job}-{digest:016x}").into()
}

/// Reads the specification of an accepted job from the store.
pub async fn load_spec(node: &Arc<EntryNode>, job: &Name, record: &JobRecord) -> Result<JobSpec, StoreError> {
    if record.spec_rows == 0 {
        return match node.store.call(&StoreCall::GetObject { name: spec_object(job, record.digest) }).await? {
            StoreReply::Object(Some(content)) => tables::decode(&content),
            _ => Err(StoreError::Unknown),
        };
    }
    let rows = tables::read_all(&node.store, tables::SPECS, job).await?;
    let joined = tables::join_chunks(rows);
    let (_, content) = joined.into_iter().next().ok_or(StoreError::Unknown)?;
    tables::decode(&content)
}

/// Ends a job. Repeated calls change nothing.
pub async fn end_job(node: &Arc<EntryNode>, job: &Name, request: &ClientRequest) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    let view = match find_caller_job(node, job, request).await {
        Ok(view) => view,
        Err(error) => return error_reply(&error, request, job),
    };
    if !view.is_ended {
        let transaction =
            RowTransaction::new(job.clone()).put(tables::STATE, tables::JOB_END, tables::encode(&node.settings.name));
        if let Err(error) = retry_write(node, transaction).await {
            return end_error_reply(&error, request, job);
        }
        logs::write(
            event::JOB_ENDED,
            &[("job", job), ("listed", &view.record.recorded), ("total", &view.record.total)],
        );
        node.record_job_end(job);
        tokio::spawn(notify_owner(node.clone(), job.clone(), view.record.owner_address.clone()));
    }
    empty_reply(StatusCode::OK, id)
}

fn end_error_reply(error: &WriteError, request: &ClientRequest, job: &Name) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &"the end could not be stored")]);
    match error {
        WriteError::NotApplied => platform::not_run_reply(id, UNAVAILABLE_RETRY_AFTER).map(full_body),
        // The status of a call that was not run would be wrong, since the job may have ended.
        WriteError::Unknown => {
            platform::retry_reply(StatusCode::BAD_GATEWAY, id, UNAVAILABLE_RETRY_AFTER).map(full_body)
        }
    }
}

/// Tells the owner of a job that the job has ended, so that it does not run items until its watch reports it.
async fn notify_owner(node: Arc<EntryNode>, job: Name, owner: Name) {
    if owner.is_empty() || owner == node.settings.peer_listen {
        return;
    }
    if node.peers.announce_job_end(&owner, &job).await.is_none() {
        logs::write(event::END_UNTOLD, &[("job", &job), ("owner", &owner), ("why", &"it does not respond")]);
    }
}

/// Why a write for a client failed.
enum WriteError {
    /// No attempt was applied.
    NotApplied,
    /// An attempt may have been applied.
    Unknown,
}

/// Retries an idempotent write until the store has committed it, for at most [`CLIENT_WRITE_TIMEOUT`].
async fn retry_write(node: &Arc<EntryNode>, transaction: RowTransaction) -> Result<(), WriteError> {
    let call = StoreCall::Commit(transaction);
    let deadline = node.now() + CLIENT_WRITE_TIMEOUT;
    let mut may_be_applied = false;
    for failures in 1.. {
        let error = match node.store.call(&call).await {
            Ok(StoreReply::Committed(_)) => return Ok(()),
            Ok(_) => StoreError::Unknown,
            Err(error) => error,
        };
        may_be_applied |= error == StoreError::Unknown;
        if node.now() >= deadline {
            break;
        }
        node.store.wait_before_retry(error, failures, CLIENT_WRITE_RETRY_DELAY).await;
    }
    Err(if may_be_applied { WriteError::Unknown } else { WriteError::NotApplied })
}
