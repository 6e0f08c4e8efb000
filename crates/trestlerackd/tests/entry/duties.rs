//! Duties towards the platform: usage reports and engine orders, which one lease holder at a time carries out.

use super::support::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Length of the usage windows in these tests, and the time within which a report is due, in seconds.
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

/// Returns the reported requests by customer, with each window counted once.
fn reported(duties: &DutyPlatform) -> BTreeMap<String, u64> {
    let mut by_window = BTreeMap::new();
    for call in duties.calls("/usage").into_iter().filter(|call| call.is_accepted()) {
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

fn send_request(daemon: &EntryDaemon, id: &str, key: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    let headers = [("request-id", id), ("authorization", bearer.as_str())];
    call(&daemon.client, "POST", "/safe/x", &headers, "x").map_or(0, |answer| answer.status)
}

/// Guards against usage that is lost or reported twice when several nodes count requests, the platform rejects or does
/// not answer reports, and a server's response breaks off.
#[test]
fn usage_is_reported_once_for_each_request_that_ran() {
    let (platform, duties, mut settings) = start();
    let log = std::env::temp_dir().join(format!("entry-usage-once-{}.log", std::process::id()));
    settings.log = Some(log.clone());
    let first = EntryDaemon::start_with("a", &settings);
    let second = EntryDaemon::start_with("b", &DaemonSettings { seeds: vec![first.peer.clone()], ..settings });
    duties.respond_next(&[429, 0, 503]);
    for number in 0..10 {
        assert_eq!(send_request(&first, &format!("a{number}"), "k-wash"), 200);
        assert_eq!(send_request(&second, &format!("b{number}"), "k-pension"), 200);
    }
    // A request that runs twice is counted once, and one with an unknown API key is not counted.
    platform.plain.short_answers.store(1, Ordering::SeqCst);
    assert_eq!(send_request(&second, "twice", "k-pension"), 200);
    assert_eq!(send_request(&second, "bad", "k-nobody"), 401);
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
    platform.store.slow_down_reads("usage", 2_500);
    let daemon = EntryDaemon::start_with("a", &settings);
    assert_eq!(send_request(&daemon, "r1", "k-wash"), 200);
    std::thread::sleep(Duration::from_secs(WINDOW_S) + Duration::from_millis(200));
    platform.store.slow_down_reads("usage", 0);
    let is_reported = || reported(&duties).get("wash") == Some(&1);
    eventually_with_detail("the usage is reported", is_reported, || usage_diagnostics(&duties, &log));
    duties.check("/usage");
    std::fs::remove_file(log).unwrap();
}

/// Guards against lost or contradictory reports when the lease holder and a node that had sent it usage are killed
/// together: the next holder reports their usage, and no window gets two reports with different counts.
#[test]
fn a_new_holder_reports_usage_sent_to_the_previous_one() {
    let (_platform, duties, settings) = start();
    let mut daemons = vec![EntryDaemon::start_with("a", &settings)];
    let seeds = vec![daemons[0].peer.clone()];
    let settings = DaemonSettings { seeds, ..settings };
    eventually("the first node holds the lease", || !duties.calls("/usage").is_empty());
    daemons.extend(["b", "c"].map(|name| EntryDaemon::start_with(name, &settings)));
    for (index, daemon) in daemons.iter().enumerate() {
        for number in 0..5 {
            assert_eq!(send_request(daemon, &format!("{index}-{number}"), "k-wash"), 200);
        }
    }
    // The holder stores the snapshots that it received each second.
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

/// Guards against a lost engine that is not replaced. The order is stored before it is sent, and a zone that has no
/// engines left is not asked again at once.
#[test]
fn a_lost_engine_is_ordered_again() {
    let (platform, duties, settings) = start();
    platform.configure_scaling(
        3,
        json!({ "min": 1, "max": 4, "boot_s": 1.0,
        "zone_prices": { "z": 1.0, "cheap": 0.5 } }),
    );
    let _daemon = EntryDaemon::start_with("a", &settings);
    eventually("the target is stored", || platform.store.count("engine-orders", "engine-orders") == 1);
    assert!(duties.calls("/scale").is_empty(), "no engine is missing");
    duties.respond_next(&[200, 409]);
    platform.store.remove("servers", "i-engine-0");
    eventually("the engine is ordered again", || duties.calls("/scale").len() >= 2);
    let orders: Vec<Value> = duties.calls("/scale").into_iter().map(|call| call.body).collect();
    let order = |zone: &str, engines: u32| json!({ "service": "models", "zone": zone, "target_groups": engines });
    assert!(orders[..2].contains(&order("cheap", 1)), "{orders:?}");
    duties.check("/scale");
}

/// The status pages for operators list customers and the holders of duties, and reveal no API key.
#[test]
fn the_status_pages_list_customers_and_duty_holders() {
    let (_platform, duties, mut settings) = start();
    let metrics = free_address();
    settings.more["metrics_listen"] = json!(metrics);
    let _daemon = EntryDaemon::start_with("a", &settings);
    eventually("a node holds the lease", || !duties.calls("/usage").is_empty());
    let fetch = |path: &str| call(&metrics, "GET", path, &[], "").unwrap();
    let customers = fetch("/v1/customers");
    assert_eq!(customers.json()[0], json!({ "name": "wash", "priority": null, "keys": 1, "configuration": 2 }));
    assert!(!customers.body.contains("k-wash"));
    let rows = fetch("/v1/duties").json();
    let names: Vec<&str> = rows.as_array().unwrap().iter().map(|row| row["duty"].as_str().unwrap()).collect();
    assert_eq!(names, ["weight orders", "usage reports", "engine orders"]);
    assert!(rows.as_array().unwrap().iter().all(|row| row["holder"] == "a" && row["is_held_here"] == true));
    assert!(fetch("/metrics").body.contains("trestlerack_entry_connections_opened"));
}

/// Guards against one log line per missed window, and against usage that is no longer reported, after the system was
/// down for long: the missed windows are skipped with one line, and later ones are reported.
#[test]
fn windows_of_a_long_outage_are_skipped_with_one_log_line() {
    let (platform, duties, mut settings) = start();
    let log = std::env::temp_dir().join(format!("entry-usage-{}.log", std::process::id()));
    settings.log = Some(log.clone());
    let daemon = EntryDaemon::start_with("a", &settings);
    eventually("a window is reported", || !duties.calls("/usage").is_empty());
    drop(daemon);
    platform.store.rename_rows("usage", |key| key.replace("report-00000000001", "report-00000000000"));
    let daemon = EntryDaemon::start_with("a", &settings);
    assert_eq!(send_request(&daemon, "r1", "k-wash"), 200);
    eventually("the usage is reported", || reported(&duties).get("wash") == Some(&1));
    let text = std::fs::read_to_string(&log).unwrap();
    assert_eq!(text.lines().filter(|line| line.contains("TR2504")).count(), 1);
    duties.check("/usage");
    std::fs::remove_file(log).unwrap();
}
