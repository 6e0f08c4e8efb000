//! Priorities at engines: which requests state one, which runs are kept, and that no request starves.

#[path = "support/load.rs"]
mod load;

use load::safe_route;
use std::time::Duration;
use trestlerack::process::{CallHistory, ServicePriorities, engine_priority, shows_preemption};
use trestlerack::version::{ClientLimits, Customer, CustomerDirectory, RequestRoute, RoutingTable, SplitShare};

const NEW_REQUEST: CallHistory = CallHistory {
    generated_fraction: 0.0,
    was_preempted: false,
    waited: Duration::ZERO,
    time_limit: Some(Duration::from_secs(1)),
};

fn route(name: &str, service: &str, priority: u8) -> RequestRoute {
    let shares = vec![SplitShare { service: service.into(), weight: 1 }];
    RequestRoute { name: name.into(), prefix: format!("/{name}/").into(), shares, ..safe_route(priority) }
}

fn table(routes: Vec<RequestRoute>, customers: Option<&[Option<u8>]>) -> RoutingTable {
    let limits = ClientLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    let table = RoutingTable::new(1, routes, Vec::new(), limits);
    let Some(priorities) = customers else { return table };
    let mut directory = CustomerDirectory::default();
    for (number, priority) in priorities.iter().enumerate() {
        directory.add(Customer { name: format!("c{number}").into(), priority: *priority, ..Customer::default() }, &[]);
    }
    table.with_customers(directory)
}

fn priority_range(routes: Vec<RequestRoute>, customers: Option<&[Option<u8>]>) -> Option<(u8, u8)> {
    ServicePriorities::of(&table(routes, customers), "s").map(|range| (range.most_urgent, range.least_urgent))
}

#[test]
fn a_priority_is_stated_only_if_the_priorities_of_a_service_differ() {
    let others = || vec![route("a", "s", 2), route("b", "other", 0)];
    let single = ServicePriorities::of(&table(others(), None), "s");
    assert_eq!(engine_priority(single, 2, &NEW_REQUEST), None, "one route");
    assert_eq!(
        engine_priority(ServicePriorities::of(&table(others(), None), "none"), 2, &NEW_REQUEST),
        None,
        "no route"
    );
    let alike = ServicePriorities::of(&table(others(), Some(&[Some(4), Some(4)])), "s");
    assert_eq!(engine_priority(alike, 4, &NEW_REQUEST), None, "customers with the same priority");
    let two = ServicePriorities::of(&table(vec![route("a", "s", 2), route("b", "s", 1)], None), "s");
    assert_eq!((engine_priority(two, 2, &NEW_REQUEST), engine_priority(two, 1, &NEW_REQUEST)), (Some(2), Some(1)));
}

#[test]
fn priorities_of_customers_override_those_of_routes() {
    let routes = || vec![route("a", "s", 2), route("b", "s", 6)];
    assert_eq!(priority_range(routes(), Some(&[Some(1), Some(3)])), Some((1, 3)));
    assert_eq!(
        priority_range(routes(), Some(&[Some(1), None])),
        Some((1, 6)),
        "a customer without a priority uses the route's"
    );
    let public = vec![RequestRoute { is_public: true, ..route("a", "s", 7) }];
    assert_eq!(priority_range(public, Some(&[Some(1)])), Some((1, 7)), "callers without a key use the route's");
    assert_eq!(priority_range(routes(), Some(&[Some(200)])), Some((9, 9)), "engines support ten priorities");
    assert_eq!(priority_range(routes(), Some(&[])), None, "there are no callers");
}

