//! Servers that crash for another reason than a request, beside requests that crash servers and requests that do not.
//!
//! Guards against harmless contents that stay blocked for ten minutes after servers crashed around them. The fault was
//! that only a complete answer cleared a content, which a blocked one cannot get. It showed in `content-held` log
//! lines whose `server-ended` lines have runs that were cut at different events of the same content.

use super::support::*;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time after which a crashed server has restarted.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Pause between two arrivals of a request, after which crashed servers have restarted and their crashes count.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(900);

/// Time after the last crash within which a harmless content is sent again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

/// Number of servers that a content crashes before it is blocked.
const MAX_CRASHES: usize = 3;

/// Number of events of a long stream.
const LONG_STREAM: u64 = 80;

/// Time between two events, in milliseconds.
pub const EVENT_MS: usize = 20;

pub fn start_long_engines(platform: &Platform, count: usize) -> Arc<CrashingServers> {
    let engines = CrashingServers::start(&platform.store, "models", count, RESTART_DELAY);
    engines.events_per_stream.store(LONG_STREAM, Ordering::SeqCst);
    // A stream sends an event in a fifth of the work time.
    engines.work_ms.store(5 * EVENT_MS, Ordering::SeqCst);
    engines
}

pub fn submit_prompt(node: &EntryDaemon, job: &str, body: &str) {
    let id = format!("{job}-item");
    let item = json!({ "id": id, "path": "/jobs/run", "headers": { "Model": "m" }, "body": BASE64_STANDARD.encode(body),
        "tokens": 100, "group": job, "scorer": { "id": format!("{id}-score"), "host": "h.example",
        "path": "/safe/score", "body": BASE64_STANDARD.encode("score") } });
    let body = json!({ "step": 0, "model": "m", "min_version": 1, "target_groups": 1, "requests": [item] });
    let path = format!("/jobs/{job}");
    let answer = call(&node.client, "POST", &path, &[("request-id", job)], &body.to_string()).unwrap();
    assert_eq!(answer.status, 202);
}

pub fn read_job(node: &EntryDaemon, job: &str) -> Vec<Value> {
    let answer = call(&node.client, "GET", &format!("/trestlerack/lots/{job}?after=0"), &[], "");
    let answer = answer.filter(|answer| answer.status == 200);
    answer.map_or_else(Vec::new, |answer| answer.json()["results"].as_array().unwrap().clone())
}

/// Waits for the next run of a content and crashes its server after this number of events, for a reason of its own.
pub fn crash_next_run(servers: &CrashingServers, body: &str, runs_before: usize, events: u64) {
    eventually("the content runs again", || servers.runs_of(body).len() > runs_before);
    let run = servers.runs_of(body)[runs_before].clone();
    eventually("the run has sent its events", || run.events.load(Ordering::SeqCst) >= events);
    servers.crash_server(run.server);
}

/// Crashes of another cause cut each run of an item, at a different event each time. Guards against items that were
/// at no engine for ten minutes after that.
#[test]
fn an_item_whose_runs_were_cut_at_different_events_is_completed() {
    let platform = Platform::start_with_counts(2, 0);
    let engines = start_long_engines(&platform, 5);
    // More than all runs send that are cut, also if a crash comes late.
    engines.events_per_stream.store(3 * LONG_STREAM, Ordering::SeqCst);
    let nodes = start_logged_nodes(&platform, &["a", "b"], "prompt");
    submit_prompt(&nodes[0], "job1", "long prompt");
    for (runs, events) in [15, 30, 5, 12].into_iter().enumerate() {
        crash_next_run(&engines, "long prompt", runs, events);
    }
    let last_crash = Instant::now();
    eventually_with_detail(
        "the item is at an engine again",
        || engines.runs_of("long prompt").len() > 4,
        || suspect_lines(&nodes),
    );
    let waited = last_crash.elapsed();
    assert!(waited < RECOVERY_LIMIT, "the item was at no engine for {waited:?}");
    eventually("the item is recorded", || read_job(&nodes[1], "job1").len() == 1);
}

/// Returns whether an answer refuses blocked content: its client is to wait longer than for a server.
fn is_blocked_answer(answer: &HttpResponse) -> bool {
    let retry_after = answer.headers.get("retry-after").and_then(|value| value.parse::<f64>().ok());
    answer.status == 503 && retry_after.is_some_and(|seconds| seconds > 0.5)
}

