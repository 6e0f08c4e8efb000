//! Runs a call until its response is complete, with as many attempts as its policy and budget allow.

use super::call_router::{choose_owner, route};
use super::capacity_queue::wait_for_capacity;
use crate::node::Node;
use crate::process::clock;
use crate::process::logs;
use async_trait::async_trait;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::connection::{CallEvent, CallOutcome, CallSpec, TokenChunk};
use trestlerack::request::{ResumeDecision, ResumePolicy, decide_resume};
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name, Timestamp, event};

/// Priority of a hedged attempt. It is high because the step waits for this sample.
pub const HEDGE_PRIORITY: u8 = 20;

/// Delay before the first resumption, without jitter. It doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(25);

/// Largest number of doublings of the delay.
const MAX_DOUBLINGS: u32 = 6;

/// How long a call without an owner is retried. Peers learn of a membership change within one
/// heartbeat of 500 ms.
const OWNERSHIP_SETTLE_TIME: Duration = Duration::from_millis(500);

/// Receives the response of a call over all its attempts.
#[async_trait]
pub trait CallSink: Send {
    /// Records that an attempt started on an engine.
    fn started(&mut self, engine: Name, zone: Name, owner: Name);

    /// Accepts a chunk. An error ends the attempt.
    async fn chunk(&mut self, chunk: TokenChunk) -> Result<(), Failure>;

    /// Returns the owners that the first attempt should avoid.
    fn avoided(&self) -> Vec<Name> {
        Vec::new()
    }

    /// Returns the number of tokens and the text received so far. The next attempt continues from there.
    fn received(&self) -> (u32, &str);
}

/// Runs a call until its response is complete and returns the number of attempts.
pub async fn drive(
    node: &Arc<Node>,
    spec: &CallSpec,
    deadline: Timestamp,
    policy: ResumePolicy,
    sink: &mut dyn CallSink,
) -> Result<u32, Failure> {
    node.retry_budget.lock().unwrap().earn(&spec.account, &spec.model);
    let (mut attempts, started) = (0, node.now());
    // A hedged attempt is late already, and an application's call is rejected rather than queued.
    let waits_for_capacity = policy.waits_for_engine && spec.priority < HEDGE_PRIORITY;
    let mut avoided = sink.avoided();
    loop {
        attempts += 1;
        let Err(failure) = attempt(node, spec, deadline, sink, &mut avoided, waits_for_capacity).await else {
            return Ok(attempts);
        };
        let in_budget = || node.retry_budget.lock().unwrap().spend(&spec.account, &spec.model);
        let has_other_owner = choose_owner(node, spec, &avoided).is_ok();
        // Engines change owners when a node joins or leaves. Until the change has spread, calls reach
        // owners that no longer have the engine or do not have it yet.
        let is_ownership_changing =
            failure.reason == Reason::NoBackend && node.now().since(started) < OWNERSHIP_SETTLE_TIME;
        let policy = ResumePolicy {
            waits_for_engine: policy.waits_for_engine || has_other_owner || is_ownership_changing,
            ..policy
        };
        match decide_resume(&failure, policy, node.now(), deadline, in_budget) {
            ResumeDecision::Resume => {
                logs::write(event::CALL_BROKEN, &[("account", &spec.account), ("cause", &failure)]);
                // Another owner may serve the call at once, so the delay applies only after all have failed.
                if !has_other_owner {
                    avoided.clear();
                    clock::sleep(backoff(attempts, &failure)).await;
                }
            }
            ResumeDecision::GiveUp(failure) => return Err(failure),
        }
    }
}

/// Returns the delay before the next attempt, with jitter so that calls that failed together do not
/// retry together.
fn backoff(attempts: u32, failure: &Failure) -> Duration {
    let doubled = FIRST_BACKOFF * 2_u32.pow((attempts - 1).min(MAX_DOUBLINGS));
    let base = failure.retry_after.unwrap_or(doubled).max(doubled);
    base.mul_f64(rand::rng().random_range(0.5..1.5))
}

async fn attempt(
    node: &Arc<Node>,
    spec: &CallSpec,
    deadline: Timestamp,
    sink: &mut dyn CallSink,
    avoided: &mut Vec<Name>,
    waits_for_capacity: bool,
) -> Result<(), Failure> {
    let deadline_ms = node.remaining_ms(deadline);
    if deadline_ms == 0 {
        return Err(Failure::not_run(Reason::DeadlineExceeded, "the deadline passed"));
    }
    let (offset, text) = sink.received();
    if offset >= spec.max_tokens {
        return Ok(());
    }
    let prompt = format!("{}{text}", spec.prompt);
    let spec = CallSpec { offset, prompt, deadline_ms, ..spec.clone() };
    let (queue_guard, owner) = if waits_for_capacity {
        let (queue_guard, owner) = wait_for_capacity(node, &spec, avoided, deadline).await?;
        (Some(queue_guard), owner)
    } else {
        (None, choose_owner(node, &spec, avoided)?.owner)
    };
    avoided.push(owner.clone());
    let mut call = route(node, owner, spec).await?;
    drop(queue_guard);
    loop {
        match call.next().await {
            CallEvent::Started { engine, zone, owner, .. } => sink.started(engine, zone, owner),
            CallEvent::Chunk(chunk) => sink.chunk(chunk).await?,
            CallEvent::Ended(CallOutcome::Complete) => return Ok(()),
            CallEvent::Ended(CallOutcome::Failed(failure)) => return Err(failure),
        }
    }
}
