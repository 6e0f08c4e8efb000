//! Servers that state how long work takes there are chosen by the time that an answer is expected to
//! take; all others as before.

#[path = "support/load.rs"]
mod load;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use trestlerack::hash::{hash_parts, rendezvous_weight};
use trestlerack::process::{ServerBoard, ServerEntry, ServerNeed, ServerStanding};
use trestlerack::{Name, Timestamp};

fn servers(count: usize) -> Vec<ServerEntry> {
    (0..count).map(|number| load::plain_server(&format!("i-{number}"), "s", "z", 6)).collect()
}

/// A board whose servers stated once how long work takes there.
fn stating_board(count: usize) -> ServerBoard {
    let mut board = load::board_of(&servers(count));
    for number in 0..count {
        let is_first = board.stated_slowness(Timestamp(0), &format!("i-{number}"), 100);
        assert_eq!(is_first, number == 0);
    }
    board
}

fn need<'a>(node: &'a str) -> ServerNeed<'a> {
    ServerNeed { service: "s", zone: "z", tie_key: node, ..ServerNeed::default() }
}

fn answer(board: &mut ServerBoard, at_ms: u64, server: &str, took_ms: u64) {
    let kind: Name = "r".into();
    board.answer_took(Timestamp(at_ms), server, &kind, Duration::from_millis(took_ms));
}

/// What the choice was before: the least fill, with a cost for another zone and the tie by hash.
fn choose_by_fill(entries: &[ServerEntry], busy: &[u32], node: &str) -> Name {
    let key = hash_parts(&[node]);
    let cost = |number: usize| {
        let zone_cost = if &*entries[number].zone == "z" { 0.0 } else { 0.1 };
        f64::from(busy[number]) / f64::from(entries[number].slots) + zone_cost
    };
    let weight = |number: usize| rendezvous_weight(key, &entries[number].instance);
    let numbers = 0..entries.len();
    let least = numbers
        .min_by(|left, right| cost(*left).total_cmp(&cost(*right)).then_with(|| weight(*left).cmp(&weight(*right))));
    entries[least.unwrap()].instance.clone()
}

#[test]
fn a_service_that_states_no_slowness_is_chosen_from_as_before() {
    let mut entries = servers(7);
    entries[3..].iter_mut().for_each(|entry| entry.zone = "y".into());
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut board = load::board_of(&entries);
        let mut busy = [0; 7];
        for step in 0..500 {
            let now = Timestamp(1_000 + step * 10);
            let node = format!("node-{}", random.random_range(0..9));
            let chosen = board.choose(now, &need(&node)).unwrap().entry.instance.clone();
            assert_eq!(chosen, choose_by_fill(&entries, &busy, &node), "seed {seed}, step {step}");
            board.started(&chosen);
            busy[entries.iter().position(|entry| entry.instance == chosen).unwrap()] += 1;
            // What is learnt of answers changes nothing, and nothing is told.
            answer(&mut board, now.0, &chosen, random.random_range(10..2_000));
            board.answer_failed(now, &chosen);
            board.answer_outstanding(now, &chosen, &"r".into(), Duration::from_secs(1));
            let ended = random.random_range(0..7);
            if busy[ended] > 0 {
                busy[ended] -= 1;
                board.ended(&entries[ended].instance);
            }
        }
        assert!(!board.has_notes());
    }
}

#[test]
fn a_slow_server_is_left_after_its_first_answers_and_tried_again_later() {
    let mut board = stating_board(5);
    for step in 0..50 {
        answer(&mut board, step, &format!("i-{}", step % 5), 50);
    }
    (0..3).for_each(|step| answer(&mut board, 100 + step, "i-2", 300));
    assert_eq!(board.standing(Timestamp(110), "i-2"), ServerStanding::Trickle);
    let chosen = |board: &ServerBoard, at_ms: u64| {
        let of_node = |node: usize| board.choose(Timestamp(at_ms), &need(&format!("n-{node}"))).unwrap();
        (0..300).filter(|node| &*of_node(*node).entry.instance == "i-2").count()
    };
    assert!(chosen(&board, 110) <= 300 / 40, "{} of 300 nodes", chosen(&board, 110));
    // Some seconds later its share is as any other's, one call at a time.
    assert_eq!(board.standing(Timestamp(9_000), "i-2"), ServerStanding::Returning(1));
    assert!((30..90).contains(&chosen(&board, 9_000)), "{} of 300 nodes", chosen(&board, 9_000));
}

