//! An accepted configuration change reaches every node and is never reverted, under concurrent operators, node
//! failures and store faults.

mod support;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Mutex;
use support::{FakeStore, FaultPlan, SOUND, Scheduler, UNSOUND, block_on, count_failures, for_seeds};
use trestlerack::Name;
use trestlerack::version::{
    ConfigDelta, ConfigFollower, ConfigStore, Configuration, Declaration, FollowEvent, PlanCommit, PlanConfirmation,
    Zone, plan_change,
};

const MAX_ATTEMPTS: usize = 30;

fn declaration(scope: &str, zone: &str) -> Declaration {
    let zones = vec![Zone { name: format!("{scope}-{zone}").into(), region: "hokkaido".into() }];
    Declaration { scope: scope.into(), zones, backends: vec![], users: vec![], campaigns: vec![] }
}

/// A change whose confirmation was accepted: its scope, the generation on which its plan was based, and the
/// generation that it became.
#[derive(Clone, Debug)]
struct AcceptedChange {
    scope: Name,
    base_generation: u64,
    generation: u64,
    operation: Name,
}

/// Runs an operator at one node, which makes one plan and confirms it until the result is known.
async fn operate(store: &FakeStore, scope: &str, number: usize, accepted: &Mutex<Vec<AcceptedChange>>) {
    let config = ConfigStore::new(store, store);
    let mut follower = ConfigFollower::default();
    let declaration = declaration(scope, &format!("zone-{number}"));
    let mut plan = None;
    for _ in 0..MAX_ATTEMPTS {
        let before = follower.current().generation;
        let _ = config.catch_up(&mut follower).await;
        assert!(follower.current().generation >= before, "a node never returns to an older generation");
        let current = follower.current().clone();
        let plan = plan.get_or_insert_with(|| plan_change(&current, &declaration).unwrap());
        let operation: Name = format!("operator-{number}").into();
        let confirmation = PlanConfirmation {
            declaration: &declaration,
            base_generation: plan.base_generation,
            digest: &plan.digest,
            operation: operation.clone(),
        };
        match config.try_commit(&current, &confirmation).await {
            Ok(PlanCommit::Committed(delta)) => {
                let change = AcceptedChange {
                    scope: scope.into(),
                    base_generation: plan.base_generation,
                    generation: delta.generation,
                    operation,
                };
                return accepted.lock().unwrap().push(change);
            }
            Ok(PlanCommit::Outdated | PlanCommit::Unchanged) => return,
            Ok(PlanCommit::Invalid(cause)) => panic!("{cause}"),
            Ok(PlanCommit::Behind) | Err(_) => {}
        }
    }
}

fn stored_deltas(store: &FakeStore) -> BTreeMap<u64, ConfigDelta> {
    let rows = store.rows("config/change/");
    let deltas = rows.into_iter().map(|row| serde_json::from_value::<ConfigDelta>(row.value).unwrap());
    deltas.map(|delta| (delta.generation, delta)).collect()
}

fn check_concurrent_operators(seed: u64, plan: FaultPlan) {
    let store = FakeStore::new(seed, plan);
    let accepted = Mutex::new(Vec::new());
    let mut scheduler = Scheduler::new(seed, 3);
    for (number, scope) in ["kitamura", "kitamura", "kitamura", "hallworth", "hallworth"].iter().enumerate() {
        scheduler.spawn(operate(&store, scope, number, &accepted));
    }
    scheduler.run();
    store.heal();
    let deltas = stored_deltas(&store);
    for (expected, generation) in deltas.keys().enumerate() {
        assert_eq!(*generation, expected as u64 + 1, "generations have no gaps");
    }
    let accepted = accepted.into_inner().unwrap();
    for change in &accepted {
        let delta = deltas.get(&change.generation).expect("an accepted change is stored");
        assert_eq!(delta.operation, change.operation, "an accepted change is never replaced");
        let competing = accepted
            .iter()
            .filter(|other| (&other.scope, other.base_generation) == (&change.scope, change.base_generation));
        assert_eq!(competing.count(), 1, "only one of the plans with the same base generation and scope is accepted");
    }
    check_followers(seed, &deltas);
}

/// Delivers the stored deltas to a follower in random order, repeatedly and mixed with old snapshots.
fn check_followers(seed: u64, stored: &BTreeMap<u64, ConfigDelta>) {
    let mut states = vec![Configuration::default()];
    for delta in stored.values() {
        let mut next = states.last().unwrap().clone();
        assert!(next.apply(delta));
        states.push(next);
    }
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut follower = ConfigFollower::default();
    for _ in 0..30 {
        let before = follower.current().generation;
        let mut deltas: Vec<ConfigDelta> = stored.values().cloned().collect();
        deltas.shuffle(&mut random);
        deltas.truncate(random.random_range(0..=deltas.len()));
        let snapshot = states[random.random_range(0..states.len())].clone();
        let is_snapshot = random.random_ratio(1, 4);
        let event = if is_snapshot { FollowEvent::Snapshot(snapshot) } else { FollowEvent::Deltas(deltas) };
        let _ = follower.handle(event);
        let current = follower.current();
        assert!(current.generation >= before, "a node never returns to an older generation");
        assert_eq!(
            **current, states[current.generation as usize],
            "the configuration of a node equals one of the generations"
        );
    }
}

#[test]
fn accepted_changes_survive_concurrent_operators_and_failures() {
    for_seeds(400, |seed| check_concurrent_operators(seed, SOUND));
}

#[test]
fn the_check_fails_with_a_store_that_ignores_preconditions() {
    assert!(count_failures(200, |seed| check_concurrent_operators(seed, UNSOUND)) > 0);
}

#[test]
fn a_starting_node_catches_up_from_a_snapshot() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let config = ConfigStore::new(&store, &store);
    let mut writer = ConfigFollower::default();
    for number in 0..150 {
        let declaration = declaration("kitamura", &format!("zone-{number}"));
        let plan = plan_change(writer.current(), &declaration).unwrap();
        let confirmation = PlanConfirmation {
            declaration: &declaration,
            base_generation: plan.base_generation,
            digest: &plan.digest,
            operation: format!("operation-{number}").into(),
        };
        let outcome = block_on(config.try_commit(writer.current(), &confirmation)).unwrap();
        assert!(matches!(outcome, PlanCommit::Committed(_)));
        block_on(config.catch_up(&mut writer)).unwrap();
    }
    let mut fresh = ConfigFollower::default();
    let events = block_on(config.events_after(0)).unwrap();
    assert!(matches!(events[0], FollowEvent::Snapshot(_)), "a snapshot comes first");
    for event in events {
        let _ = fresh.handle(event);
    }
    assert_eq!(fresh.current(), writer.current());
}
