//! Drives one call to its whole answer over as many attempts as it takes and is allowed.

use super::call_router::{choose_owner, route};
use super::turnstile::wait_for_room;
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

/// Priority of a hedge, which holds up a whole step.
pub const HEDGE_PRIORITY: u8 = 20;

/// Wait before the first resumption, before jitter; it doubles with each further one.
const FIRST_WAIT: Duration = Duration::from_millis(25);

/// Largest number of doublings of the wait.
const MAX_DOUBLINGS: u32 = 6;

/// Time for which a call that no owner takes is tried again: peers hear of a change of membership
/// within one heartbeat of 500 ms.
const OWNERSHIP_SETTLE: Duration = Duration::from_millis(500);

/// Takes the parts of an answer over all its attempts.
#[async_trait]
pub trait CallSink: Send {
    /// An attempt runs on an engine.
    fn started(&mut self, engine: Name, zone: Name, owner: Name);

    /// Takes a chunk; a failure ends the call.
    async fn chunk(&mut self, chunk: TokenChunk) -> Result<(), Failure>;

    /// Returns owners that the first attempt should avoid.
    fn avoided(&self) -> Vec<Name> {
        Vec::new()
    }

    /// Returns the tokens and the text held so far, from which the next attempt goes on.
    fn held(&self) -> (u32, &str);
}

/// Drives a call until it is whole, and returns how many attempts that took.
pub async fn drive(
    node: &Arc<Node>,
    spec: &CallSpec,
    deadline: Timestamp,
    policy: ResumePolicy,
    sink: &mut dyn CallSink,
) -> Result<u32, Failure> {
    node.retry_budget.lock().unwrap().earn(&spec.account, &spec.model);
    let (mut attempts, started) = (0, node.now());
    // A hedge is late already, and an application's call is refused rather than held back.
    let waits_for_room = policy.waits_for_engine && spec.priority < HEDGE_PRIORITY;
    let mut avoid = sink.avoided();
    loop {
        attempts += 1;
        let Err(failure) = attempt(node, spec, deadline, sink, &mut avoid, waits_for_room).await else {
            return Ok(attempts);
        };
        let in_budget = || node.retry_budget.lock().unwrap().spend(&spec.account, &spec.model);
        let elsewhere = choose_owner(node, spec, &avoid).is_ok();
        // A node that joins or leaves moves engines to other owners; for a moment an owner is asked
        // for an engine that it no longer has, or does not have yet.
        let is_moving = failure.reason == Reason::NoBackend && node.now().since(started) < OWNERSHIP_SETTLE;
        let policy = ResumePolicy { waits_for_engine: policy.waits_for_engine || elsewhere || is_moving, ..policy };
        match decide_resume(&failure, policy, node.now(), deadline, in_budget) {
            ResumeDecision::Resume => {
                logs::write(event::CALL_BROKEN, &[("account", &spec.account), ("cause", &failure)]);
                // Another owner may serve the call at once; only when all of them failed is it time to wait.
                if !elsewhere {
                    avoid.clear();
                    clock::sleep(wait_before(attempts, &failure)).await;
                }
            }
            ResumeDecision::GiveUp(failure) => return Err(failure),
        }
    }
}

/// Returns a jittered wait, so that calls that broke together do not come back together.
fn wait_before(attempts: u32, failure: &Failure) -> Duration {
    let doubled = FIRST_WAIT * 2_u32.pow((attempts - 1).min(MAX_DOUBLINGS));
    let base = failure.retry_after.unwrap_or(doubled).max(doubled);
    base.mul_f64(rand::rng().random_range(0.5..1.5))
}

async fn attempt(
    node: &Arc<Node>,
    spec: &CallSpec,
    deadline: Timestamp,
    sink: &mut dyn CallSink,
    avoid: &mut Vec<Name>,
    waits_for_room: bool,
) -> Result<(), Failure> {
    let deadline_ms = node.remaining_ms(deadline);
    if deadline_ms == 0 {
        return Err(Failure::not_run(Reason::DeadlineExceeded, "the deadline passed"));
    }
    let (offset, text) = sink.held();
    if offset >= spec.max_tokens {
        return Ok(());
    }
    let prompt = format!("{}{text}", spec.prompt);
    let spec = CallSpec { offset, prompt, deadline_ms, ..spec.clone() };
    let (turn, owner) = if waits_for_room {
        let (turn, owner) = wait_for_room(node, &spec, avoid, deadline).await?;
        (Some(turn), owner)
    } else {
        (None, choose_owner(node, &spec, avoid)?.owner)
    };
    avoid.push(owner.clone());
    let mut call = route(node, owner, spec).await?;
    drop(turn);
    loop {
        match call.next().await {
            CallEvent::Started { engine, zone, owner, .. } => sink.started(engine, zone, owner),
            CallEvent::Chunk(chunk) => sink.chunk(chunk).await?,
            CallEvent::Ended(CallOutcome::Complete) => return Ok(()),
            CallEvent::Ended(CallOutcome::Failed(failure)) => return Err(failure),
        }
    }
}
