//! Servers whose answers are slow or fail against those of their peers are set aside and come back.

#[path = "support/load.rs"]
mod load;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use trestlerack::process::{ServerBoard, ServerNeed, ServerRoom, ServerStanding};
use trestlerack::{Name, Timestamp};

/// A node in front of servers that answer as a closure says.
struct PlayedNode {
    board: ServerBoard,
    servers: usize,
    kind: Name,
}

/// How a server answers a call.
enum Played {
    Took(u64),
    Failed,
}

impl PlayedNode {
    fn new(servers: usize) -> Self {
        let names: Vec<String> = (0..servers).map(|number| format!("i-{number}")).collect();
        let entries: Vec<_> = names.iter().map(|name| load::plain_server(name, "s", "z", 6)).collect();
        let mut board = load::board_of(&entries);
        names.iter().for_each(|name| {
            board.stated_slowness(Timestamp(0), name, 100);
        });
        Self { board, servers, kind: "r".into() }
    }

    fn answered(&mut self, at_ms: u64, server: usize, played: &Played) {
        let (now, name) = (Timestamp(at_ms), format!("i-{server}"));
        match played {
            Played::Took(ms) => self.board.answer_took(now, &name, &self.kind, Duration::from_millis(*ms)),
            Played::Failed => self.board.answer_failed(now, &name),
        }
    }

    fn standing(&self, at_ms: u64, server: usize) -> ServerStanding {
        self.board.standing(Timestamp(at_ms), &format!("i-{server}"))
    }

    fn aside(&self, at_ms: u64) -> Vec<usize> {
        (0..self.servers).filter(|server| self.standing(at_ms, *server) != ServerStanding::Well).collect()
    }

    /// Plays a call each 10 ms that goes where the node chooses, and returns the share of each server.
    fn play(&mut self, from_ms: u64, for_ms: u64, mut answer: impl FnMut(u64, usize) -> Played) -> Vec<f64> {
        let mut counts = vec![0.0; self.servers];
        let mut open: Vec<(u64, usize, Played)> = Vec::new();
        let calls = for_ms / 10;
        for number in 0..calls {
            let now = from_ms + number * 10;
            while let Some(at) = open.iter().position(|(end, ..)| *end <= now) {
                let (end, server, played) = open.swap_remove(at);
                self.board.ended(&format!("i-{server}"));
                self.answered(end, server, &played);
            }
            let need =
                ServerNeed { service: "s", zone: "z", tie_key: "n", is_repeatable: true, ..ServerNeed::default() };
            let chosen = self.board.choose(Timestamp(now), &need).unwrap().entry.instance.clone();
            let server: usize = chosen[2..].parse().unwrap();
            self.board.started(&chosen);
            self.board.stated_load(Timestamp(now), &chosen, 1, 0);
            counts[server] += 1.0 / calls as f64;
            let played = answer(now, server);
            let took = if let Played::Took(ms) = played { ms } else { 20 };
            open.push((now + took, server, played));
        }
        counts
    }
}

/// Work of a call, which differs by itself.
fn work(random: &mut StdRng) -> u64 {
    random.random_range(35..65)
}

#[test]
fn a_server_that_fails_part_of_its_requests_gets_a_trickle() {
    let (mut node, mut random) = (PlayedNode::new(5), StdRng::seed_from_u64(1));
    node.play(1_000, 2_000, |_, _| Played::Took(work(&mut random)));
    assert!(node.aside(3_000).is_empty());
    let mut count = 0;
    let shares = node.play(3_000, 6_000, |_, server| {
        count += usize::from(server == 1);
        if server == 1 && count % 2 == 0 { Played::Failed } else { Played::Took(work(&mut random)) }
    });
    assert!(shares[1] < 0.05, "the grey server got {shares:?}");
}

#[test]
fn a_server_that_looks_healthy_and_fails_all_is_set_aside_at_once() {
    let mut node = PlayedNode::new(5);
    (0..20).for_each(|step| node.answered(1_000 + step, step as usize % 5, &Played::Took(50)));
    (0..3).for_each(|step| node.answered(1_100 + step, 4, &Played::Failed));
    assert_eq!(node.standing(1_110, 4), ServerStanding::Trickle);
}

#[test]
fn a_server_that_flaps_stays_aside_meanwhile_and_returns_in_steps() {
    let (mut node, mut random) = (PlayedNode::new(5), StdRng::seed_from_u64(2));
    node.play(1_000, 1_000, |_, _| Played::Took(work(&mut random)));
    let shares = node.play(2_000, 6_000, |now, server| {
        let is_down = server == 2 && (now / 300) % 2 == 0;
        if is_down { Played::Failed } else { Played::Took(work(&mut random)) }
    });
    assert!(shares[2] < 0.1, "the flapping server got {shares:?}");
    node.play(8_000, 10_000, |_, _| Played::Took(work(&mut random)));
    assert_eq!(node.standing(18_000, 2), ServerStanding::Well);
    let shares = node.play(18_000, 2_000, |_, _| Played::Took(work(&mut random)));
    assert!(shares[2] > 0.1, "it is used again: {shares:?}");
}

