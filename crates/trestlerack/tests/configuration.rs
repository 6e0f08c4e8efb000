//! An accepted configuration takes effect everywhere and never reverts, whoever races whom.

mod support;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Mutex;
use support::{FakeStore, FaultPlan, SOUND, Scheduler, UNSOUND, block_on, count_failures, for_seeds};
use trestlerack::Name;
use trestlerack::version::{
    CommitTry, ConfigDelta, ConfigFollower, ConfigStore, Configuration, Confirmation, Declaration, FollowEvent, Zone,
    plan_change,
};

const TRIES: usize = 30;

fn declaration(scope: &str, zone: &str) -> Declaration {
    let zones = vec![Zone { name: format!("{scope}-{zone}").into(), region: "hokkaido".into() }];
    Declaration { scope: scope.into(), zones, backends: vec![], users: vec![], campaigns: vec![] }
}

/// A confirmation that an operator saw accepted: the scope, what it was made from, and where it
/// came to stand.
#[derive(Clone, Debug)]
struct Accepted {
    scope: Name,
    made_from: u64,
    generation: u64,
    operation: Name,
}

/// An operator at one node: plans once, then confirms until it hears a verdict.
async fn operate(store: &FakeStore, scope: &str, number: usize, accepted: &Mutex<Vec<Accepted>>) {
    let config = ConfigStore::new(store, store);
    let mut follower = ConfigFollower::default();
    let declaration = declaration(scope, &format!("zone-{number}"));
    let mut plan = None;
    for _ in 0..TRIES {
        let before = follower.current().generation;
        let _ = config.catch_up(&mut follower).await;
        assert!(follower.current().generation >= before, "a node never goes back");
        let held = follower.current().clone();
        let plan = plan.get_or_insert_with(|| plan_change(&held, &declaration).unwrap());
        let operation: Name = format!("operator-{number}").into();
        let confirmation = Confirmation {
            declaration: &declaration,
            made_from: plan.made_from,
            digest: &plan.digest,
            operation: operation.clone(),
        };
        match config.try_commit(&held, &confirmation).await {
            Ok(CommitTry::Committed(delta)) => {
                let entry = Accepted {
                    scope: scope.into(),
                    made_from: plan.made_from,
                    generation: delta.generation,
                    operation,
                };
                return accepted.lock().unwrap().push(entry);
            }
            Ok(CommitTry::OutOfDate | CommitTry::Unchanged) => return,
            Ok(CommitTry::Invalid(cause)) => panic!("{cause}"),
            Ok(CommitTry::Behind) | Err(_) => {}
        }
    }
}

fn chain(store: &FakeStore) -> BTreeMap<u64, ConfigDelta> {
    let rows = store.rows("config/change/");
    let deltas = rows.into_iter().map(|row| serde_json::from_value::<ConfigDelta>(row.value).unwrap());
    deltas.map(|delta| (delta.generation, delta)).collect()
}

fn race(seed: u64, plan: FaultPlan) {
    let store = FakeStore::new(seed, plan);
    let accepted = Mutex::new(Vec::new());
    let mut scheduler = Scheduler::new(seed, 3);
    for (number, scope) in ["kitamura", "kitamura", "kitamura", "hallworth", "hallworth"].iter().enumerate() {
        scheduler.spawn(operate(&store, scope, number, &accepted));
    }
    scheduler.run();
    store.heal();
    let chain = chain(&store);
    for (expected, generation) in chain.keys().enumerate() {
        assert_eq!(*generation, expected as u64 + 1, "generations have no gaps");
    }
    let accepted = accepted.into_inner().unwrap();
    for entry in &accepted {
        let delta = chain.get(&entry.generation).expect("an accepted change stands");
        assert_eq!(delta.operation, entry.operation, "an accepted change is never replaced");
        let rivals = accepted.iter().filter(|other| (&other.scope, other.made_from) == (&entry.scope, entry.made_from));
        assert_eq!(rivals.count(), 1, "of the plans made from one generation of a scope, one is accepted");
    }
    check_followers(seed, &chain);
}

/// Delivers the chain to a follower in any order, repeated and with old snapshots between.
fn check_followers(seed: u64, chain: &BTreeMap<u64, ConfigDelta>) {
    let mut states = vec![Configuration::default()];
    for delta in chain.values() {
        let mut next = states.last().unwrap().clone();
        assert!(next.apply(delta));
        states.push(next);
    }
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut follower = ConfigFollower::default();
    for _ in 0..30 {
        let before = follower.current().generation;
        let mut deltas: Vec<ConfigDelta> = chain.values().cloned().collect();
        deltas.shuffle(&mut random);
        deltas.truncate(random.random_range(0..=deltas.len()));
        let snapshot = states[random.random_range(0..states.len())].clone();
        let is_snapshot = random.random_ratio(1, 4);
        let event = if is_snapshot { FollowEvent::Snapshot(snapshot) } else { FollowEvent::Deltas(deltas) };
        let _ = follower.handle(event);
        let now = follower.current();
        assert!(now.generation >= before, "a node never goes back");
        assert_eq!(**now, states[now.generation as usize], "a node holds exactly some generation");
    }
}

#[test]
fn an_accepted_change_stands_whoever_races_and_dies() {
    for_seeds(400, |seed| race(seed, SOUND));
}

#[test]
fn the_checker_notices_a_store_that_ignores_preconditions() {
    assert!(count_failures(200, |seed| race(seed, UNSOUND)) > 0);
}

#[test]
fn a_starting_node_catches_up_over_a_snapshot() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let config = ConfigStore::new(&store, &store);
    let mut writer = ConfigFollower::default();
    for number in 0..150 {
        let declaration = declaration("kitamura", &format!("zone-{number}"));
        let plan = plan_change(writer.current(), &declaration).unwrap();
        let confirmation = Confirmation {
            declaration: &declaration,
            made_from: plan.made_from,
            digest: &plan.digest,
            operation: format!("operation-{number}").into(),
        };
        let outcome = block_on(config.try_commit(writer.current(), &confirmation)).unwrap();
        assert!(matches!(outcome, CommitTry::Committed(_)));
        block_on(config.catch_up(&mut writer)).unwrap();
    }
    let mut fresh = ConfigFollower::default();
    let events = block_on(config.missing(0)).unwrap();
    assert!(matches!(events[0], FollowEvent::Snapshot(_)), "a snapshot comes first");
    for event in events {
        let _ = fresh.handle(event);
    }
    assert_eq!(fresh.current(), writer.current());
}
