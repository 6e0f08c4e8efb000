//! Calls of clients about jobs that were accepted: read results, read a body, end.

use super::front::{ClientRequest, ReplyBody, full_reply, own_reply};
use super::node::{EntryNode, JobView};
use super::tables;
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

/// Time for which a write whose reply was lost is settled before the client is told that nothing
/// is known.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Pause between two tries of one write.
pub const SETTLE_PAUSE: Duration = Duration::from_millis(60);

/// Time after which a client is told to return when a node cannot tell what it asks.
const DOUBT_RETURN: Duration = Duration::from_millis(100);

/// Most bytes of texts in one page of results; the pages of the platform allow 1 MB.
const PAGE_BYTES: usize = 700_000;

/// Interval at which a node that is not told of results looks for them.
const RESULT_LOOK: Duration = Duration::from_millis(150);

/// Why a job cannot be told.
pub enum JobDoubt {
    /// The job does not exist.
    Missing,
    /// The store cannot be asked.
    Unsure,
}

/// Finds the job that a request is about, which must belong to its caller; to any other caller it is
/// unknown.
async fn find_own_job(node: &Arc<EntryNode>, job: &Name, request: &ClientRequest) -> Result<JobView, JobDoubt> {
    let view = find_job(node, job).await?;
    if request.caller.may_access(view.record.customer.as_ref()) { Ok(view) } else { Err(JobDoubt::Missing) }
}

/// Finds a job, in the store if this node does not know it.
async fn find_job(node: &Arc<EntryNode>, job: &Name) -> Result<JobView, JobDoubt> {
    if let Some(view) = node.job(job) {
        return Ok(view);
    }
    read_job(node, job).await
}

/// Reads a job's head and end from the store.
async fn read_job(node: &Arc<EntryNode>, job: &Name) -> Result<JobView, JobDoubt> {
    let rows = tables::read_all(&node.store, tables::STATE, job).await.map_err(|_| JobDoubt::Unsure)?;
    let is_ended = rows.iter().any(|row| &*row.key == tables::JOB_END);
    let head = rows.into_iter().find(|row| &*row.key == tables::JOB_RECORD).ok_or(JobDoubt::Missing)?;
    node.merge_job_record(tables::decode(&head.value).map_err(|_| JobDoubt::Unsure)?, head.version, job);
    if is_ended {
        node.record_job_end(job);
    }
    node.job(job).ok_or(JobDoubt::Unsure)
}

fn doubt_reply(doubt: &JobDoubt, request: &ClientRequest, job: &Name) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    match doubt {
        JobDoubt::Missing => {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &"no such job")]);
            own_reply(StatusCode::NOT_FOUND, id)
        }
        JobDoubt::Unsure => {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &"the store cannot be asked")]);
            platform::not_run_reply(id, DOUBT_RETURN).map(full_reply)
        }
    }
}

/// Returns the results from a position on, and waits for one if there is none yet.
pub async fn read_results(
    node: &Arc<EntryNode>,
    job: &Name,
    from: usize,
    request: &ClientRequest,
) -> Response<ReplyBody> {
    let deadline = node.now() + request.head.poll_time;
    if let Err(doubt) = find_own_job(node, job, request).await {
        return doubt_reply(&doubt, request, job);
    }
    let view = match wait_for_result(node, job, from, deadline).await {
        Ok(view) => view,
        Err(doubt) => return doubt_reply(&doubt, request, job),
    };
    let results = if view.record.recorded > from {
        match load_results(node, job, from).await {
            Ok(results) => results,
            Err(_) => return doubt_reply(&JobDoubt::Unsure, request, job),
        }
    } else {
        Vec::new()
    };
    if view.record.recorded > from && results.is_empty() {
        return doubt_reply(&JobDoubt::Unsure, request, job);
    }
    let page = platform::JobRead { total: view.record.total, from, results };
    match platform::encode_page(&page) {
        Ok(body) => json_reply(body, request),
        Err(error) => {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &error)]);
            own_reply(StatusCode::INTERNAL_SERVER_ERROR, request.head.request_id.as_ref())
        }
    }
}

