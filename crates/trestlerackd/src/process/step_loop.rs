//! Watches the open steps of the campaigns that this node owns: asks for groups and seals.

use super::logs;
use super::rollout_loop::store_failed;
use crate::connection::links;
use crate::node::Node;
use crate::request::group_runner;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::border::{CommitOutcome, StoreError, TableRow, TableTransaction};
use trestlerack::connection::{GroupWanted, LinkFrame};
use trestlerack::process::{
    GroupRow, SealDecision, StepRow, StepState, StepSubmission, decide_seal, group_key, group_prefix, open_key,
    step_key,
};
use trestlerack::version::Campaign;
use trestlerack::{Name, Timestamp, event};

/// Shortest time between two looks at the open steps, however often this node is nudged.
const NUDGE_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a missing group is asked for again although its owner has not changed.
const ASK_AGAIN: Duration = Duration::from_secs(10);

/// Rows read in one scan.
const SCAN_LIMIT: usize = 1_000;

/// Wakes the watch and remembers who was asked for which group.
#[derive(Default)]
pub struct StepWatch {
    nudged: Notify,
    asked: Mutex<HashMap<String, (Name, Timestamp)>>,
    manifests: Mutex<HashMap<Name, Arc<StepSubmission>>>,
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
    let Some(owner) = view.campaign_owner(&campaign.name, &campaign.places) else { return };
    if owner.name == *node.name() {
        node.steps.nudge();
    } else {
        let frame = LinkFrame::CampaignNudge { campaign: campaign.name.clone() };
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
        tokio::time::sleep(NUDGE_PAUSE).await;
        // A nudge ends the wait early; without one the poll is the backstop.
        let _ = tokio::time::timeout(poll, node.steps.nudged.notified()).await;
    }
}

fn is_owner(node: &Node, campaign: &Campaign) -> bool {
    let view = node.ownership.read().unwrap().clone();
    let owner = view.campaign_owner(&campaign.name, &campaign.places);
    owner.is_some_and(|owner| owner.name == *node.name())
}

fn forget_old_requests(node: &Node) {
    let now = node.now();
    let mut asked = node.steps.asked.lock().unwrap();
    asked.retain(|_, (_, at)| now.since(*at) < ASK_AGAIN * 6);
}

async fn look_at_campaign(node: &Arc<Node>, campaign: &Campaign) {
    let prefix = format!("open/{}/", campaign.name);
    let rows = match node.table.scan(&prefix, "", SCAN_LIMIT).await {
        Ok(rows) => rows,
        Err(error) => return store_failed(node, "scan open steps", error),
    };
    for open in rows {
        let Some(step) = open.value.get("step").and_then(serde_json::Value::as_u64) else { continue };
        if let Err(error) = look_at_step(node, campaign, step).await {
            store_failed(node, "look at step", error);
        }
    }
}

async fn look_at_step(node: &Arc<Node>, campaign: &Campaign, step: u64) -> Result<(), StoreError> {
    let key = step_key(&campaign.name, step);
    let Some(row) = node.table.read(&key).await? else { return Ok(()) };
    let Ok(step_row) = serde_json::from_value::<StepRow>(row.value.clone()) else { return Ok(()) };
    if step_row.state != StepState::Open {
        return Ok(());
    }
    let Some(submission) = load_manifest(node, &step_row.manifest).await? else { return Ok(()) };
    let made = read_groups(node, &campaign.name, step).await?;
    let submitted: Vec<Name> = submission.groups.iter().map(|group| group.group.clone()).collect();
    let rows: BTreeMap<Name, GroupRow> = made.iter().map(|(name, (_, group))| (name.clone(), group.clone())).collect();
    let rule = campaign.staleness_rule();
    match decide_seal(&step_row, &submitted, &rows, rule, node.clock.unix_seconds()) {
        SealDecision::Seal(sealed) => seal(node, &row, sealed).await,
        SealDecision::Missing(missing) => {
            ask_for_groups(node, campaign, &step_row, &submission, &missing).await;
            Ok(())
        }
        SealDecision::TooOld(groups) => remove_groups(node, &step_row, &groups, &made).await,
    }
}

