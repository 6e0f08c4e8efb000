//! Calls of clients about batch jobs: submit, read results, read a body, end.

use super::front::{ClientRequest, ReplyBody, full_reply, own_reply};
use super::node::{EntryNode, JobView};
use super::tables;
use super::{adoption, job_driver};
use crate::process::logs;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::border::StoreError;
use trestlerack::process::NodeRow;
use trestlerack::request::{JobHead, JobResult, JobSpec};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::version::RequestRoute;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Time for which a write whose reply was lost is settled before the client is told that nothing
/// is known.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Pause between two tries of one write.
const SETTLE_PAUSE: Duration = Duration::from_millis(60);

/// Time after which a client is told to return while the store cannot be used.
const STORE_RETURN: Duration = Duration::from_millis(300);

/// Time after which a client is told to return when a node cannot tell what it asks.
const DOUBT_RETURN: Duration = Duration::from_millis(100);

/// Most bytes of texts in one page of results; the pages of the platform allow 1 MB.
const PAGE_BYTES: usize = 700_000;

/// Most bytes of a submission that is stored in rows; more goes into an object.
const ROWS_BYTES: usize = 450_000;

/// Accepts a batch job: its 202 follows one transaction that expects its absence.
pub async fn submit(node: &Arc<EntryNode>, route: &RequestRoute, request: ClientRequest) -> Response<ReplyBody> {
    let started = node.now();
    let Some(id) = request.head.request_id.clone() else {
        return own_reply(StatusCode::BAD_REQUEST, None);
    };
    let spec = match platform::decode_job(&id, &request.host, &request.path, &request.body) {
        Ok(spec) => Arc::new(spec),
        Err(error) => {
            logs::write(event::REQUEST_REFUSED, &[("request", &id), ("why", &error)]);
            return platform::plain_reply(StatusCode::BAD_REQUEST, Some(&id), error.to_string()).map(full_reply);
        }
    };
    let outcome = accept(node, &spec).await;
    let took = node.now().since(started);
    let (status, reply) = match &outcome {
        Ok(_) => (StatusCode::ACCEPTED, own_reply(StatusCode::ACCEPTED, Some(&id))),
        Err(Refusal::OtherJob) => (StatusCode::CONFLICT, own_reply(StatusCode::CONFLICT, Some(&id))),
        Err(Refusal::NotAccepted) => {
            let reply = platform::not_run_reply(Some(&id), STORE_RETURN).map(full_reply);
            (StatusCode::SERVICE_UNAVAILABLE, reply)
        }
        Err(Refusal::Unknown) => (StatusCode::BAD_GATEWAY, own_reply(StatusCode::BAD_GATEWAY, Some(&id))),
    };
    let ms = took.as_millis();
    let (items, store_version) = (spec.items.len(), outcome.as_ref().copied().unwrap_or(0));
    let fields: [(&str, &dyn std::fmt::Display); 8] = [
        ("job", &id),
        ("status", &status.as_u16()),
        ("items", &items),
        ("step", &format!("{:?}", spec.step)),
        ("model", &spec.model.clone().unwrap_or_else(|| "".into())),
        ("min_version", &spec.min_version),
        ("head", &store_version),
        ("ms", &ms),
    ];
    logs::write(event::JOB_SUBMITTED, &fields);
    node.metrics.request(&route.name, status, took);
    reply
}

enum Refusal {
    /// Nothing was stored and nothing will be.
    NotAccepted,
    /// The job may be stored.
    Unknown,
    /// Another job has this id.
    OtherJob,
}

