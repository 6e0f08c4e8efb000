//! Nodes and a store that refuses what is beyond its rates: no refusal becomes a storm.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::border::StoreError;
use trestlerack::process::{AccessChange, DirectAccess, NODE_PARTITIONS, node_partition, rate_pause};

/// Transactions that a partition takes a second; one second of them may wait.
const PARTITION_RATE: usize = 150;

/// A step of the model.
const STEP: Duration = Duration::from_millis(10);

/// A seeded sequence of numbers from 0 to 1.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// What came of a start of all nodes.
struct StartOutcome {
    took: Duration,
    refused: usize,
}

/// Starts `nodes` at once. Each writes its row until the store takes it; what the store refuses
/// takes its place in the rate as well.
fn start_together(nodes: usize, seed: u64, partition_of: impl Fn(&str) -> String) -> StartOutcome {
    let mut numbers = Numbers(seed);
    let mut due: Vec<(Duration, u32, String)> = (0..nodes)
        .map(|node| (STEP.mul_f64(numbers.next() * 30.0), 0, partition_of(&format!("edge-{node}"))))
        .collect();
    let mut waiting: BTreeMap<String, f64> = BTreeMap::new();
    let (mut now, mut refused) = (Duration::ZERO, 0);
    while !due.is_empty() {
        assert!(now < Duration::from_secs(60), "{} of {nodes} nodes are not registered", due.len());
        for queue in waiting.values_mut() {
            *queue = (*queue - PARTITION_RATE as f64 * STEP.as_secs_f64()).max(0.0);
        }
        due.retain_mut(|(at, failures, partition)| {
            if *at > now {
                return true;
            }
            let queue = waiting.entry(partition.clone()).or_default();
            if *queue < PARTITION_RATE as f64 {
                *queue += 1.0;
                return false;
            }
            *queue = (*queue + 0.1).min(PARTITION_RATE as f64 * 1.5);
            refused += 1;
            *failures += 1;
            *at = now + rate_pause(*failures, numbers.next());
            true
        });
        now += STEP;
    }
    StartOutcome { took: now, refused }
}

#[test]
fn up_to_a_thousand_nodes_that_start_at_once_are_registered_within_two_seconds() {
    for nodes in [3, 13, 84, 295, 370, 1_000] {
        for seed in 0..20 {
            let outcome = start_together(nodes, seed, |name| node_partition(name).to_string());
            assert!(outcome.took <= Duration::from_secs(2), "{nodes} nodes took {:?}", outcome.took);
            assert!(outcome.refused * 20 <= nodes, "{} refusals of {nodes} nodes", outcome.refused);
        }
    }
}

/// The same where all rows lie in one partition, as others of the system's rows do: slower, and
/// refused more often, but it ends.
#[test]
fn one_partition_that_all_nodes_write_recovers_by_the_growing_pauses() {
    for nodes in [295, 370, 1_000] {
        for seed in 0..20 {
            let outcome = start_together(nodes, seed, |_| "one".into());
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
fn pauses_after_refusals_grow_to_a_bound_and_differ_between_nodes() {
    let pauses: Vec<Duration> = (1..10).map(|refusals| rate_pause(refusals, 0.5)).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]), "{pauses:?}");
    assert_eq!((pauses[0], pauses[8]), (Duration::from_millis(500), Duration::from_secs(4)));
    let spread: BTreeSet<Duration> = (0..10).map(|step| rate_pause(3, f64::from(step) / 10.0)).collect();
    assert_eq!(spread.len(), 10);
}

const NOW: Timestamp = Timestamp(1_000_000);

fn refused(way: &mut DirectAccess, times: u64, apart_ms: u64) -> Vec<Option<AccessChange>> {
    let note = |call| {
        let now = NOW + Duration::from_millis(call * apart_ms);
        way.record_result(now, now, Some(StoreError::RateLimited))
    };
    (0..times).map(note).collect()
}

#[test]
fn refusals_for_a_rate_among_answers_never_put_the_way_in_doubt() {
    let mut way = DirectAccess::default();
    for call in 0..1_000 {
        let answered = call % 4 == 3;
        let failure = (!answered).then_some(StoreError::RateLimited);
        let now = NOW + Duration::from_millis(call * 200);
        assert_eq!(way.record_result(now, now, failure), None);
    }
    assert!(!way.prefers_peers());
}

#[test]
fn a_burst_of_refusals_is_one_sign_and_no_outage() {
    let mut way = DirectAccess::default();
    assert!(refused(&mut way, 100, 1).iter().all(Option::is_none));
}

/// Every call of this node is refused for a while, which no rate of the store does.
#[test]
fn a_node_whose_every_call_is_refused_goes_through_peers_until_a_call_is_answered() {
    let mut way = DirectAccess::default();
    let changes = refused(&mut way, 8, 150);
    assert_eq!(changes.iter().flatten().collect::<Vec<_>>(), [&AccessChange::Lost]);
    assert!(way.prefers_peers());
    assert_eq!(way.record_result(NOW, NOW + Duration::from_secs(9), None), Some(AccessChange::Regained));
    assert!(!way.prefers_peers());
}

#[test]
fn an_outage_puts_the_way_in_doubt_at_once() {
    for error in [StoreError::Unavailable, StoreError::Unknown] {
        assert_eq!(DirectAccess::default().record_result(NOW, NOW, Some(error)), Some(AccessChange::Lost));
    }
}

/// A partition that has many transactions to carry out answers one of them late, and the store answers other
/// calls meanwhile. A call that is sent after the last answer and gets none shows that the way is shut.
#[test]
fn a_late_partition_is_not_a_lost_store() {
    let at = |ms| NOW + Duration::from_millis(ms);
    let mut way = DirectAccess::default();
    assert_eq!(way.record_result(at(500), at(504), None), None);
    assert_eq!(way.record_result(at(0), at(600), Some(StoreError::Unknown)), None);
    assert!(!way.prefers_peers());
    assert_eq!(way.record_result(at(505), at(1_105), Some(StoreError::Unknown)), Some(AccessChange::Lost));
    assert_eq!(way.record_result(at(1_200), at(1_204), None), Some(AccessChange::Regained));
}
