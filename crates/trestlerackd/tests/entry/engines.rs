//! The priorities that engines receive, and the limit of runs to an engine's KV cache memory.

use super::support::*;
use serde_json::json;
use std::io::Read;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const KEY: &str = "key-of-one";
const OTHER_KEY: &str = "key-of-another";

/// Time between two events of a stream, so that runs that start together also overlap.
const EVENT_GAP: Duration = Duration::from_millis(100);

fn start(platform: &Platform, name: &str) -> (EntryDaemon, PathBuf, String) {
    let log = std::env::temp_dir().join(format!("entry-engines-{name}-{}.log", std::process::id()));
    let metrics = free_address();
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        log: Some(log.clone()),
        more: json!({ "metrics_listen": metrics }),
        ..DaemonSettings::default()
    };
    (EntryDaemon::start_with("a", &settings), log, metrics)
}

/// Returns the log lines of an event once there are at least `min_lines`; the daemon writes its log in a separate
/// thread.
fn log_lines(log: &Path, event: &str, min_lines: usize) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    eventually("the log has the lines", || {
        let text = std::fs::read_to_string(log).unwrap();
        lines = text.lines().filter(|line| line.contains(event)).map(str::to_owned).collect();
        lines.len() >= min_lines
    });
    lines
}

/// Submits a job of two items with a customer's key, waits until its results can be read, and makes a plain call. The
/// ids of all requests start with `name`.
fn send_all(daemon: &EntryDaemon, name: &str, key: &str) {
    let bearer = format!("Bearer {key}");
    let headers = |id: &'static str| [("request-id", id), ("authorization", bearer.as_str())];
    let (id, call_id): (&'static str, &'static str) = match name {
        "one" => ("one", "one-call"),
        _ => ("two", "two-call"),
    };
    let body = job_body_of(id, 2, 1);
    assert_eq!(call(&daemon.client, "POST", &format!("/jobs/{id}"), &headers(id), &body).unwrap().status, 202);
    eventually("the job is complete", || {
        let path = format!("/trestlerack/lots/{id}?after=0");
        call(&daemon.client, "GET", &path, &headers(id), "").is_some_and(|answer| answer.json()["next"] == 2)
    });
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &headers(call_id), "x").unwrap().status, 200);
}

/// Returns the priorities in the requests that servers received, for ids that start with `name`; `None` for a request
/// without a priority.
fn received_priorities(platform: &Platform, name: &str) -> Vec<Option<String>> {
    let engine = platform.engine.headers.lock().unwrap().clone();
    let plain = platform.plain.headers.lock().unwrap().clone();
    let matching = engine.into_iter().chain(plain).filter(|(id, _)| id.starts_with(name));
    matching.map(|(_, headers)| headers.get("request-priority").cloned()).collect()
}

#[test]
fn engines_and_servers_receive_the_priority_of_a_customer() {
    let platform = Platform::start();
    platform.configure(
        2,
        json!([{ "name": "one", "api_keys": [KEY], "priority": 3 }, { "name": "two", "api_keys": [OTHER_KEY] }]),
    );
    let (daemon, log, _) = start(&platform, "rank");
    send_all(&daemon, "one", KEY);
    send_all(&daemon, "two", OTHER_KEY);
    // Each customer has two items, their scores and a plain call. The second customer gets the priority of its
    // routes.
    assert_eq!(received_priorities(&platform, "one"), vec![Some("3".to_owned()); 5]);
    assert_eq!(received_priorities(&platform, "two"), vec![Some("0".to_owned()); 5]);
    let lines = log_lines(&log, "TR2307", 4);
    let priorities = ["rank=3", "rank=0"].map(|priority| lines.iter().filter(|line| line.contains(priority)).count());
    assert_eq!(priorities, [2, 2], "{lines:?}");
    std::fs::remove_file(log).unwrap();
}

/// Guards against a resumed stream at the wrong priority. Both streams break off after two events: the one that expects
/// four is half generated and resumes one step more urgent, the one that expects forty keeps its priority.
#[test]
fn a_half_generated_stream_resumes_one_step_more_urgent() {
    // A broken stream makes its engine unavailable for a moment, so there are more engines than streams.
    let platform = Platform::start_counts(1, 4);
    platform.configure(
        2,
        json!([{ "name": "one", "api_keys": [KEY], "priority": 3 }, { "name": "two", "api_keys": [OTHER_KEY] }]),
    );
    let (daemon, log, _) = start(&platform, "resumed");
    let bearer = format!("Bearer {KEY}");
    for (id, usage, priority) in [("short", "10,4", "2"), ("long", "10,40", "3")] {
        platform.engine.broken_streams.store(1, Ordering::SeqCst);
        let mut stream = TcpStream::connect(&daemon.client).unwrap();
        let headers = [
            ("request-id", id),
            ("model", "m"),
            ("token-usage", usage),
            ("authorization", &bearer),
            ("connection", "close"),
        ];
        send(&mut stream, "POST", "/resumed/x", &headers, "prompt").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        assert!(text.ends_with("0\r\n\r\n"), "{text}");
        let received = platform.engine.headers.lock().unwrap()[id].clone();
        assert_eq!((&*received["last-event-id"], &*received["request-priority"]), ("2", priority), "{id}");
    }
    std::fs::remove_file(log).unwrap();
}