fn wait_until(holds: impl Fn() -> bool) {
    while !holds() {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Crashes the servers that run a plain content and the next server with each, until all nodes block the content.
fn block_beside_other_crashes(platform: &Platform, nodes: &[EntryDaemon], body: &str) -> Arc<CrashingServers> {
    let servers = CrashingServers::start(&platform.store, "plain", 6, RESTART_DELAY);
    servers.work_ms.store(2_500, Ordering::SeqCst);
    for arrival in 0..12 {
        let runs = servers.runs_of(body).len();
        let (node, id) = (&nodes[arrival % nodes.len()], format!("cut{arrival}"));
        let is_blocked = std::thread::scope(|scope| {
            let client = scope.spawn(|| call(&node.client, "POST", "/once/x", &[("request-id", &id)], body));
            let is_sent = |body: &str, runs: usize| servers.runs_of(body).len() > runs;
            wait_until(|| is_sent(body, runs) || client.is_finished());
            for run in servers.runs_of(body).iter().skip(runs) {
                // Another content is cut at the same time, so that nodes hear of the other crash.
                let others = servers.runs_of("other").len();
                let other = scope.spawn(|| call(&nodes[0].client, "POST", "/once/x", &[("request-id", "by")], "other"));
                wait_until(|| is_sent("other", others) || other.is_finished());
                servers.runs_of("other").iter().skip(others).for_each(|other| servers.crash_server(other.server));
                servers.crash_server(run.server);
                drop(other.join());
            }
            client.join().unwrap().as_ref().is_some_and(is_blocked_answer)
        });
        if is_blocked {
            return servers;
        }
        std::thread::sleep(ARRIVAL_PAUSE);
    }
    panic!("{body} is not blocked");
}

/// Guards against harmless calls that are refused for ten minutes, because each of their servers crashed while other
/// servers crashed too.
#[test]
fn a_plain_call_that_crashes_cut_is_answered_in_calm() {
    let platform = Platform::start_with_counts(0, 0);
    let nodes = start_logged_nodes(&platform, &["a", "b"], "harmless");
    let servers = block_beside_other_crashes(&platform, &nodes, "harmless");
    servers.work_ms.store(30, Ordering::SeqCst);
    let calm = Instant::now();
    let mut number = 0;
    eventually("the call is answered", || {
        number += 1;
        let id = format!("calm{number}");
        let answer = call(&nodes[number % nodes.len()].client, "POST", "/once/x", &[("request-id", &id)], "harmless");
        answer.is_some_and(|answer| answer.status == 200)
    });
    let blocked = calm.elapsed();
    assert!(blocked < RECOVERY_LIMIT, "the content was blocked for {blocked:?}\n{}", suspect_lines(&nodes));
}

/// Servers crash all the time beside a request that crashes them. Guards against recovery trials that send it to more
/// than three servers after it has crashed three, counted at all nodes and over their restart.
#[test]
fn a_fatal_request_beside_other_crashes_gets_few_retries() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = CrashingServers::start(&platform.store, "plain", 6, RESTART_DELAY);
    let mut nodes = start_logged_nodes(&platform, &["a", "b", "c"], "storm");
    let send_for = |nodes: &[EntryDaemon], duration: Duration, round: &str| {
        let until = Instant::now() + duration;
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let (node, id) = (&nodes[number % nodes.len()], format!("{round}-{number}"));
            call(&node.client, "POST", "/safe/x", &[("request-id", &id)], FATAL);
            if number % 28 == 0 {
                // One server crashes for another reason, under another content.
                servers.work_ms.store(300, Ordering::SeqCst);
                let other = format!("other {round} {number}");
                std::thread::scope(|scope| {
                    let (client, body) = (&nodes[0].client, &other);
                    scope.spawn(move || call(client, "POST", "/once/x", &[("request-id", "other")], body));
                    crash_next_run(&servers, &other, 0, 0);
                });
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    };
    send_for(&nodes, Duration::from_secs(16), "first");
    // All nodes stop, so that only the store keeps what was used.
    let first_lines = suspect_lines(&nodes);
    drop(nodes);
    nodes = start_logged_nodes(&platform, &["a", "b", "c"], "storm-restarted");
    send_for(&nodes, Duration::from_secs(8), "second");
    let retries = servers.late_retries(FATAL);
    let lines = || [first_lines.clone(), suspect_lines(&nodes)].join("\n");
    assert!(
        (1..=MAX_LATE_RETRIES).contains(&retries),
        "{retries} late retries of {:?}\n{}",
        servers.runs_of(FATAL),
        lines()
    );
}

/// Guards against contents that are let off because their runs send many events before they crash the server.
#[test]
fn a_stream_that_crashes_servers_late_is_blocked() {
    for (events_before_crash, fatal_event) in [(40, u64::MAX), (usize::MAX, 40)] {
        let platform = Platform::start_with_counts(0, 0);
        let engines = start_long_engines(&platform, 4);
        engines.work_ms.store(25, Ordering::SeqCst);
        engines.events_before_crash.store(events_before_crash, Ordering::SeqCst);
        engines.fatal_event.store(fatal_event, Ordering::SeqCst);
        let nodes = start_nodes(&platform, &["a", "b"]);
        for arrival in 0..8 {
            let node = &nodes[arrival % nodes.len()];
            let stream = read_stream_with_body(&node.client, "/resumed/x", &format!("s{arrival}"), FATAL);
            // A run may get through the rest of a text that was resumed after its fatal event.
            assert!(stream.is_none_or(|(_, is_complete)| !is_complete), "a fatal stream ended");
            std::thread::sleep(ARRIVAL_PAUSE);
        }
        let crashes = engines.crash_count();
        assert!(
            (MAX_CRASHES..=MAX_CRASHES + 1).contains(&crashes),
            "{crashes} engines crashed after {events_before_crash} events or at event {fatal_event}"
        );
    }
}
