//! Duties to the platform: usage reports and orders of engines, by one holder of the lease at a time.

use super::support::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Window of usage reports in these tests, and the time in which they are due, in seconds.
const WINDOW_S: u64 = 1;
const DUE_S: u64 = 6;

fn customers() -> Value {
    json!([{ "name": "wash", "api_keys": ["k-wash"] }, { "name": "pension", "api_keys": ["k-pension"] }])
}

fn start() -> (Platform, DutyPlatform, DaemonSettings) {
    let platform = Platform::start();
    platform.configure(2, customers());
    let duties = DutyPlatform::start();
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        more: json!({ "duty_service": duties.address.to_string(), "duty_calls_per_s": 50.0,
            "usage_window_s": WINDOW_S, "usage_due_s": DUE_S }),
        ..DaemonSettings::default()
    };
    (platform, duties, settings)
}

/// Adds up what was reported, each window once.
fn reported(duties: &DutyPlatform) -> BTreeMap<String, u64> {
    let mut by_window = BTreeMap::new();
    for call in duties.calls("/usage").into_iter().filter(|call| call.is_taken()) {
        by_window.insert(call.body["window"].as_u64().unwrap(), call.body["counts"].clone());
    }
    let mut total = BTreeMap::new();
    for counts in by_window.values() {
        for (customer, count) in counts.as_object().unwrap() {
            *total.entry(customer.clone()).or_insert(0) += count.as_u64().unwrap();
        }
    }
    total
}

/// Formats the usage calls that the platform received and the usage lines of a log, for failure messages.
fn usage_diagnostics(duties: &DutyPlatform, log: &Path) -> String {
    let calls = duties.calls("/usage");
    let call =
        |call: &DutyCall| format!("status {} holder {} fence {}: {}", call.status, call.holder, call.fence, call.body);
    let calls: Vec<String> = calls.iter().map(call).collect();
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().filter(|line| line.contains("name=usage-")).collect();
    format!("calls:\n{}\nlog:\n{}", calls.join("\n"), lines.join("\n"))
}

fn ask(daemon: &EntryDaemon, id: &str, key: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    let headers = [("request-id", id), ("authorization", bearer.as_str())];
    call(&daemon.client, "POST", "/safe/x", &headers, "x").map_or(0, |answer| answer.status)
}

/// Nodes count, one holder reports: each request once, whichever node served it, however often an
/// answer of the platform or of a server is lost.
#[test]
fn usage_is_reported_once_for_each_request_that_ran() {
    let (platform, duties, mut settings) = start();
    let log = std::env::temp_dir().join(format!("entry-usage-once-{}.log", std::process::id()));
    settings.log = Some(log.clone());
    let first = EntryDaemon::start_with("a", &settings);
    let second = EntryDaemon::start_with("b", &DaemonSettings { seeds: vec![first.peer.clone()], ..settings });
    duties.answer_next(&[429, 0, 503]);
    for number in 0..10 {
        assert_eq!(ask(&first, &format!("a{number}"), "k-wash"), 200);
        assert_eq!(ask(&second, &format!("b{number}"), "k-pension"), 200);
    }
    // One that runs twice is counted once, and one that no customer asked for not at all.
    platform.plain.truncated_responses.store(1, Ordering::SeqCst);
    assert_eq!(ask(&second, "twice", "k-pension"), 200);
    assert_eq!(ask(&second, "bad", "k-nobody"), 401);
    let expected: BTreeMap<String, u64> = [("wash".into(), 10), ("pension".into(), 11)].into();
    let is_sent_again = || duties.calls("/usage").iter().any(|call| call.status == 503);
    let is_reported = || reported(&duties) == expected && is_sent_again();
    eventually_with_detail("all usage is reported", is_reported, || usage_diagnostics(&duties, &log));
    duties.check("/usage");
    std::fs::remove_file(log).unwrap();
}

/// Guards against the loss of usage from windows before the one in which the first holder opens its reports.
#[test]
fn usage_from_before_the_first_holder_is_reported() {
    let (platform, duties, mut settings) = start();
    let log = std::env::temp_dir().join(format!("entry-usage-first-{}.log", std::process::id()));
    settings.log = Some(log.clone());
    // Delays the holder's first read, so that it opens its reports in a later window than the request's.
    platform.store.set_read_delay("usage", 2_500);
    let daemon = EntryDaemon::start_with("a", &settings);
    assert_eq!(ask(&daemon, "r1", "k-wash"), 200);
    std::thread::sleep(Duration::from_secs(WINDOW_S) + Duration::from_millis(200));
    platform.store.set_read_delay("usage", 0);
    let is_reported = || reported(&duties).get("wash") == Some(&1);
    eventually_with_detail("the usage is reported", is_reported, || usage_diagnostics(&duties, &log));
    duties.check("/usage");
    std::fs::remove_file(log).unwrap();
}

