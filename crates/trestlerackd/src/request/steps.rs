//! Handlers of the trainers' API: submit a step, fetch its samples, acknowledge it, publish weights.

use super::api_call::{ApiCall, Principal, bytes_response, json_response, serve};
use crate::node::Node;
use crate::process::rollout_loop::{self, weights_key};
use crate::process::{logs, step_loop};
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::State;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use trestlerack::interfaces::{StoreError, TableTransaction};
use trestlerack::process::{OpenOutcome, StepRow, StepState, StepSubmission};
use trestlerack::request::Sample;
use trestlerack::verdict::Reason;
use trestlerack::version::{Campaign, SampleAge, WeightVersion};
use trestlerack::{Failure, Name, event};

/// Retry-after time of a step that is not sealed yet.
const NOT_SEALED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry-after time while the store is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Largest number of steps in a list.
const MAX_LISTED_STEPS: usize = 1_000;

/// Largest number of attempts at a write that conflicts with other writes.
const MAX_WRITE_ATTEMPTS: usize = 8;

/// `PUT /v1/campaigns/{campaign}/steps/{step}`.
pub async fn submit(state: State) -> HandlerResult {
    serve(state, "submit-step", submit_step).await
}

/// `GET /v1/campaigns/{campaign}/steps/{step}/samples`.
pub async fn take(state: State) -> HandlerResult {
    serve(state, "take-step", take_step).await
}

/// `POST /v1/campaigns/{campaign}/steps/{step}/ack`.
pub async fn acknowledge(state: State) -> HandlerResult {
    serve(state, "acknowledge-step", acknowledge_step).await
}

/// `GET /v1/campaigns/{campaign}/steps`.
pub async fn list(state: State) -> HandlerResult {
    serve(state, "list-steps", list_steps).await
}

/// `GET /v1/campaigns/{campaign}/steps/{step}/groups/{group}/{index}`.
pub async fn trace(state: State) -> HandlerResult {
    serve(state, "trace-sample", trace_sample).await
}

/// `POST /v1/models/{model}/weights`.
pub async fn publish(state: State) -> HandlerResult {
    serve(state, "publish-weights", publish_weights).await
}

/// Response to a submitted step.
#[derive(Serialize)]
struct SubmissionResponse {
    campaign: Name,
    step: u64,
    groups: usize,
    state: StepState,
}

fn campaign_of(call: &ApiCall) -> Result<Campaign, Failure> {
    let name = call.segment(2);
    let principal = call.principal()?;
    let config = call.node.config.current();
    let campaign = config.campaign(name).cloned();
    let campaign = campaign.ok_or_else(|| Failure::not_run(Reason::NotFound, format!("no campaign {name}")))?;
    match principal {
        Principal::Operator => Ok(campaign),
        Principal::User(user) if user == campaign.user => Ok(campaign),
        Principal::User(_) => Err(Failure::not_run(Reason::Forbidden, "the campaign belongs to another user")),
    }
}

fn store_failure(error: StoreError) -> Failure {
    let failure = match error {
        StoreError::Unavailable | StoreError::RateLimited => {
            Failure::not_run(Reason::StoreUnavailable, error.to_string())
        }
        StoreError::Unknown => Failure::may_have_run(Reason::StoreUnavailable, error.to_string()),
    };
    failure.retry_after(STORE_RETRY_AFTER)
}

async fn submit_step(call: ApiCall) -> Result<Response<Body>, Failure> {
    let campaign = campaign_of(&call)?;
    let step = call.number(4)?;
    let submission: StepSubmission = call.json()?;
    if let Some(error) = submission.validation_error() {
        return Err(Failure::not_run(Reason::BadRequest, error));
    }
    let operation = call.node.operation_id();
    let outcome = call.node.step_store().open(&campaign.name, step, &submission, operation).await;
    let groups = submission.groups.len();
    let state = match outcome.map_err(store_failure)? {
        OpenOutcome::Created => {
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("campaign", &campaign.name), ("step", &step), ("groups", &groups)];
            logs::write(event::STEP_ACCEPTED, &fields);
            StepState::Open
        }
        OpenOutcome::Existing(state) => state,
        OpenOutcome::Conflict => {
            let detail = "the step was submitted before with other groups";
            return Err(Failure::not_run(Reason::Conflict, detail));
        }
    };
    step_loop::notify_owner(&call.node, &campaign).await;
    json_response(&SubmissionResponse { campaign: campaign.name, step, groups, state })
}

async fn take_step(call: ApiCall) -> Result<Response<Body>, Failure> {
    let campaign = campaign_of(&call)?;
    let step = call.number(4)?;
    let row = require_step(&call.node, &campaign.name, step).await?;
    if row.state == StepState::Open {
        let failure = Failure::not_run(Reason::NotReady, "the step is not sealed yet");
        return Err(failure.retry_after(NOT_SEALED_RETRY_AFTER));
    }
    check_staleness(&call, &campaign, &row)?;
    let mut lines = Vec::new();
    for group in &row.sealed {
        let content = call.node.objects.get(&group.object).await.map_err(store_failure)?;
        // A missing object fails the request, so that an incomplete step is never returned as complete.
        lines.extend(content.ok_or_else(|| store_failure(StoreError::Unavailable))?);
    }
    Ok(bytes_response(StatusCode::OK, "application/jsonl", lines))
}

