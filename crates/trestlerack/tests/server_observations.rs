//! What nodes tell each other of servers: who believes what, for how long, and at what cost.

#[path = "support/load.rs"]
mod load;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use trestlerack::process::{NodeNews, ServerBoard, ServerNeed, ServerNote, ServerStanding, server_gossip};
use trestlerack::{Name, Timestamp};

fn board() -> ServerBoard {
    let entries: Vec<_> = (0..6).map(|number| load::plain_server(&format!("i-{number}"), "s", "z", 6)).collect();
    let mut board = load::board_of(&entries);
    board.stated_slowness(Timestamp(0), "i-0", 100);
    board
}

fn note(server: &str, origin: &str, number: u64, slowness: f32, age_ms: u64) -> ServerNote {
    ServerNote { instance: server.into(), started_ms: 1, origin: origin.into(), number, slowness, failing: 0.0, age_ms }
}

fn own() -> Name {
    "n".into()
}

fn answer(board: &mut ServerBoard, at_ms: u64, server: &str, took_ms: u64) {
    board.answer_took(Timestamp(at_ms), server, &"r".into(), Duration::from_millis(took_ms));
}

fn expected(board: &ServerBoard, at_ms: u64, server: &str) -> f64 {
    board.basis(Timestamp(at_ms), server, None).unwrap().expected
}

#[test]
fn a_note_is_believed_for_five_seconds_from_when_its_origin_saw_it() {
    let mut board = board();
    assert!(board.learn_note(Timestamp(10_000), &own(), &note("i-1", "a", 1, 6.0, 1_400)));
    assert!(expected(&board, 13_400, "i-1") > 5.0);
    assert_eq!(board.basis(Timestamp(13_400), "i-1", None).unwrap().told_by.as_deref(), Some("a"));
    assert!(expected(&board, 13_600, "i-1") < 1.1);
    assert!(!board.learn_note(Timestamp(20_000), &own(), &note("i-2", "a", 2, 6.0, 5_000)), "too old");
}

#[test]
fn an_own_younger_observation_goes_before_the_word_of_others() {
    let mut board = board();
    answer(&mut board, 10_000, "i-1", 50);
    assert!(!board.learn_note(Timestamp(10_100), &own(), &note("i-1", "a", 1, 6.0, 500)), "what it saw is older");
    assert!(expected(&board, 10_100, "i-1") < 1.1);
    assert!(board.learn_note(Timestamp(10_200), &own(), &note("i-1", "a", 2, 6.0, 50)));
    assert!(expected(&board, 10_200, "i-1") > 5.0);
    answer(&mut board, 10_300, "i-1", 50);
    assert!(expected(&board, 10_300, "i-1") < 1.1);
}

#[test]
fn echoes_other_starts_and_improper_notes_are_dropped() {
    let mut board = board();
    let now = Timestamp(10_000);
    assert!(board.learn_note(now, &own(), &note("i-1", "a", 7, 6.0, 0)));
    assert!(!board.learn_note(now, &own(), &note("i-1", "a", 7, 6.0, 0)), "the same again");
    assert!(!board.learn_note(now, &own(), &note("i-1", "a", 6, 9.0, 0)), "an earlier one");
    assert!(!board.learn_note(now, &own(), &note("i-2", "n", 1, 6.0, 0)), "its own");
    assert!(!board.learn_note(now, &own(), &note("i-9", "a", 8, 6.0, 0)), "an unknown server");
    let other_start = ServerNote { started_ms: 2, ..note("i-2", "a", 9, 6.0, 0) };
    assert!(!board.learn_note(now, &own(), &other_start));
    for slowness in [f32::NAN, f32::INFINITY, 0.0, -1.0] {
        assert!(!board.learn_note(now, &own(), &note("i-3", "a", 10, slowness, 0)));
    }
    assert!((expected(&board, 10_000, "i-3") - 1.0).abs() < 0.01);
}

/// What is passed on keeps its origin and number, and each message adds 100 ms to its age, so that it is never
/// younger.
#[test]
fn a_note_that_is_passed_on_keeps_its_age_and_origin() {
    let mut board = board();
    board.learn_note(Timestamp(10_000), &own(), &note("i-1", "a", 4, 6.0, 300));
    let passed = board.take_notes(Timestamp(10_200), &own());
    assert_eq!(passed, [note("i-1", "a", 4, 6.0, 600)]);
    assert!(board.take_notes(Timestamp(10_300), &own()).is_empty(), "once");
}

/// A lying node that calls all servers slow, again and again.
#[test]
fn on_the_word_of_others_at_most_a_third_of_a_service_is_left() {
    let mut board = board();
    for round in 0..50 {
        let now = Timestamp(10_000 + round * 100);
        for server in 0..6 {
            board.learn_note(now, &own(), &note(&format!("i-{server}"), "liar", round * 6 + server, 16.0, 0));
        }
        let aside = (0..6).filter(|server| board.standing(now, &format!("i-{server}")) != ServerStanding::Well);
        assert!(aside.count() <= 2);
        let chosen: std::collections::BTreeSet<_> = (0..200)
            .map(|node| {
                let key = format!("n-{node}");
                let need = ServerNeed { service: "s", zone: "z", tie_key: &key, ..ServerNeed::default() };
                board.choose(now, &need).unwrap().entry.instance.clone()
            })
            .collect();
        assert!(chosen.len() >= 4, "only {chosen:?} are chosen from");
    }
}