/// Stores a job and starts to drive it. Returns the version of its head row.
async fn accept(node: &Arc<EntryNode>, spec: &Arc<JobSpec>) -> Result<u64, Refusal> {
    if let Some(view) = node.job(&spec.id) {
        return known_job(&view.head, view.version, spec);
    }
    let content = tables::encode(&**spec);
    let in_rows = content.len() <= ROWS_BYTES;
    if !in_rows {
        put_object(node, spec, &content).await?;
    }
    let head =
        new_head(node, spec, if in_rows { content.len().div_ceil(node.settings.store_row_bytes).max(1) } else { 0 });
    let mut transaction = RowTransaction::new(spec.id.clone()).expect(tables::STATE, tables::HEAD, 0).put(
        tables::STATE,
        tables::HEAD,
        tables::encode(&head),
    );
    if in_rows {
        transaction =
            tables::put_pieces(transaction, tables::SPECS, tables::HEAD, &content, node.settings.store_row_bytes);
    }
    let call = StoreCall::Commit(transaction);
    let until = node.now() + SETTLE_TIME;
    let mut may_be_stored = false;
    loop {
        match node.store.call(&call).await {
            Ok(StoreReply::Committed(moment)) => {
                start_accepted(node, spec, head, moment.version);
                return Ok(moment.version);
            }
            Ok(StoreReply::Conflict(rows)) => return settle_conflict(node, spec, &head, rows),
            Ok(_) | Err(StoreError::Unknown) => may_be_stored = true,
            Err(StoreError::Unavailable) => {}
        }
        if node.now() >= until {
            return Err(if may_be_stored { Refusal::Unknown } else { Refusal::NotAccepted });
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}

fn known_job(head: &JobHead, version: u64, spec: &JobSpec) -> Result<u64, Refusal> {
    if head.digest == spec.digest() { Ok(version) } else { Err(Refusal::OtherJob) }
}

/// A head row exists: it is the same job, accepted here with a lost reply or by another node.
fn settle_conflict(
    node: &Arc<EntryNode>,
    spec: &Arc<JobSpec>,
    own: &JobHead,
    rows: Vec<trestlerack::rows::StoredRow>,
) -> Result<u64, Refusal> {
    let Some(row) = rows.into_iter().find(|row| &*row.key == tables::HEAD) else { return Err(Refusal::Unknown) };
    let head: JobHead = tables::decode(&row.value).map_err(|_| Refusal::Unknown)?;
    let outcome = known_job(&head, row.version, spec);
    if head.write_id == own.write_id {
        start_accepted(node, spec, head, row.version);
    }
    outcome
}

/// Has a job that was just stored driven by the node that its head names.
fn start_accepted(node: &Arc<EntryNode>, spec: &Arc<JobSpec>, head: JobHead, version: u64) {
    node.learn_head(head.clone(), version, &spec.id);
    if head.owner == node.settings.name {
        job_driver::start(node, spec.clone(), head, version);
    } else {
        tokio::spawn(adoption::ensure_driven(node.clone(), spec.id.clone(), head));
    }
}

/// Returns the name and the row of the node that is to drive a job: the one that drives the newest
/// job of the same model, because it knows the engines' load and holds connections to them.
fn choose_owner(node: &EntryNode, spec: &JobSpec) -> (Name, NodeRow) {
    let newest = {
        let jobs = node.jobs.lock().unwrap();
        let related = jobs.values().filter(|view| view.head.model == spec.model && view.head.host == spec.host);
        related.max_by_key(|view| view.head.accepted_ms).map(|view| view.head.owner.clone())
    };
    let peer = newest.and_then(|owner| Some((owner.clone(), node.peers.get(&owner)?)));
    peer.unwrap_or_else(|| (node.settings.name.clone(), node.node_row()))
}

fn new_head(node: &Arc<EntryNode>, spec: &JobSpec, spec_rows: usize) -> JobHead {
    let (owner, row) = choose_owner(node, spec);
    JobHead {
        owner,
        owner_address: row.address,
        incarnation: row.incarnation,
        fence: 1,
        write_id: node.write_id(),
        accepted_ms: node.store.clock_ms(),
        digest: spec.digest(),
        total: spec.items.len(),
        listed: 0,
        spec_rows,
        host: spec.host.clone(),
        path: spec.path.clone(),
        model: spec.model.clone(),
        step: spec.step,
        min_version: spec.min_version,
    }
}

/// Name of the object that holds a large submission. It bears the digest, because an object of a
/// refused submission stays, and another one of the same id must not be taken for it.
pub fn spec_object(job: &str, digest: u64) -> Name {
    format!("spec-{job}-{digest:016x}").into()
}

async fn put_object(node: &Arc<EntryNode>, spec: &JobSpec, content: &Bytes) -> Result<(), Refusal> {
    let call = StoreCall::PutObject { name: spec_object(&spec.id, spec.digest()), content: content.clone() };
    // The object alone accepts nothing: only the head row does.
    node.store.call(&call).await.map(|_| ()).map_err(|_| Refusal::NotAccepted)
}

/// Why a job cannot be told.
pub enum JobDoubt {
    /// The job does not exist.
    Missing,
    /// The store cannot be asked.
    Unsure,
}

/// Finds a job, in the store if this node does not know it.
pub async fn find_job(node: &Arc<EntryNode>, job: &Name) -> Result<JobView, JobDoubt> {
    if let Some(view) = node.job(job) {
        return Ok(view);
    }
    let rows = tables::read_all(&node.store, tables::STATE, job).await.map_err(|_| JobDoubt::Unsure)?;
    let is_ended = rows.iter().any(|row| &*row.key == tables::END);
    let head = rows.into_iter().find(|row| &*row.key == tables::HEAD).ok_or(JobDoubt::Missing)?;
    node.learn_head(tables::decode(&head.value).map_err(|_| JobDoubt::Unsure)?, head.version, job);
    if is_ended {
        node.learn_end(job);
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
    let view = match wait_for_result(node, job, from, deadline).await {
        Ok(view) => view,
        Err(doubt) => return doubt_reply(&doubt, request, job),
    };
    let results = if view.head.listed > from {
        match load_results(node, job, from).await {
            Ok(results) => results,
            Err(_) => return doubt_reply(&JobDoubt::Unsure, request, job),
        }
    } else {
        Vec::new()
    };
    if view.head.listed > from && results.is_empty() {
        return doubt_reply(&JobDoubt::Unsure, request, job);
    }
    let page = platform::JobRead { total: view.head.total, from, results };
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
    let mut news = node.job_news.subscribe();
    loop {
        let view = find_job(node, job).await?;
        let has_more = view.head.listed > from;
        let now = node.now();
        if has_more || view.head.is_whole() || view.is_ended || node.is_stopping() || now >= deadline {
            return Ok(view);
        }
        // Ends with a change of any job or with the deadline; both lead to another look.
        let _ = tokio::time::timeout(deadline.since(now), news.changed()).await;
    }
}

/// Name of the row of a result; keys are ordered as positions are.
pub fn result_key(position: usize) -> String {
    format!("{position:08}")
}

/// Reads recorded results from a position on, up to a page.
pub async fn load_results(node: &Arc<EntryNode>, job: &str, from: usize) -> Result<Vec<JobResult>, StoreError> {
    let (rows, more) = tables::read_page(&node.store, tables::RESULTS, job, &result_key(from)).await?;
    let mut joined = tables::join_pieces(rows);
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
    let view = match find_job(node, job).await {
        Ok(view) => view,
        Err(doubt) => return doubt_reply(&doubt, request, job),
    };
    let driven = node.drivers.lock().unwrap().get(job).map(|driver| driver.spec.clone());
    let spec = match driven {
        Some(spec) => spec,
        None => match load_spec(node, job, &view.head).await {
            Ok(spec) => Arc::new(spec),
            Err(_) => return doubt_reply(&JobDoubt::Unsure, request, job),
        },
    };
    match spec.items.iter().find(|held| held.id == *item) {
        Some(held) => platform::plain_reply(StatusCode::OK, id, held.body.clone()).map(full_reply),
        None => own_reply(StatusCode::NOT_FOUND, id),
    }
}

/// Reads a submission back.
pub async fn load_spec(node: &Arc<EntryNode>, job: &Name, head: &JobHead) -> Result<JobSpec, StoreError> {
    if head.spec_rows == 0 {
        return match node.store.call(&StoreCall::GetObject { name: spec_object(job, head.digest) }).await? {
            StoreReply::Object(Some(content)) => tables::decode(&content),
            _ => Err(StoreError::Unknown),
        };
    }
    let rows = tables::read_all(&node.store, tables::SPECS, job).await?;
    let joined = tables::join_pieces(rows);
    let (_, content) = joined.into_iter().next().ok_or(StoreError::Unknown)?;
    tables::decode(&content)
}

/// Ends a job. Repeated calls change nothing.
pub async fn end_job(node: &Arc<EntryNode>, job: &Name, request: &ClientRequest) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    let view = match find_job(node, job).await {
        Ok(view) => view,
        Err(doubt) => return doubt_reply(&doubt, request, job),
    };
    if !view.is_ended {
        let transaction =
            RowTransaction::new(job.clone()).put(tables::STATE, tables::END, tables::encode(&node.settings.name));
        if !settle_write(node, transaction).await {
            logs::write(event::JOB_READ_FAILED, &[("job", job), ("why", &"the end cannot be stored")]);
            return own_reply(StatusCode::BAD_GATEWAY, id);
        }
        logs::write(event::JOB_ENDED, &[("job", job), ("listed", &view.head.listed), ("total", &view.head.total)]);
        node.learn_end(job);
    }
    own_reply(StatusCode::OK, id)
}

/// Makes a write that may be repeated until the store has it, within [`SETTLE_TIME`].
async fn settle_write(node: &Arc<EntryNode>, transaction: RowTransaction) -> bool {
    let call = StoreCall::Commit(transaction);
    let until = node.now() + SETTLE_TIME;
    loop {
        if let Ok(StoreReply::Committed(_)) = node.store.call(&call).await {
            return true;
        }
        if node.now() >= until {
            return false;
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}
