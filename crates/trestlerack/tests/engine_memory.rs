//! Memory of model engines: what counts, which engine has capacity, and that no tokens stay counted.

#[path = "support/load.rs"]
mod load;
mod support;

use load::{balancer_of, plain_server};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::for_seeds;
use trestlerack::process::{EngineMemory, LoadBalancer, ServerNeed, SharedPrompt, SlotNeed, TokenNeed};
use trestlerack::version::{ClientLimits, RoutedService, RoutingTable};
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(1_000);

/// A run whose group shares 100 tokens of prompt.
fn run(group: u64, prompt: u64, output: u64) -> TokenNeed {
    TokenNeed {
        unique_prompt: prompt,
        shared_prompt: Some(SharedPrompt { key: group, tokens: 100 }),
        max_output: output,
        output_hint: None,
    }
}

/// A configuration with a number of tokens per engine.
fn configuration(version: u64, engine_tokens: u64) -> RoutingTable {
    let limits = ClientLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    let service = RoutedService {
        name: "s".into(),
        max_connections: 1,
        engine_slots: 8,
        engine_tokens,
        models: Vec::new(),
        scaling: None,
        cold_start: None,
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
fn an_engine_skipped_for_its_memory_is_reported_once_a_second() {
    let mut balancer = balancer_of(&[plain_server("a", "s", "z", 8), plain_server("b", "s", "z", 8)]);
    balancer.memory.set_capacities(&configuration(2, 300));
    balancer.memory.add_run(&"a".into(), &run(1, 10, 90));
    let tokens = run(2, 10, 90);
    let need = ServerNeed { service: "s", tokens: Some(&tokens), slot_need: SlotNeed::One, ..ServerNeed::default() };
    let skipped = [0, 999, 1_000, 1_500].map(|ms| balancer.skipped_for_memory(Timestamp(NOW.0 + ms), &need));
    let entry: Vec<(Name, u64)> = vec![("a".into(), 200)];
    assert_eq!(skipped, [entry.clone(), Vec::new(), entry, Vec::new()]);
}

#[test]
fn a_group_counts_its_shared_prompt_once_at_each_engine() {
    let mut memory = memory_of(1_000);
    let (first, second): (Name, Name) = ("a".into(), "b".into());
    memory.add_run(&first, &run(1, 10, 20));
    memory.add_run(&first, &run(1, 10, 20));
    memory.add_run(&second, &run(1, 10, 20));
    assert_eq!((memory.tokens_at("a"), memory.tokens_at("b"), memory.tokens_at("c")), (160, 130, 0));
    assert_eq!(memory.usage_by_engine(), [(first, 160), (second, 130)]);
    memory.remove_run("a", &run(1, 10, 20));
    assert_eq!(memory.tokens_at("a"), 130, "the other run still uses the shared part");
}

#[test]
fn the_estimate_of_an_output_counts_up_to_its_maximum() {
    let need = |output_hint| TokenNeed { output_hint, ..run(1, 10, 50) };
    assert_eq!((need(None).total(), need(Some(20)).total(), need(Some(500)).total()), (160, 130, 160));
}

/// The capacity of 300 is filled by two runs of one group and exceeded by two of different groups.
#[test]
fn an_engine_without_free_memory_is_not_chosen() {
    let mut balancer = balancer_of(&[plain_server("a", "s", "z", 8), plain_server("b", "s", "z", 8)]);
    balancer.memory.set_capacities(&configuration(2, 300));
    let chosen = |balancer: &LoadBalancer, tokens: &TokenNeed| {
        let need = ServerNeed { service: "s", tokens: Some(tokens), slot_need: SlotNeed::One, ..ServerNeed::default() };
        balancer.choose(NOW, &need).map(|server| server.entry.instance.clone())
    };
    let (same_group, other_group) = (run(1, 10, 90), run(2, 10, 90));
    balancer.memory.add_run(&"a".into(), &same_group);
    assert_eq!(chosen(&balancer, &other_group), Some("b".into()), "a has no memory for 200 more");
    balancer.memory.add_run(&"b".into(), &other_group);
    assert!(chosen(&balancer, &same_group).is_some(), "there is memory for 100 more where the group is");
    balancer.memory.add_run(&"a".into(), &same_group);
    balancer.memory.add_run(&"b".into(), &other_group);
    assert_eq!(chosen(&balancer, &run(1, 1, 0)), None);
    let need = ServerNeed { service: "s", tokens: Some(&same_group), ..ServerNeed::default() };
    assert_eq!(balancer.count_eligible(NOW, &need), 2, "both are eligible apart from memory");
    balancer.memory.remove_run("a", &same_group);
    assert_eq!(chosen(&balancer, &same_group), Some("a".into()));
}

/// Returns after how many rounds an item that needs all of one engine is placed, if it is within 200. Three
/// engines have three small runs each. These last nine rounds, end one after the other at each engine, and
/// another one takes the memory of each.
fn rounds_until_large_item_placed(reserves_one: bool) -> Option<u64> {
    let names = ["a", "b", "c"];
    let mut balancer = balancer_of(&names.map(|name| plain_server(name, "s", "z", 8)));
    balancer.memory.set_capacities(&configuration(2, 300));
    let (small, large) = (TokenNeed { unique_prompt: 100, ..TokenNeed::default() }, run(1, 10, 500));
    let mut running: Vec<(u64, Name)> = Vec::new();
    for round in 0..200 {
        let now = Timestamp(NOW.0 + 50 * round);
        let (ended, remaining) = running.into_iter().partition(|(ends, _)| *ends <= round);
        running = remaining;
        let ended: Vec<(u64, Name)> = ended;
        ended.iter().for_each(|(_, engine)| balancer.memory.remove_run(engine, &small));
        let need = |tokens| ServerNeed { service: "s", tokens, slot_need: SlotNeed::One, ..ServerNeed::default() };
        let chosen = |balancer: &LoadBalancer, tokens| {
            balancer.choose(now, &need(Some(tokens))).map(|server| server.entry.instance.clone())
        };
        if round > 20 {
            if chosen(&balancer, &large).is_some() {
                return Some(round - 20);
            }
            if reserves_one {
                balancer.reserve_engine(now, &need(Some(&large)));
            }
        }
        while let Some(engine) = chosen(&balancer, &small) {
            balancer.memory.add_run(&engine, &small);
            let lasts = if round == 0 { 3 * (1 + running.len() as u64 % 3) } else { 9 };
            running.push((round + lasts, engine));
        }
    }
    None
}

#[test]
fn an_item_that_needs_all_of_an_engine_gets_one_under_steady_load() {
    assert_eq!(rounds_until_large_item_placed(false), None, "each engine always has a small run");
    let rounds = rounds_until_large_item_placed(true).expect("it is placed");
    assert!(rounds <= 10, "{rounds} rounds; a run lasts nine");
}

#[test]
fn the_only_engine_of_a_service_is_never_reserved() {
    let mut memory = memory_of(300);
    memory.reserve_one(NOW, "s", &["a".into()]);
    assert!(memory.has_capacity(NOW, "s", "a", &run(1, 10, 10)));
    memory.reserve_one(NOW, "s", &["a".into(), "b".into()]);
    let has_capacity = |memory: &EngineMemory, ms: u64| {
        ["a", "b"].map(|engine| memory.has_capacity(Timestamp(NOW.0 + ms), "s", engine, &run(1, 10, 10)))
    };
    assert_eq!((has_capacity(&memory, 4_999), has_capacity(&memory, 5_000)), ([false, true], [true, true]));
    memory.add_run(&"a".into(), &run(1, 10, 500));
    memory.remove_run("a", &run(1, 10, 500));
    assert_eq!(has_capacity(&memory, 1), [true, true], "the run that it was reserved for has ended");
}

#[test]
fn an_unknown_capacity_limits_nothing() {
    for tokens in [0, u64::MAX] {
        let mut memory = memory_of(tokens);
        (0..1_000).for_each(|group| memory.add_run(&"a".into(), &run(group, 1 << 40, 0)));
        assert!(memory.has_capacity(NOW, "s", "a", &run(1, 1 << 40, 0)));
        assert!(!memory.is_oversize("s", &run(1, 1 << 40, 0)));
    }
}

#[test]
fn an_oversize_run_goes_only_to_an_engine_without_other_runs() {
    let mut memory = memory_of(300);
    let large = run(1, 10, 500);
    assert!(memory.is_oversize("s", &large) && memory.has_capacity(NOW, "s", "a", &large));
    assert!(!memory.can_never_run("s", &large), "its output may be shorter");
    memory.add_run(&"a".into(), &run(2, 1, 1));
    assert!(!memory.has_capacity(NOW, "s", "a", &large));
    memory.add_run(&"b".into(), &large);
    assert!(!memory.has_capacity(NOW, "s", "b", &run(2, 1, 1)), "no other run is placed beside it");
    assert!(memory.can_never_run("s", &run(1, 200, 1)) && !memory.can_never_run("s", &run(1, 199, 1)));
}

/// Runs start at engines and end in any order. At the end no tokens are counted; at any time no more than the
/// sum of the runs, and no less than the sum without the shared parts.
#[test]
fn any_order_of_starts_and_ends_leaves_no_tokens_counted() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut memory = memory_of(10_000);
        let engines: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
        let mut running: Vec<(Name, TokenNeed)> = Vec::new();
        for _ in 0..300 {
            if random.random_ratio(1, 2) {
                let engine = engines[random.random_range(0..engines.len())].clone();
                let mut need = run(random.random_range(0..4), random.random_range(0..50), random.random_range(0..50));
                if random.random_ratio(1, 4) {
                    need.shared_prompt = None;
                }
                memory.add_run(&engine, &need);
                running.push((engine, need));
            } else if !running.is_empty() {
                running.shuffle(&mut random);
                let (engine, need) = running.pop().unwrap();
                memory.remove_run(&engine, &need);
            }
            for engine in &engines {
                let runs_at_engine = || running.iter().filter(|(at, _)| at == engine).map(|(_, need)| need);
                let max_tokens: u64 = runs_at_engine().map(TokenNeed::total).sum();
                let min_tokens: u64 = runs_at_engine().map(|need| need.unique_prompt + need.max_output).sum();
                assert!((min_tokens..=max_tokens).contains(&memory.tokens_at(engine)), "{engine}");
            }
        }
        running.shuffle(&mut random);
        running.drain(..).for_each(|(engine, need)| memory.remove_run(&engine, &need));
        assert!(memory.usage_by_engine().is_empty() && engines.iter().all(|engine| memory.tokens_at(engine) == 0));
    });
}