fn json_reply(body: Bytes, request: &ClientRequest) -> Response<ReplyBody> {
    let mut reply = platform::plain_reply(StatusCode::OK, request.head.request_id.as_ref(), body).map(full_reply);
    reply.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

async fn wait_for_result(
    node: &Arc<EntryNode>,
    job: &Name,
    from: usize,
    deadline: Timestamp,
) -> Result<JobView, JobDoubt> {
    let mut news = node.job_changes.subscribe();
    loop {
        let view = find_job(node, job).await?;
        let has_more = view.record.recorded > from;
        let now = node.now();
        if has_more || view.record.is_complete() {
            return Ok(view);
        }
        if view.is_ended {
            // Its driver may have recorded more before it heard of the end, and the heads of ended
            // jobs are not read again when a watch loses its history.
            return read_job(node, job).await;
        }
        if node.is_stopping() || now >= deadline {
            // The watch of a node may be behind by more than a client that read results elsewhere
            // allows, 1.8 s at 300 nodes, so that there is nothing yet is told by the store. While it
            // cannot be asked nothing is listed either.
            return Ok(read_job(node, job).await.unwrap_or(view));
        }
        if node.levels.is_direct() {
            // Ends with a change of any job or with the deadline; both lead to another look.
            let _ = clock::timeout(deadline.since(now), news.changed()).await;
        } else {
            clock::sleep(deadline.since(now).min(RESULT_LOOK)).await;
            // While the store cannot be asked nothing is listed either.
            let _ = read_job(node, job).await;
        }
    }
}

/// Name of the row of a result; keys are ordered as positions are.
pub fn result_key(position: usize) -> String {
    format!("{position:08}")
}

/// Reads recorded results from a position on, up to a page.
pub async fn load_results(node: &Arc<EntryNode>, job: &str, from: usize) -> Result<Vec<JobResult>, StoreError> {
    let (rows, more) = tables::read_page(&node.store, tables::RESULTS, job, &result_key(from)).await?;
    let mut joined = tables::join_chunks(rows);
    if more && joined.len() > 1 {
        // The last result may have pieces on the next page.
        joined.pop();
    }
    let (mut results, mut bytes) = (Vec::new(), 0);
    for (_, content) in joined {
        bytes += content.len();
        if bytes > PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(tables::decode(&content)?);
    }
    Ok(results)
}

/// Returns the body of an item.
pub async fn read_item(node: &Arc<EntryNode>, job: &Name, item: &Name, request: &ClientRequest) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    let view = match find_own_job(node, job, request).await {
        Ok(view) => view,
        Err(doubt) => return doubt_reply(&doubt, request, job),
    };
    let driven = node.drivers.lock().unwrap().get(job).map(|driver| driver.spec.clone());
    let spec = match driven {
        Some(spec) => spec,
        None => match load_spec(node, job, &view.record).await {
            Ok(spec) => Arc::new(spec),
            Err(_) => return doubt_reply(&JobDoubt::Unsure, request, job),
        },
    };
    match spec.items.iter().find(|held| held.id == *item) {
        Some(held) => platform::plain_reply(StatusCode::OK, id, held.body.clone()).map(full_reply),
        None => own_reply(StatusCode::NOT_FOUND, id),
    }
}

/// Name of the object that holds a large submission. It bears the digest, because an object of a
/// refused submission stays, and another one of the same id must not be taken for it.
pub fn spec_object(job: &str, digest: u64) -> Name {
    format!("spec-{job}-{digest:016x}").into()
}

/// Reads a submission back.
pub async fn load_spec(node: &Arc<EntryNode>, job: &Name, head: &JobRecord) -> Result<JobSpec, StoreError> {
    if head.spec_rows == 0 {
        return match node.store.call(&StoreCall::GetObject { name: spec_object(job, head.digest) }).await? {
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
    let view = match find_own_job(node, job, request).await {
        Ok(view) => view,
        Err(doubt) => return doubt_reply(&doubt, request, job),
    };
    if !view.is_ended {
        let transaction =
            RowTransaction::new(job.clone()).put(tables::STATE, tables::JOB_END, tables::encode(&node.settings.name));
        if !settle_write(node, transaction).await {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &"the end cannot be stored")]);
            return own_reply(StatusCode::BAD_GATEWAY, id);
        }
        logs::write(
            event::JOB_ENDED,
            &[("job", job), ("listed", &view.record.recorded), ("total", &view.record.total)],
        );
        node.record_job_end(job);
        tokio::spawn(tell_owner(node.clone(), job.clone(), view.record.owner_address.clone()));
    }
    own_reply(StatusCode::OK, id)
}

/// Tells the owner of a job that it is ended, so that it does not run items until its watch says so.
async fn tell_owner(node: Arc<EntryNode>, job: Name, owner: Name) {
    if owner.is_empty() || owner == node.settings.peer_listen {
        return;
    }
    if node.peers.announce_job_end(&owner, &job).await.is_none() {
        logs::write(event::END_UNTOLD, &[("job", &job), ("owner", &owner), ("why", &"it does not answer")]);
    }
}

/// Makes a write that may be repeated until the store has it, within [`SETTLE_TIME`].
async fn settle_write(node: &Arc<EntryNode>, transaction: RowTransaction) -> bool {
    let call = StoreCall::Commit(transaction);
    let until = node.now() + SETTLE_TIME;
    for failures in 1.. {
        let error = match node.store.call(&call).await {
            Ok(StoreReply::Committed(_)) => return true,
            Ok(_) => StoreError::Unknown,
            Err(error) => error,
        };
        if node.now() >= until {
            break;
        }
        node.store.wait_before_retry(error, failures, SETTLE_PAUSE).await;
    }
    false
}
