//! Routes calls to owners of engines: this node or a peer.

use super::content_blocking::{self, BackendRequest, ProgressMeter};
use super::dispatchers::Grant;
use crate::connection::links::{self, RemoteCall};
use crate::node::Node;
use crate::process::clock;
use crate::process::stop::WorkGuard;
use async_trait::async_trait;
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use trestlerack::connection::{CallEvent, CallOutcome, CallSpec, TokenChunk};
use trestlerack::interfaces::ChunkSink;
use trestlerack::process::{PeerInfo, RecoveryRule};
use trestlerack::request::{EngineCandidate, EngineChooser, QueuedCall, RequestFingerprint};
use trestlerack::verdict::Reason;
use trestlerack::{AllowedZones, Failure, Name, Timestamp, Verdict};

/// Retry-after time of a call when no owner has an engine in an allowed zone.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of events buffered for the reader of a call on this node.
const LOCAL_EVENT_CAPACITY: usize = 16;

/// A call in progress; dropping it cancels the call.
pub struct RoutedCall {
    node: Arc<Node>,
    model: Name,
    owner: Name,
    source: CallSource,
}

enum CallSource {
    Local { events: mpsc::Receiver<CallEvent>, task: tokio::task::AbortHandle },
    Remote(RemoteCall),
}

impl RoutedCall {
    /// Returns the next event of the call. The last one is always [`CallEvent::Ended`].
    pub async fn next(&mut self) -> CallEvent {
        let (event, load) = match &mut self.source {
            CallSource::Local { events, .. } => {
                let event = events.recv().await.unwrap_or_else(|| CallEvent::Ended(links::link_failure_outcome()));
                let is_chunk = matches!(event, CallEvent::Chunk(_));
                let load = (!is_chunk).then(|| self.node.dispatchers.load(self.node.now(), &self.model));
                (event, load)
            }
            CallSource::Remote(call) => {
                let event = call.next().await;
                event.unwrap_or_else(|| (CallEvent::Ended(links::link_failure_outcome()), None))
            }
        };
        if let Some(load) = load {
            self.node.loads.record_report(self.node.now(), &self.model, &self.owner, &load);
        }
        event
    }
}

impl Drop for RoutedCall {
    fn drop(&mut self) {
        self.node.loads.record_end(&self.model, &self.owner);
        if let CallSource::Local { task, .. } = &self.source {
            task.abort();
        }
    }
}

/// Starts a call on an owner.
pub async fn route(node: &Arc<Node>, owner: Name, spec: CallSpec) -> Result<RoutedCall, Failure> {
    node.loads.record_start(&spec.model, &owner);
    let model = spec.model.clone();
    let source =
        if owner == *node.name() { Ok(start_locally(node, spec)) } else { start_on_peer(node, &owner, spec).await };
    match source {
        Ok(source) => Ok(RoutedCall { node: node.clone(), model, owner, source }),
        Err(failure) => {
            node.loads.record_end(&model, &owner);
            Err(failure)
        }
    }
}

/// Owner that was chosen for a call, with its estimated load.
pub struct OwnerChoice {
    /// Name of the node.
    pub owner: Name,
    /// Estimated number of its calls.
    calls: u32,
    /// Slots of its engines.
    slots: u32,
}

/// Calls per slot below which an owner has capacity. It is above one so that a slot does not stay
/// empty while the next call is on its way.
const MAX_CALLS_PER_SLOT: f64 = 1.5;

/// Returns whether the chosen owner is expected to start another call soon.
pub fn has_capacity(choice: &OwnerChoice) -> bool {
    f64::from(choice.calls) < f64::from(choice.slots) * MAX_CALLS_PER_SLOT
}

/// Returns whether some owner of a model's engines has a free slot by its estimated load, so that a
/// hedged attempt does not delay a first attempt.
pub fn has_free_slot(node: &Node, model: &Name, allowed_zones: &AllowedZones) -> bool {
    let owners = node.engine_owners.read().unwrap().model_owners(model, allowed_zones);
    owners.iter().any(|owner| node.loads.estimate(node.now(), model, &owner.node).0 < owner.slots)
}

