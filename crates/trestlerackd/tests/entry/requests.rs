//! Requests and streams that are forwarded to servers, also while a node reloads or cannot reach the store.

use super::support::*;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Guards against streams that stay open for as long as their server is silent.
#[test]
fn a_stream_of_a_silent_server_ends_at_the_time_limit_of_its_route() {
    const ROUTE_LIMIT: Duration = Duration::from_secs(5);
    let platform = Platform::start_with_counts(0, 0);
    let engines = CrashingServers::start(&platform.store, "models", 2, Duration::from_millis(400));
    // The servers send the head of the response, and then nothing for half a minute.
    engines.work_ms.store(150_000, Ordering::SeqCst);
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    for path in ["/streamed/x", "/resumed/x"] {
        let started = Instant::now();
        let is_complete = read_stream_from(&daemon.client, path, "s1").is_some_and(|(_, is_complete)| is_complete);
        let took = started.elapsed();
        assert!(!is_complete, "{path}: a broken stream must not look complete");
        assert!(took < ROUTE_LIMIT + Duration::from_millis(400), "{path} ended after {took:?}");
    }
}

#[test]
fn requests_are_forwarded_unchanged_and_unroutable_ones_are_rejected() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let response = call(&daemon.client, "POST", "/safe/x?y=1", &[("request-id", "r1")], "the body").unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "the body"));
    assert_eq!(response.headers["response-stamp"], "signed-r1");
    assert_eq!(response.headers["request-id"], "r1");
    assert_eq!(call(&daemon.client, "GET", "/none/x", &[("request-id", "r2")], "").unwrap().status, 404);
    let large = "x".repeat(1_200_000);
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", "r3")], &large).unwrap().status, 413);
    assert_eq!(*platform.plain.runs.lock().unwrap(), ["r1"]);
}

#[test]
fn misattributed_and_truncated_responses_are_never_forwarded() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.misattributed_responses.store(1, Ordering::SeqCst);
    let response = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "one").unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "one"), "it may run again, so it was retried");
    assert_eq!(response.headers["request-id"], "r1");
    assert_eq!(*platform.plain.runs.lock().unwrap(), ["r1", "r1"]);
    platform.plain.truncated_responses.store(1, Ordering::SeqCst);
    let response = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r2")], "two").unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "two"));
    platform.plain.truncated_responses.store(1, Ordering::SeqCst);
    let response = call(&daemon.client, "POST", "/once/x", &[("request-id", "r3")], "three").unwrap();
    assert_eq!(response.status, 502, "it may have run and must not run again");
    let runs = platform.plain.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|id| *id == "r3").count(), 1);
}

/// A server that refuses a request did not run it, so it does not count against the attempts.
#[test]
fn refusals_do_not_count_as_attempts_of_a_stream() {
    let platform = Platform::start_behind_proxies(4, |address| address.to_string());
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.rejections.store(3, Ordering::SeqCst);
    let complete = complete_text("s1", 1).join(",");
    assert_eq!(read_stream(&daemon, "/streamed/x", "s1"), (complete, true));
}

#[test]
fn the_log_has_the_state_of_the_chosen_server_and_client_disconnects() {
    let platform = Platform::start();
    let log = std::env::temp_dir().join(format!("entry-log-{}.log", std::process::id()));
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        log: Some(log.clone()),
        ..DaemonSettings::default()
    };
    let daemon = EntryDaemon::start_with("a", &settings);
    let log_lines = |event: &str, id: &str| -> Vec<String> {
        let text = std::fs::read_to_string(&log).unwrap();
        let is_match = |line: &&str| line.contains(event) && line.contains(&format!("={id} "));
        text.lines().filter(is_match).map(str::to_owned).collect()
    };
    call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap();
    eventually("the response is logged", || !log_lines("TR2101", "r1").is_empty());
    let choices = log_lines("TR2103", "r1");
    assert_eq!(choices.len(), 1);
    for field in ["config=1", "server=i-plain-", "in_flight=0", "load_age_ms=none", "slowness=1.00", "zone=z"] {
        assert!(choices[0].contains(field), "{field} in {choices:?}");
    }
    platform.plain.hangs.store(true, Ordering::SeqCst);
    let mut stream = TcpStream::connect(&daemon.client).unwrap();
    send(&mut stream, "POST", "/once/x", &[("request-id", "r2")], "x").unwrap();
    eventually("the request runs", || platform.plain.runs.lock().unwrap().len() == 2);
    drop(stream);
    eventually("the client disconnect is logged", || !log_lines("TR2104", "r2").is_empty());
    assert!(log_lines("TR2101", "r2").is_empty());
    std::fs::remove_file(&log).unwrap();
}

#[test]
fn a_response_that_ends_with_its_connection_is_complete_unless_it_was_reset() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.unframed_responses.store(1, Ordering::SeqCst);
    let response = call(&daemon.client, "POST", "/once/x", &[("request-id", "r1")], "unframed").unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "unframed"));
    platform.plain.reset_responses.store(1, Ordering::SeqCst);
    let response = call(&daemon.client, "POST", "/once/x", &[("request-id", "r2")], "reset").unwrap();
    assert_eq!(response.status, 502, "a truncated response was forwarded: {}", response.body);
}