#[test]
fn a_set_aside_server_returns_by_one_two_and_four_calls() {
    let mut node = PlayedNode::new(5);
    (0..25).for_each(|step| node.answered(1_000 + step, step as usize % 5, &Played::Took(50)));
    (0..4).for_each(|step| node.answered(1_100 + step, 0, &Played::Took(300)));
    assert_eq!(node.standing(1_110, 0), ServerStanding::Trickle);
    let mut seen = Vec::new();
    for step in 0..60 {
        node.answered(1_200 + step * 50, 0, &Played::Took(50));
        let standing = node.standing(1_200 + step * 50, 0);
        if seen.last() != Some(&standing) {
            seen.push(standing);
        }
    }
    let returning = ServerStanding::Returning;
    assert_eq!(seen, [ServerStanding::Trickle, returning(1), returning(2), returning(4), ServerStanding::Well]);
}

/// Neighbours slow 15 in 100 servers by 2.5 for 300 ms of each 600 ms; that passes, so no server is to be
/// set aside for it.
#[test]
fn servers_with_noisy_neighbours_are_no_outliers() {
    for seed in 0..5 {
        for pause in [10, 40] {
            let (mut node, mut random) = (PlayedNode::new(13), StdRng::seed_from_u64(seed));
            for step in 0..2_000 {
                let now = 1_000 + step * pause;
                let server = random.random_range(0..13);
                let is_noisy = server < 2 && (now + 100 * server as u64) % 600 < 300;
                let took = work(&mut random) as f64 * if is_noisy { 2.5 } else { 1.0 };
                node.answered(now, server, &Played::Took(took as u64));
                assert_eq!(node.aside(now), Vec::<usize>::new(), "seed {seed}, each {pause} ms, at {now}");
            }
        }
    }
}

#[test]
fn a_server_that_starts_slowly_gets_less_and_comes_back() {
    let (mut node, mut random) = (PlayedNode::new(5), StdRng::seed_from_u64(3));
    node.play(1_000, 1_000, |_, _| Played::Took(work(&mut random)));
    let shares = node.play(2_000, 2_000, |_, server| {
        let factor = if server == 3 { 4 } else { 1 };
        Played::Took(work(&mut random) * factor)
    });
    assert!(shares[3] < 0.1, "while it is slow: {shares:?}");
    node.play(4_000, 6_000, |_, _| Played::Took(work(&mut random)));
    assert_eq!(node.standing(10_000, 3), ServerStanding::Well);
}

#[test]
fn none_is_an_outlier_where_all_are_slow_alike() {
    let (mut node, mut random) = (PlayedNode::new(5), StdRng::seed_from_u64(4));
    node.play(1_000, 2_000, |_, _| Played::Took(work(&mut random)));
    for step in 0..400 {
        let now = 3_000 + step * 10;
        node.answered(now, step as usize % 5, &Played::Took(6 * work(&mut random)));
        if step >= 10 {
            assert!(node.aside(now).is_empty(), "{:?} at {now}", node.aside(now));
        }
    }
}

/// Two servers are slow and three others fail, so that all five are worse than the middle one.
#[test]
fn at_least_half_of_a_service_stays() {
    let mut node = PlayedNode::new(6);
    (0..60).for_each(|step| node.answered(1_000 + step, step as usize % 6, &Played::Took(50)));
    let mut most = 0;
    for step in 0..200 {
        let server = step as usize % 6;
        let played = match server {
            0 => Played::Took(50),
            1 | 2 => Played::Took(400),
            _ => Played::Failed,
        };
        node.answered(1_100 + step * 5, server, &played);
        most = most.max(node.aside(1_100 + step * 5).len());
    }
    assert_eq!(most, 3);
}

/// Work that can wait does not fill a server that is set aside as soon as the others are full.
#[test]
fn who_asks_for_a_free_place_waits_for_one_at_a_server_that_is_well() {
    let mut node = PlayedNode::new(3);
    (0..30).for_each(|step| node.answered(1_000 + step, step as usize % 3, &Played::Took(50)));
    (0..4).for_each(|step| node.answered(1_100 + step, 0, &Played::Took(400)));
    assert_eq!(node.standing(1_110, 0), ServerStanding::Trickle);
    (0..12).for_each(|call| node.board.started(["i-1", "i-2"][call % 2]));
    let need = ServerNeed { service: "s", zone: "z", tie_key: "n", room: ServerRoom::Place, ..ServerNeed::default() };
    assert!(node.board.choose(Timestamp(1_110), &need).is_none());
    let need = ServerNeed { room: ServerRoom::Any, ..need };
    assert_ne!(&*node.board.choose(Timestamp(1_110), &need).unwrap().entry.instance, "i-0");
    node.board.ended("i-1");
    let need = ServerNeed { room: ServerRoom::Place, ..need };
    assert_eq!(&*node.board.choose(Timestamp(1_110), &need).unwrap().entry.instance, "i-1");
}
