//! Plans and confirmations.

use super::config_loop::{ConfigHead, HEAD_KEY, catch_up, change_key, read_head, take_deltas};
use crate::node::Node;
use crate::process::logs;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use trestlerack::border::{CommitOutcome, StoreError, TableRow, TableTransaction};
use trestlerack::hash::digest_hex;
use trestlerack::verdict::Reason;
use trestlerack::version::{ChangePlan, ConfigDelta, parse_declaration, plan_change};
use trestlerack::{Failure, Name, event};

/// Generations between two snapshots.
const SNAPSHOT_EVERY: u64 = 64;

/// Tries at a commit that other scopes' commits get in the way of.
const COMMIT_TRIES: usize = 16;

/// A declaration as the command-line tool sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct PlanRequest {
    /// File name, for faults.
    pub file: String,
    /// Text of the declaration.
    pub text: String,
}

/// A confirmation of a plan.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfirmRequest {
    /// File name, for faults.
    pub file: String,
    /// Text of the declaration.
    pub text: String,
    /// Generation from which the plan was made.
    pub made_from: u64,
    /// Digest of the plan.
    pub digest: Name,
}

/// The answer to a confirmation.
#[derive(Clone, Debug, Serialize)]
pub struct Confirmed {
    /// Generation that is now in force here.
    pub generation: u64,
    /// Whether anything changed.
    pub changed: bool,
}

/// Makes a plan from a declaration.
pub async fn plan(node: &Arc<Node>, request: &PlanRequest) -> Result<ChangePlan, Failure> {
    catch_up(node).await.map_err(unreachable_table)?;
    make_plan(node, &request.file, &request.text)
}

fn make_plan(node: &Node, file: &str, text: &str) -> Result<ChangePlan, Failure> {
    let declaration = parse_declaration(file, text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Failure::not_run(Reason::BadRequest, lines.join("\n"))
    })?;
    plan_change(&node.config.current(), &declaration)
        .map_err(|error| Failure::not_run(Reason::Conflict, error.to_string()))
}

/// Commits a plan by compare-and-set, or refuses it because another intent came between.
pub async fn confirm(node: &Arc<Node>, request: &ConfirmRequest) -> Result<Confirmed, Failure> {
    let operation = node.operation_id();
    for _ in 0..COMMIT_TRIES {
        catch_up(node).await.map_err(unreachable_table)?;
        let plan = make_plan(node, &request.file, &request.text)?;
        if plan.made_from != request.made_from || plan.digest != request.digest {
            logs::write(event::PLAN_REFUSED, &[("scope", &plan.scope), ("made_from", &request.made_from)]);
            let detail = "the configuration changed since the plan was made; plan again";
            return Err(Failure::not_run(Reason::Conflict, detail));
        }
        if plan.changes.is_empty() {
            return Ok(Confirmed { generation: node.config.current().generation, changed: false });
        }
        if let Some(generation) = try_commit(node, plan, &operation).await? {
            logs::write(event::PLAN_CONFIRMED, &[("generation", &generation), ("operation", &operation)]);
            return Ok(Confirmed { generation, changed: true });
        }
    }
    let failure = Failure::not_run(Reason::Overloaded, "too many changes at once");
    Err(failure.retry_after(std::time::Duration::from_secs(1)))
}

/// Tries to commit a plan as the next generation; `None` means that another commit was first.
async fn try_commit(node: &Arc<Node>, plan: ChangePlan, operation: &Name) -> Result<Option<u64>, Failure> {
    let (row, head) = read_head(node).await.map_err(unreachable_table)?;
    let held = node.config.current();
    if head.generation != held.generation {
        return Ok(None);
    }
    let delta = plan.into_delta(head.generation + 1, operation.clone());
    let next = next_head(node, &head, &delta).await;
    let outcome = node.table.commit(commit_transaction(row.as_ref(), &next, &delta)).await;
    let is_committed = match outcome {
        Ok(outcome) => outcome == CommitOutcome::Committed,
        Err(StoreError::Unavailable) => return Err(unreachable_table(StoreError::Unavailable)),
        Err(StoreError::Unknown) => settle(node, &delta).await?,
    };
    if !is_committed {
        return Ok(None);
    }
    let generation = delta.generation;
    take_deltas(node, vec![delta], None);
    Ok(Some(generation))
}

fn commit_transaction(row: Option<&TableRow>, head: &ConfigHead, delta: &ConfigDelta) -> TableTransaction {
    let key = change_key(delta.generation);
    TableTransaction::default()
        .expect(HEAD_KEY, TableTransaction::expectation_of(row))
        .expect(&key, trestlerack::border::Expectation::Absent)
        .put(HEAD_KEY, serde_json::to_value(head).expect("a head row always encodes"))
        .put(key, serde_json::to_value(delta).expect("a delta always encodes"))
}

/// Settles a commit whose answer was lost by reading back under the operation's own id.
///
/// A row that is still absent proves nothing, since the write may be under way: the caller is told
/// that the plan may have taken effect, and a repeated confirmation finds out.
async fn settle(node: &Arc<Node>, delta: &ConfigDelta) -> Result<bool, Failure> {
    let unsettled = || {
        let detail = "the table's answer was lost; the plan may have taken effect, so plan again";
        Failure::may_have_run(Reason::StoreUnavailable, detail).retry_after(std::time::Duration::from_secs(1))
    };
    let row = node.table.read(&change_key(delta.generation)).await.map_err(|_| unsettled())?;
    let held = row.and_then(|row| serde_json::from_value::<ConfigDelta>(row.value).ok());
    match held {
        Some(held) => Ok(held.operation == delta.operation),
        None => Err(unsettled()),
    }
}

/// Writes a snapshot now and then, so that a starting node need not read every delta.
async fn next_head(node: &Arc<Node>, head: &ConfigHead, delta: &ConfigDelta) -> ConfigHead {
    let next = ConfigHead { generation: delta.generation, ..head.clone() };
    if !delta.generation.is_multiple_of(SNAPSHOT_EVERY) {
        return next;
    }
    let mut snapshot = node.config.current().as_ref().clone();
    if !snapshot.apply(delta) {
        return next;
    }
    let content = serde_json::to_vec(&snapshot).expect("a configuration always encodes");
    let key: Name = format!("config/{}", digest_hex(&content)).into();
    match node.objects.put(&key, content).await {
        Ok(()) => ConfigHead { snapshot: key, snapshot_generation: delta.generation, ..next },
        // Without the snapshot a starting node reads more deltas; nothing else depends on it.
        Err(_) => next,
    }
}

fn unreachable_table(error: StoreError) -> Failure {
    let failure = Failure::not_run(Reason::StoreUnavailable, error.to_string());
    failure.retry_after(std::time::Duration::from_secs(2))
}
