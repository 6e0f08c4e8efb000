//! Steps on engines of different pace: where the last texts are placed, and when a run moves.

#[path = "support/load.rs"]
mod load;

use load::{balancer_of, plain_server};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{LoadBalancer, MOVE_SLOWNESS, RunMove, ServerEntry, ServerNeed, SlotNeed};
use trestlerack::request::{ItemEvent, JobItem, JobSpec, JobTracker, RunEnd, RunKind, TrackerSettings};
use trestlerack::{Name, Timestamp};

const PACE: Duration = Duration::from_millis(40);

/// A step of `groups` groups with two items each, of which its trainer waits for `target`.
fn step(groups: usize, target: u32, hint: u64) -> JobTracker {
    let item = |number: usize| JobItem {
        id: format!("item-{number}").into(),
        group: format!("group-{}", number / 2).into(),
        path: "/p/1".into(),
        headers: Vec::new(),
        body: "x".into(),
        tokens: 100,
        length_hint: Some(hint),
        model: None,
        scorer: None,
    };
    let spec = JobSpec {
        id: "job".into(),
        host: "h".into(),
        path: "/p/".into(),
        step: Some(1),
        model: Some("m".into()),
        min_version: 1,
        target_groups: target,
        items: (0..2 * groups).map(item).collect(),
    };
    JobTracker::new(Arc::new(spec), TrackerSettings::default(), Vec::new(), HashMap::new())
}

fn make_events(ledger: &mut JobTracker, index: usize, events: u64) {
    ledger.start(index, &"engine".into());
    for number in 1..=events {
        let event = ItemEvent { number, data: "e".into(), version: None };
        ledger.append(index, RunKind::Primary, &event, Some(1)).unwrap();
    }
}

fn list(ledger: &mut JobTracker, index: usize, events: u64) {
    make_events(ledger, index, events);
    assert!(ledger.end_run(Timestamp(0), index, RunEnd::Complete));
    ledger.record_score(index, None);
    ledger.mark_recorded(&format!("item-{index}"));
}

fn final_groups(ledger: &JobTracker) -> Vec<Name> {
    let mut groups: Vec<Name> = ledger.final_groups().into_iter().collect();
    groups.sort();
    groups
}

#[test]
fn the_last_groups_of_a_step_are_those_closest_to_completion() {
    let mut ledger = step(10, 8, 20);
    assert!(final_groups(&ledger).is_empty(), "most groups are still missing");
    (0..10).for_each(|index| list(&mut ledger, index, 5));
    assert!(final_groups(&ledger).is_empty(), "three of eight are missing");
    list(&mut ledger, 10, 5);
    list(&mut ledger, 11, 5);
    list(&mut ledger, 12, 5);
    assert_eq!(
        final_groups(&ledger).len(),
        4,
        "two are missing: one is half done, and any of the others may be the second"
    );
    list(&mut ledger, 14, 5);
    assert_eq!(final_groups(&ledger), ["group-6", "group-7"].map(Name::from));
    list(&mut ledger, 13, 5);
    list(&mut ledger, 15, 5);
    assert!(final_groups(&ledger).is_empty(), "the trainer has all groups that it waits for");
    let mut untrained = step(4, 0, 20);
    (0..6).for_each(|index| list(&mut untrained, index, 5));
    assert!(final_groups(&untrained).is_empty(), "no trainer waits");
}

#[test]
fn text_length_is_estimated_from_complete_texts() {
    let mut ledger = step(2, 2, 40);
    make_events(&mut ledger, 1, 5);
    assert_eq!(
        (ledger.generated_fraction(1), ledger.remaining_events(1)),
        (5.0 / 40.0, Some(35.0)),
        "one token per event is assumed at first"
    );
    list(&mut ledger, 0, 10);
    assert_eq!((ledger.generated_fraction(1), ledger.remaining_events(1)), (0.5, Some(5.0)));
    assert!(!ledger.was_preempted(1));
    ledger.mark_preempted(1);
    assert!(ledger.was_preempted(1));
}

fn run_move(slowness: f64, other_slowness: f64, remaining_events: Option<f64>, is_final: bool) -> RunMove {
    RunMove { slowness, other_slowness, event_gap: PACE, remaining_events, is_final }
}