/// Chooses an owner by the prefix of the call and the load of the owners, except those in `avoided`.
pub fn choose_owner(node: &Node, spec: &CallSpec, avoided: &[Name]) -> Result<OwnerChoice, Failure> {
    let mut owners = node.engine_owners.read().unwrap().model_owners(&spec.model, &spec.allowed_zones);
    owners.retain(|owner| !avoided.contains(&owner.node));
    let loads: Vec<_> = owners.iter().map(|owner| node.loads.estimate(node.now(), &spec.model, &owner.node)).collect();
    let candidates: Vec<EngineCandidate<'_>> = owners
        .iter()
        .zip(&loads)
        .map(|(owner, (calls, millis_per_token))| EngineCandidate {
            name: &owner.node,
            in_flight: *calls,
            slots: owner.slots,
            millis_per_token: *millis_per_token,
        })
        .collect();
    let policy = node.settings.choice_policy();
    let mut chooser = EngineChooser::new(policy, Pcg64Mcg::from_rng(&mut rand::rng()));
    let index = chooser.choose(spec.prefix, &candidates).ok_or_else(|| {
        let failure = Failure::not_run(Reason::NoBackend, "no engine in an allowed zone serves the model");
        failure.retry_after(NO_OWNER_RETRY_AFTER)
    })?;
    let owner = &owners[index];
    Ok(OwnerChoice { owner: owner.node.clone(), calls: loads[index].0, slots: owner.slots })
}

fn start_locally(node: &Arc<Node>, spec: CallSpec) -> CallSource {
    let (sender, events) = mpsc::channel(LOCAL_EVENT_CAPACITY);
    let task = tokio::spawn(run_locally(node.clone(), spec, sender)).abort_handle();
    CallSource::Local { events, task }
}

async fn start_on_peer(node: &Arc<Node>, owner: &Name, spec: CallSpec) -> Result<CallSource, Failure> {
    let peer: Option<PeerInfo> = node.membership.lock().unwrap().peer(owner).cloned();
    let peer = peer.ok_or_else(|| Failure::not_run(Reason::BackendFailed, "the owner is not a known member"))?;
    Ok(CallSource::Remote(links::call(node, &peer, Box::new(spec)).await?))
}

/// Cancels a call at the dispatcher when its task ends early, so that its queue entry or slot is freed.
struct SlotGuard {
    node: Arc<Node>,
    model: Name,
    id: u64,
    is_finished: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.node.dispatchers.cancel(self.node.now(), &self.model, self.id);
        }
    }
}

/// Runs a call on an engine that this node owns and sends its events.
pub async fn run_locally(node: Arc<Node>, spec: CallSpec, sender: mpsc::Sender<CallEvent>) {
    let _work = WorkGuard::new(&node);
    let span = node.telemetry.start_span("owner", SpanKind::Server, spec.traceparent.as_deref());
    let arrived = node.now();
    let deadline = arrived + Duration::from_millis(spec.deadline_ms);
    let id = node.dispatchers.next_id();
    let receiver = node.dispatchers.enqueue(arrived, &spec.model, queued_call(id, &spec, deadline));
    let mut guard = SlotGuard { node: node.clone(), model: spec.model.clone(), id, is_finished: false };
    let grant = match receiver.await {
        Ok(Ok(grant)) => grant,
        Ok(Err(failure)) => return send_end(&sender, CallOutcome::Failed(failure)).await,
        Err(_) => return send_end(&sender, links::link_failure_outcome()).await,
    };
    span.set("engine", grant.engine.to_string());
    let started = started_event(&node, &grant, arrived);
    if sender.send(started).await.is_err() {
        return;
    }
    let spec = CallSpec { traceparent: span.traceparent.clone(), ..spec };
    let mut relay = ChunkRelay {
        node: &node,
        engine: grant.engine.clone(),
        sender: &sender,
        needs_version: spec.needs_version,
        tokens: 0,
        fingerprint: spec.fingerprint,
        meter: Arc::new(ProgressMeter::after_tokens(spec.offset)),
    };
    let result = run_engine(&node, &grant, &spec, deadline, &mut relay).await;
    let tokens = relay.tokens;
    let outcome = if result.is_ok() { "whole" } else { "failed" };
    node.telemetry.engine_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    node.telemetry.tokens.add(u64::from(tokens), &[]);
    guard.is_finished = true;
    if matches!(&result, Err(failure) if failure.verdict == Verdict::NotRun && failure.reason == Reason::BackendFailed)
    {
        node.dispatchers.set_reachable(node.now(), &grant.engine, false);
    }
    let succeeded = !matches!(&result, Err(failure) if failure.reason == Reason::BackendFailed);
    node.dispatchers.record_end(node.now(), &spec.model, id, succeeded, tokens);
    let outcome = result.map_or_else(CallOutcome::Failed, |()| CallOutcome::Complete);
    send_end(&sender, outcome).await;
}

