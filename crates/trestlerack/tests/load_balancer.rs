//! Where requests go, by what a node believes of the servers.

use std::time::Duration;
use trestlerack::process::{
    BoardSettings, RegistrySettings, ServerBoard, ServerEntry, ServerNeed, ServerRegistry, ServerRoom,
};
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(100_000);

fn entry(instance: &str, zone: &str, version: u64) -> ServerEntry {
    ServerEntry {
        instance: instance.into(),
        service: "models".into(),
        address: format!("10.0.0.1:{}", 8_000 + instance.len()).into(),
        zone: zone.into(),
        slots: 2,
        is_draining: false,
        models: vec![("m".into(), version)],
        heartbeat: 1,
        started_ms: 1,
    }
}

fn registry(entries: &[ServerEntry]) -> ServerRegistry {
    let mut registry = ServerRegistry::new(RegistrySettings::default());
    entries.iter().for_each(|entry| assert!(registry.put(entry.clone())));
    registry
}

fn board(entries: &[ServerEntry]) -> ServerBoard {
    let mut board = ServerBoard::new(BoardSettings::default());
    board.sync(&registry(entries));
    board
}

fn need(oldest: u64) -> ServerNeed<'static> {
    ServerNeed { service: "models", weights: Some(("m", oldest)), room: ServerRoom::Place, ..ServerNeed::default() }
}

fn chosen(board: &ServerBoard, now: Timestamp, need: &ServerNeed<'_>) -> Option<String> {
    board.choose(now, need).map(|belief| belief.entry.instance.to_string())
}

#[test]
fn only_engines_with_new_enough_weights_and_a_free_place_will_do() {
    let mut board = board(&[entry("a", "z", 1), entry("b", "z", 2)]);
    assert_eq!(chosen(&board, NOW, &need(2)), Some("b".into()));
    assert_eq!(chosen(&board, NOW, &need(3)), None);
    board.started("b");
    board.started("b");
    assert_eq!(chosen(&board, NOW, &need(2)), None);
    board.ended("b");
    assert_eq!(chosen(&board, NOW, &need(2)), Some("b".into()));
}

#[test]
fn a_step_takes_engines_that_are_not_newer_than_it_needs() {
    let board = board(&[entry("a", "z", 3), entry("b", "z", 2)]);
    assert_eq!(chosen(&board, NOW, &need(2)), Some("b".into()));
    assert_eq!(chosen(&board, NOW, &need(3)), Some("a".into()));
}

#[test]
fn an_engine_that_loads_takes_nothing_until_it_should_be_done() {
    let mut board = board(&[entry("a", "z", 1)]);
    board.loading("a", "m", 2, NOW + Duration::from_millis(900));
    assert_eq!(chosen(&board, NOW, &need(1)), None);
    assert_eq!(chosen(&board, NOW + Duration::from_millis(900), &need(2)), Some("a".into()));
    // What the engine itself states counts more than what it was ordered.
    board.stated_version("a", "m", 1);
    assert_eq!(chosen(&board, NOW + Duration::from_millis(900), &need(2)), None);
}

#[test]
fn a_slow_engine_is_chosen_last_and_an_old_slowness_counts_less() {
    let mut board = board(&[entry("a", "z", 1), entry("b", "z", 1), entry("c", "z", 1)]);
    for (engine, gap) in [("a", 150), ("b", 40), ("c", 40)] {
        board.event_gap(NOW, engine, Duration::from_millis(gap));
    }
    assert!((board.slowness(NOW, "a") - 3.75).abs() < 0.01);
    board.started("b");
    assert_eq!(chosen(&board, NOW, &need(1)), Some("c".into()));
    board.started("c");
    assert_ne!(chosen(&board, NOW, &need(1)), Some("a".into()), "half full and fast beats empty and slow");
    let later = NOW + Duration::from_secs(10);
    assert!(board.slowness(later, "a") <= BoardSettings::default().old_slowness);
}

/// What is left out could not be moved: no other engine is faster by the factor.
#[test]
fn only_engines_much_slower_than_the_fastest_are_looked_at_for_moves() {
    let mut board = board(&[entry("a", "z", 1), entry("b", "z", 1), entry("c", "z", 1), entry("d", "z", 1)]);
    for (engine, gap) in [("a", 40), ("b", 47), ("c", 49), ("d", 150)] {
        board.event_gap(NOW, engine, Duration::from_millis(gap));
    }
    let running = ["a", "b", "c"].map(Name::from).into();
    let slow = board.slow_among(NOW, "models", 1.2, &running);
    assert_eq!(slow, ["c"].map(Name::from).into(), "d runs nothing, b is 1.18 times slower than a");
    assert!(board.slow_among(NOW, "other", 1.2, &running).is_empty());
}

