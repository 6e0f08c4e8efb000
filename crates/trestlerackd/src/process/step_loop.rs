//! Watches the open steps of the campaigns that this node owns: asks for groups and seals.

use super::logs;
use super::rollout_loop::store_failed;
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

/// Shortest time between two looks at the open steps, however often this node is nudged.
const NUDGE_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a missing group is asked for again although its owner has not changed.
const ASK_AGAIN: Duration = Duration::from_secs(10);

/// Wakes the watch and remembers who was asked for which group.
#[derive(Default)]
pub struct StepWatch {
    nudged: Notify,
    asked: Mutex<HashMap<String, (Name, Timestamp)>>,
    manifests: ManifestCache,
}

impl StepWatch {
    /// Asks for a look at the open steps soon.
    pub fn nudge(&self) {
        self.nudged.notify_one();
    }
}

/// Nudges the owner of a campaign, wherever it is.
pub async fn nudge_owner(node: &Arc<Node>, campaign: &Campaign) {
    let view = node.ownership.read().unwrap().clone();
    let Some(owner) = view.campaign_owner(&campaign.name, &campaign.allowed_zones) else { return };
    if owner.name == *node.name() {
        node.steps.nudge();
    } else {
        let frame = LinkFrame::CheckCampaign { campaign: campaign.name.clone() };
        links::post(node, &owner.name, frame).await;
    }
}

/// Watches open steps for as long as the process lives.
pub async fn watch_steps(node: Arc<Node>) {
    let poll = Duration::from_millis(node.settings.poll_ms);
    loop {
        let config = node.config.current();
        for campaign in config.campaigns() {
            if is_owner(&node, campaign) {
                look_at_campaign(&node, campaign).await;
            }
        }
        forget_old_requests(&node);
        clock::sleep(NUDGE_PAUSE).await;
        // A nudge ends the wait early; without one the poll is the backstop.
        let _ = clock::timeout(poll, node.steps.nudged.notified()).await;
    }
}

fn is_owner(node: &Node, campaign: &Campaign) -> bool {
    let view = node.ownership.read().unwrap().clone();
    let owner = view.campaign_owner(&campaign.name, &campaign.allowed_zones);
    owner.is_some_and(|owner| owner.name == *node.name())
}

fn forget_old_requests(node: &Node) {
    let now = node.now();
    let mut asked = node.steps.asked.lock().unwrap();
    asked.retain(|_, (_, at)| now.since(*at) < ASK_AGAIN * 6);
}

async fn look_at_campaign(node: &Arc<Node>, campaign: &Campaign) {
    let steps = match node.step_store().list_open(&campaign.name).await {
        Ok(steps) => steps,
        Err(error) => return store_failed(node, "list open steps", error),
    };
    let next = steps.first().copied();
    for step in steps {
        let store = node.step_store();
        let look = store.try_seal(
            &campaign.name,
            step,
            campaign.staleness_rule(),
            node.clock.unix_seconds(),
            node.operation_id(),
            &node.steps.manifests,
        );
        match look.await {
            Ok(look) => act_on_look(node, campaign, look, next == Some(step)).await,
            Err(error) => store_failed(node, "look at step", error),
        }
    }
}

async fn act_on_look(node: &Arc<Node>, campaign: &Campaign, look: SealOutcome, is_next: bool) {
    match look {
        SealOutcome::NotOpen => {}
        SealOutcome::Sealed(row) => logs::write(
            event::STEP_SEALED,
            &[("campaign", &row.campaign), ("step", &row.step), ("groups", &row.groups)],
        ),
        SealOutcome::Missing { row, submission, missing } => {
            let open = OpenStep { row: &row, submission: &submission, is_next };
            ask_for_groups(node, campaign, open, &missing).await;
        }
        SealOutcome::Removed { row, removed } => {
            for group in &removed {
                forget_removed(node, &row, group);
            }
            node.steps.nudge();
        }
    }
}

/// Lets a group that was too old be asked for again at once.
fn forget_removed(node: &Node, row: &StepRow, group: &Name) {
    node.telemetry.regenerated.add(1, &[opentelemetry::KeyValue::new("cause", "too-old")]);
    logs::write(event::SAMPLE_TOO_OLD, &[("campaign", &row.campaign), ("step", &row.step), ("group", group)]);
    let key = group_key(&row.campaign, row.step, group);
    node.steps.asked.lock().unwrap().remove(&key);
}

/// An open step whose groups are asked for.
#[derive(Clone, Copy)]
struct OpenStep<'a> {
    row: &'a StepRow,
    submission: &'a StepSubmission,
    is_next: bool,
}

async fn ask_for_groups(node: &Arc<Node>, campaign: &Campaign, open: OpenStep<'_>, missing: &[Name]) {
    let step = open.row;
    let view = node.ownership.read().unwrap().clone();
    for spec in open.submission.groups.iter().filter(|spec| missing.contains(&spec.group)) {
        let owner = view.group_owner(&campaign.name, step.step, &spec.group, &campaign.allowed_zones);
        let Some(owner) = owner.map(|owner| owner.name.clone()) else { continue };
        if !should_ask(node, &group_key(&campaign.name, step.step, &spec.group), &owner) {
            continue;
        }
        let wanted = GroupRequest {
            campaign: campaign.name.clone(),
            step: step.step,
            consume_version: step.consume_version,
            is_next: open.is_next,
            spec: spec.clone(),
        };
        if owner == *node.name() {
            group_runner::begin(node, wanted);
        } else {
            links::post(node, &owner, LinkFrame::GroupRequest(wanted)).await;
        }
    }
}

/// Returns whether to ask now: for the first time, after a change of owner, or after a while.
fn should_ask(node: &Node, key: &str, owner: &Name) -> bool {
    let now = node.now();
    let mut asked = node.steps.asked.lock().unwrap();
    let recent = asked.get(key).is_some_and(|(held, at)| held == owner && now.since(*at) < ASK_AGAIN);
    if !recent {
        asked.insert(key.to_owned(), (owner.clone(), now));
    }
    !recent
}