/// Even a liar that spares two servers leaves only a third aside.
#[test]
fn a_liar_cannot_drive_all_calls_to_few_servers() {
    let mut board = board();
    for server in 0..4 {
        board.learn_note(Timestamp(10_000), &own(), &note(&format!("i-{server}"), "liar", server, 16.0, 0));
    }
    let aside =
        (0..6).filter(|server| board.standing(Timestamp(10_000), &format!("i-{server}")) != ServerStanding::Well);
    assert_eq!(aside.count(), 2);
}

#[test]
fn a_calm_service_is_not_told_of() {
    let (mut board, mut random) = (board(), StdRng::seed_from_u64(1));
    for step in 0..20_000 {
        let server = format!("i-{}", random.random_range(0..6));
        answer(&mut board, 1_000 + step * 5, &server, random.random_range(35..65));
        assert!(!board.has_notes(), "at step {step}");
    }
}

/// Nodes that tell each other with messages that come late or not at all.
struct PlayedNodes {
    boards: Vec<ServerBoard>,
    names: Vec<Name>,
    in_flight: Vec<(u64, usize, Vec<ServerNote>)>,
    random: StdRng,
    bytes: Vec<usize>,
}

impl PlayedNodes {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            boards: (0..count).map(|_| board()).collect(),
            names: (0..count).map(|number| format!("n-{number}").into()).collect(),
            in_flight: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            bytes: vec![0; count],
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = Timestamp(now_ms);
        let (arrived, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now_ms);
        self.in_flight = later;
        let arrived: Vec<(u64, usize, Vec<ServerNote>)> = arrived;
        for (_, node, notes) in arrived {
            for note in notes {
                self.boards[node].learn_note(now, &self.names[node], &note);
            }
        }
        for node in 0..self.boards.len() {
            if self.boards[node].has_notes() {
                let notes = self.boards[node].take_notes(now, &self.names[node]);
                self.send(now_ms, node, &notes);
            }
        }
    }

    fn send(&mut self, now_ms: u64, node: usize, notes: &[ServerNote]) {
        if notes.is_empty() {
            return;
        }
        let others: Vec<Name> = self.names.iter().filter(|name| **name != self.names[node]).cloned().collect();
        for peer in server_gossip().pick_told(&others, &mut self.random) {
            let news = NodeNews { sender: self.names[node].clone(), servers: notes.to_vec(), ..NodeNews::default() };
            // No shorter than what is sent.
            self.bytes[node] += serde_json::to_vec(&news).unwrap().len();
            let is_lost = self.random.random_range(0..100) < 5;
            if !is_lost {
                let at = now_ms + self.random.random_range(2..60);
                let number = self.names.iter().position(|name| *name == peer).unwrap();
                self.in_flight.push((at, number, notes.to_vec()));
            }
        }
    }
}

/// One node saw a slow server and no node ever sees it again.
#[test]
fn nothing_is_kept_alive_by_passing_it_round() {
    let mut nodes = PlayedNodes::new(86, 1);
    nodes.boards[0].learn_note(Timestamp(10_000), &"n-0".into(), &note("i-1", "gone", 1, 6.0, 0));
    let mut most = 0;
    for now in (10_000..20_000).step_by(5) {
        nodes.step(now);
        let believing = nodes.boards.iter().filter(|board| expected(board, now, "i-1") > 2.0).count();
        most = most.max(believing);
        assert!(now < 15_000 || believing == 0, "{believing} nodes believe it at {now}");
    }
    assert!(most >= 78, "{most} of 86 nodes heard of it");
    assert!(nodes.in_flight.is_empty());
}

/// A server turns slow under calls from all nodes, for many seconds.
#[test]
fn what_nodes_tell_stays_under_half_a_kilobyte_a_second_and_node() {
    for count in [86, 300, 370] {
        let mut nodes = PlayedNodes::new(count, 2);
        let servers = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"];
        for now in (10_000..40_000).step_by(10) {
            for _ in 0..4 {
                let (node, server) = (nodes.random.random_range(0..count), *servers.choose(&mut nodes.random).unwrap());
                // Two of them change between slow and well each three seconds.
                let is_slow = (server == "i-1" || server == "i-2") && (now / 3_000) % 2 == 0;
                answer(&mut nodes.boards[node], now, server, if is_slow { 300 } else { 50 });
            }
            nodes.step(now);
        }
        let total: usize = nodes.bytes.iter().sum();
        let mean = total as f64 / count as f64 / 30.0;
        let most = *nodes.bytes.iter().max().unwrap() as f64 / 30.0;
        println!("{count} nodes: {mean:.0} bytes a second and node, {most:.0} at the busiest");
        assert!(most < 512.0, "{count} nodes: {mean:.0} bytes a second and node, {most:.0} at the busiest");
    }
}
