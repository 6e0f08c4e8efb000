//! Servers that become slow, fail or recover, and nodes that share their observations of them.

use super::support::*;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Duration of a call at a healthy server, in milliseconds.
const HEALTHY_WORK_MS: usize = 20;

/// Starts a platform with four servers that report their load.
fn platform_with_load_reports() -> Platform {
    let platform = Platform::start_counts(4, 1);
    platform.plain.states_slowness.store(true, Ordering::SeqCst);
    platform.plain.work_ms.store(HEALTHY_WORK_MS, Ordering::SeqCst);
    platform
}

/// Starts a daemon with a metrics address, and returns both.
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

/// Makes calls one after another, all of which have to succeed, and returns the longest duration.
fn make_calls(daemon: &EntryDaemon, label: &str, count: usize) -> Duration {
    let make_call = |number: usize| {
        let started = Instant::now();
        let id = format!("{label}-{number}");
        let response = call(&daemon.client, "GET", "/safe/x", &[("request-id", &id)], "").unwrap();
        assert_eq!(response.status, 200, "{id}");
        started.elapsed()
    };
    (0..count).map(make_call).max().unwrap()
}

/// Returns how many requests each server ran since the last call of this function.
fn take_runs(platform: &Platform) -> Vec<usize> {
    let runs = std::mem::take(&mut *platform.plain.runs_at.lock().unwrap());
    (0..4).map(|server| runs.get(&server).copied().unwrap_or(0)).collect()
}

/// Changes the mode of the server that ran most requests, and returns its number.
fn set_busiest_mode(platform: &Platform, mode: ServerMode) -> usize {
    let runs = take_runs(platform);
    let busiest = (0..4).max_by_key(|server| runs[*server]).unwrap();
    *platform.plain.uneven.lock().unwrap() = Some((busiest, mode));
    busiest
}

fn server_status(metrics: &str, server: usize) -> Value {
    let response = call(metrics, "GET", "/v1/servers", &[], "").unwrap();
    let statuses: Value = serde_json::from_str(&response.body).unwrap();
    let name = format!("i-plain-{server}");
    statuses.as_array().unwrap().iter().find(|status| status["server"] == name.as_str()).cloned().unwrap_or_default()
}

#[test]
fn a_slow_server_is_avoided_until_it_recovers() {
    let platform = platform_with_load_reports();
    let (daemon, metrics) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 60);
    let slow = set_busiest_mode(&platform, ServerMode::Slow(900));
    let longest = make_calls(&daemon, "slow", 40);
    let runs = take_runs(&platform);
    assert!(longest < Duration::from_millis(500), "a second server responded before the slow one: {longest:?}");
    assert!(runs[slow] <= 4, "{runs:?}, and {slow} is slow");
    assert_ne!(server_status(&metrics, slow)["standing"], "well");
    let page = call(&metrics, "GET", "/metrics", &[], "").unwrap().body;
    let gauge = format!("trestlerack_entry_server_aside{{server=\"i-plain-{slow}\",service=\"plain\"}} 1");
    assert!(page.contains(&gauge), "{page}");
    *platform.plain.uneven.lock().unwrap() = None;
    let limit = Instant::now() + Duration::from_secs(20);
    while server_status(&metrics, slow)["standing"] != "well" {
        assert!(Instant::now() < limit, "{}", server_status(&metrics, slow));
        make_calls(&daemon, &format!("back-{:?}", Instant::now()), 20);
    }
    take_runs(&platform);
    make_calls(&daemon, "after", 100);
    let runs = take_runs(&platform);
    assert!(runs[slow] > 2, "more than probes: {runs:?}");
}

#[test]
fn a_server_that_responds_with_errors_is_avoided_and_calls_succeed() {
    let platform = platform_with_load_reports();
    let (daemon, metrics) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 60);
    let failing = set_busiest_mode(&platform, ServerMode::Failing);
    make_calls(&daemon, "errors", 100);
    let runs = take_runs(&platform);
    assert!(runs[failing] <= 8, "{runs:?}, and {failing} responds with errors");
    assert_eq!(server_status(&metrics, failing)["standing"], "trickle");
}

/// A peer gets the observations before it calls the slow server, and a node that starts later pulls them.
#[test]
fn server_observations_reach_peers_and_new_nodes() {
    let platform = platform_with_load_reports();
    let (first, _) = start_daemon("a", &platform, &[]);
    let (peer, peer_metrics) = start_daemon("b", &platform, &[&first.peer]);
    make_calls(&peer, "peer-warm", 4);
    make_calls(&first, "warm", 60);
    let slow = set_busiest_mode(&platform, ServerMode::Slow(900));
    make_calls(&first, "slow", 40);
    eventually("the peer has the observation", || server_status(&peer_metrics, slow)["told_by"] == "a");
    let (fresh, fresh_metrics) = start_daemon("c", &platform, &[&first.peer, &peer.peer]);
    make_calls(&fresh, "ask", 1);
    eventually("the new node has the observation", || !server_status(&fresh_metrics, slow)["told_by"].is_null());
    take_runs(&platform);
    make_calls(&peer, "peer", 20);
    make_calls(&fresh, "fresh", 20);
    let runs = take_runs(&platform);
    assert!(runs[slow] <= 2, "{runs:?}, and {slow} is slow");
}

/// A call is run by no more servers than its route allows, even if all are slow.
#[test]
fn hedged_attempts_count_towards_the_limit_of_attempts() {
    let platform = platform_with_load_reports();
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

/// Servers that report no slowness are tried one after another.
#[test]
fn servers_that_report_no_slowness_are_not_hedged() {
    let platform = platform_with_load_reports();
    platform.plain.states_slowness.store(false, Ordering::SeqCst);
    let (daemon, metrics) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 20);
    set_busiest_mode(&platform, ServerMode::Slow(250));
    make_calls(&daemon, "slow", 10);
    assert_eq!(take_runs(&platform).iter().sum::<usize>(), 10, "each ran once");
    assert_eq!(call(&metrics, "GET", "/v1/servers", &[], "").unwrap().body, "[]");
}

#[test]
fn the_first_complete_response_wins_and_the_other_connection_is_closed() {
    let platform = platform_with_load_reports();
    let (daemon, _) = start_daemon("a", &platform, &[]);
    make_calls(&daemon, "warm", 20);
    platform.plain.silent_answers.store(1, Ordering::SeqCst);
    let longest = make_calls(&daemon, "silent", 1);
    assert!(longest < Duration::from_millis(400), "{longest:?}");
    eventually("the request at the unresponsive server is cancelled", || {
        platform.plain.left.load(Ordering::SeqCst) == 1
    });
    let runs = platform.plain.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|id| *id == "silent-0").count(), 2);
}
