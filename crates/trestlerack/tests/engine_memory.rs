//! Memory of model engines: what counts, who has room, and that nothing stays counted.

#[path = "support/load.rs"]
mod load;
mod support;

use load::{board_of, plain_server};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::for_seeds;
use trestlerack::process::{EngineMemory, ServerBoard, ServerNeed, ServerRoom, SharedPrompt, TokenNeed};
use trestlerack::version::{ClientLimits, RoutedService, RoutingTable};
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(1_000);

/// A run whose group shares 100 tokens of prompt.
fn run(group: u64, prompt: u64, output: u64) -> TokenNeed {
    TokenNeed { prompt, shared: Some(SharedPrompt { key: group, tokens: 100 }), output_most: output, output_hint: None }
}

/// A configuration whose engines hold so many tokens each.
fn configuration(version: u64, engine_tokens: u64) -> RoutingTable {
    let limits = ClientLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    let service = RoutedService {
        name: "s".into(),
        max_connections: 1,
        engine_slots: 8,
        engine_tokens,
        models: Vec::new(),
        scaling: None,
    };
    RoutingTable::new(version, Vec::new(), vec![service], limits)
}

fn memory_of(tokens: u64) -> EngineMemory {
    let mut memory = EngineMemory::default();
    memory.set_capacities(&configuration(2, tokens));
    memory
}

#[test]
fn an_older_configuration_changes_no_capacity() {
    let mut memory = memory_of(300);
    memory.set_capacities(&configuration(1, 900));
    assert_eq!(memory.capacity("s"), Some(300));
    memory.set_capacities(&configuration(3, 900));
    assert_eq!(memory.capacity("s"), Some(900));
}

#[test]
fn an_engine_that_is_left_for_its_memory_is_told_of_once_a_second() {
    let mut board = board_of(&[plain_server("a", "s", "z", 8), plain_server("b", "s", "z", 8)]);
    board.memory.set_capacities(&configuration(2, 300));
    board.memory.take(&"a".into(), &run(1, 10, 90));
    let tokens = run(2, 10, 90);
    let need = ServerNeed { service: "s", tokens: Some(&tokens), room: ServerRoom::Place, ..ServerNeed::default() };
    let told = [0, 999, 1_000, 1_500].map(|ms| board.left_for_memory(Timestamp(NOW.0 + ms), &need));
    let line: Vec<(Name, u64)> = vec![("a".into(), 200)];
    assert_eq!(told, [line.clone(), Vec::new(), line, Vec::new()]);
}

#[test]
fn a_group_counts_its_shared_prompt_once_at_each_engine() {
    let mut memory = memory_of(1_000);
    let (first, second): (Name, Name) = ("a".into(), "b".into());
    memory.take(&first, &run(1, 10, 20));
    memory.take(&first, &run(1, 10, 20));
    memory.take(&second, &run(1, 10, 20));
    assert_eq!((memory.held_at("a"), memory.held_at("b"), memory.held_at("c")), (160, 130, 0));
    assert_eq!(memory.holders(), [(first, 160), (second, 130)]);
    memory.give_back("a", &run(1, 10, 20));
    assert_eq!(memory.held_at("a"), 130, "the other one still has the shared part");
}

#[test]
fn the_estimate_of_an_output_counts_up_to_its_maximum() {
    let need = |output_hint| TokenNeed { output_hint, ..run(1, 10, 50) };
    assert_eq!((need(None).alone(), need(Some(20)).alone(), need(Some(500)).alone()), (160, 130, 160));
}

/// Against the capacity of 300, which two runs of one group fill and two of different ones exceed.
#[test]
fn an_engine_whose_memory_is_spoken_for_is_not_chosen() {
    let mut board = board_of(&[plain_server("a", "s", "z", 8), plain_server("b", "s", "z", 8)]);
    board.memory.set_capacities(&configuration(2, 300));
    let chosen = |board: &ServerBoard, tokens: &TokenNeed| {
        let need = ServerNeed { service: "s", tokens: Some(tokens), room: ServerRoom::Place, ..ServerNeed::default() };
        board.choose(NOW, &need).map(|belief| belief.entry.instance.clone())
    };
    let (of_one, of_two) = (run(1, 10, 90), run(2, 10, 90));
    board.memory.take(&"a".into(), &of_one);
    assert_eq!(chosen(&board, &of_two), Some("b".into()), "200 more are too much at a");
    board.memory.take(&"b".into(), &of_two);
    assert!(chosen(&board, &of_one).is_some(), "100 more are not too much where the group is");
    board.memory.take(&"a".into(), &of_one);
    board.memory.take(&"b".into(), &of_two);
    assert_eq!(chosen(&board, &run(1, 1, 0)), None);
    let need = ServerNeed { service: "s", tokens: Some(&of_one), ..ServerNeed::default() };
    assert_eq!(board.count(NOW, &need), 2, "they would do if they had room");
    board.memory.give_back("a", &of_one);
    assert_eq!(chosen(&board, &of_one), Some("a".into()));
}

