//! Accepts batch jobs: each once, whatever the store's replies.

use super::front::{ClientRequest, ReplyBody, full_reply, own_reply};
use super::job_calls::{SETTLE_PAUSE, SETTLE_TIME, spec_object};
use super::node::EntryNode;
use super::tables;
use super::{adoption, job_driver};
use crate::process::logs;
use bytes::Bytes;
use http::{Response, StatusCode};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{MemoryPurpose, NodeRow, OwnerCandidate, choose_job_owner};
use trestlerack::request::{JobRecord, JobSpec};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::version::RequestRoute;
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Time after which a client is told to return while the store cannot be used.
const STORE_RETURN: Duration = Duration::from_millis(300);

/// Most bytes of a submission that is stored in rows; more goes into an object.
const ROWS_BYTES: usize = 450_000;

/// Accepts a batch job: its 202 follows one transaction that expects its absence.
pub async fn submit(node: &Arc<EntryNode>, route: &RequestRoute, mut request: ClientRequest) -> Response<ReplyBody> {
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
    // What was decoded takes the place of the body, also while the store is away.
    request.drop_body();
    let outcome = accept(node, &spec, request.customer()).await;
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
async fn accept(node: &Arc<EntryNode>, spec: &Arc<JobSpec>, customer: Option<&Name>) -> Result<u64, Refusal> {
    if let Some(view) = node.job(&spec.id) {
        return known_job(&view.record, view.version, spec, customer);
    }
    let content = tables::encode(&**spec);
    let mut held = node.resource_limits.ledger.reserve(MemoryPurpose::Texts, spec.bytes() + content.len());
    if let Some(customer) = customer {
        held.set_customer(customer);
    }
    let in_rows = content.len() <= ROWS_BYTES;
    if !in_rows {
        put_object(node, spec, &content).await?;
    }
    let spec_rows = if in_rows { content.len().div_ceil(node.settings.store_row_bytes).max(1) } else { 0 };
    let head = JobRecord { customer: customer.cloned(), ..new_head(node, spec, spec_rows) };
    let mut transaction = RowTransaction::new(spec.id.clone()).expect(tables::STATE, tables::JOB_RECORD, 0).put(
        tables::STATE,
        tables::JOB_RECORD,
        tables::encode(&head),
    );
    if in_rows {
        transaction = tables::put_chunked(
            transaction,
            tables::SPECS,
            tables::JOB_RECORD,
            &content,
            node.settings.store_row_bytes,
        );
    }
    let call = StoreCall::Commit(transaction);
    let until = node.now() + SETTLE_TIME;
    let mut may_be_stored = false;
    for failures in 1.. {
        let error = match node.store.call(&call).await {
            Ok(StoreReply::Committed(moment)) => {
                start_accepted(node, spec, head, moment.version);
                return Ok(moment.version);
            }
            Ok(StoreReply::Conflict(rows)) => return settle_conflict(node, spec, &head, rows),
            Ok(_) => StoreError::Unknown,
            Err(error) => error,
        };
        may_be_stored |= error == StoreError::Unknown;
        if node.now() >= until {
            break;
        }
        node.store.wait_before_retry(error, failures, SETTLE_PAUSE).await;
    }
    Err(if may_be_stored { Refusal::Unknown } else { Refusal::NotAccepted })
}

/// Tells a repeated submission from another job of the same id; that of another customer is one.
fn known_job(head: &JobRecord, version: u64, spec: &JobSpec, customer: Option<&Name>) -> Result<u64, Refusal> {
    let is_same = head.digest == spec.digest() && head.customer.as_ref() == customer;
    if is_same { Ok(version) } else { Err(Refusal::OtherJob) }
}

/// A head row exists: it is the same job, accepted here with a lost reply or by another node.
fn settle_conflict(
    node: &Arc<EntryNode>,
    spec: &Arc<JobSpec>,
    own: &JobRecord,
    rows: Vec<trestlerack::rows::StoredRow>,
) -> Result<u64, Refusal> {
    let Some(row) = rows.into_iter().find(|row| &*row.key == tables::JOB_RECORD) else { return Err(Refusal::Unknown) };
    let head: JobRecord = tables::decode(&row.value).map_err(|_| Refusal::Unknown)?;
    let outcome = known_job(&head, row.version, spec, own.customer.as_ref());
    if head.write_id == own.write_id {
        start_accepted(node, spec, head, row.version);
    }
    outcome
}

/// Has a job that was just stored driven by the node that its head names.
fn start_accepted(node: &Arc<EntryNode>, spec: &Arc<JobSpec>, head: JobRecord, version: u64) {
    node.merge_job_record(head.clone(), version, &spec.id);
    if head.owner == node.settings.name {
        job_driver::start(node, spec.clone(), head, version);
    } else {
        tokio::spawn(adoption::ensure_driven(node.clone(), spec.id.clone(), head));
    }
}

/// Returns the name and the row of the node that is to drive a job.
fn choose_owner(node: &EntryNode, spec: &JobSpec) -> (Name, NodeRow) {
    let mut newest: Option<(u64, Name)> = None;
    let mut driven: BTreeMap<Name, BTreeSet<Option<Name>>> = BTreeMap::new();
    for view in node.jobs.lock().unwrap().values() {
        let head = &view.record;
        if head.model == spec.model && head.host == spec.host {
            newest = newest.max(Some((head.accepted_ms, head.owner.clone())));
        } else if !view.is_ended && !head.is_complete() {
            driven.entry(head.owner.clone()).or_default().insert(head.model.clone());
        }
    }
    let own = (node.settings.name.clone(), node.settings.capacity());
    let mut nodes = node.peers.capacities();
    if !nodes.contains(&own) {
        nodes.push(own);
    }
    // A node that does not follow the store would have to read it whole first.
    if nodes.iter().any(|(name, _)| node.levels.is_follower(name)) {
        nodes.retain(|(name, _)| node.levels.is_follower(name));
    }
    let models = |name: &Name| driven.get(name).map_or(0, BTreeSet::len);
    let candidates: Vec<OwnerCandidate> =
        nodes.into_iter().map(|(name, capacity)| OwnerCandidate { models: models(&name), name, capacity }).collect();
    let model = spec.model.as_deref().unwrap_or("");
    let newest = newest.as_ref().map(|(_, owner)| &**owner);
    let owner = choose_job_owner(model, &node.settings.name, newest, &candidates);
    // A node that was listed a moment ago may be gone from the list by now.
    let peer = owner.and_then(|owner| Some((owner.name.clone(), node.peers.get(&owner.name)?)));
    peer.unwrap_or_else(|| (node.settings.name.clone(), node.node_row()))
}

fn new_head(node: &Arc<EntryNode>, spec: &JobSpec, spec_rows: usize) -> JobRecord {
    let (owner, row) = choose_owner(node, spec);
    JobRecord {
        owner,
        owner_address: row.address,
        incarnation: row.incarnation,
        fence: 1,
        write_id: node.write_id(),
        accepted_ms: node.store.clock_ms(),
        digest: spec.digest(),
        total: spec.items.len(),
        recorded: 0,
        spec_rows,
        host: spec.host.clone(),
        path: spec.path.clone(),
        model: spec.model.clone(),
        step: spec.step,
        min_version: spec.min_version,
        customer: None,
    }
}

async fn put_object(node: &Arc<EntryNode>, spec: &JobSpec, content: &Bytes) -> Result<(), Refusal> {
    let call = StoreCall::PutObject { name: spec_object(&spec.id, spec.digest()), content: content.clone() };
    // The object alone accepts nothing: only the head row does.
    node.store.call(&call).await.map(|_| ()).map_err(|_| Refusal::NotAccepted)
}