async fn require_step(node: &Node, campaign: &str, step: u64) -> Result<StepRow, Failure> {
    let found = node.step_store().read(campaign, step).await.map_err(store_failure)?;
    let found = found.map(|(_, row)| row);
    found.ok_or_else(|| Failure::not_run(Reason::NotFound, format!("no step {step} of {campaign}")))
}

/// Checks the staleness of a sealed step's samples again, at the trainer's current version.
fn check_staleness(call: &ApiCall, campaign: &Campaign, row: &StepRow) -> Result<(), Failure> {
    let requested_version = call.query("trainer_version").map(str::parse::<WeightVersion>);
    let consume_version = match requested_version {
        None => row.consume_version,
        Some(Ok(version)) => version.max(row.consume_version),
        Some(Err(_)) => return Err(Failure::not_run(Reason::BadRequest, "trainer_version: expected a number")),
    };
    if row.state == StepState::Acknowledged {
        return Ok(());
    }
    let rule = campaign.staleness_rule();
    let now = call.node.clock.unix_seconds();
    let stale = row.sealed.iter().find(|group| {
        let versions = consume_version.saturating_sub(group.oldest_version);
        !rule.accepts(SampleAge { versions, seconds: now.saturating_sub(group.first_unix) })
    });
    match stale {
        None => Ok(()),
        Some(group) => {
            let detail =
                format!("group {} exceeds the campaign's staleness bound at version {consume_version}", group.group);
            Err(Failure::not_run(Reason::TooStale, detail))
        }
    }
}

async fn acknowledge_step(call: ApiCall) -> Result<Response<Body>, Failure> {
    let campaign = campaign_of(&call)?;
    let step = call.number(4)?;
    let operation = call.node.operation_id();
    let row = call.node.step_store().acknowledge(&campaign.name, step, operation).await.map_err(store_failure)?;
    let row = row.ok_or_else(|| Failure::not_run(Reason::NotFound, format!("no step {step} of {}", campaign.name)))?;
    if row.state == StepState::Open {
        return Err(Failure::not_run(Reason::Conflict, "the step is not sealed yet"));
    }
    logs::write(event::STEP_ACKNOWLEDGED, &[("campaign", &campaign.name), ("step", &step)]);
    json_response(&row)
}

async fn list_steps(call: ApiCall) -> Result<Response<Body>, Failure> {
    let campaign = campaign_of(&call)?;
    let prefix = format!("step/{}/", campaign.name);
    let rows = call.node.table.scan(&prefix, "", MAX_LISTED_STEPS).await.map_err(store_failure)?;
    let steps: Vec<StepRow> = rows.into_iter().filter_map(|row| serde_json::from_value(row.value).ok()).collect();
    json_response(&steps)
}

async fn trace_sample(call: ApiCall) -> Result<Response<Body>, Failure> {
    let campaign = campaign_of(&call)?;
    let step = call.number(4)?;
    let (group, index) = (call.segment(6), call.number(7)?);
    let row = require_step(&call.node, &campaign.name, step).await?;
    let missing = || Failure::not_run(Reason::NotFound, "the sample is in no sealed step");
    let sealed = row.sealed.iter().find(|sealed| sealed.group.as_ref() == group).ok_or_else(missing)?;
    let content = call.node.objects.get(&sealed.object).await.map_err(store_failure)?.ok_or_else(missing)?;
    let text = String::from_utf8_lossy(&content);
    let line = text.lines().nth(usize::try_from(index).unwrap_or(usize::MAX)).ok_or_else(missing)?;
    let sample: Sample = serde_json::from_str(line).map_err(|_| missing())?;
    json_response(&sample)
}

#[derive(Deserialize)]
struct PublishRequest {
    version: WeightVersion,
}

/// Records that a trainer has put new weights into the weight store. The version never decreases.
async fn publish_weights(call: ApiCall) -> Result<Response<Body>, Failure> {
    let model: Name = call.segment(2).into();
    let principal = call.principal()?;
    let request: PublishRequest = call.json()?;
    let config = call.node.config.current();
    let mut campaigns = config.campaigns().filter(|campaign| campaign.model == model);
    let is_allowed = match &principal {
        Principal::Operator => true,
        Principal::User(user) => campaigns.any(|campaign| campaign.user == *user),
    };
    if !is_allowed {
        return Err(Failure::not_run(Reason::Forbidden, "no campaign of the user trains this model"));
    }
    let key = weights_key(&model);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let current = call.node.table.read(&key).await.map_err(store_failure)?;
        let newest = current.as_ref().and_then(|row| row.value.get("version")?.as_u64());
        if newest.is_some_and(|newest| newest > request.version) {
            return Err(Failure::not_run(Reason::Conflict, "a newer version was published before"));
        }
        if newest == Some(request.version) {
            return json_response(&serde_json::json!({ "model": model, "version": request.version }));
        }
        let transaction = TableTransaction::default()
            .expect(&key, TableTransaction::expectation_of(current.as_ref()))
            .put(&key, serde_json::json!({ "version": request.version }));
        // After a conflict or a lost response the next iteration reads the row again.
        if let Err(error @ (StoreError::Unavailable | StoreError::RateLimited)) =
            call.node.table.commit(transaction).await
        {
            return Err(store_failure(error));
        }
        rollout_loop::notify_candidates(&call.node, &model).await;
    }
    Err(store_failure(StoreError::Unknown))
}
