//! Fair shares of customers over several nodes: a customer that floods all nodes does not affect others.

use super::support::*;
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Callers of the large customer at each node, more than the servers have slots.
const FLOOD_CALLERS: usize = 16;

/// Time in which the nodes find out which customer requests most.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Calls of the small customer, one after another.
const SMALL_CALLS: usize = 40;

fn bearer(key: &str) -> String {
    format!("Bearer {key}")
}

/// Makes calls in a loop until `is_stopped`, and counts the served and the refused ones.
fn flood(client: &str, number: usize, is_stopped: &AtomicBool, served: &AtomicUsize, refused: &AtomicUsize) {
    let key = bearer("key-large");
    for round in 0.. {
        if is_stopped.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("large-{number}-{round}");
        let headers = [("request-id", id.as_str()), ("authorization", key.as_str())];
        match call(client, "POST", "/safe/x", &headers, "x") {
            Some(response) if response.status == 200 => served.fetch_add(1, Ordering::SeqCst),
            Some(response) => {
                assert!(response.headers.contains_key("retry-after"), "{response:?}");
                refused.fetch_add(1, Ordering::SeqCst)
            }
            None => continue,
        };
        std::thread::sleep(Duration::from_millis(60));
    }
}

#[test]
fn a_customer_that_floods_two_nodes_does_not_reduce_the_share_of_others() {
    let platform = Platform::start();
    platform.configure(
        2,
        json!([{ "name": "large", "api_keys": ["key-large"] },
        { "name": "small", "api_keys": ["key-small"] }]),
    );
    platform.plain.work_ms.store(100, Ordering::SeqCst);
    platform.plain.limit_at_once(12);
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
    let (is_stopped, served, refused) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for number in 0..2 * FLOOD_CALLERS {
            let client = if number % 2 == 0 { &first.client } else { &second.client };
            let (is_stopped, served, refused) = (&is_stopped, &served, &refused);
            scope.spawn(move || flood(client, number, is_stopped, served, refused));
        }
        let key = bearer("key-small");
        let make_small_call = |round: usize| {
            let client = if round.is_multiple_of(2) { &first.client } else { &second.client };
            let id = format!("small-{round}");
            let headers = [("request-id", id.as_str()), ("authorization", key.as_str())];
            // Callers retry once, after the time in the response.
            (0..2).any(|_| {
                let response = call(client, "POST", "/safe/x", &headers, "x").unwrap();
                let retry_after = response.headers.get("retry-after").and_then(|text| text.parse::<f64>().ok());
                std::thread::sleep(Duration::from_secs_f64(retry_after.unwrap_or_default()));
                response.status == 200
            })
        };
        // The aggregator computes shares only if at least two customers have usage.
        let settled_at = Instant::now() + SETTLE_TIME;
        let mut round = 0;
        while Instant::now() < settled_at {
            round += 1;
            make_small_call(round);
            std::thread::sleep(Duration::from_millis(50));
        }
        let small = (0..SMALL_CALLS).filter(|call| {
            std::thread::sleep(Duration::from_millis(50));
            make_small_call(1_000 + call)
        });
        let small = small.count();
        is_stopped.store(true, Ordering::SeqCst);
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
fn without_customers_no_usage_is_reported_and_no_call_is_over_share() {
    let platform = Platform::start();
    platform.plain.work_ms.store(30, Ordering::SeqCst);
    platform.plain.limit_at_once(2);
    let log = std::env::temp_dir().join(format!("entry-shares-none-{}.log", std::process::id()));
    let store = platform.store.address.to_string();
    let settings = DaemonSettings {
        store,
        log: Some(log.clone()),
        more: json!({ "customer_shares": true }),
        ..DaemonSettings::default()
    };
    let daemon = EntryDaemon::start_with("a", &settings);
    let (is_stopped, served, refused) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for number in 0..FLOOD_CALLERS {
            let (client, is_stopped, served, refused) = (&daemon.client, &is_stopped, &served, &refused);
            scope.spawn(move || flood(client, number, is_stopped, served, refused));
        }
        std::thread::sleep(Duration::from_secs(2));
        is_stopped.store(true, Ordering::SeqCst);
    });
    assert!(served.load(Ordering::SeqCst) > 0 && refused.load(Ordering::SeqCst) > 0);
    let log_text = std::fs::read_to_string(&log).unwrap();
    assert!(!log_text.contains("service-short") && !log_text.contains("share-refused"));
    std::fs::remove_file(log).unwrap();
}