#[test]
fn a_client_disconnect_cancels_the_request_at_its_server() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.hangs.store(true, Ordering::SeqCst);
    let mut stream = TcpStream::connect(&daemon.client).unwrap();
    send(&mut stream, "POST", "/once/x", &[("request-id", "r1")], "x").unwrap();
    eventually("the request runs", || !platform.plain.runs.lock().unwrap().is_empty());
    let disconnected_at = Instant::now();
    drop(stream);
    eventually("the request at the server is cancelled", || {
        platform.plain.abandoned_requests.load(Ordering::SeqCst) == 1
    });
    assert!(disconnected_at.elapsed() < Duration::from_millis(500));
}

#[test]
fn sighup_reloads_the_settings_without_a_restart() {
    let platform = Platform::start();
    let mut daemon = EntryDaemon::start("a", &platform.store, &[]);
    daemon.signal("-HUP");
    std::thread::sleep(Duration::from_millis(200));
    assert!(daemon.is_running());
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap().status, 200);
}

#[test]
fn a_node_that_cannot_reach_the_store_serves_through_a_peer() {
    let platform = Platform::start();
    let peer = EntryDaemon::start("a", &platform.store, &[]);
    // Nothing listens at the address of its store, so each direct call fails.
    let cut_off = EntryDaemon::start_with(
        "b",
        &DaemonSettings { store: free_address(), seeds: vec![peer.peer.clone()], ..DaemonSettings::default() },
    );
    assert_eq!(call(&cut_off.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap().status, 200);
    assert_eq!(submit(&cut_off, "job1", 6), 202);
    assert_eq!(read_results(&cut_off, "job1", 6), read_results(&peer, "job1", 6));
}

fn read_stream(daemon: &EntryDaemon, path: &str, id: &str) -> (String, bool) {
    read_stream_from(&daemon.client, path, id).unwrap()
}

#[test]
fn a_broken_stream_is_resumed_only_if_the_route_allows_it() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let complete = |id: &str| complete_text(id, 1).join(",");
    assert_eq!(read_stream(&daemon, "/streamed/x", "s1"), (complete("s1"), true));
    platform.engine.broken_streams.store(1, Ordering::SeqCst);
    assert_eq!(read_stream(&daemon, "/resumed/x", "s2"), (complete("s2"), true));
    assert_eq!(platform.engine.runs.lock().unwrap()[1..], ["s2@1", "s2@3"]);
    platform.engine.broken_streams.store(1, Ordering::SeqCst);
    let (text, is_complete) = read_stream(&daemon, "/streamed/x", "s3");
    assert!(!is_complete, "a broken stream must not look complete: {text}");
    let runs = platform.engine.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|run| run.starts_with("s3")).count(), 1, "it must not run again");
}

/// Invalid rows in service discovery, which no server writes. They add no server and remove one that had the same key
/// before, and the other servers stay in use.
#[test]
fn invalid_service_discovery_rows_add_no_servers() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.store.put("servers", "i-plain-0", &serde_json::json!({ "service": "plain", "addr": 5 }));
    platform.store.put("servers", "i-stray", &serde_json::json!("bytes of another writer"));
    std::thread::sleep(Duration::from_millis(800));
    for number in 0..6 {
        let id = format!("r{number}");
        assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", &id)], "x").unwrap().status, 200);
    }
    let instances: Vec<String> =
        platform.plain.headers.lock().unwrap().values().map(|headers| headers["expect-instance"].clone()).collect();
    assert_eq!(instances, vec!["i-plain-1"; 6]);
}

/// The watch does not deliver a new route. A client would not retry after a 404, so the node reads the configuration
/// again before it responds with one, and sends no 404 while it cannot read.
#[test]
fn an_unknown_route_is_looked_up_in_a_fresh_configuration() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let status = |path: &str, id: &str| call(&daemon.client, "POST", path, &[("request-id", id)], "x").unwrap().status;
    assert_eq!(status("/late/x", "r1"), 404);
    platform.store.silence_watches(Some("op"));
    platform.add_route(2, "/late/");
    // The node refreshes the configuration once a second at most.
    std::thread::sleep(Duration::from_millis(1_100));
    assert_eq!((status("/late/x", "r2"), status("/none/x", "r3")), (200, 404));
}

/// Guards against a resumed stream without the events that came in one chunk with a spoiled one, and against one that
/// begins with a spoiled event and goes on after its number.
#[test]
fn a_resumed_stream_has_all_events_before_a_spoiled_one() {
    let platform = Platform::start_with_counts(1, 2 * EVENTS_PER_STREAM as usize);
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    for spoiled in 1..=EVENTS_PER_STREAM {
        platform.engine.spoiled_event.store(spoiled, Ordering::SeqCst);
        let id = format!("s{spoiled}");
        let stream = read_stream_from(&daemon.client, "/resumed/x", &id).unwrap();
        assert_eq!(stream, (complete_text(&id, 1).join(","), true), "event {spoiled} is spoiled");
        assert_eq!(platform.engine.spoiled_event.load(Ordering::SeqCst), 0, "the event was sent");
    }
}
