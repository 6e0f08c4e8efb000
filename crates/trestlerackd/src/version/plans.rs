//! Makes change plans and commits confirmed ones.

use super::config_loop::{apply_deltas, catch_up};
use crate::node::Node;
use crate::process::logs;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::verdict::Reason;
use trestlerack::version::{ChangePlan, Declaration, PlanCommit, PlanConfirmation, parse_declaration, plan_change};
use trestlerack::{Failure, Name, event};

/// Attempts at a commit that conflicts with commits of other scopes.
const MAX_COMMIT_ATTEMPTS: usize = 16;

/// Retry delay that a client is told while the store is unavailable or busy.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Request for a plan, as the command-line tool sends it.
#[derive(Clone, Debug, Deserialize)]
pub struct PlanRequest {
    /// Name of the declaration file, for error messages.
    pub file: String,
    /// Text of the declaration.
    pub text: String,
}

/// Request to commit a plan.
#[derive(Clone, Debug, Deserialize)]
pub struct ConfirmRequest {
    /// Name of the declaration file, for error messages.
    pub file: String,
    /// Text of the declaration.
    pub text: String,
    /// Generation on which the plan is based.
    #[serde(rename = "made_from")]
    pub base_generation: u64,
    /// Digest of the plan.
    pub digest: Name,
}

/// Response to a confirmation.
#[derive(Clone, Debug, Serialize)]
pub struct ConfirmResponse {
    /// Generation that this node now uses.
    pub generation: u64,
    /// Whether anything changed.
    pub changed: bool,
}

/// Makes a plan from a declaration. Fails if the declaration is invalid or conflicts with the current
/// configuration.
pub async fn plan(node: &Arc<Node>, request: &PlanRequest) -> Result<ChangePlan, Failure> {
    catch_up(node).await.map_err(store_failure)?;
    let declaration = read_declaration(&request.file, &request.text)?;
    plan_change(&node.config.current(), &declaration)
        .map_err(|error| Failure::not_run(Reason::Conflict, error.to_string()))
}

fn read_declaration(file: &str, text: &str) -> Result<Declaration, Failure> {
    parse_declaration(file, text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Failure::not_run(Reason::BadRequest, lines.join("\n"))
    })
}

/// Commits a plan by compare-and-set. Rejects it if the scope changed since the plan was made.
pub async fn confirm(node: &Arc<Node>, request: &ConfirmRequest) -> Result<ConfirmResponse, Failure> {
    let declaration = read_declaration(&request.file, &request.text)?;
    let confirmation = PlanConfirmation {
        declaration: &declaration,
        base_generation: request.base_generation,
        digest: &request.digest,
        operation: node.operation_id(),
    };
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        catch_up(node).await.map_err(store_failure)?;
        let current = node.config.current();
        match node.config_store().try_commit(&current, &confirmation).await.map_err(store_failure)? {
            PlanCommit::Behind => {}
            PlanCommit::Unchanged => return Ok(ConfirmResponse { generation: current.generation, changed: false }),
            PlanCommit::Invalid(detail) => return Err(Failure::not_run(Reason::Conflict, detail)),
            PlanCommit::Outdated => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("scope", &declaration.scope), ("made_from", &request.base_generation)];
                logs::write(event::PLAN_REFUSED, &fields);
                let detail = "the configuration changed since the plan was made; plan again";
                return Err(Failure::not_run(Reason::Conflict, detail));
            }
            PlanCommit::Committed(delta) => {
                let generation = delta.generation;
                apply_deltas(node, vec![delta], None);
                logs::write(event::PLAN_CONFIRMED, &[("generation", &generation), ("scope", &declaration.scope)]);
                return Ok(ConfirmResponse { generation, changed: true });
            }
        }
    }
    Err(Failure::not_run(Reason::Overloaded, "too many changes at once").retry_after(RETRY_DELAY))
}

/// Converts a store error. A commit without a response may have taken effect; a new plan shows whether it
/// did.
fn store_failure(error: StoreError) -> Failure {
    let failure = match error {
        StoreError::Unavailable | StoreError::RateLimited => {
            Failure::not_run(Reason::StoreUnavailable, error.to_string())
        }
        StoreError::Unknown => {
            let detail = "the table's response was lost; the plan may have taken effect, so plan again";
            Failure::may_have_run(Reason::StoreUnavailable, detail)
        }
    };
    failure.retry_after(RETRY_DELAY)
}
