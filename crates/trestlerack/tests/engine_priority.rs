//! Ranks at engines: who states one, whose work in progress is kept, and that nobody starves.

#[path = "support/load.rs"]
mod load;

use load::safe_route;
use std::time::Duration;
use trestlerack::process::{CallHistory, ServiceRanks, engine_rank, shows_preemption};
use trestlerack::version::{ClientLimits, Customer, CustomerDirectory, RequestRoute, RoutingTable, SplitShare};

const FRESH: CallHistory =
    CallHistory { made: 0.0, was_preempted: false, waited: Duration::ZERO, allowed: Some(Duration::from_secs(1)) };

fn route(name: &str, service: &str, priority: u8) -> RequestRoute {
    let shares = vec![SplitShare { service: service.into(), weight: 1 }];
    RequestRoute { name: name.into(), prefix: format!("/{name}/").into(), shares, ..safe_route(priority) }
}

fn table(routes: Vec<RequestRoute>, customers: Option<&[Option<u8>]>) -> RoutingTable {
    let limits = ClientLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    let table = RoutingTable::new(1, routes, Vec::new(), limits);
    let Some(ranks) = customers else { return table };
    let mut directory = CustomerDirectory::default();
    for (number, priority) in ranks.iter().enumerate() {
        directory.add(Customer { name: format!("c{number}").into(), priority: *priority, ..Customer::default() }, &[]);
    }
    table.with_customers(directory)
}

fn ranks(routes: Vec<RequestRoute>, customers: Option<&[Option<u8>]>) -> Option<(u8, u8)> {
    ServiceRanks::of(&table(routes, customers), "s").map(|ranks| (ranks.first, ranks.last))
}

#[test]
fn a_rank_is_stated_only_where_those_that_share_a_service_differ() {
    let others = || vec![route("a", "s", 2), route("b", "other", 0)];
    let calm = ServiceRanks::of(&table(others(), None), "s");
    assert_eq!(engine_rank(calm, 2, &FRESH), None, "one route");
    assert_eq!(engine_rank(ServiceRanks::of(&table(others(), None), "none"), 2, &FRESH), None, "no route");
    let alike = ServiceRanks::of(&table(others(), Some(&[Some(4), Some(4)])), "s");
    assert_eq!(engine_rank(alike, 4, &FRESH), None, "customers of one rank");
    let two = ServiceRanks::of(&table(vec![route("a", "s", 2), route("b", "s", 1)], None), "s");
    assert_eq!((engine_rank(two, 2, &FRESH), engine_rank(two, 1, &FRESH)), (Some(2), Some(1)));
}

#[test]
fn ranks_of_customers_go_before_those_of_routes() {
    let routes = || vec![route("a", "s", 2), route("b", "s", 6)];
    assert_eq!(ranks(routes(), Some(&[Some(1), Some(3)])), Some((1, 3)));
    assert_eq!(ranks(routes(), Some(&[Some(1), None])), Some((1, 6)), "a customer without a rank has its route's");
    let public = vec![RequestRoute { is_public: true, ..route("a", "s", 7) }];
    assert_eq!(ranks(public, Some(&[Some(1)])), Some((1, 7)), "callers without a key have the route's");
    assert_eq!(ranks(routes(), Some(&[Some(200)])), Some((9, 9)), "engines know ten ranks");
    assert_eq!(ranks(routes(), Some(&[])), None, "nobody may call");
}

#[test]
fn a_run_that_cost_much_is_kept_and_goes_before_nobody_more_urgent() {
    let ranks = Some(ServiceRanks { first: 2, last: 6 });
    let made = |made: f64| CallHistory { made, ..FRESH };
    let stated = |rank: u8, history: &CallHistory| engine_rank(ranks, rank, history).unwrap();
    assert_eq!((stated(6, &made(0.49)), stated(6, &made(0.5)), stated(6, &made(3.0))), (6, 5, 5));
    assert_eq!(stated(6, &CallHistory { was_preempted: true, ..made(0.9) }), 5, "one step for both reasons");
    for rank in 2..=6 {
        for more_urgent in 2..rank {
            assert!(stated(rank, &made(0.9)) >= stated(more_urgent, &FRESH), "{rank} and {more_urgent}");
        }
    }
    assert_eq!(stated(2, &made(0.9)), 2, "nobody is more urgent than the first");
}

/// A request at the engine of the model below.
#[derive(Clone, Copy)]
struct Waiting {
    rank: u8,
    arrived: u64,
    is_patient_one: bool,
}

/// Time in a model of one engine that is always wanted by more urgent requests than it has places:
/// returns when the one less urgent request began to run, in ms, if it did within its time.
///
/// The engine admits the most urgent request first and of these the one that came first. It refuses
/// what its queue can't hold. The caller sends its request again with its present rank every 100 ms.
fn begins_at(allowed_ms: u64, rank_after: impl Fn(u64) -> u8) -> Option<u64> {
    const PLACES: usize = 4;
    const QUEUE: usize = 4;
    const WORK_MS: u64 = 40;
    // The engine is full already when the less urgent request comes.
    let mut running: Vec<u64> = (1..=PLACES as u64).map(|number| number * WORK_MS / PLACES as u64).collect();
    let mut queue = vec![Waiting { rank: 0, arrived: 0, is_patient_one: false }; QUEUE];
    for now in 0..allowed_ms {
        running.retain(|ends| *ends > now);
        if now % 100 == 0 {
            queue.retain(|waiting| !waiting.is_patient_one);
            queue.push(Waiting { rank: rank_after(now), arrived: now, is_patient_one: true });
        }
        // Twice as many as can run.
        if now % 5 == 0 && queue.len() < QUEUE {
            queue.push(Waiting { rank: 0, arrived: now, is_patient_one: false });
        }
        while running.len() < PLACES && !queue.is_empty() {
            queue.sort_by_key(|waiting| (waiting.rank, waiting.arrived));
            if queue.remove(0).is_patient_one {
                return Some(now);
            }
            running.push(now + WORK_MS);
        }
    }
    None
}

#[test]
fn a_less_urgent_request_never_starves() {
    const ALLOWED_MS: u64 = 2_000;
    let ranks = Some(ServiceRanks { first: 0, last: 5 });
    let rank_after = |waited_ms: u64| {
        let waited = Duration::from_millis(waited_ms);
        let allowed = Some(Duration::from_millis(ALLOWED_MS));
        engine_rank(ranks, 5, &CallHistory { waited, allowed, ..FRESH }).unwrap()
    };
    assert_eq!(begins_at(ALLOWED_MS, |_| 5), None, "by its customer's rank alone it never runs");
    let begun = begins_at(ALLOWED_MS, rank_after).expect("it runs in time");
    // After half of its time it is sent again, and then only those before it in the queue go first.
    assert!((ALLOWED_MS / 2..ALLOWED_MS / 2 + 100).contains(&begun), "{begun} ms");
}

#[test]
fn a_request_without_an_end_keeps_its_rank() {
    let ranks = Some(ServiceRanks { first: 0, last: 5 });
    let history = CallHistory { waited: Duration::from_secs(1_000), allowed: None, ..FRESH };
    assert_eq!(engine_rank(ranks, 5, &history), Some(5));
}

#[test]
fn only_a_long_pause_shows_a_preemption() {
    let ms = Duration::from_millis;
    assert!(shows_preemption(ms(320), 40.0));
    assert!(!shows_preemption(ms(230), 20.0), "links pause for as long");
    assert!(!shows_preemption(ms(500), 100.0), "a slow service pauses for as long");
}
