//! Steps on engines of uneven pace: where their last texts go, and when a run moves.

#[path = "support/load.rs"]
mod load;

use load::{board_of, plain_server};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{MOVE_SLOWNESS, RunMove, ServerBoard, ServerEntry, ServerNeed, ServerRoom};
use trestlerack::request::{ItemEvent, JobItem, JobSpec, JobTracker, RunEnd, RunKind, TrackerSettings};
use trestlerack::{Name, Timestamp};

const PACE: Duration = Duration::from_millis(40);

/// A step of `groups` groups of two items each, of which its trainer waits for `target`.
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
fn the_last_groups_of_a_step_are_those_nearest_to_be_whole() {
    let mut ledger = step(10, 8, 20);
    assert!(final_groups(&ledger).is_empty(), "all are wanted alike");
    (0..10).for_each(|index| list(&mut ledger, index, 5));
    assert!(final_groups(&ledger).is_empty(), "three of eight are still to come");
    list(&mut ledger, 10, 5);
    list(&mut ledger, 11, 5);
    list(&mut ledger, 12, 5);
    assert_eq!(final_groups(&ledger).len(), 4, "two to come: one near, and any of the others");
    list(&mut ledger, 14, 5);
    assert_eq!(final_groups(&ledger), ["group-6", "group-7"].map(Name::from));
    list(&mut ledger, 13, 5);
    list(&mut ledger, 15, 5);
    assert!(final_groups(&ledger).is_empty(), "the trainer has what it waits for");
    let mut untrained = step(4, 0, 20);
    (0..6).for_each(|index| list(&mut untrained, index, 5));
    assert!(final_groups(&untrained).is_empty(), "no step waits");
}

#[test]
fn the_length_of_a_text_is_learnt_from_those_that_are_whole() {
    let mut ledger = step(2, 2, 40);
    make_events(&mut ledger, 1, 5);
    assert_eq!(
        (ledger.generated_fraction(1), ledger.remaining_events(1)),
        (5.0 / 40.0, Some(35.0)),
        "a token an event at first"
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
fn a_last_run_moves_for_what_it_gains_and_others_for_a_large_difference_only() {
    // 30 events at 40 ms are 0.17 s sooner whole where an event takes a seventh less.
    assert!(run_move(1.14, 1.0, Some(30.0), true).is_worth());
    assert!(!run_move(1.14, 1.0, Some(30.0), false).is_worth(), "others keep the plain rule");
    assert!(!run_move(1.14, 1.0, Some(10.0), true).is_worth(), "the text is nearly whole");
    assert!(!run_move(1.14, 1.0, None, true).is_worth(), "its length is not known");
    for is_last in [true, false] {
        assert!(run_move(1.3, 1.0, None, is_last).is_worth());
        assert!(!run_move(1.0, 1.0, Some(1e6), is_last).is_worth(), "equal engines keep their runs");
        assert!(!run_move(1.0, 1.14, Some(1e6), is_last).is_worth(), "no run moves to a slower engine");
    }
}

/// Four engines that are 0.6 to 1.6 times as slow as is usual.
const SLOWNESS: [(&str, f64); 4] = [("a", 0.6), ("b", 1.0), ("c", 1.15), ("d", 1.6)];

fn engines(slowness: &[(&str, f64)]) -> ServerBoard {
    let engine = |(name, _): &(&str, f64)| {
        let models = vec![("m".into(), 1)];
        ServerEntry { models, ..plain_server(name, "s", "z", 8) }
    };
    let mut board = board_of(&slowness.iter().map(engine).collect::<Vec<_>>());
    for (name, factor) in slowness {
        board.event_gap(Timestamp(1_000), name, PACE.mul_f64(*factor));
    }
    board
}

/// Plays the rest of one text from `start` on, in steps of one usual event, with a move wherever the
/// rule says so and the faster engines have room; returns when it is whole, in seconds, without the
/// cost of moves, and how many there were.
fn play_rest(board: &ServerBoard, start: &str, mut left: f64, is_last: bool) -> (f64, usize) {
    let now = Timestamp(1_000);
    let (mut engine, mut took, mut moves) = (Name::from(start), 0.0, 0);
    while left > 0.0 {
        let avoid = [engine.clone()];
        let need = ServerNeed {
            service: "s",
            weights: Some(("m", 1)),
            room: ServerRoom::Place,
            is_long: is_last,
            avoid: &avoid,
            ..ServerNeed::default()
        };
        let other = board.choose(now, &need).unwrap().entry.instance.clone();
        let slowness = board.slowness(now, &engine);
        let pace = Duration::from_secs_f64(board.typical_pace(now, "s") / 1_000.0);
        let other_slowness = board.slowness(now, &other);
        if (RunMove { slowness, other_slowness, event_gap: pace, remaining_events: Some(left), is_final: is_last })
            .is_worth()
        {
            (engine, moves) = (other, moves + 1);
        }
        took += pace.as_secs_f64() * board.slowness(now, &engine);
        left -= 1.0;
    }
    (took, moves)
}

#[test]
fn a_steps_last_text_never_stays_on_a_slow_engine_while_a_faster_one_has_room() {
    let board = engines(&SLOWNESS);
    for start in ["b", "c", "d"] {
        let (took, moves) = play_rest(&board, start, 30.0, true);
        assert!(moves == 1 && took < 30.0 * 0.6 * 0.04 + 0.01, "from {start}: {took} s, {moves} moves");
    }
    // The same with engines that differ by less than what a move needs otherwise.
    let near = engines(&[("a", 1.0), ("b", 1.0), ("c", 1.16), ("d", 1.0)]);
    let (as_before, last) = (play_rest(&near, "c", 30.0, false), play_rest(&near, "c", 30.0, true));
    assert_eq!((as_before.1, last.1), (0, 1), "{MOVE_SLOWNESS} is not reached");
    assert!(last.0 < as_before.0 - 0.12, "{} s, {} s before", last.0, as_before.0);
}

#[test]
fn on_equal_engines_the_last_texts_go_where_they_always_went() {
    let mut board = engines(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]);
    for loads in [[0, 0, 0], [2, 1, 3], [7, 7, 6], [5, 8, 8]] {
        let names = ["a", "b", "c"];
        for (name, load) in names.iter().zip(loads) {
            (0..load).for_each(|_| board.started(name));
        }
        let chosen = |is_long: bool| {
            let room = ServerRoom::Place;
            let need = ServerNeed { service: "s", weights: Some(("m", 1)), room, is_long, ..ServerNeed::default() };
            board.choose(Timestamp(1_000), &need).map(|belief| belief.entry.instance.clone())
        };
        assert_eq!(chosen(true), chosen(false), "{loads:?}");
        assert_eq!(play_rest(&engines(&[("a", 1.0), ("b", 1.0)]), "a", 50.0, true).1, 0);
        for (name, load) in names.iter().zip(loads) {
            (0..load).for_each(|_| board.ended(name));
        }
    }
}
