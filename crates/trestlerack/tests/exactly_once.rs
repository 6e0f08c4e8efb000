//! Every sample reaches its trainer exactly once, whoever dies and whatever the store loses.

mod support;

use std::collections::BTreeSet;
use std::sync::Mutex;
use support::{FakeStore, FaultPlan, SOUND, Scheduler, UNSOUND, block_on, count_failures, for_seeds};
use trestlerack::Name;
use trestlerack::process::{
    GroupSpec, MadeGroup, ManifestCache, Opened, StepLook, StepState, StepStore, StepSubmission,
};
use trestlerack::version::StalenessRule;

const CAMPAIGN: &str = "rinse";
const GROUPS: usize = 3;
const NODES: usize = 3;
const LOOKS: usize = 40;
const RULE: StalenessRule = StalenessRule { max_versions: 2, max_seconds: None };

fn submission(consume_version: u64) -> StepSubmission {
    let groups =
        (0..GROUPS).map(|group| GroupSpec { group: format!("g{group}").into(), prompt: "draft".into(), size: 1 });
    StepSubmission { consume_version, groups: groups.collect() }
}

fn made(node: usize, number: usize, group: &Name, oldest_version: u64) -> MadeGroup {
    MadeGroup {
        campaign: CAMPAIGN.into(),
        step: 0,
        group: group.clone(),
        lines: format!("{group} by node {node} try {number}\n"),
        oldest_version,
        first_unix: 0,
        operation: format!("node-{node}-{number}").into(),
    }
}

/// What the trainer read, each time that it read the sealed step.
type Receipts = Mutex<Vec<Vec<String>>>;

/// One node: looks at the step and makes what is missing, also when another node does the same.
async fn work(store: &FakeStore, node: usize, consume_version: u64) {
    let steps = StepStore::new(store, store);
    let manifests = ManifestCache::default();
    for number in 0..LOOKS {
        let operation: Name = format!("look-{node}-{number}").into();
        let look = steps.look(CAMPAIGN, 0, RULE, 0, operation, &manifests).await;
        let Ok(StepLook::Missing { missing, .. }) = look else { continue };
        for group in missing {
            // Now and then an engine holds a version that is too old for the step.
            let oldest = if (node + number).is_multiple_of(5) { 0 } else { consume_version };
            let _ = steps.record(&made(node, number, &group, oldest)).await;
        }
    }
}

async fn submit(store: &FakeStore, node: usize, consume_version: u64) {
    let steps = StepStore::new(store, store);
    for number in 0..LOOKS {
        let operation: Name = format!("submit-{node}-{number}").into();
        let opened = steps.open(&CAMPAIGN.into(), 0, &submission(consume_version), operation).await;
        if let Ok(opened) = opened {
            assert_ne!(opened, Opened::Conflict, "the same submission is never a conflict");
            return;
        }
    }
}

async fn train(store: &FakeStore, receipts: &Receipts) {
    let steps = StepStore::new(store, store);
    for number in 0..LOOKS {
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
        receipts.lock().unwrap().push(lines);
        let _ = steps.acknowledge(CAMPAIGN, 0, format!("ack-{number}").into()).await;
    }
}

fn check_receipts(receipts: &Receipts, consume_version: u64, store: &FakeStore) {
    let receipts = receipts.lock().unwrap();
    let first = receipts.first().expect("the step is delivered in the end");
    assert!(receipts.iter().all(|lines| lines == first), "the trainer reads the same bytes each time");
    let groups: BTreeSet<&str> = first.iter().filter_map(|line| line.split(' ').next()).collect();
    assert_eq!((groups.len(), first.len()), (GROUPS, GROUPS), "each group once: {first:?}");
    let steps = StepStore::new(store, store);
    let (_, row) = block_on(steps.read(CAMPAIGN, 0)).unwrap().unwrap();
    let is_fresh = |version: u64| consume_version - version <= RULE.max_versions;
    assert!(row.sealed.iter().all(|group| is_fresh(group.oldest_version)), "no sample is over the bound");
}

fn run_step(seed: u64, plan: FaultPlan) {
    let consume_version = 5;
    let store = FakeStore::new(seed, plan);
    let receipts = Receipts::default();
    let mut scheduler = Scheduler::new(seed, 5);
    for node in 0..NODES {
        scheduler.spawn(work(&store, node, consume_version));
    }
    scheduler.spawn(submit(&store, 0, consume_version));
    scheduler.spawn(submit(&store, 1, consume_version));
    scheduler.spawn(train(&store, &receipts));
    scheduler.run();
    // Whatever was killed or lost, a node and a trainer that come back finish the step.
    store.heal();
    block_on(submit(&store, 7, consume_version));
    block_on(work(&store, 8, consume_version));
    block_on(train(&store, &receipts));
    check_receipts(&receipts, consume_version, &store);
}

#[test]
fn a_sample_is_delivered_exactly_once_under_kills_and_lost_answers() {
    for_seeds(400, |seed| run_step(seed, SOUND));
}

#[test]
fn the_checker_notices_a_store_that_ignores_preconditions() {
    assert!(count_failures(200, |seed| run_step(seed, UNSOUND)) > 0);
}

#[test]
fn another_submission_for_the_same_step_is_refused() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let steps = StepStore::new(&store, &store);
    let opened = block_on(steps.open(&CAMPAIGN.into(), 0, &submission(5), "a".into()));
    assert_eq!(opened, Ok(Opened::New));
    let opened = block_on(steps.open(&CAMPAIGN.into(), 0, &submission(5), "b".into()));
    assert_eq!(opened, Ok(Opened::Again(StepState::Open)));
    let opened = block_on(steps.open(&CAMPAIGN.into(), 0, &submission(6), "c".into()));
    assert_eq!(opened, Ok(Opened::Conflict));
}

#[test]
fn a_group_that_is_too_old_in_seconds_is_made_again() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let steps = StepStore::new(&store, &store);
    let rule = StalenessRule { max_versions: 2, max_seconds: Some(60) };
    let manifests = ManifestCache::default();
    block_on(steps.open(&CAMPAIGN.into(), 0, &submission(5), "a".into())).unwrap();
    for group in ["g0", "g1", "g2"] {
        block_on(steps.record(&made(0, 0, &group.into(), 5))).unwrap();
    }
    let late = block_on(steps.look(CAMPAIGN, 0, rule, 61, "b".into(), &manifests)).unwrap();
    assert!(matches!(late, StepLook::Removed { removed, .. } if removed.len() == GROUPS));
    let look = block_on(steps.look(CAMPAIGN, 0, rule, 61, "c".into(), &manifests)).unwrap();
    assert!(matches!(look, StepLook::Missing { missing, .. } if missing.len() == GROUPS));
}
