//! Every sample reaches its trainer exactly once, whichever tasks are killed and whichever requests and
//! responses of the store are lost.

mod support;

use std::collections::BTreeSet;
use std::sync::Mutex;
use support::{FakeStore, FaultPlan, SOUND, Scheduler, UNSOUND, block_on, count_failures, for_seeds};
use trestlerack::Name;
use trestlerack::process::{
    GeneratedGroup, GroupSpec, ManifestCache, OpenOutcome, SealOutcome, StepState, StepStore, StepSubmission,
};
use trestlerack::version::StalenessRule;

const CAMPAIGN: &str = "rinse";
const GROUPS: usize = 3;
const NODES: usize = 3;
const ROUNDS: usize = 40;
const RULE: StalenessRule = StalenessRule { max_versions: 2, max_seconds: None };

fn submission(consume_version: u64) -> StepSubmission {
    let groups =
        (0..GROUPS).map(|group| GroupSpec { group: format!("g{group}").into(), prompt: "draft".into(), size: 1 });
    StepSubmission { consume_version, groups: groups.collect() }
}

fn generated_group(node: usize, number: usize, group: &Name, oldest_version: u64) -> GeneratedGroup {
    GeneratedGroup {
        campaign: CAMPAIGN.into(),
        step: 0,
        group: group.clone(),
        lines: format!("{group} by node {node} try {number}\n"),
        oldest_version,
        first_unix: 0,
        operation: format!("node-{node}-{number}").into(),
    }
}

/// The lines that the trainer received, for each time that it read the sealed step.
type Deliveries = Mutex<Vec<Vec<String>>>;

/// Runs one node, which tries to seal the step and generates the missing groups, even if another node
/// generates the same ones.
async fn run_node(store: &FakeStore, node: usize, consume_version: u64) {
    let steps = StepStore::new(store, store);
    let manifests = ManifestCache::default();
    for number in 0..ROUNDS {
        let operation: Name = format!("look-{node}-{number}").into();
        let outcome = steps.try_seal(CAMPAIGN, 0, RULE, 0, operation, &manifests).await;
        let Ok(SealOutcome::Missing { missing, .. }) = outcome else { continue };
        for group in missing {
            // Sometimes an engine has loaded a version that is too old for the step.
            let oldest = if (node + number).is_multiple_of(5) { 0 } else { consume_version };
            let _ = steps.record(&generated_group(node, number, &group, oldest)).await;
        }
    }
}

async fn submit(store: &FakeStore, node: usize, consume_version: u64) {
    let steps = StepStore::new(store, store);
    for number in 0..ROUNDS {
        let operation: Name = format!("submit-{node}-{number}").into();
        let outcome = steps.open(&CAMPAIGN.into(), 0, &submission(consume_version), operation).await;
        if let Ok(outcome) = outcome {
            assert_ne!(outcome, OpenOutcome::Conflict, "the same submission is never a conflict");
            return;
        }
    }
}

async fn run_trainer(store: &FakeStore, deliveries: &Deliveries) {
    let steps = StepStore::new(store, store);
    for number in 0..ROUNDS {
        let Ok(Some((_, row))) = steps.read(CAMPAIGN, 0).await else { continue };
        if row.state == StepState::Open {
            continue;
        }
        let mut lines = Vec::new();
        for group in &row.sealed {
            let content = loop {
                if let Ok(content) = trestlerack::interfaces::ObjectStore::get(store, &group.object).await {
                    break content.expect("a sealed group's object exists");
                }
            };
            lines.push(String::from_utf8(content).unwrap());
        }
        deliveries.lock().unwrap().push(lines);
        let _ = steps.acknowledge(CAMPAIGN, 0, format!("ack-{number}").into()).await;
    }
}

fn check_deliveries(deliveries: &Deliveries, consume_version: u64, store: &FakeStore) {
    let deliveries = deliveries.lock().unwrap();
    let first = deliveries.first().expect("the step is delivered eventually");
    assert!(deliveries.iter().all(|lines| lines == first), "the trainer reads the same bytes each time");
    let groups: BTreeSet<&str> = first.iter().filter_map(|line| line.split(' ').next()).collect();
    assert_eq!((groups.len(), first.len()), (GROUPS, GROUPS), "each group once: {first:?}");
    let steps = StepStore::new(store, store);
    let (_, row) = block_on(steps.read(CAMPAIGN, 0)).unwrap().unwrap();
    let is_fresh = |version: u64| consume_version - version <= RULE.max_versions;
    assert!(row.sealed.iter().all(|group| is_fresh(group.oldest_version)), "no sample is too old");
}

fn run_step(seed: u64, plan: FaultPlan) {
    let consume_version = 5;
    let store = FakeStore::new(seed, plan);
    let deliveries = Deliveries::default();
    let mut scheduler = Scheduler::new(seed, 5);
    for node in 0..NODES {
        scheduler.spawn(run_node(&store, node, consume_version));
    }
    scheduler.spawn(submit(&store, 0, consume_version));
    scheduler.spawn(submit(&store, 1, consume_version));
    scheduler.spawn(run_trainer(&store, &deliveries));
    scheduler.run();
    // Whatever was killed or lost, a restarted node and trainer finish the step.
    store.heal();
    block_on(submit(&store, 7, consume_version));
    block_on(run_node(&store, 8, consume_version));
    block_on(run_trainer(&store, &deliveries));
    check_deliveries(&deliveries, consume_version, &store);
}

#[test]
fn a_sample_is_delivered_exactly_once_under_kills_and_lost_answers() {
    for_seeds(400, |seed| run_step(seed, SOUND));
}

#[test]
fn the_checker_detects_a_store_that_ignores_preconditions() {
    assert!(count_failures(200, |seed| run_step(seed, UNSOUND)) > 0);
}

#[test]
fn a_different_submission_for_the_same_step_is_a_conflict() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let steps = StepStore::new(&store, &store);
    let outcome = block_on(steps.open(&CAMPAIGN.into(), 0, &submission(5), "a".into()));
    assert_eq!(outcome, Ok(OpenOutcome::Created));
    let outcome = block_on(steps.open(&CAMPAIGN.into(), 0, &submission(5), "b".into()));
    assert_eq!(outcome, Ok(OpenOutcome::Existing(StepState::Open)));
    let outcome = block_on(steps.open(&CAMPAIGN.into(), 0, &submission(6), "c".into()));
    assert_eq!(outcome, Ok(OpenOutcome::Conflict));
}

#[test]
fn a_group_that_is_too_old_in_seconds_is_generated_again() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let steps = StepStore::new(&store, &store);
    let rule = StalenessRule { max_versions: 2, max_seconds: Some(60) };
    let manifests = ManifestCache::default();
    block_on(steps.open(&CAMPAIGN.into(), 0, &submission(5), "a".into())).unwrap();
    for group in ["g0", "g1", "g2"] {
        block_on(steps.record(&generated_group(0, 0, &group.into(), 5))).unwrap();
    }
    let outcome = block_on(steps.try_seal(CAMPAIGN, 0, rule, 61, "b".into(), &manifests)).unwrap();
    assert!(matches!(outcome, SealOutcome::Removed { removed, .. } if removed.len() == GROUPS));
    let outcome = block_on(steps.try_seal(CAMPAIGN, 0, rule, 61, "c".into(), &manifests)).unwrap();
    assert!(matches!(outcome, SealOutcome::Missing { missing, .. } if missing.len() == GROUPS));
}
