//! Retries against a store that refuses calls beyond its rate limits: they do not become a retry storm, and
//! refusals are not mistaken for an outage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{AccessChange, DirectAccess, NODE_PARTITIONS, node_partition, rate_limit_backoff};

/// Transactions per second that a partition accepts; it queues up to one second of them.
const PARTITION_RATE: usize = 150;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// A seeded sequence of pseudorandom numbers from 0 to 1.
struct SeededNumbers(u64);

impl SeededNumbers {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Result of a simulated start of all nodes.
struct StartOutcome {
    took: Duration,
    refused: usize,
}

/// Starts `nodes` at the same time. Each writes its row until the store accepts it. A refused write still
/// uses up a part of the rate.
fn simulate_start(nodes: usize, seed: u64, partition_of: impl Fn(&str) -> String) -> StartOutcome {
    let mut numbers = SeededNumbers(seed);
    let mut pending: Vec<(Duration, u32, String)> = (0..nodes)
        .map(|node| (STEP.mul_f64(numbers.next() * 30.0), 0, partition_of(&format!("edge-{node}"))))
        .collect();
    let mut queues: BTreeMap<String, f64> = BTreeMap::new();
    let (mut now, mut refused) = (Duration::ZERO, 0);
    while !pending.is_empty() {
        assert!(now < Duration::from_secs(60), "{} of {nodes} nodes are not registered", pending.len());
        for queue in queues.values_mut() {
            *queue = (*queue - PARTITION_RATE as f64 * STEP.as_secs_f64()).max(0.0);
        }
        pending.retain_mut(|(at, failures, partition)| {
            if *at > now {
                return true;
            }
            let queue = queues.entry(partition.clone()).or_default();
            if *queue < PARTITION_RATE as f64 {
                *queue += 1.0;
                return false;
            }
            *queue = (*queue + 0.1).min(PARTITION_RATE as f64 * 1.5);
            refused += 1;
            *failures += 1;
            *at = now + rate_limit_backoff(*failures, numbers.next());
            true
        });
        now += STEP;
    }
    StartOutcome { took: now, refused }
}

#[test]
fn up_to_a_thousand_nodes_that_start_at_the_same_time_are_registered_within_two_seconds() {
    for nodes in [3, 13, 84, 295, 370, 1_000] {
        for seed in 0..20 {
            let outcome = simulate_start(nodes, seed, |name| node_partition(name).to_string());
            assert!(outcome.took <= Duration::from_secs(2), "{nodes} nodes took {:?}", outcome.took);
            assert!(outcome.refused * 20 <= nodes, "{} refusals of {nodes} nodes", outcome.refused);
        }
    }
}

/// If all rows are in one partition, as other rows of the system are, the start takes longer and has more
/// refusals, but it ends.
#[test]
fn one_partition_that_all_nodes_write_recovers_thanks_to_growing_backoffs() {
    for nodes in [295, 370, 1_000] {
        for seed in 0..20 {
            let outcome = simulate_start(nodes, seed, |_| "one".into());
            assert!(outcome.took <= Duration::from_secs(20), "{nodes} nodes took {:?}", outcome.took);
            assert!(outcome.refused <= nodes * 4, "{} refusals of {nodes} nodes", outcome.refused);
        }
    }
}

#[test]
fn the_rows_of_nodes_are_spread_evenly_over_all_partitions() {
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for node in 0..1_000 {
        *counts.entry(node_partition(&format!("edge-{node}"))).or_default() += 1;
    }
    assert_eq!(counts.len() as u64, NODE_PARTITIONS);
    assert!(counts.values().all(|count| *count < PARTITION_RATE), "{counts:?}");
}

#[test]
fn backoffs_after_refusals_grow_to_a_limit_and_differ_between_nodes() {
    let backoffs: Vec<Duration> = (1..10).map(|refusals| rate_limit_backoff(refusals, 0.5)).collect();
    assert!(backoffs.windows(2).all(|pair| pair[0] <= pair[1]), "{backoffs:?}");
    assert_eq!((backoffs[0], backoffs[8]), (Duration::from_millis(500), Duration::from_secs(4)));
    let spread: BTreeSet<Duration> = (0..10).map(|step| rate_limit_backoff(3, f64::from(step) / 10.0)).collect();
    assert_eq!(spread.len(), 10);
}

const NOW: Timestamp = Timestamp(1_000_000);

fn record_refusals(access: &mut DirectAccess, times: u64, interval_ms: u64) -> Vec<Option<AccessChange>> {
    let note = |call| {
        let now = NOW + Duration::from_millis(call * interval_ms);
        access.record_result(now, now, Some(StoreError::RateLimited))
    };
    (0..times).map(note).collect()
}

#[test]
fn rate_limit_refusals_among_answers_never_divert_calls_to_peers() {
    let mut access = DirectAccess::default();
    for call in 0..1_000 {
        let answered = call % 4 == 3;
        let failure = (!answered).then_some(StoreError::RateLimited);
        let now = NOW + Duration::from_millis(call * 200);
        assert_eq!(access.record_result(now, now, failure), None);
    }
    assert!(!access.prefers_peers());
}

#[test]
fn a_burst_of_refusals_is_not_an_outage() {
    let mut access = DirectAccess::default();
    assert!(record_refusals(&mut access, 100, 1).iter().all(Option::is_none));
}

/// Every call of this node is refused for a while, which a rate limit of the store would not do.
#[test]
fn a_node_whose_every_call_is_refused_uses_peers_until_a_call_is_answered() {
    let mut access = DirectAccess::default();
    let changes = record_refusals(&mut access, 8, 150);
    assert_eq!(changes.iter().flatten().collect::<Vec<_>>(), [&AccessChange::Lost]);
    assert!(access.prefers_peers());
    assert_eq!(access.record_result(NOW, NOW + Duration::from_secs(9), None), Some(AccessChange::Regained));
    assert!(!access.prefers_peers());
}

#[test]
fn an_outage_diverts_calls_to_peers_at_once() {
    for error in [StoreError::Unavailable, StoreError::Unknown] {
        assert_eq!(DirectAccess::default().record_result(NOW, NOW, Some(error)), Some(AccessChange::Lost));
    }
}

/// A partition with many queued transactions answers one of them too late, while the store answers other
/// calls. Only an unanswered call that was sent after the last answer shows that the store is unreachable.
#[test]
fn a_slow_partition_is_not_an_outage_of_the_store() {
    let at = |ms| NOW + Duration::from_millis(ms);
    let mut access = DirectAccess::default();
    assert_eq!(access.record_result(at(500), at(504), None), None);
    assert_eq!(access.record_result(at(0), at(600), Some(StoreError::Unknown)), None);
    assert!(!access.prefers_peers());
    assert_eq!(access.record_result(at(505), at(1_105), Some(StoreError::Unknown)), Some(AccessChange::Lost));
    assert_eq!(access.record_result(at(1_200), at(1_204), None), Some(AccessChange::Regained));
}
