//! Duties to the platform: which lease holder may call, which wall clock is used, and what is reported.

use bolero::check;
use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::{
    DutyGate, DutySettings, StableWallClock, UsageCollector, UsageCounter, UsageSender, UsageSettings, UsageSnapshot,
};
use trestlerack::{Name, Timestamp};

/// A call as it arrives at the platform.
#[derive(Clone, Copy, Debug)]
struct SeenCall {
    at: u64,
    node: usize,
    fence: u64,
}

/// Time within which calls of two holders must not alternate, in milliseconds.
const ALTERNATION_MS: u64 = 3_000;

/// Checks that fencing tokens never decrease and that no holder calls again within `ALTERNATION_MS` of its
/// earlier call if another holder called in between.
fn check_calls(calls: &[SeenCall]) -> Result<(), String> {
    for pair in calls.windows(2) {
        if pair[1].fence < pair[0].fence {
            return Err(format!("a call with a lower fencing token after one with a higher token: {pair:?}"));
        }
    }
    for (index, call) in calls.iter().enumerate() {
        let recent = calls[..index].iter().rev().take_while(|other| call.at - other.at <= ALTERNATION_MS);
        let mut other_called = false;
        for earlier in recent {
            if earlier.node != call.node {
                other_called = true;
            } else if other_called {
                return Err(format!("calls of two holders alternate: {earlier:?} and {call:?}"));
            }
        }
    }
    Ok(())
}