/// Two engines in three are 1.3 times faster. A long text goes to a fast one even if that has a
/// single place left, a short one to where there is room.
#[test]
fn a_long_text_takes_the_last_place_of_a_fast_engine() {
    let mut board = board(&[entry("a", "z", 1), entry("b", "z", 1), entry("c", "z", 1)]);
    for (engine, gap) in [("a", 75), ("b", 75), ("c", 98)] {
        board.event_gap(NOW, engine, Duration::from_millis(gap));
        if engine != "c" {
            board.started(engine);
        }
    }
    let long = ServerNeed { is_long: true, ..need(1) };
    assert_ne!(chosen(&board, NOW, &long), Some("c".into()));
    assert_eq!(chosen(&board, NOW, &need(1)), Some("c".into()));
}

#[test]
fn a_second_run_takes_an_engine_that_is_less_than_half_full() {
    let mut board = board(&[ServerEntry { slots: 6, ..entry("a", "z", 1) }]);
    let idle = ServerNeed { room: ServerRoom::Half, ..need(1) };
    (0..2).for_each(|_| board.started("a"));
    assert_eq!(chosen(&board, NOW, &idle), Some("a".into()));
    board.started("a");
    assert_eq!(chosen(&board, NOW, &idle), None);
    assert_eq!(chosen(&board, NOW, &need(1)), Some("a".into()));
}

#[test]
fn failures_in_a_row_pause_a_server_longer_and_a_success_ends_that() {
    let mut board = board(&[entry("a", "z", 1)]);
    let first = board.failed(NOW, "a");
    assert_eq!(chosen(&board, NOW, &need(1)), None);
    assert_eq!(chosen(&board, NOW + first, &need(1)), Some("a".into()));
    let second = board.failed(NOW + first, "a");
    assert_eq!(second, first * 2);
    board.succeeded("a");
    assert_eq!(board.failed(NOW, "a"), first);
}

#[test]
fn refusals_that_come_together_count_as_one() {
    let mut board = board(&[entry("a", "z", 1)]);
    (0..12).for_each(|_| board.refused(NOW, "a"));
    let pause = BoardSettings::default().refusal_pause;
    assert_eq!(chosen(&board, NOW + pause, &need(1)), Some("a".into()));
    board.refused(NOW + pause, "a");
    assert_eq!(chosen(&board, NOW + pause * 2, &need(1)), None);
    assert_eq!(chosen(&board, NOW + pause * 3, &need(1)), Some("a".into()));
}

#[test]
fn a_plain_request_prefers_its_own_zone_and_the_emptier_server() {
    let mut board = board(&[entry("a", "far", 1), entry("b", "near", 1)]);
    let plain = ServerNeed { service: "models", zone: "near", ..ServerNeed::default() };
    assert_eq!(chosen(&board, NOW, &plain), Some("b".into()));
    board.stated_load(NOW, "b", 2, 1);
    assert_eq!(chosen(&board, NOW, &plain), Some("a".into()));
    let avoid = ["a".into()];
    assert_eq!(chosen(&board, NOW, &ServerNeed { avoid: &avoid, ..plain }), Some("b".into()));
}

/// Many nodes that know of no load send one request each: no server gets much more than the others,
/// and none outside the zone gets any. Each node goes on with its server.
#[test]
fn nodes_that_know_of_no_load_spread_their_requests_over_the_zone() {
    let servers: Vec<ServerEntry> =
        (0..30).map(|number| entry(&format!("i-{number:02}"), ["near", "far", "other"][number % 3], 1)).collect();
    let board = board(&servers);
    let mut counts = std::collections::BTreeMap::new();
    for node in 0..1_000 {
        let name = format!("node-{node}");
        let plain = ServerNeed { service: "models", zone: "near", tie_key: &name, ..ServerNeed::default() };
        let server = chosen(&board, NOW, &plain).unwrap();
        assert_eq!(chosen(&board, NOW, &plain), Some(server.clone()));
        *counts.entry(server).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 10, "{counts:?}");
    assert!(counts.values().all(|count| (60..150).contains(count)), "{counts:?}");
}