/// Returns the submitted groups of a step; they never change, so they are read once.
pub async fn load_manifest(node: &Node, key: &Name) -> Result<Option<Arc<StepSubmission>>, StoreError> {
    if let Some(held) = node.steps.manifests.lock().unwrap().get(key) {
        return Ok(Some(held.clone()));
    }
    let Some(content) = node.objects.get(key).await? else { return Ok(None) };
    let Ok(submission) = serde_json::from_slice::<StepSubmission>(&content) else { return Ok(None) };
    let submission = Arc::new(submission);
    node.steps.manifests.lock().unwrap().insert(key.clone(), submission.clone());
    Ok(Some(submission))
}

async fn read_groups(
    node: &Node,
    campaign: &str,
    step: u64,
) -> Result<BTreeMap<Name, (TableRow, GroupRow)>, StoreError> {
    let prefix = group_prefix(campaign, step);
    let mut groups = BTreeMap::new();
    let mut after = String::new();
    loop {
        let rows = node.table.scan(&prefix, &after, SCAN_LIMIT).await?;
        let is_last = rows.len() < SCAN_LIMIT;
        after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        for row in rows {
            if let Ok(group) = serde_json::from_value::<GroupRow>(row.value.clone()) {
                groups.insert(group.group.clone(), (row, group));
            }
        }
        if is_last {
            return Ok(groups);
        }
    }
}

/// Seals a step: one transaction that names its samples once and for all.
async fn seal(node: &Arc<Node>, row: &TableRow, sealed: StepRow) -> Result<(), StoreError> {
    let sealed = StepRow { operation: node.operation_id(), ..sealed };
    let value = serde_json::to_value(&sealed).map_err(|_| StoreError::Unavailable)?;
    let transaction = TableTransaction::default()
        .expect(&row.key, TableTransaction::expectation_of(Some(row)))
        .put(&row.key, value)
        .remove(open_key(&sealed.campaign, sealed.step));
    if node.table.commit(transaction).await? == CommitOutcome::Committed {
        logs::write(
            event::STEP_SEALED,
            &[("campaign", &sealed.campaign), ("step", &sealed.step), ("groups", &sealed.groups)],
        );
        node.steps.manifests.lock().unwrap().remove(&sealed.manifest);
    }
    Ok(())
}

/// Removes the rows of groups that are too old, so that they are made again.
async fn remove_groups(
    node: &Arc<Node>,
    step: &StepRow,
    groups: &[Name],
    made: &BTreeMap<Name, (TableRow, GroupRow)>,
) -> Result<(), StoreError> {
    for group in groups {
        let (row, _) = &made[group];
        let transaction =
            TableTransaction::default().expect(&row.key, TableTransaction::expectation_of(Some(row))).remove(&row.key);
        node.table.commit(transaction).await?;
        node.telemetry.remade.add(1, &[opentelemetry::KeyValue::new("cause", "too-old")]);
        logs::write(event::SAMPLE_TOO_OLD, &[("campaign", &step.campaign), ("step", &step.step), ("group", group)]);
        let key = group_key(&step.campaign, step.step, group);
        node.steps.asked.lock().unwrap().remove(&key);
    }
    node.steps.nudge();
    Ok(())
}

async fn ask_for_groups(
    node: &Arc<Node>,
    campaign: &Campaign,
    step: &StepRow,
    submission: &StepSubmission,
    missing: &[Name],
) {
    let view = node.ownership.read().unwrap().clone();
    for spec in submission.groups.iter().filter(|spec| missing.contains(&spec.group)) {
        let owner = view.group_owner(&campaign.name, step.step, &spec.group, &campaign.places);
        let Some(owner) = owner.map(|owner| owner.name.clone()) else { continue };
        if !should_ask(node, &group_key(&campaign.name, step.step, &spec.group), &owner) {
            continue;
        }
        let wanted = GroupWanted {
            campaign: campaign.name.clone(),
            step: step.step,
            consume_version: step.consume_version,
            spec: spec.clone(),
        };
        if owner == *node.name() {
            group_runner::begin(node, wanted);
        } else {
            links::post(node, &owner, LinkFrame::GroupWanted(wanted)).await;
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