/// Simulates holders that follow each other at random and sometimes restart. The last calls of each holder
/// arrive late by `DELAY_MS`. Returns the calls in the order in which they arrive at the platform.
fn simulate(choices: &[(u8, u8, bool)], uses_gate: bool) -> Vec<SeenCall> {
    const NODES: usize = 3;
    const DELAY_MS: u64 = 900;
    let settings = DutySettings::default();
    let mut gates: Vec<DutyGate> = (0..NODES).map(|_| DutyGate::new(settings.clone(), Timestamp(0))).collect();
    let (mut now, mut calls) = (0, Vec::new());
    for (index, (node, held_for, restarts)) in choices.iter().enumerate() {
        let (node, fence) = (usize::from(*node) % NODES, index as u64 + 1);
        if *restarts {
            gates[node] = DutyGate::new(settings.clone(), Timestamp(now));
        }
        let until = now + u64::from(*held_for) * 30;
        while now < until {
            if !uses_gate || gates[node].may_call(Timestamp(now), fence) {
                gates[node].record_call(Timestamp(now), fence);
                let delay = if now + 100 >= until { DELAY_MS } else { 0 };
                calls.push(SeenCall { at: now + delay, node, fence });
            }
            now += 100;
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

#[test]
fn calls_of_two_holders_never_alternate_and_none_arrives_after_one_of_a_later_holder() {
    check!().with_type::<Vec<(u8, u8, bool)>>().with_iterations(2_000).for_each(|choices| {
        check_calls(&simulate(choices, true)).unwrap();
    });
}

/// The checker itself must fail for holders that call as soon as they have the lease.
#[test]
fn the_checker_detects_holders_that_do_not_wait() {
    let immediate = simulate(&[(0, 30, false), (1, 20, false), (0, 30, false)], false);
    assert!(check_calls(&immediate).is_err());
    let alternating: Vec<SeenCall> =
        [(0, 0, 1), (500, 1, 2), (1_000, 0, 3)].map(|(at, node, fence)| SeenCall { at, node, fence }).into();
    assert!(check_calls(&alternating).unwrap_err().contains("alternate"));
}

#[test]
fn the_first_holder_calls_at_once_and_the_next_after_the_call_time() {
    let settings = DutySettings::default();
    let mut first = DutyGate::new(settings.clone(), Timestamp(0));
    assert!(first.may_call(Timestamp(10), 1));
    let mut next = DutyGate::new(settings, Timestamp(0));
    let calls_from = (0..10_000).find(|now| next.may_call(Timestamp(20_000 + now), 2));
    assert_eq!(calls_from, Some(1_000), "the maximum time that a call may be in flight");
}

/// The wall clock is set two seconds ahead and back again five seconds later.
#[test]
fn a_jump_of_the_wall_clock_is_ignored_until_it_persists() {
    let mut wall = StableWallClock::default();
    let true_ms = |steady: u64| 1_700_000_000_000 + steady;
    assert_eq!(wall.read(0, true_ms(0)), true_ms(0));
    for steady in (100..5_000).step_by(100) {
        assert_eq!(wall.read(steady, true_ms(steady) + 2_000), true_ms(steady));
    }
    assert_eq!(wall.read(5_000, true_ms(5_000)), true_ms(5_000));
    // A clock that drifts is followed, because each reading differs little from the one before.
    for steady in (5_000..65_000).step_by(100) {
        let drifted = true_ms(steady) + (steady - 5_000) / 100;
        assert_eq!(wall.read(steady, drifted), drifted);
    }
    let mut wall = StableWallClock::default();
    wall.read(0, true_ms(0));
    let followed = (1_000..200_000).step_by(1_000).find(|at| wall.read(*at, true_ms(*at) - 7_000) < true_ms(*at));
    assert_eq!(followed, Some(61_000));
}

const USAGE: UsageSettings = UsageSettings { window_ms: 5_000, due_ms: 10_000 };

#[test]
fn a_window_is_summed_after_nodes_had_time_to_send_and_before_its_report_is_due() {
    let window = 1_000;
    let end = (window + 1) * 5_000;
    let summed_at = |since| (end..end + 20_000).step_by(100).find(|wall| USAGE.should_sum(window, *wall, since));
    assert_eq!(summed_at(0), Some(end + 3_500));
    assert_eq!(summed_at(end + 2_000), Some(end + 5_500), "a new holder waits for snapshots as long as the first one");
    assert_eq!(summed_at(end + 7_000), Some(end + 8_000), "but not until the report is overdue");
    assert!(!USAGE.is_expired(window, end + 14_000) && USAGE.is_expired(window, end + 25_000));
}

/// Snapshots arrive late, twice and out of order, holders change and nodes restart: each request still
/// counts once.
#[test]
fn each_counted_request_is_summed_once() {
    check!().with_type::<Vec<(u8, u8, u8)>>().with_iterations(1_000).for_each(|steps| {
        let mut counters: Vec<UsageCounter> = vec![UsageCounter::default(); 4];
        let mut incarnations = [0_u64; 4];
        let mut expected: BTreeMap<u64, BTreeMap<Name, u64>> = BTreeMap::new();
        let mut collector = UsageCollector::default();
        let mut in_flight: Vec<(UsageSender, Vec<UsageSnapshot>)> = Vec::new();
        let sender = |node: usize, incarnation| UsageSender { node: format!("n{node}").into(), incarnation };
        for (action, node, value) in steps {
            let node = usize::from(*node) % 4;
            match action % 6 {
                0..=2 => {
                    let (window, customer) = (u64::from(*value) % 3, Name::from(format!("c{}", value % 5)));
                    counters[node].count(window, &customer);
                    *expected.entry(window).or_default().entry(customer).or_insert(0) += 1;
                }
                3 => in_flight.push((sender(node, incarnations[node]), counters[node].unacknowledged())),
                4 => {
                    if let Some((from, snapshots)) =
                        in_flight.get(usize::from(*value) % in_flight.len().max(1)).cloned()
                    {
                        snapshots.iter().cloned().for_each(|snapshot| {
                            collector.merge(&from, snapshot);
                        });
                    }
                }
                // A node that stops as planned sends all snapshots before it restarts and counts from zero.
                _ => {
                    for snapshot in counters[node].unacknowledged() {
                        collector.merge(&sender(node, incarnations[node]), snapshot);
                    }
                    counters[node] = UsageCounter::default();
                    incarnations[node] += 1;
                }
            }
        }
        for (node, counter) in counters.iter_mut().enumerate() {
            let snapshots = counter.unacknowledged();
            snapshots.iter().cloned().for_each(|snapshot| {
                collector.merge(&sender(node, incarnations[node]), snapshot);
            });
            counter.acknowledge(&snapshots);
            assert!(counter.unacknowledged().is_empty());
            counter.forget_acknowledged();
            assert_eq!(counter.unacknowledged(), snapshots, "another holder receives all snapshots");
        }
        for window in 0..3 {
            assert_eq!(collector.total(window), expected.remove(&window).unwrap_or_default());
        }
    });
}

#[test]
fn a_late_snapshot_does_not_replace_a_newer_one() {
    let sender = UsageSender { node: "n".into(), incarnation: 1 };
    let snapshot = |revision, count| UsageSnapshot { window: 7, revision, counts: [("c".into(), count)].into() };
    let mut collector = UsageCollector::default();
    assert!(
        collector.merge(&sender, snapshot(2, 2))
            && !collector.merge(&sender, snapshot(1, 1))
            && !collector.merge(&sender, snapshot(2, 2))
    );
    assert_eq!(collector.total(7)["c"], 2);
    collector.forget_before(8);
    assert!(collector.snapshots(7).is_none());
    assert_eq!(Duration::from_millis(USAGE.window_ms), Duration::from_secs(5));
}