async fn run_engine(
    node: &Arc<Node>,
    grant: &Grant,
    spec: &CallSpec,
    deadline: Timestamp,
    relay: &mut ChunkRelay<'_>,
) -> Result<(), Failure> {
    let remaining = deadline.since(node.now());
    let meter = relay.meter.clone();
    let call = node.engines.complete(&grant.address, spec, relay);
    let call = async {
        match spec.fingerprint {
            Some(fingerprint) => {
                let (backend, address) = (&grant.engine, &*grant.address);
                let recovery_rule = if spec.is_sample() { RecoveryRule::Owed } else { RecoveryRule::Limited };
                let send = BackendRequest { backend, address, fingerprint, meter: Some(&meter), recovery_rule };
                content_blocking::send_unless_blocked(node, send, call).await
            }
            None => call.await,
        }
    };
    let result = clock::timeout(remaining, call).await;
    result.unwrap_or_else(|_| {
        Err(Failure::may_have_run(Reason::DeadlineExceeded, "the response was not complete in time"))
    })
}

fn queued_call(id: u64, spec: &CallSpec, deadline: Timestamp) -> QueuedCall {
    QueuedCall {
        id,
        account: spec.account.clone(),
        weight: spec.weight,
        allowed_zones: spec.allowed_zones.clone(),
        priority: spec.priority,
        prefix: spec.prefix,
        min_version: spec.min_version,
        needs_version: spec.needs_version,
        deadline,
        cost: spec.max_tokens.saturating_sub(spec.offset).max(1),
    }
}

fn started_event(node: &Node, grant: &Grant, arrived: Timestamp) -> CallEvent {
    let queued_ms = trestlerack::time::millis(node.now().since(arrived));
    node.telemetry.queue_time.record(queued_ms, &[]);
    CallEvent::Started { engine: grant.engine.clone(), zone: grant.zone.clone(), owner: node.name().clone(), queued_ms }
}

async fn send_end(sender: &mpsc::Sender<CallEvent>, outcome: CallOutcome) {
    // Fails only if the reader is gone.
    let _ = sender.send(CallEvent::Ended(outcome)).await;
}

/// Forwards the chunks of a call and records the engine's version from the first one.
struct ChunkRelay<'a> {
    node: &'a Arc<Node>,
    engine: Name,
    sender: &'a mpsc::Sender<CallEvent>,
    needs_version: bool,
    tokens: u32,
    fingerprint: Option<RequestFingerprint>,
    meter: Arc<ProgressMeter>,
}

#[async_trait]
impl ChunkSink for ChunkRelay<'_> {
    async fn accept(&mut self, chunk: TokenChunk) -> bool {
        if self.tokens == 0
            && let Some(version) = chunk.version
        {
            // The resulting orders are sent at the next tick.
            let _ = self.node.dispatchers.record_version(self.node.now(), &self.engine, version);
        }
        if self.needs_version && chunk.version.is_none() {
            return false;
        }
        self.tokens += chunk.tokens;
        self.meter.record_tokens(self.node, self.fingerprint, chunk.tokens);
        self.sender.send(CallEvent::Chunk(chunk)).await.is_ok()
    }
}
