//! Plain requests and streams, and what a node does while it reloads or is cut off.

use super::support::*;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn requests_reach_their_service_unchanged_and_others_are_told_so() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let answer = call(&daemon.client, "POST", "/safe/x?y=1", &[("request-id", "r1")], "the body").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "the body"));
    assert_eq!(answer.headers["response-stamp"], "signed-r1");
    assert_eq!(answer.headers["request-id"], "r1");
    assert_eq!(call(&daemon.client, "GET", "/none/x", &[("request-id", "r2")], "").unwrap().status, 404);
    let large = "x".repeat(1_200_000);
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", "r3")], &large).unwrap().status, 413);
    assert_eq!(*platform.plain.runs.lock().unwrap(), ["r1"]);
}

#[test]
fn an_answer_to_another_request_or_half_an_answer_is_never_passed_on() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.misattributed_responses.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "one").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "one"), "it may run again and did");
    assert_eq!(answer.headers["request-id"], "r1");
    assert_eq!(*platform.plain.runs.lock().unwrap(), ["r1", "r1"]);
    platform.plain.truncated_responses.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r2")], "two").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "two"));
    platform.plain.truncated_responses.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/once/x", &[("request-id", "r3")], "three").unwrap();
    assert_eq!(answer.status, 502, "it may have run and must not run again");
    let runs = platform.plain.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|id| *id == "r3").count(), 1);
}

/// A server that refuses a request did not run it, so it does not count against the attempts.
#[test]
fn refusals_leave_a_stream_its_attempts() {
    let platform = Platform::start_behind_proxies(4, |address| address.to_string());
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.rejections.store(3, Ordering::SeqCst);
    let whole = complete_text("s1", 1).join(",");
    assert_eq!(read_stream(&daemon, "/streamed/x", "s1"), (whole, true));
}

#[test]
fn the_log_tells_by_what_a_server_was_chosen_and_that_a_client_left() {
    let platform = Platform::start();
    let log = std::env::temp_dir().join(format!("entry-log-{}.log", std::process::id()));
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        log: Some(log.clone()),
        ..DaemonSettings::default()
    };
    let daemon = EntryDaemon::start_with("a", &settings);
    let lines_of = |event: &str, id: &str| -> Vec<String> {
        let text = std::fs::read_to_string(&log).unwrap();
        let is_it = |line: &&str| line.contains(event) && line.contains(&format!("={id} "));
        text.lines().filter(is_it).map(str::to_owned).collect()
    };
    call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap();
    eventually("the answer is logged", || !lines_of("TR2101", "r1").is_empty());
    let chosen = lines_of("TR2103", "r1");
    assert_eq!(chosen.len(), 1);
    for field in ["config=1", "server=i-plain-", "in_flight=0", "load_age_ms=none", "slowness=1.00", "zone=z"] {
        assert!(chosen[0].contains(field), "{field} in {chosen:?}");
    }
    platform.plain.hangs.store(true, Ordering::SeqCst);
    let mut stream = TcpStream::connect(&daemon.client).unwrap();
    send(&mut stream, "POST", "/once/x", &[("request-id", "r2")], "x").unwrap();
    eventually("the request runs", || platform.plain.runs.lock().unwrap().len() == 2);
    drop(stream);
    eventually("that it was left is logged", || !lines_of("TR2104", "r2").is_empty());
    assert!(lines_of("TR2101", "r2").is_empty());
    std::fs::remove_file(&log).unwrap();
}

#[test]
fn an_answer_that_ends_with_its_connection_is_whole_unless_it_was_reset() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.unframed_responses.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/once/x", &[("request-id", "r1")], "unframed").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "unframed"));
    platform.plain.reset_responses.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/once/x", &[("request-id", "r2")], "reset").unwrap();
    assert_eq!(answer.status, 502, "half an answer came: {}", answer.body);
}

#[test]
fn a_client_that_leaves_ends_the_work_of_its_server() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.hangs.store(true, Ordering::SeqCst);
    let mut stream = TcpStream::connect(&daemon.client).unwrap();
    send(&mut stream, "POST", "/once/x", &[("request-id", "r1")], "x").unwrap();
    eventually("the request runs", || !platform.plain.runs.lock().unwrap().is_empty());
    let left_at = Instant::now();
    drop(stream);
    eventually("its server is left", || platform.plain.abandoned_requests.load(Ordering::SeqCst) == 1);
    assert!(left_at.elapsed() < Duration::from_millis(500));
}

#[test]
fn a_hangup_reads_the_settings_again_and_ends_nothing() {
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
    // Nothing listens there, so each direct call fails.
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
fn a_broken_stream_is_resumed_where_the_route_allows_it_and_else_breaks_too() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let whole = |id: &str| complete_text(id, 1).join(",");
    assert_eq!(read_stream(&daemon, "/streamed/x", "s1"), (whole("s1"), true));
    platform.engine.broken_streams.store(1, Ordering::SeqCst);
    assert_eq!(read_stream(&daemon, "/resumed/x", "s2"), (whole("s2"), true));
    assert_eq!(platform.engine.runs.lock().unwrap()[1..], ["s2@1", "s2@3"]);
    platform.engine.broken_streams.store(1, Ordering::SeqCst);
    let (text, is_whole) = read_stream(&daemon, "/streamed/x", "s3");
    assert!(!is_whole, "a break must not look like an end: {text}");
    let runs = platform.engine.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|run| run.starts_with("s3")).count(), 1, "it must not run again");
}

/// Rows of service discovery that no server writes: they name no server, also where one was named
/// before, and the other servers go on.
#[test]
fn an_entry_that_cannot_be_read_names_no_server() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.store.put("servers", "i-plain-0", &serde_json::json!({ "service": "plain", "addr": 5 }));
    platform.store.put("servers", "i-stray", &serde_json::json!("bytes of another writer"));
    std::thread::sleep(Duration::from_millis(800));
    for number in 0..6 {
        let id = format!("r{number}");
        assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", &id)], "x").unwrap().status, 200);
    }
    let asked: Vec<String> =
        platform.plain.headers.lock().unwrap().values().map(|headers| headers["expect-instance"].clone()).collect();
    assert_eq!(asked, vec!["i-plain-1"; 6]);
}

/// The watch brings no news of a new route. A client that is told that it does not exist would not
/// come again, so the node looks once more; while it cannot, it does not say so.
#[test]
fn a_route_that_the_node_does_not_know_yet_is_looked_up_once_more() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let status = |path: &str, id: &str| call(&daemon.client, "POST", path, &[("request-id", id)], "x").unwrap().status;
    assert_eq!(status("/late/x", "r1"), 404);
    platform.store.silence_watches(Some("op"));
    platform.add_route(2, "/late/");
    // The node reads once a second at most.
    std::thread::sleep(Duration::from_millis(1_100));
    assert_eq!((status("/late/x", "r2"), status("/none/x", "r3")), (200, 404));
}