/// Red before: nothing but the fill counted, so each server had the same share of the nodes.
#[test]
fn nodes_that_know_no_load_spread_by_the_speed_of_servers() {
    let mut board = stating_board(3);
    for step in 0..300 {
        answer(&mut board, 1_000 + step, "i-0", 83);
        answer(&mut board, 1_000 + step, "i-1", 50);
        answer(&mut board, 1_000 + step, "i-2", 31);
    }
    let mut shares = [0; 3];
    for node in 0..3_000 {
        let name = board.choose(Timestamp(1_400), &need(&format!("n-{node}"))).unwrap().entry.instance.clone();
        shares[name[2..].parse::<usize>().unwrap()] += 1;
    }
    // Speeds of 0.6, 1 and 1.6 have 0.19, 0.31 and 0.5 of what the service can do.
    let near = |share: i32, aim: f64| (f64::from(share) / 3_000.0 - aim).abs() < 0.06;
    assert!(near(shares[0], 0.19) && near(shares[1], 0.31) && near(shares[2], 0.5), "{shares:?}");
}

#[test]
fn an_answer_that_is_still_awaited_counts_at_once() {
    let mut board = stating_board(5);
    (0..40).for_each(|step| answer(&mut board, step, &format!("i-{}", step % 5), 50));
    let kind: Name = "r".into();
    let expected = |board: &ServerBoard| board.basis(Timestamp(200), "i-1", None).unwrap().expected;
    let before = expected(&board);
    board.answer_outstanding(Timestamp(200), "i-1", &kind, Duration::from_millis(150));
    assert!(expected(&board) > before * 1.4, "{before} before, {} after", expected(&board));
    // A lower bound below what is known says nothing.
    let known = expected(&board);
    board.answer_outstanding(Timestamp(200), "i-1", &kind, Duration::from_millis(1));
    assert!((expected(&board) - known).abs() < 1e-9);
}

#[test]
fn a_stated_slowness_counts_by_its_age_and_never_alone() {
    let mut board = stating_board(5);
    let expected = |board: &ServerBoard, at_ms| board.basis(Timestamp(at_ms), "i-1", None).unwrap().expected;
    board.stated_slowness(Timestamp(1_000), "i-1", 300);
    assert!((expected(&board, 1_000) - 2.0).abs() < 0.01, "half of it at once");
    assert!((expected(&board, 1_100) - 1.5).abs() < 0.01, "half of that after 100 ms");
    assert!(expected(&board, 2_000) < 1.01);
    assert_eq!(board.standing(Timestamp(1_000), "i-1"), ServerStanding::Well);
}

#[test]
fn a_near_server_goes_first_until_it_is_much_slower() {
    let mut entries = servers(4);
    entries[1..].iter_mut().for_each(|entry| entry.zone = "y".into());
    let mut board = load::board_of(&entries);
    board.stated_slowness(Timestamp(0), "i-0", 100);
    (0..40).for_each(|step| answer(&mut board, 1_000 + step, &format!("i-{}", step % 4), 50));
    let chosen =
        |board: &ServerBoard, node: &str| board.choose(Timestamp(1_050), &need(node)).unwrap().entry.instance.clone();
    (0..50).for_each(|node| assert_eq!(&*chosen(&board, &format!("n-{node}")), "i-0"));
    (0..3).for_each(|step| answer(&mut board, 1_040 + step, "i-0", 100));
    let far = (0..50).filter(|node| &*chosen(&board, &format!("n-{node}")) != "i-0").count();
    assert!(far > 25, "{far} of 50 nodes go to other zones");
}

/// A node that has just started asks a peer for what it knows once a server states its slowness, also where
/// servers are compared already because customers share them.
#[test]
fn the_first_stated_slowness_is_news_also_where_servers_are_compared_already() {
    let mut board = load::board_of(&[load::plain_server("a", "s", "z", 4)]);
    board.compare_servers(&"s".into());
    assert!(board.compares_servers("s"));
    assert!(board.stated_slowness(Timestamp(1_000), "a", 100));
    assert!(!board.stated_slowness(Timestamp(1_001), "a", 100));
}
