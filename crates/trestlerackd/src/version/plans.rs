//! Plans and confirmations.

use super::config_loop::{catch_up, take_deltas};
use crate::node::Node;
use crate::process::logs;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::verdict::Reason;
use trestlerack::version::{ChangePlan, Declaration, PlanCommit, PlanConfirmation, parse_declaration, plan_change};
use trestlerack::{Failure, Name, event};

/// Tries at a commit that other scopes' commits get in the way of.
const COMMIT_TRIES: usize = 16;

/// Wait named while the store is down or busy.
const RETRY: Duration = Duration::from_secs(2);

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
    catch_up(node).await.map_err(store_down)?;
    let declaration = read_declaration(&request.file, &request.text)?;
    plan_change(&node.config.current(), &declaration)
        .map_err(|error| Failure::not_run(Reason::Conflict, error.to_string()))
}

fn read_declaration(file: &str, text: &str) -> Result<Declaration, Failure> {
    parse_declaration(file, text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Failure::not_run(Reason::BadRequest, lines.join("\n"))
    })
}

/// Commits a plan by compare-and-set, or refuses it because another intent came between.
pub async fn confirm(node: &Arc<Node>, request: &ConfirmRequest) -> Result<Confirmed, Failure> {
    let declaration = read_declaration(&request.file, &request.text)?;
    let confirmation = PlanConfirmation {
        declaration: &declaration,
        base_generation: request.made_from,
        digest: &request.digest,
        operation: node.operation_id(),
    };
    for _ in 0..COMMIT_TRIES {
        catch_up(node).await.map_err(store_down)?;
        let held = node.config.current();
        match node.config_store().try_commit(&held, &confirmation).await.map_err(store_down)? {
            PlanCommit::Behind => {}
            PlanCommit::Unchanged => return Ok(Confirmed { generation: held.generation, changed: false }),
            PlanCommit::Invalid(detail) => return Err(Failure::not_run(Reason::Conflict, detail)),
            PlanCommit::Outdated => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("scope", &declaration.scope), ("made_from", &request.made_from)];
                logs::write(event::PLAN_REFUSED, &fields);
                let detail = "the configuration changed since the plan was made; plan again";
                return Err(Failure::not_run(Reason::Conflict, detail));
            }
            PlanCommit::Committed(delta) => {
                let generation = delta.generation;
                take_deltas(node, vec![delta], None);
                logs::write(event::PLAN_CONFIRMED, &[("generation", &generation), ("scope", &declaration.scope)]);
                return Ok(Confirmed { generation, changed: true });
            }
        }
    }
    Err(Failure::not_run(Reason::Overloaded, "too many changes at once").retry_after(RETRY))
}

/// A plan whose commit was not answered may have taken effect; planning again tells.
fn store_down(error: StoreError) -> Failure {
    let failure = match error {
        StoreError::Unavailable | StoreError::RateLimited => {
            Failure::not_run(Reason::StoreUnavailable, error.to_string())
        }
        StoreError::Unknown => {
            let detail = "the table's answer was lost; the plan may have taken effect, so plan again";
            Failure::may_have_run(Reason::StoreUnavailable, detail)
        }
    };
    failure.retry_after(RETRY)
}