/// All engines hold the first version of all models. Each driver keeps to those of its own model,
/// also while they are full, and takes others only while none of its own will do at all.
#[test]
fn drivers_of_several_models_keep_to_the_engines_that_are_to_serve_theirs() {
    let mut both = entry("a", "z", 1);
    both.models.push(("n".into(), 1));
    let mut board = board(&[both.clone(), ServerEntry { instance: "b".into(), ..both }]);
    let other = ServerNeed { weights: Some(("n", 1)), ..need(1) };
    board.assign(&"a".into(), Some(&"m".into()));
    assert_eq!(chosen(&board, NOW, &need(1)), Some("a".into()));
    assert!(chosen(&board, NOW, &other).is_some(), "no engine is to serve that model yet");
    board.assign(&"b".into(), Some(&"n".into()));
    board.started("a");
    board.started("a");
    assert_eq!(chosen(&board, NOW, &need(1)), None, "a place of its own will be free sooner or later");
    assert_eq!(chosen(&board, NOW, &other), Some("b".into()));
    let pause = board.failed(NOW, "a");
    assert_eq!(chosen(&board, NOW, &need(1)), Some("b".into()), "none of its own takes anything");
    assert_eq!(chosen(&board, NOW + pause, &need(1)), None);
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let draining = ServerEntry { is_draining: true, ..entry("a", "z", 1) };
    let board = board(&[draining]);
    assert_eq!(chosen(&board, NOW, &need(1)), None);
    assert_eq!(board.count(NOW, &need(1)), 0);
}

#[test]
fn an_entry_that_lapsed_during_an_outage_is_believed_for_a_while() {
    let mut registry = registry(&[entry("a", "z", 1), entry("b", "z", 1)]);
    registry.store_lost();
    registry.store_returned(NOW);
    assert!(!registry.remove(NOW, "a"));
    assert!(!registry.remove(NOW, "b"));
    assert!(registry.get("a").is_some());
    // One registers again in time, the other one is gone.
    registry.put(entry("b", "z", 1));
    let limit = NOW + RegistrySettings::default().return_time;
    assert_eq!(registry.expire(limit), ["a".into()]);
    assert!(registry.get("a").is_none() && registry.get("b").is_some());
    assert!(registry.remove(limit, "b"), "long after an outage a removal counts at once");
}

#[test]
fn a_server_that_starts_again_under_its_instance_is_another_one() {
    let again = ServerEntry { started_ms: 2, ..entry("a", "z", 1) };
    let mut registry = registry(&[entry("a", "z", 4)]);
    let mut board = board(&[entry("a", "z", 4)]);
    board.started("a");
    board.stated_version("a", &trestlerack::Name::from("m"), 9);
    for _ in 0..5 {
        board.failed(NOW, "a");
    }
    assert_eq!(chosen(&board, NOW, &need(1)), None, "it is paused after its failures");
    assert!(registry.put(again.clone()));
    board.sync(&registry);
    let belief = board.get("a").unwrap();
    assert_eq!((belief.version("m"), belief.in_flight), (Some(1), 1), "its versions ended with its earlier start");
    assert_eq!(chosen(&board, NOW, &need(1)), Some("a".into()));
    assert!(!registry.put(entry("a", "z", 7)), "a late heartbeat of the earlier start changes nothing");
    assert_eq!(registry.get("a"), Some(&again));
}

#[test]
fn an_entry_that_was_written_over_names_no_server_even_after_an_outage() {
    let mut registry = registry(&[entry("a", "z", 1), entry("b", "z", 1)]);
    registry.store_lost();
    registry.store_returned(NOW);
    assert!(!registry.remove(NOW, "a"), "believed for a while");
    assert!(registry.refuse("a") && registry.refuse("b") && !registry.refuse("c"));
    assert_eq!(registry.entries().count(), 0);
    assert!(registry.expire(NOW + RegistrySettings::default().return_time).is_empty());
}

#[test]
fn heartbeats_alone_are_no_news() {
    let mut registry = registry(&[entry("a", "z", 1)]);
    assert!(!registry.put(ServerEntry { heartbeat: 2, ..entry("a", "z", 1) }));
    assert!(registry.put(ServerEntry { heartbeat: 3, is_draining: true, ..entry("a", "z", 1) }));
    registry.replace(NOW, vec![entry("c", "z", 1)]);
    assert!(registry.get("a").is_none() && registry.get("c").is_some());
}

#[test]
fn a_text_of_one_version_goes_on_at_an_engine_of_that_version() {
    let board = board(&[entry("a", "z", 4), entry("b", "z", 5)]);
    let need = ServerNeed { pinned: Some(4), ..need(3) };
    assert_eq!(chosen(&board, NOW, &need), Some("a".into()));
    assert_eq!(chosen(&board, NOW, &ServerNeed { pinned: Some(3), ..need }), None);
}
