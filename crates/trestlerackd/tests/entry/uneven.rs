//! Plain servers that turn slow, fail or return, before nodes that share what they learn.

use super::support::*;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Work of a plain server that is well, in milliseconds.
const WORK_MS: usize = 20;

/// A platform of four plain servers that state their load.
fn stating_platform() -> Platform {
    let platform = Platform::start_with_counts(4, 1);
    platform.plain.reports_load.store(true, Ordering::SeqCst);
    platform.plain.work_ms.store(WORK_MS, Ordering::SeqCst);
    platform
}

/// A daemon whose metrics address operators can ask.
fn start_daemon(name: &str, platform: &Platform, seeds: &[&str]) -> (EntryDaemon, String) {
    let metrics = free_address();
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        seeds: seeds.iter().map(ToString::to_string).collect(),
        more: json!({ "metrics_listen": metrics }),
        ..DaemonSettings::default()
    };
    (EntryDaemon::start_with(name, &settings), metrics)
}

/// Makes calls one after the other and returns how long the longest took. All are answered well.
fn make_calls(daemon: &EntryDaemon, label: &str, count: usize) -> Duration {
    let make_call = |number: usize| {
        let started = Instant::now();
        let id = format!("{label}-{number}");
        let answer = call(&daemon.client, "GET", "/safe/x", &[("request-id", &id)], "").unwrap();
        assert_eq!(answer.status, 200, "{id}");
        started.elapsed()
    };
    (0..count).map(make_call).max().unwrap()
}

/// Returns how many requests each server ran since this was asked last.
fn take_runs(platform: &Platform) -> Vec<usize> {
    let runs = std::mem::take(&mut *platform.plain.runs_by_server.lock().unwrap());
    (0..4).map(|server| runs.get(&server).copied().unwrap_or(0)).collect()
}

/// Changes the server that ran most and returns its number.
fn change_busiest(platform: &Platform, mode: ServerMode) -> usize {
    let runs = take_runs(platform);
    let busiest = (0..4).max_by_key(|server| runs[*server]).unwrap();
    *platform.plain.differing_server.lock().unwrap() = Some((busiest, mode));
    busiest
}

fn server_line(metrics: &str, server: usize) -> Value {
    let answer = call(metrics, "GET", "/v1/servers", &[], "").unwrap();
    let lines: Value = serde_json::from_str(&answer.body).unwrap();
    let name = format!("i-plain-{server}");
    lines.as_array().unwrap().iter().find(|line| line["server"] == name.as_str()).cloned().unwrap_or_default()
}

#[test]
fn a_server_that_turns_slow_is_left_and_used_again_once_it_is_well() {
    let platform = stating_platform();
    let (daemon, metrics) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 60);
    let slow = change_busiest(&platform, ServerMode::Slow(900));
    let longest = make_calls(&daemon, "slow", 40);
    let runs = take_runs(&platform);
    assert!(longest < Duration::from_millis(500), "a second server answered before the first: {longest:?}");
    assert!(runs[slow] <= 4, "{runs:?}, and {slow} is slow");
    assert_ne!(server_line(&metrics, slow)["standing"], "well");
    let page = call(&metrics, "GET", "/metrics", &[], "").unwrap().body;
    let gauge = format!("trestlerack_entry_server_aside{{server=\"i-plain-{slow}\",service=\"plain\"}} 1");
    assert!(page.contains(&gauge), "{page}");
    *platform.plain.differing_server.lock().unwrap() = None;
    let limit = Instant::now() + Duration::from_secs(20);
    while server_line(&metrics, slow)["standing"] != "well" {
        assert!(Instant::now() < limit, "{}", server_line(&metrics, slow));
        make_calls(&daemon, &format!("back-{:?}", Instant::now()), 20);
    }
    take_runs(&platform);
    make_calls(&daemon, "after", 100);
    let runs = take_runs(&platform);
    assert!(runs[slow] > 2, "more than a trickle: {runs:?}");
}

#[test]
fn a_server_that_answers_errors_is_left_and_its_callers_are_served() {
    let platform = stating_platform();
    let (daemon, metrics) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 60);
    let failing = change_busiest(&platform, ServerMode::Failing);
    make_calls(&daemon, "errors", 100);
    let runs = take_runs(&platform);
    assert!(runs[failing] <= 8, "{runs:?}, and {failing} answers errors");
    assert_eq!(server_line(&metrics, failing)["standing"], "trickle");
}

/// The peer is told before it has made a call, and a node that starts then asks.
#[test]
fn what_one_node_learns_its_peers_and_those_that_start_know() {
    let platform = stating_platform();
    let (first, _) = start_daemon("a", &platform, &[]);
    let (peer, peer_metrics) = start_daemon("b", &platform, &[&first.peer]);
    make_calls(&peer, "peer-warm", 4);
    make_calls(&first, "warm", 60);
    let slow = change_busiest(&platform, ServerMode::Slow(900));
    make_calls(&first, "slow", 40);
    eventually("the peer is told", || server_line(&peer_metrics, slow)["told_by"] == "a");
    let (fresh, fresh_metrics) = start_daemon("c", &platform, &[&first.peer, &peer.peer]);
    make_calls(&fresh, "ask", 1);
    eventually("the node that starts is told", || !server_line(&fresh_metrics, slow)["told_by"].is_null());
    take_runs(&platform);
    make_calls(&peer, "peer", 20);
    make_calls(&fresh, "fresh", 20);
    let runs = take_runs(&platform);
    assert!(runs[slow] <= 2, "{runs:?}, and {slow} is slow");
}

/// A call is run by no more servers than its route allows, also where all are slow.
#[test]
fn second_attempts_count_as_attempts() {
    let platform = stating_platform();
    let (daemon, _) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 60);
    platform.plain.work_ms.store(1_200, Ordering::SeqCst);
    for number in 0..3 {
        let id = format!("late-{number}");
        assert_eq!(call(&daemon.client, "GET", "/safe/x", &[("request-id", &id)], "").unwrap().status, 200);
        let runs = platform.plain.runs.lock().unwrap();
        let count = runs.iter().filter(|run| **run == id).count();
        assert!((1..=3).contains(&count), "{id} ran {count} times");
    }
}

/// Servers that state no slowness are asked one after the other, as before.
#[test]
fn without_stated_slowness_no_second_server_is_asked_early() {
    let platform = stating_platform();
    platform.plain.reports_load.store(false, Ordering::SeqCst);
    let (daemon, metrics) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 20);
    change_busiest(&platform, ServerMode::Slow(250));
    make_calls(&daemon, "slow", 10);
    assert_eq!(take_runs(&platform).iter().sum::<usize>(), 10, "each ran once");
    assert_eq!(call(&metrics, "GET", "/v1/servers", &[], "").unwrap().body, "[]");
}

#[test]
fn the_first_whole_answer_wins_and_the_other_connection_is_closed() {
    let platform = stating_platform();
    let (daemon, _) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 20);
    platform.plain.unanswered_requests.store(1, Ordering::SeqCst);
    let longest = make_calls(&daemon, "silent", 1);
    assert!(longest < Duration::from_millis(400), "{longest:?}");
    eventually("the silent server is left", || platform.plain.abandoned_requests.load(Ordering::SeqCst) == 1);
    let runs = platform.plain.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|id| *id == "silent-0").count(), 2);
}
