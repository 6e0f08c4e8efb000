//! Shares of customers over several nodes: one that floods all of them takes from nobody.

use super::support::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Callers of the large customer at each node, more than the servers have places.
const FLOOD: usize = 16;

/// Time in which the nodes find out who asks for most.
const SETTLING: Duration = Duration::from_secs(4);

/// Calls of the small customer, one after the other.
const SMALL_CALLS: usize = 40;

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Calls over and over until told to stop; counts answers and refusals.
fn flood(client: &str, number: usize, is_over: &AtomicBool, served: &AtomicUsize, refused: &AtomicUsize) {
    let key = bearer("key-large");
    for round in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("large-{number}-{round}");
        let headers = [("request-id", id.as_str()), ("authorization", key.as_str())];
        match call(client, "POST", "/safe/x", &headers, "x") {
            Some(answer) if answer.status == 200 => served.fetch_add(1, Ordering::SeqCst),
            Some(answer) => {
                assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
                refused.fetch_add(1, Ordering::SeqCst)
            }
            None => continue,
        };
        std::thread::sleep(Duration::from_millis(60));
    }
}

#[test]
fn a_customer_that_floods_two_nodes_takes_from_nobody() {
    let platform = Platform::start();
    platform.configure(
        2,
        json!([{ "name": "large", "api_keys": ["key-large"] },
        { "name": "small", "api_keys": ["key-small"] }]),
    );
    platform.plain.work_ms.store(100, Ordering::SeqCst);
    platform.plain.limit_concurrency(12);
    let log = std::env::temp_dir().join(format!("entry-shares-{}.log", std::process::id()));
    let store = platform.store.address.to_string();
    let settings = DaemonSettings {
        store,
        log: Some(log.clone()),
        more: json!({ "customer_shares": true }),
        ..DaemonSettings::default()
    };
    let first = EntryDaemon::start_with("a", &settings);
    let seeds = vec![first.peer.clone()];
    let second = EntryDaemon::start_with("b", &DaemonSettings { seeds, log: None, ..settings });
    let (is_over, served, refused) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for number in 0..2 * FLOOD {
            let client = if number % 2 == 0 { &first.client } else { &second.client };
            let (is_over, served, refused) = (&is_over, &served, &refused);
            scope.spawn(move || flood(client, number, is_over, served, refused));
        }
        let key = bearer("key-small");
        let ask = |round: usize| {
            let client = if round.is_multiple_of(2) { &first.client } else { &second.client };
            let id = format!("small-{round}");
            let headers = [("request-id", id.as_str()), ("authorization", key.as_str())];
            // Callers return once, as they are told.
            (0..2).any(|_| {
                let answer = call(client, "POST", "/safe/x", &headers, "x").unwrap();
                let returns = answer.headers.get("retry-after").and_then(|text| text.parse::<f64>().ok());
                std::thread::sleep(Duration::from_secs_f64(returns.unwrap_or_default()));
                answer.status == 200
            })
        };
        // The adder needs two customers to divide among.
        let settled = Instant::now() + SETTLING;
        let mut round = 0;
        while Instant::now() < settled {
            round += 1;
            ask(round);
            std::thread::sleep(Duration::from_millis(50));
        }
        let small = (0..SMALL_CALLS).filter(|call| {
            std::thread::sleep(Duration::from_millis(50));
            ask(1_000 + call)
        });
        let small = small.count();
        is_over.store(true, Ordering::SeqCst);
        println!(
            "{small} of {SMALL_CALLS}, large {} refused {}",
            served.load(Ordering::SeqCst),
            refused.load(Ordering::SeqCst)
        );
        assert!(small * 10 >= SMALL_CALLS * 9, "{small} of {SMALL_CALLS} calls of the small customer are served");
    });
    assert!(served.load(Ordering::SeqCst) > 0 && refused.load(Ordering::SeqCst) > 0);
    let log_text = std::fs::read_to_string(&log).unwrap();
    assert!(log_text.contains("name=share-refused") && log_text.contains("customer=large"));
    assert!(!log_text.contains("customer=small"), "the small customer is never over its share");
    std::fs::remove_file(log).unwrap();
}

#[test]
fn without_customers_nothing_is_told_or_refused_for_a_share() {
    let platform = Platform::start();
    platform.plain.work_ms.store(30, Ordering::SeqCst);
    platform.plain.limit_concurrency(2);
    let log = std::env::temp_dir().join(format!("entry-shares-none-{}.log", std::process::id()));
    let store = platform.store.address.to_string();
    let settings = DaemonSettings {
        store,
        log: Some(log.clone()),
        more: json!({ "customer_shares": true }),
        ..DaemonSettings::default()
    };
    let daemon = EntryDaemon::start_with("a", &settings);
    let (is_over, served, refused) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for number in 0..FLOOD {
            let (client, is_over, served, refused) = (&daemon.client, &is_over, &served, &refused);
            scope.spawn(move || flood(client, number, is_over, served, refused));
        }
        std::thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
    });
    assert!(served.load(Ordering::SeqCst) > 0 && refused.load(Ordering::SeqCst) > 0);
    let log_text = std::fs::read_to_string(&log).unwrap();
    assert!(!log_text.contains("service-short") && !log_text.contains("share-refused"));
    std::fs::remove_file(log).unwrap();
}