#[test]
fn a_last_run_moves_if_it_saves_time_and_others_only_for_a_large_difference() {
    // 30 events at 40 ms complete 0.17 s earlier if each event takes a seventh less.
    assert!(run_move(1.14, 1.0, Some(30.0), true).is_worth());
    assert!(!run_move(1.14, 1.0, Some(30.0), false).is_worth(), "other runs need the factor");
    assert!(!run_move(1.14, 1.0, Some(10.0), true).is_worth(), "the text is nearly complete");
    assert!(!run_move(1.14, 1.0, None, true).is_worth(), "its length is not known");
    for is_last in [true, false] {
        assert!(run_move(1.3, 1.0, None, is_last).is_worth());
        assert!(!run_move(1.0, 1.0, Some(1e6), is_last).is_worth(), "equal engines keep their runs");
        assert!(!run_move(1.0, 1.14, Some(1e6), is_last).is_worth(), "no run moves to a slower engine");
    }
}

/// Four engines with 0.6 to 1.6 times the normal time per event.
const SLOWNESS: [(&str, f64); 4] = [("a", 0.6), ("b", 1.0), ("c", 1.15), ("d", 1.6)];

fn engines(slowness: &[(&str, f64)]) -> LoadBalancer {
    let engine = |(name, _): &(&str, f64)| {
        let models = vec![("m".into(), 1)];
        ServerEntry { models, ..plain_server(name, "s", "z", 8) }
    };
    let mut balancer = balancer_of(&slowness.iter().map(engine).collect::<Vec<_>>());
    for (name, factor) in slowness {
        balancer.record_event_gap(Timestamp(1_000), name, PACE.mul_f64(*factor));
    }
    balancer
}

/// Simulates the rest of one text that starts on `start`, one normal event at a time, with a move whenever the
/// rule allows it and a faster engine has a free slot. Returns the time until the text is complete, in seconds
/// and without the cost of moves, and the number of moves.
fn simulate_remaining(balancer: &LoadBalancer, start: &str, mut remaining: f64, is_last: bool) -> (f64, usize) {
    let now = Timestamp(1_000);
    let (mut engine, mut took, mut moves) = (Name::from(start), 0.0, 0);
    while remaining > 0.0 {
        let avoid = [engine.clone()];
        let need = ServerNeed {
            service: "s",
            weights: Some(("m", 1)),
            slot_need: SlotNeed::One,
            is_long: is_last,
            avoid: &avoid,
            ..ServerNeed::default()
        };
        let other = balancer.choose(now, &need).unwrap().entry.instance.clone();
        let slowness = balancer.slowness(now, &engine);
        let pace = Duration::from_secs_f64(balancer.median_pace(now, "s") / 1_000.0);
        let other_slowness = balancer.slowness(now, &other);
        if (RunMove { slowness, other_slowness, event_gap: pace, remaining_events: Some(remaining), is_final: is_last })
            .is_worth()
        {
            (engine, moves) = (other, moves + 1);
        }
        took += pace.as_secs_f64() * balancer.slowness(now, &engine);
        remaining -= 1.0;
    }
    (took, moves)
}

#[test]
fn a_steps_last_text_never_stays_on_a_slow_engine_while_a_faster_one_has_a_free_slot() {
    let balancer = engines(&SLOWNESS);
    for start in ["b", "c", "d"] {
        let (took, moves) = simulate_remaining(&balancer, start, 30.0, true);
        assert!(moves == 1 && took < 30.0 * 0.6 * 0.04 + 0.01, "from {start}: {took} s, {moves} moves");
    }
    // These engines differ by less than an ordinary run needs to move.
    let similar = engines(&[("a", 1.0), ("b", 1.0), ("c", 1.16), ("d", 1.0)]);
    let (ordinary, last) =
        (simulate_remaining(&similar, "c", 30.0, false), simulate_remaining(&similar, "c", 30.0, true));
    assert_eq!((ordinary.1, last.1), (0, 1), "{MOVE_SLOWNESS} is not reached");
    assert!(last.0 < ordinary.0 - 0.12, "{} s, {} s for an ordinary run", last.0, ordinary.0);
}

#[test]
fn on_equal_engines_the_last_texts_are_placed_like_all_others() {
    let mut balancer = engines(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    for loads in [[0, 0, 0], [2, 1, 3], [7, 7, 6], [5, 8, 8]] {
        let names = ["a", "b", "c"];
        for (name, load) in names.iter().zip(loads) {
            (0..load).for_each(|_| balancer.started(name));
        }
        let chosen = |is_long: bool| {
            let slot_need = SlotNeed::One;
            let need =
                ServerNeed { service: "s", weights: Some(("m", 1)), slot_need, is_long, ..ServerNeed::default() };
            balancer.choose(Timestamp(1_000), &need).map(|server| server.entry.instance.clone())
        };
        assert_eq!(chosen(true), chosen(false), "{loads:?}");
        assert_eq!(simulate_remaining(&engines(&[("a", 1.0), ("b", 1.0)]), "a", 50.0, true).1, 0);
        for (name, load) in names.iter().zip(loads) {
            (0..load).for_each(|_| balancer.ended(name));
        }
    }
}
