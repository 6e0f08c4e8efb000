//! What engines are told of urgency, and that runs keep to their memory.

use super::support::*;
use serde_json::json;
use std::io::Read;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const KEY: &str = "key-of-one";
const OTHER_KEY: &str = "key-of-another";

/// Pause between two events, so that runs which start together also run together.
const PACE: Duration = Duration::from_millis(100);

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

/// Returns the log lines of an event once there are `least` of them; the daemon writes its log in a
/// thread of its own.
fn log_lines(log: &Path, event: &str, least: usize) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    eventually("the log has the lines", || {
        let text = std::fs::read_to_string(log).unwrap();
        lines = text.lines().filter(|line| line.contains(event)).map(str::to_owned).collect();
        lines.len() >= least
    });
    lines
}

/// Submits a job of two items for the holder of a key, waits until its results are read, and makes a
/// plain call; the ids of all begin with `name`.
fn send_all(daemon: &EntryDaemon, name: &str, key: &str) {
    let bearer = format!("Bearer {key}");
    let headers = |id: &'static str| [("request-id", id), ("authorization", bearer.as_str())];
    let (id, call_id): (&'static str, &'static str) = match name {
        "one" => ("one", "one-call"),
        _ => ("two", "two-call"),
    };
    let body = job_body_of(id, 2, 1);
    assert_eq!(call(&daemon.client, "POST", &format!("/jobs/{id}"), &headers(id), &body).unwrap().status, 202);
    eventually("the job is whole", || {
        let path = format!("/trestlerack/lots/{id}?after=0");
        call(&daemon.client, "GET", &path, &headers(id), "").is_some_and(|answer| answer.json()["next"] == 2)
    });
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &headers(call_id), "x").unwrap().status, 200);
}

/// Returns the ranks that servers were told, by the begin of the requests' ids; `None` for none.
fn told(platform: &Platform, name: &str) -> Vec<Option<String>> {
    let engine = platform.engine.headers.lock().unwrap().clone();
    let plain = platform.plain.headers.lock().unwrap().clone();
    let of_name = engine.into_iter().chain(plain).filter(|(id, _)| id.starts_with(name));
    of_name.map(|(_, headers)| headers.get("request-priority").cloned()).collect()
}

#[test]
fn engines_and_servers_are_told_the_rank_of_a_customer() {
    let platform = Platform::start();
    platform.configure(
        2,
        json!([{ "name": "one", "api_keys": [KEY], "priority": 3 }, { "name": "two", "api_keys": [OTHER_KEY] }]),
    );
    let (daemon, log, _) = start(&platform, "rank");
    send_all(&daemon, "one", KEY);
    send_all(&daemon, "two", OTHER_KEY);
    // Two items, their scores and a plain call each; the second customer has its routes' rank.
    assert_eq!(told(&platform, "one"), vec![Some("3".to_owned()); 5]);
    assert_eq!(told(&platform, "two"), vec![Some("0".to_owned()); 5]);
    let lines = log_lines(&log, "TR2307", 4);
    let ranks = ["rank=3", "rank=0"].map(|rank| lines.iter().filter(|line| line.contains(rank)).count());
    assert_eq!(ranks, [2, 2], "{lines:?}");
    std::fs::remove_file(log).unwrap();
}

/// The stream breaks off after two events of the four that are expected.
#[test]
fn a_stream_that_is_half_made_goes_on_one_step_more_urgent() {
    // Each break pauses its engine for a moment.
    let platform = Platform::start_with_counts(1, 4);
    platform.configure(
        2,
        json!([{ "name": "one", "api_keys": [KEY], "priority": 3 }, { "name": "two", "api_keys": [OTHER_KEY] }]),
    );
    let (daemon, log, _) = start(&platform, "resumed");
    let bearer = format!("Bearer {KEY}");
    for (id, usage, rank) in [("short", "10,4", "2"), ("long", "10,40", "3")] {
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
        let told = platform.engine.headers.lock().unwrap()[id].clone();
        assert_eq!((&*told["last-event-id"], &*told["request-priority"]), ("2", rank), "{id}");
    }
    std::fs::remove_file(log).unwrap();
}

