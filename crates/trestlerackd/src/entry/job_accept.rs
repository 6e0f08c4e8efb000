//! Accepts batch jobs. Each is stored exactly once, also if replies of the store are lost.

use super::client_requests::{ClientRequest, ReplyBody, empty_reply, full_body};
use super::job_calls::{CLIENT_WRITE_RETRY_DELAY, CLIENT_WRITE_TIMEOUT, spec_object};
use super::job_driver::{self, JobAssignment};
use super::node::EntryNode;
use super::{job_takeover, placement, tables};
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
use trestlerack::version::{Placement, RequestRoute, RoutingTable, ZoneRelation};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Retry-After of a submission that is refused because the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Largest submission, in bytes, that is stored in rows; a larger one is stored in an object.
const MAX_ROW_SPEC_BYTES: usize = 450_000;

/// Accepts a batch job. It answers 202 only after the transaction that creates the job's record, which expects
/// that no record exists, is committed.
pub async fn submit(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    route: &RequestRoute,
    mut request: ClientRequest,
) -> Response<ReplyBody> {
    let started = node.now();
    let Some(id) = request.head.request_id.clone() else {
        return empty_reply(StatusCode::BAD_REQUEST, None);
    };
    let spec = match platform::decode_job(&id, &request.host, &request.path, &request.body) {
        Ok(spec) => Arc::new(spec),
        Err(error) => {
            logs::write(event::REQUEST_REFUSED, &[("request", &id), ("why", &error)]);
            return platform::plain_reply(StatusCode::BAD_REQUEST, Some(&id), error.to_string()).map(full_body);
        }
    };
    // The decoded job replaces the body in memory; the body must not stay while the store is unavailable.
    request.drop_body();
    let outcome = accept(node, routing, &spec, request.customer()).await;
    let took = node.now().since(started);
    let (status, reply) = match &outcome {
        Ok(_) => (StatusCode::ACCEPTED, empty_reply(StatusCode::ACCEPTED, Some(&id))),
        Err(SubmitError::IdTaken) => (StatusCode::CONFLICT, empty_reply(StatusCode::CONFLICT, Some(&id))),
        Err(SubmitError::NotAccepted) => {
            let reply = platform::not_run_reply(Some(&id), STORE_RETRY_AFTER).map(full_body);
            (StatusCode::SERVICE_UNAVAILABLE, reply)
        }
        Err(SubmitError::Unknown) => (StatusCode::BAD_GATEWAY, empty_reply(StatusCode::BAD_GATEWAY, Some(&id))),
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
    node.metrics.record_request(&route.name, status, took);
    reply
}

/// Why a submission was not accepted.
enum SubmitError {
    /// Nothing was stored and nothing will be.
    NotAccepted,
    /// The reply of the store was lost; the job may be stored.
    Unknown,
    /// Another job has the same id.
    IdTaken,
}

/// Stores a job and has it driven. Returns the version of its record row.
async fn accept(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    spec: &Arc<JobSpec>,
    customer: Option<&Name>,
) -> Result<u64, SubmitError> {
    if let Some(view) = node.job(&spec.id) {
        return check_known_job(&view.record, view.version, spec, customer);
    }
    let content = tables::encode(&**spec);
    let mut memory = node.resource_limits.memory.reserve(MemoryPurpose::Texts, spec.bytes() + content.len());
    if let Some(customer) = customer {
        memory.set_customer(customer);
    }
    let fits_rows = content.len() <= MAX_ROW_SPEC_BYTES;
    if !fits_rows {
        put_object(node, spec, &content).await?;
    }
    let spec_rows = if fits_rows { content.len().div_ceil(node.settings.store_row_bytes).max(1) } else { 0 };
    let record = new_record(node, routing, spec, spec_rows, customer);
    let mut transaction = RowTransaction::new(spec.id.clone()).expect(tables::STATE, tables::JOB_RECORD, 0).put(
        tables::STATE,
        tables::JOB_RECORD,
        tables::encode(&record),
    );
    if fits_rows {
        transaction = tables::put_chunked(
            transaction,
            tables::SPECS,
            tables::JOB_RECORD,
            &content,
            node.settings.store_row_bytes,
        );
    }
    let call = StoreCall::Commit(transaction);
    let deadline = node.now() + CLIENT_WRITE_TIMEOUT;
    let mut may_be_stored = false;
    for failures in 1.. {
        let sent_at = node.now();
        let error = match node.store.call(&call).await {
            Ok(StoreReply::Committed(moment)) => {
                start_accepted(node, spec, JobAssignment { record, version: moment.version, named_at: sent_at });
                return Ok(moment.version);
            }
            Ok(StoreReply::Conflict(rows)) => return resolve_conflict(node, spec, &record, sent_at, rows),
            Ok(_) => StoreError::Unknown,
            Err(error) => error,
        };
        may_be_stored |= error == StoreError::Unknown;
        if node.now() >= deadline {
            break;
        }
        node.store.wait_before_retry(error, failures, CLIENT_WRITE_RETRY_DELAY).await;
    }
    Err(if may_be_stored { SubmitError::Unknown } else { SubmitError::NotAccepted })
}

/// Returns the version of a known job if this is a repeated submission of it. A job with another content or of
/// another customer is an error.
fn check_known_job(
    record: &JobRecord,
    version: u64,
    spec: &JobSpec,
    customer: Option<&Name>,
) -> Result<u64, SubmitError> {
    let is_same = record.digest == spec.digest() && record.customer.as_ref() == customer;
    if is_same { Ok(version) } else { Err(SubmitError::IdTaken) }
}

/// Handles an existing record row: the job was stored by this call, whose reply was lost, or by another one, at
/// any node, or it is another job with the same id.
fn resolve_conflict(
    node: &Arc<EntryNode>,
    spec: &Arc<JobSpec>,
    own_record: &JobRecord,
    sent_at: Timestamp,
    rows: Vec<trestlerack::rows::StoredRow>,
) -> Result<u64, SubmitError> {
    let Some(row) = rows.into_iter().find(|row| &*row.key == tables::JOB_RECORD) else {
        return Err(SubmitError::Unknown);
    };
    let record: JobRecord = tables::decode(&row.value).map_err(|_| SubmitError::Unknown)?;
    let outcome = check_known_job(&record, row.version, spec, own_record.customer.as_ref());
    if record.write_id == own_record.write_id {
        start_accepted(node, spec, JobAssignment { record, version: row.version, named_at: sent_at });
    }
    outcome
}

/// Starts to drive a job that was just stored, at the node that its record names.
fn start_accepted(node: &Arc<EntryNode>, spec: &Arc<JobSpec>, assignment: JobAssignment) {
    let JobAssignment { record, version, .. } = assignment.clone();
    node.merge_job_record(record.clone(), version, &spec.id);
    if record.owner == node.settings.name {
        job_driver::start(node, spec.clone(), assignment, None);
    } else {
        tokio::spawn(job_takeover::ensure_driven(node.clone(), spec.id.clone(), record, version));
    }
}

/// Chooses the node that is to drive a job, in a zone where its requests may be served. If no such node is registered,
/// this node drives it. Returns the name and row of the node.
fn choose_owner(node: &EntryNode, spec: &JobSpec, placement: &Placement) -> (Name, NodeRow) {
    let relations = node.regions.node_relations(|| node.peers.zones());
    let relation = |name: &Name| relations.get(name).copied().unwrap_or_default();
    // The newest job of the model that a node of the own region drives counts before newer ones of other regions.
    let mut newest_owner: Option<(bool, u64, Name)> = None;
    let mut models_by_owner: BTreeMap<Name, BTreeSet<Option<Name>>> = BTreeMap::new();
    for view in node.jobs.lock().unwrap().values() {
        let record = &view.record;
        if record.model == spec.model && record.host == spec.host {
            let is_near = relations.get(&record.owner).is_some_and(|relation| *relation != ZoneRelation::OtherRegion);
            newest_owner = newest_owner.max(Some((is_near, record.accepted_ms, record.owner.clone())));
        } else if !view.is_ended && !record.is_complete() {
            models_by_owner.entry(record.owner.clone()).or_default().insert(record.model.clone());
        }
    }
    let models = |name: &Name| models_by_owner.get(name).map_or(0, BTreeSet::len);
    let candidate = |name: &Name, row: &NodeRow| {
        placement.allows(&row.zone).then(|| OwnerCandidate {
            models: models(name),
            name: name.clone(),
            capacity: row.capacity,
            store_latency_ms: row.store_latency_ms,
            relation: relation(name),
        })
    };
    let mut candidates: Vec<OwnerCandidate> = node.peers.rows(candidate).into_iter().flatten().collect();
    if candidates.iter().all(|candidate| candidate.name != node.settings.name) {
        candidates.extend(candidate(&node.settings.name, &node.node_row()));
    }
    // A node that is no follower would have to read the complete store first.
    if candidates.iter().any(|candidate| node.follower.is_follower(&candidate.name)) {
        candidates.retain(|candidate| node.follower.is_follower(&candidate.name));
    }
    let model = spec.model.as_deref().unwrap_or("");
    let newest_owner = newest_owner.as_ref().map(|(_, _, owner)| &**owner);
    let owner = choose_job_owner(model, &node.settings.name, newest_owner, &candidates);
    // A node that was registered a moment ago may have been removed since.
    let peer = owner.and_then(|owner| Some((owner.name.clone(), node.peers.get(&owner.name)?)));
    peer.unwrap_or_else(|| (node.settings.name.clone(), node.node_row()))
}

fn new_record(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    spec: &JobSpec,
    spec_rows: usize,
    customer: Option<&Name>,
) -> JobRecord {
    let placement = placement::record_placement(Some(routing), &spec.host, &spec.path, customer);
    let (owner, row) = choose_owner(node, spec, &placement);
    JobRecord {
        owner,
        owner_address: row.address,
        owner_zone: row.zone,
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
        customer: customer.cloned(),
        config_version: routing.version,
    }
}

async fn put_object(node: &Arc<EntryNode>, spec: &JobSpec, content: &Bytes) -> Result<(), SubmitError> {
    let call = StoreCall::PutObject { name: spec_object(&spec.id, spec.digest()), content: content.clone() };
    // The object alone does not accept the job, only the record row does; so a lost reply is safe here.
    node.store.call(&call).await.map(|_| ()).map_err(|_| SubmitError::NotAccepted)
}