#[test]
fn a_costly_run_is_one_level_more_urgent_but_never_ahead_of_more_urgent_requests() {
    let range = Some(ServicePriorities { most_urgent: 2, least_urgent: 6 });
    let generated = |generated_fraction: f64| CallHistory { generated_fraction, ..NEW_REQUEST };
    let stated = |priority: u8, history: &CallHistory| engine_priority(range, priority, history).unwrap();
    assert_eq!((stated(6, &generated(0.49)), stated(6, &generated(0.5)), stated(6, &generated(3.0))), (6, 5, 5));
    assert_eq!(stated(6, &CallHistory { was_preempted: true, ..generated(0.9) }), 5, "one level for both reasons");
    for priority in 2..=6 {
        for more_urgent in 2..priority {
            assert!(
                stated(priority, &generated(0.9)) >= stated(more_urgent, &NEW_REQUEST),
                "{priority} and {more_urgent}"
            );
        }
    }
    assert_eq!(stated(2, &generated(0.9)), 2, "it already is the most urgent priority");
}

/// A request in the queue of the simulated engine.
#[derive(Clone, Copy)]
struct QueuedRequest {
    priority: u8,
    arrived: u64,
    is_less_urgent: bool,
}

/// Simulates an engine with more urgent requests than it can serve and a single less urgent one. Returns when
/// the latter starts to run in ms, or `None` if it does not within its time limit.
///
/// The engine admits requests by priority and then by arrival, and refuses requests when its queue is full. The
/// caller sends the less urgent request again every 100 ms, with its current priority.
fn starts_at(time_limit_ms: u64, priority_after: impl Fn(u64) -> u8) -> Option<u64> {
    const SLOTS: usize = 4;
    const QUEUE: usize = 4;
    const SERVICE_MS: u64 = 40;
    // The engine is already full when the less urgent request arrives.
    let mut running: Vec<u64> = (1..=SLOTS as u64).map(|number| number * SERVICE_MS / SLOTS as u64).collect();
    let mut queue = vec![QueuedRequest { priority: 0, arrived: 0, is_less_urgent: false }; QUEUE];
    for now in 0..time_limit_ms {
        running.retain(|ends| *ends > now);
        if now % 100 == 0 {
            queue.retain(|waiting| !waiting.is_less_urgent);
            queue.push(QueuedRequest { priority: priority_after(now), arrived: now, is_less_urgent: true });
        }
        // Arrivals at twice the rate at which the engine serves requests.
        if now % 5 == 0 && queue.len() < QUEUE {
            queue.push(QueuedRequest { priority: 0, arrived: now, is_less_urgent: false });
        }
        while running.len() < SLOTS && !queue.is_empty() {
            queue.sort_by_key(|waiting| (waiting.priority, waiting.arrived));
            if queue.remove(0).is_less_urgent {
                return Some(now);
            }
            running.push(now + SERVICE_MS);
        }
    }
    None
}

#[test]
fn a_less_urgent_request_never_starves() {
    const TIME_LIMIT_MS: u64 = 2_000;
    let range = Some(ServicePriorities { most_urgent: 0, least_urgent: 5 });
    let priority_after = |waited_ms: u64| {
        let waited = Duration::from_millis(waited_ms);
        let time_limit = Some(Duration::from_millis(TIME_LIMIT_MS));
        engine_priority(range, 5, &CallHistory { waited, time_limit, ..NEW_REQUEST }).unwrap()
    };
    assert_eq!(starts_at(TIME_LIMIT_MS, |_| 5), None, "it never runs with its customer's priority alone");
    let started = starts_at(TIME_LIMIT_MS, priority_after).expect("the request starts in time");
    // After half of its time it is sent with the most urgent priority, so only earlier requests go first.
    assert!((TIME_LIMIT_MS / 2..TIME_LIMIT_MS / 2 + 100).contains(&started), "{started} ms");
}

#[test]
fn a_request_without_a_time_limit_keeps_its_priority() {
    let range = Some(ServicePriorities { most_urgent: 0, least_urgent: 5 });
    let history = CallHistory { waited: Duration::from_secs(1_000), time_limit: None, ..NEW_REQUEST };
    assert_eq!(engine_priority(range, 5, &history), Some(5));
}

#[test]
fn only_a_long_pause_indicates_a_preemption() {
    let ms = Duration::from_millis;
    assert!(shows_preemption(ms(320), 40.0));
    assert!(!shows_preemption(ms(230), 20.0), "the network causes pauses as long");
    assert!(!shows_preemption(ms(500), 100.0), "a slow service has gaps as long");
}
