//! Takes a call to the owner of an engine, here or on a peer.

use super::content_gate::{self, GuardedSend};
use super::desks::Grant;
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
use trestlerack::process::PeerInfo;
use trestlerack::request::{EngineCandidate, EngineChooser, QueuedCall};
use trestlerack::verdict::Reason;
use trestlerack::{AllowedZones, Failure, Name, Timestamp, Verdict};

/// Wait named when no owner has an engine in an allowed place.
const NO_OWNER_RETRY: Duration = Duration::from_millis(500);

/// Parts of an answer that wait for their reader on this node.
const LOCAL_PARTS: usize = 16;

/// A call in progress; dropping it cancels the call.
pub struct RoutedCall {
    node: Arc<Node>,
    model: Name,
    owner: Name,
    source: CallSource,
}

enum CallSource {
    Here { parts: mpsc::Receiver<CallEvent>, task: tokio::task::AbortHandle },
    Peer(RemoteCall),
}

impl RoutedCall {
    /// Returns the next part of the answer. The last part is always [`CallEvent::Ended`].
    pub async fn next(&mut self) -> CallEvent {
        let (event, load) = match &mut self.source {
            CallSource::Here { parts, .. } => {
                let event = parts.recv().await.unwrap_or_else(|| CallEvent::Ended(links::link_failure_outcome()));
                let is_chunk = matches!(event, CallEvent::Chunk(_));
                let load = (!is_chunk).then(|| self.node.desks.load(self.node.now(), &self.model));
                (event, load)
            }
            CallSource::Peer(call) => {
                let part = call.next().await;
                part.unwrap_or_else(|| (CallEvent::Ended(links::link_failure_outcome()), None))
            }
        };
        if let Some(load) = load {
            self.node.loads.report(self.node.now(), &self.model, &self.owner, &load);
        }
        event
    }
}

impl Drop for RoutedCall {
    fn drop(&mut self) {
        self.node.loads.ended(&self.model, &self.owner);
        if let CallSource::Here { task, .. } = &self.source {
            task.abort();
        }
    }
}

/// Starts a call on an owner.
pub async fn route(node: &Arc<Node>, owner: Name, spec: CallSpec) -> Result<RoutedCall, Failure> {
    node.loads.began(&spec.model, &owner);
    let model = spec.model.clone();
    let source =
        if owner == *node.name() { Ok(start_here(node, spec)) } else { start_on_peer(node, &owner, spec).await };
    match source {
        Ok(source) => Ok(RoutedCall { node: node.clone(), model, owner, source }),
        Err(failure) => {
            node.loads.ended(&model, &owner);
            Err(failure)
        }
    }
}

/// An owner that was chosen for a call, and what it is believed to be doing.
pub struct OwnerChoice {
    /// Name of the node.
    pub owner: Name,
    /// Calls that it is believed to have.
    calls: u32,
    /// Slots of its engines.
    slots: u32,
}

/// Calls per slot up to which an owner counts as having room; a little over one keeps a slot from
/// standing empty while the next call is on its way.
const ROOM_PER_SLOT: f64 = 1.5;

/// Returns whether the chosen owner would start another call soon.
pub fn has_room(choice: &OwnerChoice) -> bool {
    f64::from(choice.calls) < f64::from(choice.slots) * ROOM_PER_SLOT
}

/// Returns whether some owner of a model's engines is believed to have a slot to spare, so that a
/// hedge takes nothing away from a first attempt.
pub fn has_spare(node: &Node, model: &Name, places: &AllowedZones) -> bool {
    let owners = node.engine_owners.read().unwrap().model_owners(model, places);
    owners.iter().any(|owner| node.loads.belief(node.now(), model, &owner.node).0 < owner.slots)
}

/// Returns the owner that a call's prefix and the owners' load point to, without those to `avoid`.
pub fn choose_owner(node: &Node, spec: &CallSpec, avoid: &[Name]) -> Result<OwnerChoice, Failure> {
    let mut owners = node.engine_owners.read().unwrap().model_owners(&spec.model, &spec.allowed_zones);
    owners.retain(|owner| !avoid.contains(&owner.node));
    let beliefs: Vec<_> = owners.iter().map(|owner| node.loads.belief(node.now(), &spec.model, &owner.node)).collect();
    let views: Vec<EngineCandidate<'_>> = owners
        .iter()
        .zip(&beliefs)
        .map(|(owner, (calls, millis_per_token))| EngineCandidate {
            name: &owner.node,
            in_flight: *calls,
            slots: owner.slots,
            millis_per_token: *millis_per_token,
        })
        .collect();
    let policy = node.settings.choice_policy();
    let mut chooser = EngineChooser::new(policy, Pcg64Mcg::from_rng(&mut rand::rng()));
    let index = chooser.choose(spec.prefix, &views).ok_or_else(|| {
        let failure = Failure::not_run(Reason::NoBackend, "no engine in an allowed place serves the model");
        failure.retry_after(NO_OWNER_RETRY)
    })?;
    let owner = &owners[index];
    Ok(OwnerChoice { owner: owner.node.clone(), calls: beliefs[index].0, slots: owner.slots })
}