#[test]
fn nobody_is_told_a_rank_where_all_have_the_same() {
    let platform = Platform::start();
    platform.reconfigure(2, |config| {
        config["tenants"] = json!([{ "name": "one", "api_keys": [KEY], "priority": 3 },
            { "name": "two", "api_keys": [OTHER_KEY], "priority": 3 }]);
    });
    let (daemon, log, _) = start(&platform, "no-rank");
    send_all(&daemon, "one", KEY);
    send_all(&daemon, "two", OTHER_KEY);
    assert_eq!(told(&platform, ""), vec![None; 10]);
    assert!(log_lines(&log, "TR2307", 4).iter().all(|line| line.contains("rank=none")));
    std::fs::remove_file(log).unwrap();
}

/// Two engines of 150 tokens, and items of 100: one fits each engine, although each has four places.
#[test]
fn a_run_waits_for_an_engine_with_memory_for_it() {
    let platform = Platform::start();
    platform.reconfigure(2, |config| config["services"][1]["engine"]["kv_capacity"] = json!(150));
    platform.engine.event_interval_ms.store(PACE.as_millis() as usize, Ordering::SeqCst);
    let (daemon, log, metrics) = start(&platform, "memory");
    assert_eq!(submit(&daemon, "job1", 4), 202);
    eventually("both engines hold a run", || {
        let page = call(&metrics, "GET", "/metrics", &[], "").unwrap().body;
        let shown = page.lines().filter(|line| line.starts_with("trestlerack_entry_engine_tokens{"));
        let tokens: Vec<&str> = shown.filter_map(|line| line.split(' ').next_back()).collect();
        assert!(tokens.iter().all(|tokens| *tokens == "100"), "{page}");
        tokens.len() == 2
    });
    assert_eq!(read_results(&daemon, "job1", 4).len(), 4);
    let begins = platform.engine.last_runs.lock().unwrap().clone();
    let headers = platform.engine.headers.lock().unwrap().clone();
    for engine in ["i-engine-0", "i-engine-1"] {
        let here = |id: &String| headers[id]["expect-instance"] == engine;
        let mut times: Vec<Instant> = begins.iter().filter(|(id, _)| here(id)).map(|(_, at)| *at).collect();
        times.sort();
        // A run lasts five events; the next one begins once it has ended.
        let is_apart = |pair: &[Instant]| pair[1] - pair[0] >= PACE * EVENTS_PER_STREAM as u32;
        assert!(times.len() == 2 && times.windows(2).all(is_apart), "{engine}: {times:?}");
    }
    let left = log_lines(&log, "TR2311", 1);
    assert!(left.iter().all(|line| line.contains("held=100") && line.contains("wanted=100")));
    eventually("nothing is held any more", || {
        !call(&metrics, "GET", "/metrics", &[], "").unwrap().body.contains("trestlerack_entry_engine_tokens")
    });
    std::fs::remove_file(log).unwrap();
}

#[test]
fn what_is_too_large_for_any_engine_is_refused_or_left_to_the_engine() {
    let platform = Platform::start();
    platform.reconfigure(2, |config| config["services"][1]["engine"]["kv_capacity"] = json!(80));
    let (daemon, log, _) = start(&platform, "oversize");
    let headers = [("request-id", "g1"), ("model", "m"), ("token-usage", "80,10")];
    let answer = call(&daemon.client, "POST", "/streamed/x", &headers, "x").unwrap();
    assert_eq!(answer.status, 503);
    assert!(answer.headers["retry-after"].parse::<f64>().unwrap() >= 1.0, "it does not help to come back at once");
    assert!(platform.engine.runs.lock().unwrap().is_empty(), "it was sent to no engine");
    assert_eq!(log_lines(&log, "TR2313", 1).len(), 1);
    // Items of 100 tokens; that is what they may need at most, so only an engine can refuse them.
    assert_eq!(submit(&daemon, "job1", 2), 202);
    assert!(read_results(&daemon, "job1", 2).iter().all(|result| result["state"] == "completed"));
    assert_eq!(log_lines(&log, "TR2312", 2).len(), 2);
    std::fs::remove_file(log).unwrap();
}