#[test]
fn no_priority_is_sent_where_all_customers_have_the_same() {
    let platform = Platform::start();
    platform.reconfigure(2, |config| {
        config["tenants"] = json!([{ "name": "one", "api_keys": [KEY], "priority": 3 },
            { "name": "two", "api_keys": [OTHER_KEY], "priority": 3 }]);
    });
    let (daemon, log, _) = start(&platform, "no-rank");
    send_all(&daemon, "one", KEY);
    send_all(&daemon, "two", OTHER_KEY);
    assert_eq!(received_priorities(&platform, ""), vec![None; 10]);
    assert!(log_lines(&log, "TR2307", 4).iter().all(|line| line.contains("rank=none")));
    std::fs::remove_file(log).unwrap();
}

/// Guards against runs that exceed the memory of an engine: of items of 100 tokens, only one fits an engine of 150
/// tokens, although each engine has four slots.
#[test]
fn a_run_waits_for_an_engine_with_enough_memory() {
    let platform = Platform::start();
    platform.reconfigure(2, |config| config["services"][1]["engine"]["kv_capacity"] = json!(150));
    platform.engine.pace_ms.store(EVENT_GAP.as_millis() as usize, Ordering::SeqCst);
    let (daemon, log, metrics) = start(&platform, "memory");
    assert_eq!(submit(&daemon, "job1", 4), 202);
    eventually("both engines have a run", || {
        let page = call(&metrics, "GET", "/metrics", &[], "").unwrap().body;
        let metric_lines = page.lines().filter(|line| line.starts_with("trestlerack_entry_engine_tokens{"));
        let tokens: Vec<&str> = metric_lines.filter_map(|line| line.split(' ').next_back()).collect();
        assert!(tokens.iter().all(|tokens| *tokens == "100"), "{page}");
        tokens.len() == 2
    });
    assert_eq!(read_all(&daemon, "job1", 4).len(), 4);
    let starts = platform.engine.last_runs.lock().unwrap().clone();
    let headers = platform.engine.headers.lock().unwrap().clone();
    for engine in ["i-engine-0", "i-engine-1"] {
        let is_here = |id: &String| headers[id]["expect-instance"] == engine;
        let mut times: Vec<Instant> = starts.iter().filter(|(id, _)| is_here(id)).map(|(_, at)| *at).collect();
        times.sort();
        // A run lasts five events, and the next one starts after it has ended.
        let is_sequential = |pair: &[Instant]| pair[1] - pair[0] >= EVENT_GAP * EVENTS as u32;
        assert!(times.len() == 2 && times.windows(2).all(is_sequential), "{engine}: {times:?}");
    }
    let skipped = log_lines(&log, "TR2311", 1);
    assert!(skipped.iter().all(|line| line.contains("held=100") && line.contains("wanted=100")));
    eventually("no memory is in use any more", || {
        !call(&metrics, "GET", "/metrics", &[], "").unwrap().body.contains("trestlerack_entry_engine_tokens")
    });
    std::fs::remove_file(log).unwrap();
}

#[test]
fn requests_too_large_for_any_engine_are_refused_or_left_to_the_engine() {
    let platform = Platform::start();
    platform.reconfigure(2, |config| config["services"][1]["engine"]["kv_capacity"] = json!(80));
    let (daemon, log, _) = start(&platform, "oversize");
    let headers = [("request-id", "g1"), ("model", "m"), ("token-usage", "80,10")];
    let answer = call(&daemon.client, "POST", "/streamed/x", &headers, "x").unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.headers["retry-after"].parse::<f64>().unwrap() >= 1.0, "an immediate retry would fail again");
    assert!(platform.engine.runs.lock().unwrap().is_empty(), "the request was sent to no engine");
    assert_eq!(log_lines(&log, "TR2313", 1).len(), 1);
    // Items may need up to 100 tokens but may end with fewer, so only an engine can refuse them.
    assert_eq!(submit(&daemon, "job1", 2), 202);
    assert!(read_all(&daemon, "job1", 2).iter().all(|result| result["state"] == "completed"));
    assert_eq!(log_lines(&log, "TR2312", 2).len(), 2);
    std::fs::remove_file(log).unwrap();
}