/// The holder dies after nodes told it, and one of those nodes dies with it. What they counted is
/// reported by the next holder, and no window twice with other counts.
#[test]
fn a_new_holder_reports_what_the_one_before_was_told() {
    let (_platform, duties, settings) = start();
    let mut daemons = vec![EntryDaemon::start_with("a", &settings)];
    let seeds = vec![daemons[0].peer.clone()];
    let settings = DaemonSettings { seeds, ..settings };
    eventually("the first node holds the lease", || !duties.calls("/usage").is_empty());
    daemons.extend(["b", "c"].map(|name| EntryDaemon::start_with(name, &settings)));
    for (index, daemon) in daemons.iter().enumerate() {
        for number in 0..5 {
            assert_eq!(ask(daemon, &format!("{index}-{number}"), "k-wash"), 200);
        }
    }
    // The holder stores what it is told each second.
    std::thread::sleep(Duration::from_millis(1_800));
    for daemon in &mut daemons[..2] {
        daemon.signal("-KILL");
        daemon.wait_end();
    }
    let expected: BTreeMap<String, u64> = [("wash".into(), 15)].into();
    eventually("the usage is reported", || reported(&duties) == expected);
    duties.check("/usage");
    eventually("by the next holder", || duties.calls("/usage").last().is_some_and(|call| call.holder == "c"));
    duties.check("/usage");
}

/// An engine is gone: it is ordered again, told by a row first; a zone that has none is not asked
/// again at once.
#[test]
fn an_engine_that_is_gone_is_ordered_again() {
    let (platform, duties, settings) = start();
    platform.configure_scaling(
        3,
        json!({ "min": 1, "max": 4, "boot_s": 1.0,
        "zone_prices": { "z": 1.0, "cheap": 0.5 } }),
    );
    let _daemon = EntryDaemon::start_with("a", &settings);
    eventually("the level is known", || platform.store.row_count("engine-orders", "engine-orders") == 1);
    assert!(duties.calls("/scale").is_empty(), "nothing is missing");
    duties.answer_next(&[200, 409]);
    platform.store.remove("servers", "i-engine-0");
    eventually("it is ordered again", || duties.calls("/scale").len() >= 2);
    let orders: Vec<Value> = duties.calls("/scale").into_iter().map(|call| call.body).collect();
    let order = |zone: &str, engines: u32| json!({ "service": "models", "zone": zone, "target_groups": engines });
    assert!(orders[..2].contains(&order("cheap", 1)), "{orders:?}");
    duties.check("/scale");
}

/// Operators ask a node for its customers and for who does the duties; no key is told.
#[test]
fn a_node_tells_its_customers_and_who_does_the_duties() {
    let (_platform, duties, mut settings) = start();
    let metrics = free_address();
    settings.more["metrics_listen"] = json!(metrics);
    let _daemon = EntryDaemon::start_with("a", &settings);
    eventually("a node holds the lease", || !duties.calls("/usage").is_empty());
    let ask = |path: &str| call(&metrics, "GET", path, &[], "").unwrap();
    let customers = ask("/v1/customers");
    assert_eq!(customers.json()[0], json!({ "name": "wash", "priority": null, "keys": 1, "configuration": 2 }));
    assert!(!customers.body.contains("k-wash"));
    let lines = ask("/v1/duties").json();
    let names: Vec<&str> = lines.as_array().unwrap().iter().map(|line| line["duty"].as_str().unwrap()).collect();
    assert_eq!(names, ["weight orders", "usage reports", "engine orders"]);
    assert!(lines.as_array().unwrap().iter().all(|line| line["holder"] == "a" && line["is_held_here"] == true));
    assert!(ask("/metrics").body.contains("trestlerack_entry_connections_opened"));
}

/// The last report is of long ago, since the system was down. The windows since then are given up in
/// one line, and the next ones are reported.
#[test]
fn windows_of_a_long_outage_are_given_up_together() {
    let (platform, duties, mut settings) = start();
    let log = std::env::temp_dir().join(format!("entry-usage-{}.log", std::process::id()));
    settings.log = Some(log.clone());
    let daemon = EntryDaemon::start_with("a", &settings);
    eventually("a window is reported", || !duties.calls("/usage").is_empty());
    drop(daemon);
    platform.store.rename_rows("usage", |key| key.replace("report-00000000001", "report-00000000000"));
    let daemon = EntryDaemon::start_with("a", &settings);
    assert_eq!(ask(&daemon, "r1", "k-wash"), 200);
    eventually("the usage is reported", || reported(&duties).get("wash") == Some(&1));
    let text = std::fs::read_to_string(&log).unwrap();
    assert_eq!(text.lines().filter(|line| line.contains("TR2504")).count(), 1);
    duties.check("/usage");
    std::fs::remove_file(log).unwrap();
}