/// Returns after how many turns an item that needs all of one engine is placed, if it ever is in 200.
/// Three engines hold three small runs each. These last nine turns, end one after the other at each
/// engine, and another one takes the room of each.
fn turns_of_a_large_item(keeps_one: bool) -> Option<u64> {
    let names = ["a", "b", "c"];
    let mut board = board_of(&names.map(|name| plain_server(name, "s", "z", 8)));
    board.memory.set_capacities(&configuration(2, 300));
    let (small, large) = (TokenNeed { prompt: 100, ..TokenNeed::default() }, run(1, 10, 500));
    let mut running: Vec<(u64, Name)> = Vec::new();
    for turn in 0..200 {
        let now = Timestamp(NOW.0 + 50 * turn);
        let (ended, left) = running.into_iter().partition(|(ends, _)| *ends <= turn);
        running = left;
        let ended: Vec<(u64, Name)> = ended;
        ended.iter().for_each(|(_, engine)| board.memory.give_back(engine, &small));
        let need = |tokens| ServerNeed { service: "s", tokens, room: ServerRoom::Place, ..ServerNeed::default() };
        let chosen = |board: &ServerBoard, tokens| {
            board.choose(now, &need(Some(tokens))).map(|belief| belief.entry.instance.clone())
        };
        if turn > 20 {
            if chosen(&board, &large).is_some() {
                return Some(turn - 20);
            }
            if keeps_one {
                board.keep_engine(now, &need(Some(&large)));
            }
        }
        while let Some(engine) = chosen(&board, &small) {
            board.memory.take(&engine, &small);
            let lasts = if turn == 0 { 3 * (1 + running.len() as u64 % 3) } else { 9 };
            running.push((turn + lasts, engine));
        }
    }
    None
}

#[test]
fn an_item_that_needs_all_of_an_engine_gets_one_while_others_keep_them_busy() {
    assert_eq!(turns_of_a_large_item(false), None, "there is always a small run");
    let turns = turns_of_a_large_item(true).expect("it is placed");
    assert!(turns <= 10, "{turns} turns; a run lasts nine");
}

#[test]
fn the_only_engine_of_a_service_is_never_kept_free() {
    let mut memory = memory_of(300);
    memory.keep_one(NOW, "s", &["a".into()]);
    assert!(memory.has_room(NOW, "s", "a", &run(1, 10, 10)));
    memory.keep_one(NOW, "s", &["a".into(), "b".into()]);
    let has_room = |memory: &EngineMemory, ms: u64| {
        ["a", "b"].map(|engine| memory.has_room(Timestamp(NOW.0 + ms), "s", engine, &run(1, 10, 10)))
    };
    assert_eq!((has_room(&memory, 4_999), has_room(&memory, 5_000)), ([false, true], [true, true]));
    memory.take(&"a".into(), &run(1, 10, 500));
    memory.give_back("a", &run(1, 10, 500));
    assert_eq!(has_room(&memory, 1), [true, true], "the run that it was kept for has ended");
}

#[test]
fn an_unknown_capacity_bounds_nothing() {
    for tokens in [0, u64::MAX] {
        let mut memory = memory_of(tokens);
        (0..1_000).for_each(|group| memory.take(&"a".into(), &run(group, 1 << 40, 0)));
        assert!(memory.has_room(NOW, "s", "a", &run(1, 1 << 40, 0)));
        assert!(!memory.is_oversize("s", &run(1, 1 << 40, 0)));
    }
}

#[test]
fn what_is_expected_to_need_more_than_an_engine_holds_goes_where_nothing_else_is() {
    let mut memory = memory_of(300);
    let large = run(1, 10, 500);
    assert!(memory.is_oversize("s", &large) && memory.has_room(NOW, "s", "a", &large));
    assert!(!memory.can_never_run("s", &large), "its output may be shorter");
    memory.take(&"a".into(), &run(2, 1, 1));
    assert!(!memory.has_room(NOW, "s", "a", &large));
    memory.take(&"b".into(), &large);
    assert!(!memory.has_room(NOW, "s", "b", &run(2, 1, 1)), "and nothing comes beside it");
    assert!(memory.can_never_run("s", &run(1, 200, 1)) && !memory.can_never_run("s", &run(1, 199, 1)));
}

/// Runs start at engines and end, in any order; at the end nothing is held, and at no time more than
/// each run by itself or less than all without the shared parts.
#[test]
fn any_order_of_starts_and_ends_leaves_nothing_held() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut memory = memory_of(10_000);
        let engines: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
        let mut open: Vec<(Name, TokenNeed)> = Vec::new();
        for _ in 0..300 {
            if random.random_ratio(1, 2) {
                let engine = engines[random.random_range(0..engines.len())].clone();
                let mut need = run(random.random_range(0..4), random.random_range(0..50), random.random_range(0..50));
                if random.random_ratio(1, 4) {
                    need.shared = None;
                }
                memory.take(&engine, &need);
                open.push((engine, need));
            } else if !open.is_empty() {
                open.shuffle(&mut random);
                let (engine, need) = open.pop().unwrap();
                memory.give_back(&engine, &need);
            }
            for engine in &engines {
                let here = || open.iter().filter(|(at, _)| at == engine).map(|(_, need)| need);
                let most: u64 = here().map(TokenNeed::alone).sum();
                let least: u64 = here().map(|need| need.prompt + need.output_most).sum();
                assert!((least..=most).contains(&memory.held_at(engine)), "{engine}");
            }
        }
        open.shuffle(&mut random);
        open.drain(..).for_each(|(engine, need)| memory.give_back(&engine, &need));
        assert!(memory.holders().is_empty() && engines.iter().all(|engine| memory.held_at(engine) == 0));
    });
}