fn start_here(node: &Arc<Node>, spec: CallSpec) -> CallSource {
    let (sender, parts) = mpsc::channel(LOCAL_PARTS);
    let task = tokio::spawn(run_here(node.clone(), spec, sender)).abort_handle();
    CallSource::Here { parts, task }
}

async fn start_on_peer(node: &Arc<Node>, owner: &Name, spec: CallSpec) -> Result<CallSource, Failure> {
    let peer: Option<PeerInfo> = node.membership.lock().unwrap().peer(owner).cloned();
    let peer = peer.ok_or_else(|| Failure::not_run(Reason::BackendFailed, "the owner is not known"))?;
    Ok(CallSource::Peer(links::call(node, &peer, Box::new(spec)).await?))
}

/// Frees a call's place in the queue or its slot when its task ends in whatever way.
struct SlotGuard {
    node: Arc<Node>,
    model: Name,
    id: u64,
    is_settled: bool,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_settled {
            self.node.desks.cancelled(self.node.now(), &self.model, self.id);
        }
    }
}

/// Runs a call on an engine that this node owns and sends the parts of its answer.
pub async fn run_here(node: Arc<Node>, spec: CallSpec, sender: mpsc::Sender<CallEvent>) {
    let _work = WorkGuard::new(&node);
    let span = node.telemetry.start_span("owner", SpanKind::Server, spec.traceparent.as_deref());
    let arrived = node.now();
    let deadline = arrived + Duration::from_millis(spec.deadline_ms);
    let id = node.desks.next_id();
    let turn = node.desks.arrive(arrived, &spec.model, queued_call(id, &spec, deadline));
    let mut guard = SlotGuard { node: node.clone(), model: spec.model.clone(), id, is_settled: false };
    let grant = match turn.await {
        Ok(Ok(grant)) => grant,
        Ok(Err(failure)) => return end(&sender, CallOutcome::Failed(failure)).await,
        Err(_) => return end(&sender, links::link_failure_outcome()).await,
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
    };
    let answer = run_engine(&node, &grant, &spec, deadline, &mut relay).await;
    let tokens = relay.tokens;
    let outcome = if answer.is_ok() { "whole" } else { "failed" };
    node.telemetry.engine_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    node.telemetry.tokens.add(u64::from(tokens), &[]);
    guard.is_settled = true;
    if matches!(&answer, Err(failure) if failure.verdict == Verdict::NotRun && failure.reason == Reason::BackendFailed)
    {
        node.desks.set_reachable(node.now(), &grant.engine, false);
    }
    let is_good = !matches!(&answer, Err(failure) if failure.reason == Reason::BackendFailed);
    node.desks.ended(node.now(), &spec.model, id, is_good, tokens);
    let outcome = answer.map_or_else(CallOutcome::Failed, |()| CallOutcome::Complete);
    end(&sender, outcome).await;
}

async fn run_engine(
    node: &Arc<Node>,
    grant: &Grant,
    spec: &CallSpec,
    deadline: Timestamp,
    relay: &mut ChunkRelay<'_>,
) -> Result<(), Failure> {
    let left = deadline.since(node.now());
    let call = node.engines.complete(&grant.address, spec, relay);
    let call = async {
        match spec.fingerprint {
            Some(fingerprint) => {
                let send = GuardedSend { backend: &grant.engine, address: &grant.address, content: fingerprint };
                content_gate::guarded(node, send, call).await
            }
            None => call.await,
        }
    };
    let answer = clock::timeout(left, call).await;
    answer.unwrap_or_else(|_| Err(Failure::may_have_run(Reason::DeadlineExceeded, "the answer was not whole in time")))
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

async fn end(sender: &mpsc::Sender<CallEvent>, outcome: CallOutcome) {
    // A reader that went away needs no end.
    let _ = sender.send(CallEvent::Ended(outcome)).await;
}

/// Passes on chunks, and what they say about the engine's version.
struct ChunkRelay<'a> {
    node: &'a Arc<Node>,
    engine: Name,
    sender: &'a mpsc::Sender<CallEvent>,
    needs_version: bool,
    tokens: u32,
}

#[async_trait]
impl ChunkSink for ChunkRelay<'_> {
    async fn accept(&mut self, chunk: TokenChunk) -> bool {
        if self.tokens == 0
            && let Some(version) = chunk.version
        {
            // Orders that follow from it are sent at the next tick.
            let _ = self.node.desks.hear_version(self.node.now(), &self.engine, version);
        }
        if self.needs_version && chunk.version.is_none() {
            return false;
        }
        self.tokens += chunk.tokens;
        self.sender.send(CallEvent::Chunk(chunk)).await.is_ok()
    }
}
