//! Checks the open steps of the campaigns that this node owns: requests missing groups and seals
//! complete steps.

use super::logs;
use super::rollout_loop::record_store_failure;
use crate::connection::links;
use crate::node::Node;
use crate::process::clock;
use crate::request::group_runner;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::connection::{GroupRequest, LinkFrame};
use trestlerack::process::{ManifestCache, SealOutcome, StepRow, StepSubmission, group_key};
use trestlerack::version::Campaign;
use trestlerack::{Name, Timestamp, event};

/// Shortest time between two checks of the open steps, however often the loop is woken.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a missing group is requested again although its owner has not changed.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Wakes the step loop, and records which node was last asked for which group.
#[derive(Default)]
pub struct StepWatcher {
    wakeup: Notify,
    requested: Mutex<HashMap<String, (Name, Timestamp)>>,
    manifests: ManifestCache,
}

impl StepWatcher {
    /// Makes the step loop check the open steps soon.
    pub fn wake(&self) {
        self.wakeup.notify_one();
    }
}

/// Asks the owner of a campaign, which may be a peer, to check the campaign's open steps.
pub async fn notify_owner(node: &Arc<Node>, campaign: &Campaign) {
    let view = node.ownership.read().unwrap().clone();
    let Some(owner) = view.campaign_owner(&campaign.name, &campaign.allowed_zones) else { return };
    if owner.name == *node.name() {
        node.steps.wake();
    } else {
        let frame = LinkFrame::CheckCampaign { campaign: campaign.name.clone() };
        links::send(node, &owner.name, frame).await;
    }
}

/// Checks open steps until the process ends.
pub async fn watch_steps(node: Arc<Node>) {
    let poll_interval = Duration::from_millis(node.settings.poll_ms);
    loop {
        let config = node.config.current();
        for campaign in config.campaigns() {
            if is_owner(&node, campaign) {
                check_campaign(&node, campaign).await;
            }
        }
        prune_requests(&node);
        clock::sleep(MIN_CHECK_INTERVAL).await;
        // A wake-up ends the wait early. If one is lost, the loop goes on after the poll interval.
        let _ = clock::timeout(poll_interval, node.steps.wakeup.notified()).await;
    }
}

fn is_owner(node: &Node, campaign: &Campaign) -> bool {
    let view = node.ownership.read().unwrap().clone();
    let owner = view.campaign_owner(&campaign.name, &campaign.allowed_zones);
    owner.is_some_and(|owner| owner.name == *node.name())
}

fn prune_requests(node: &Node) {
    let now = node.now();
    let mut requested = node.steps.requested.lock().unwrap();
    requested.retain(|_, (_, at)| now.since(*at) < REQUEST_RETRY_INTERVAL * 6);
}

async fn check_campaign(node: &Arc<Node>, campaign: &Campaign) {
    let steps = match node.step_store().list_open(&campaign.name).await {
        Ok(steps) => steps,
        Err(error) => return record_store_failure(node, "list open steps", error),
    };
    let next = steps.first().copied();
    for step in steps {
        let store = node.step_store();
        let sealing = store.try_seal(
            &campaign.name,
            step,
            campaign.staleness_rule(),
            node.clock.unix_seconds(),
            node.operation_id(),
            &node.steps.manifests,
        );
        match sealing.await {
            Ok(outcome) => handle_seal_outcome(node, campaign, outcome, next == Some(step)).await,
            Err(error) => record_store_failure(node, "seal step", error),
        }
    }
}

async fn handle_seal_outcome(node: &Arc<Node>, campaign: &Campaign, outcome: SealOutcome, is_next: bool) {
    match outcome {
        SealOutcome::NotOpen => {}
        SealOutcome::Sealed(row) => logs::write(
            event::STEP_SEALED,
            &[("campaign", &row.campaign), ("step", &row.step), ("groups", &row.groups)],
        ),
        SealOutcome::Missing { row, submission, missing } => {
            let open = OpenStep { row: &row, submission: &submission, is_next };
            request_groups(node, campaign, open, &missing).await;
        }
        SealOutcome::Removed { row, removed } => {
            for group in &removed {
                forget_request(node, &row, group);
            }
            node.steps.wake();
        }
    }
}

/// Forgets the request for a group whose samples were too old, so that it is requested again at once.
fn forget_request(node: &Node, row: &StepRow, group: &Name) {
    node.telemetry.regenerated.add(1, &[opentelemetry::KeyValue::new("cause", "too-old")]);
    logs::write(event::SAMPLE_TOO_OLD, &[("campaign", &row.campaign), ("step", &row.step), ("group", group)]);
    let key = group_key(&row.campaign, row.step, group);
    node.steps.requested.lock().unwrap().remove(&key);
}

/// An open step whose missing groups are requested.
#[derive(Clone, Copy)]
struct OpenStep<'a> {
    row: &'a StepRow,
    submission: &'a StepSubmission,
    is_next: bool,
}

async fn request_groups(node: &Arc<Node>, campaign: &Campaign, open: OpenStep<'_>, missing: &[Name]) {
    let step = open.row;
    let view = node.ownership.read().unwrap().clone();
    for spec in open.submission.groups.iter().filter(|spec| missing.contains(&spec.group)) {
        let owner = view.group_owner(&campaign.name, step.step, &spec.group, &campaign.allowed_zones);
        let Some(owner) = owner.map(|owner| owner.name.clone()) else { continue };
        if !is_request_due(node, &group_key(&campaign.name, step.step, &spec.group), &owner) {
            continue;
        }
        let request = GroupRequest {
            campaign: campaign.name.clone(),
            step: step.step,
            consume_version: step.consume_version,
            is_next: open.is_next,
            spec: spec.clone(),
        };
        if owner == *node.name() {
            group_runner::begin(node, request);
        } else {
            links::send(node, &owner, LinkFrame::GroupRequest(request)).await;
        }
    }
}

/// Returns whether to send a request now: the first one, the first to a new owner, or a repeated one after
/// [`REQUEST_RETRY_INTERVAL`]. Records the request if so.
fn is_request_due(node: &Node, key: &str, owner: &Name) -> bool {
    let now = node.now();
    let mut requested = node.steps.requested.lock().unwrap();
    let recent = requested
        .get(key)
        .is_some_and(|(requested_from, at)| requested_from == owner && now.since(*at) < REQUEST_RETRY_INTERVAL);
    if !recent {
        requested.insert(key.to_owned(), (owner.clone(), now));
    }
    !recent
}
