//! Duties to the platform: whose turn it is, whose time of day is believed, and what is reported.

use bolero::check;
use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::{
    DutyGate, DutySettings, StableWallClock, UsageCounter, UsageDesk, UsageNote, UsageSender, UsageSettings,
};
use trestlerack::{Name, Timestamp};

/// A call as the platform sees it.
#[derive(Clone, Copy, Debug)]
struct SeenCall {
    at: u64,
    node: usize,
    fence: u64,
}

/// Two holders that take turns within this time break the promise, in milliseconds.
const TURN_MS: u64 = 3_000;

/// Checks that fencing numbers never fall and that no holder comes again shortly after another one.
fn check_calls(calls: &[SeenCall]) -> Result<(), String> {
    for pair in calls.windows(2) {
        if pair[1].fence < pair[0].fence {
            return Err(format!("a lower fencing number behind a higher one: {pair:?}"));
        }
    }
    for (index, call) in calls.iter().enumerate() {
        let before = calls[..index].iter().rev().take_while(|other| call.at - other.at <= TURN_MS);
        let mut other_came = false;
        for earlier in before {
            if earlier.node != call.node {
                other_came = true;
            } else if other_came {
                return Err(format!("holders take turns: {earlier:?} and {call:?}"));
            }
        }
    }
    Ok(())
}

/// Plays holders that follow each other at random and restart now and then; their calls arrive up to
/// `DELAY_MS` late. Returns what the platform sees.
fn play(choices: &[(u8, u8, bool)], asks_gate: bool) -> Vec<SeenCall> {
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
            if !asks_gate || gates[node].may_call(Timestamp(now), fence) {
                gates[node].called(Timestamp(now), fence);
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
fn holders_never_take_turns_and_no_late_call_comes_behind_a_later_holder() {
    check!().with_type::<Vec<(u8, u8, bool)>>().with_iterations(2_000).for_each(|choices| {
        check_calls(&play(choices, true)).unwrap();
    });
}

/// The checker must notice a holder that calls as soon as it has the lease.
#[test]
fn the_checker_notices_holders_that_do_not_wait() {
    let hasty = play(&[(0, 30, false), (1, 20, false), (0, 30, false)], false);
    assert!(check_calls(&hasty).is_err());
    let turns: Vec<SeenCall> =
        [(0, 0, 1), (500, 1, 2), (1_000, 0, 3)].map(|(at, node, fence)| SeenCall { at, node, fence }).into();
    assert!(check_calls(&turns).unwrap_err().contains("take turns"));
}

#[test]
fn the_first_holder_calls_at_once_and_the_next_soon() {
    let settings = DutySettings::default();
    let mut first = DutyGate::new(settings.clone(), Timestamp(0));
    assert!(first.may_call(Timestamp(10), 1));
    let mut next = DutyGate::new(settings, Timestamp(0));
    let calls_from = (0..10_000).find(|now| next.may_call(Timestamp(20_000 + now), 2));
    assert_eq!(calls_from, Some(1_000), "as long as a call may be under way");
}

/// The time of day jumps by two seconds for five, as a clock does that is set twice.
#[test]
fn a_jump_of_the_time_of_day_is_not_followed_until_it_stays() {
    let mut wall = StableWallClock::default();
    let true_ms = |steady: u64| 1_700_000_000_000 + steady;
    assert_eq!(wall.read(0, true_ms(0)), true_ms(0));
    for steady in (100..5_000).step_by(100) {
        assert_eq!(wall.read(steady, true_ms(steady) + 2_000), true_ms(steady));
    }
    assert_eq!(wall.read(5_000, true_ms(5_000)), true_ms(5_000));
    // A clock that drifts is followed, since each look sees little of it.
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
fn a_window_is_added_up_when_nodes_had_time_to_tell_and_before_it_is_due() {
    let window = 1_000;
    let end = (window + 1) * 5_000;
    let due_at = |listening| (end..end + 20_000).step_by(100).find(|wall| USAGE.is_due(window, *wall, listening));
    assert_eq!(due_at(0), Some(end + 3_500));
    assert_eq!(due_at(end + 2_000), Some(end + 5_500), "a new holder listens as long");
    assert_eq!(due_at(end + 7_000), Some(end + 8_000), "but not beyond the time at which the report is due");
    assert!(!USAGE.is_over(window, end + 14_000) && USAGE.is_over(window, end + 25_000));
}

/// Notes come late, twice and out of order, holders change and nodes restart: what is added up is
/// what was counted.
#[test]
fn what_nodes_counted_is_added_up_once() {
    check!().with_type::<Vec<(u8, u8, u8)>>().with_iterations(1_000).for_each(|steps| {
        let mut counters: Vec<UsageCounter> = vec![UsageCounter::default(); 4];
        let mut incarnations = [0_u64; 4];
        let mut truth: BTreeMap<u64, BTreeMap<Name, u64>> = BTreeMap::new();
        let mut desk = UsageDesk::default();
        let mut under_way: Vec<(UsageSender, Vec<UsageNote>)> = Vec::new();
        let sender = |node: usize, incarnation| UsageSender { node: format!("n{node}").into(), incarnation };
        for (action, node, value) in steps {
            let node = usize::from(*node) % 4;
            match action % 6 {
                0..=2 => {
                    let (window, customer) = (u64::from(*value) % 3, Name::from(format!("c{}", value % 5)));
                    counters[node].count(window, &customer);
                    *truth.entry(window).or_default().entry(customer).or_insert(0) += 1;
                }
                3 => under_way.push((sender(node, incarnations[node]), counters[node].unacknowledged())),
                4 => {
                    if let Some((from, notes)) = under_way.get(usize::from(*value) % under_way.len().max(1)).cloned() {
                        notes.iter().cloned().for_each(|note| {
                            desk.take(&from, note);
                        });
                    }
                }
                // A node that stops as planned tells all before it counts from zero again.
                _ => {
                    for note in counters[node].unacknowledged() {
                        desk.take(&sender(node, incarnations[node]), note);
                    }
                    counters[node] = UsageCounter::default();
                    incarnations[node] += 1;
                }
            }
        }
        for (node, counter) in counters.iter_mut().enumerate() {
            let notes = counter.unacknowledged();
            notes.iter().cloned().for_each(|note| {
                desk.take(&sender(node, incarnations[node]), note);
            });
            counter.acknowledge(&notes);
            assert!(counter.unacknowledged().is_empty());
            counter.forget_acknowledged();
            assert_eq!(counter.unacknowledged(), notes, "another holder is told all of it");
        }
        for window in 0..3 {
            assert_eq!(desk.total(window), truth.remove(&window).unwrap_or_default());
        }
    });
}

#[test]
fn a_late_note_does_not_replace_a_newer_one() {
    let sender = UsageSender { node: "n".into(), incarnation: 1 };
    let note = |revision, count| UsageNote { window: 7, revision, counts: [("c".into(), count)].into() };
    let mut desk = UsageDesk::default();
    assert!(desk.take(&sender, note(2, 2)) && !desk.take(&sender, note(1, 1)) && !desk.take(&sender, note(2, 2)));
    assert_eq!(desk.total(7)["c"], 2);
    desk.forget_before(8);
    assert!(desk.notes(7).is_none());
    assert_eq!(Duration::from_millis(USAGE.window_ms), Duration::from_secs(5));
}
