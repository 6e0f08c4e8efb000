//! Requests that crash each server that starts to run them.
//!
//! Guards against repeated outages of a service, of two to three seconds each, in which one content crashes all
//! of its servers and ordinary requests are refused. A node retries an idempotent request on the next server, and
//! the client returns with another id at another node, also after the servers have restarted.
//!
//! The fault was that attempts were limited for each arrival of a request at one node, and not for one content
//! over all its arrivals, ids and nodes. It showed in `connection-broken` log lines with the same fingerprint
//! under all ids and on all nodes, each with `listens=no`.

use super::support::*;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Largest number of servers that one content may crash: three, and one more that was sent the request before the
/// report of the third crash arrived.
const MAX_CRASHES: usize = 4;

/// Largest number of recovery trials of one content at all nodes together.
const MAX_RECOVERY_TRIALS: usize = 2;

/// Time in which a content that is blocked beside other crashes has its recovery trials.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time after which a crashed server has restarted.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Pause between two arrivals of the same request, after which crashed servers have restarted.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(600);

/// Number of arrivals of the same request, each with another id and at another node.
const ARRIVALS: usize = 10;

fn plain_servers(platform: &Platform, count: usize) -> Arc<CrashingServers> {
    CrashingServers::start(&platform.store, "plain", count, RESTART_DELAY)
}

fn status(node: &EntryDaemon, path: &str, id: &str, body: &str) -> u16 {
    call(&node.client, "POST", path, &[("request-id", id)], body).map_or(0, |answer| answer.status)
}

#[test]
fn a_request_that_crashes_servers_is_blocked_on_all_nodes() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b", "c"]);
    for arrival in 0..ARRIVALS {
        status(&nodes[arrival % nodes.len()], "/safe/x", &format!("r{arrival}"), FATAL);
        std::thread::sleep(ARRIVAL_PAUSE);
    }
    let crashes = servers.crash_count();
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} servers crashed");
    let answer = call(&nodes[0].client, "POST", "/safe/x", &[("request-id", "last")], FATAL).unwrap();
    assert_eq!(answer.status, 503, "the request is refused without a run");
    let retry_after: f64 = answer.headers["retry-after"].parse().unwrap();
    assert!(retry_after > 10.0, "a client that retries sooner is refused again: {retry_after}");
    for (number, node) in nodes.iter().enumerate() {
        assert_eq!(status(node, "/safe/x", &format!("other{number}"), "another body"), 200);
    }
}

/// Sends the same content to the nodes in turn until one refuses it as blocked.
fn send_until_blocked(nodes: &[EntryDaemon], path: &str, id_prefix: &str) {
    for arrival in 0..ARRIVALS {
        let node = &nodes[arrival % nodes.len()];
        let answer = call(&node.client, "POST", path, &[("request-id", &format!("{id_prefix}{arrival}"))], FATAL);
        if answer.as_ref().is_some_and(is_blocked) {
            return;
        }
        std::thread::sleep(ARRIVAL_PAUSE);
    }
    panic!("{id_prefix} is not blocked after {ARRIVALS} arrivals");
}

/// Returns whether a response refuses blocked content: its Retry-After is longer than that of an overloaded
/// service.
fn is_blocked(answer: &HttpResponse) -> bool {
    let retry_after = answer.headers.get("retry-after").and_then(|value| value.parse::<f64>().ok());
    answer.status == 503 && retry_after.is_some_and(|seconds| seconds > 10.0)
}

/// Returns whether a node refuses the fatal content as blocked.
fn blocks(node: &EntryDaemon, id: &str) -> bool {
    call(&node.client, "POST", "/safe/x", &[("request-id", id)], FATAL).as_ref().is_some_and(is_blocked)
}

#[test]
fn a_non_idempotent_request_that_crashes_servers_is_blocked() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b", "c"]);
    send_until_blocked(&nodes, "/once/x", "once");
    assert!(servers.crash_count() <= MAX_CRASHES, "{} servers crashed", servers.crash_count());
    let mut ids: Vec<String> = servers.runs_of(FATAL).into_iter().map(|run| run.id).collect();
    let runs = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), runs, "each arrival ran at most once");
}

#[test]
fn a_stream_and_its_resumption_are_blocked() {
    for events_before_crash in [0, 2] {
        let platform = Platform::start_with_counts(0, 0);
        let servers = CrashingServers::start(&platform.store, "models", 3, RESTART_DELAY);
        servers.events_before_crash.store(events_before_crash, Ordering::SeqCst);
        let nodes = start_nodes(&platform, &["a", "b"]);
        for arrival in 0..ARRIVALS {
            let (text, is_complete) = read_stream_with_body(
                &nodes[arrival % nodes.len()].client,
                "/resumed/x",
                &format!("s{arrival}"),
                FATAL,
            )
            .unwrap();
            assert!(!is_complete, "{text}");
            std::thread::sleep(ARRIVAL_PAUSE);
        }
        let crashes = servers.crash_count();
        assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} servers crashed after {events_before_crash} events");
        assert!(read_stream_from(&nodes[0].client, "/resumed/x", "good").unwrap().1);
    }
}

/// If the client disconnects before the crash, no node sees the connection to the server break. The crash must
/// then be counted from service discovery.
#[test]
fn a_crash_after_the_client_disconnected_is_counted() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b"]);
    for arrival in 0..ARRIVALS {
        let mut stream = TcpStream::connect(&nodes[arrival % nodes.len()].client).unwrap();
        let runs = servers.runs_of(FATAL).len();
        send(&mut stream, "POST", "/once/x", &[("request-id", &format!("r{arrival}"))], FATAL).unwrap();
        let deadline = Instant::now() + Duration::from_millis(200);
        while servers.runs_of(FATAL).len() == runs && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(1));
        }
        drop(stream);
        // Service discovery removes the entries of crashed servers once they have restarted.
        std::thread::sleep(2 * ARRIVAL_PAUSE);
    }
    assert!((3..=MAX_CRASHES).contains(&servers.crash_count()), "{} servers crashed", servers.crash_count());
}

/// Requests that run on a server while the fatal one crashes it must not be blocked: their retries are served at
/// every node.
#[test]
fn bystanders_are_served_and_not_blamed() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 4);
    servers.work_ms.store(120, Ordering::SeqCst);
    let nodes = start_nodes(&platform, &["a", "b", "c"]);
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for bystander in 0..6 {
            let (nodes, is_done) = (&nodes, &is_done);
            scope.spawn(move || {
                let body = format!("bystander {bystander}");
                let mut number = 0;
                while !is_done.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("by{bystander}-{number}");
                    let node = &nodes[(bystander + number) % nodes.len()];
                    let answer = call(&node.client, "POST", "/safe/x", &[("request-id", &id)], &body);
                    assert!(!answer.as_ref().is_some_and(is_blocked), "{body} is blocked: {answer:?}");
                }
            });
        }
        std::thread::sleep(Duration::from_millis(300));
        send_until_blocked(&nodes, "/safe/x", "fatal");
        std::thread::sleep(ARRIVAL_PAUSE);
        is_done.store(true, Ordering::SeqCst);
    });
    assert!(servers.crash_count() <= MAX_CRASHES, "{} servers crashed", servers.crash_count());
    for (number, node) in nodes.iter().enumerate() {
        for bystander in 0..6 {
            let (id, body) = (format!("after{number}-{bystander}"), format!("bystander {bystander}"));
            assert_eq!(status(node, "/safe/x", &id, &body), 200);
        }
    }
}

fn job_with_fatal_item(job: &str, score_body: &str) -> String {
    let item = |number: usize| {
        let id = format!("{job}-item-{number}");
        let body = if number == 0 && score_body.is_empty() { FATAL.to_owned() } else { format!("prompt {number}") };
        let score = if number == 0 { score_body.to_owned() } else { format!("score {number}") };
        let scorer = json!({ "id": format!("{id}-score"), "host": "h.example", "path": "/safe/score",
            "body": BASE64_STANDARD.encode(score) });
        json!({ "id": id, "path": "/jobs/run", "headers": { "Model": "m" }, "body": BASE64_STANDARD.encode(body),
            "tokens": 100, "group": format!("{job}-{number}"), "scorer": scorer })
    };
    let items: Vec<Value> = (0..6).map(item).collect();
    json!({ "step": 0, "model": "m", "min_version": 1, "target_groups": 1, "requests": items }).to_string()
}

fn read_results(node: &EntryDaemon, job: &str) -> Vec<Value> {
    let answer = call(&node.client, "GET", &format!("/trestlerack/lots/{job}?after=0"), &[], "");
    let answer = answer.filter(|answer| answer.status == 200);
    answer.map_or_else(Vec::new, |answer| answer.json()["results"].as_array().unwrap().clone())
}

/// A fatal item waits while all other items of its job get their results, and nodes that take the job over after
/// its owner was killed do not send the item again.
#[test]
fn an_item_stays_blocked_when_its_job_is_taken_over() {
    let platform = Platform::start_with_counts(2, 0);
    let engines = CrashingServers::start(&platform.store, "models", 4, RESTART_DELAY);
    engines.work_ms.store(50, Ordering::SeqCst);
    let mut nodes = start_nodes(&platform, &["a", "b", "c"]);
    let body = job_with_fatal_item("job1", "");
    let answer = call(&nodes[0].client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap();
    assert_eq!(answer.status, 202);
    eventually("all others are recorded", || read_results(&nodes[1], "job1").len() == 5);
    eventually("three engines crashed", || engines.crash_count() >= 3);
    std::thread::sleep(ARRIVAL_PAUSE);
    let crashes = engines.crash_count();
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
    let results = read_results(&nodes[1], "job1");
    assert!(results.iter().all(|result| result["state"] == "completed"), "a blocked item is not given up: {results:?}");
    // The first two nodes are killed, one of which drove the job, and the last one takes it over.
    for _ in 0..2 {
        nodes.remove(0).signal("-KILL");
        std::thread::sleep(Duration::from_secs(3));
    }
    assert_eq!(engines.crash_count(), crashes, "the node that took the job over sent the item again");
    let answer = call(&nodes[0].client, "GET", "/trestlerack/items/job1?id=job1-item-0", &[], "").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, FATAL), "the item can still be read");
}

#[test]
fn a_blocked_score_call_does_not_delay_the_others() {
    let platform = Platform::start_with_counts(0, 2);
    let scorers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b"]);
    let body = job_with_fatal_item("job1", FATAL);
    let answer = call(&nodes[0].client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap();
    assert_eq!(answer.status, 202);
    eventually("all others are scored", || read_results(&nodes[1], "job1").len() == 5);
    std::thread::sleep(3 * ARRIVAL_PAUSE);
    let crashes = scorers.crash_count();
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} scorers crashed");
}

/// Score calls of several items crash servers, and with few servers left one crash may be reported for several of
/// them. Each is still sent to at most four servers and on its recovery trials, with the submitted bytes.
#[test]
fn score_calls_that_crash_servers_together_are_each_blocked() {
    let platform = Platform::start_with_counts(0, 2);
    let scorers = plain_servers(&platform, 3);
    let nodes = start_logged_nodes(&platform, &["a", "b", "c"], "scores");
    let fatal: Vec<String> = (0..4).map(|number| format!("{FATAL}, number {number}")).collect();
    for (number, score_body) in fatal.iter().enumerate() {
        let (job, node) = (format!("job{number}"), &nodes[number % nodes.len()]);
        let body = job_with_fatal_item(&job, score_body);
        let answer = call(&node.client, "POST", &format!("/jobs/{job}"), &[("request-id", &job)], &body).unwrap();
        assert_eq!(answer.status, 202);
    }
    for number in 0..fatal.len() {
        let job = format!("job{number}");
        eventually_with_detail(
            "all others are scored",
            || read_results(&nodes[0], &job).len() == 5,
            || format!("{job} has {:?}", read_results(&nodes[0], &job)),
        );
    }
    std::thread::sleep(RECOVERY_TIME);
    for (number, score_body) in fatal.iter().enumerate() {
        let (runs, retries) = (scorers.runs_of(score_body), scorers.late_retries(score_body));
        let trials = recovery_trials(&nodes, &format!("job{number}-item-0-score"));
        let max_runs = MAX_CRASHES + trials.min(MAX_RECOVERY_TRIALS);
        let told = || format!("{score_body}: {runs:?}\n{}", suspect_lines(&nodes));
        assert!((1..=max_runs).contains(&runs.len()), "{} runs of {}", runs.len(), told());
        assert!(retries <= MAX_LATE_RETRIES, "{retries} late runs of {}", told());
        assert!(runs.iter().all(|run| run.id == format!("job{number}-item-0-score")), "{runs:?}");
    }
}

#[test]
fn a_starting_node_knows_what_is_blocked() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let mut nodes = start_nodes(&platform, &["a", "b"]);
    send_until_blocked(&nodes, "/safe/x", "fatal");
    std::thread::sleep(ARRIVAL_PAUSE);
    let crashes = servers.crash_count();
    nodes.extend(start_nodes(&platform, &["c"]));
    assert!(blocks(&nodes[2], "new"), "a node that has just started");
    // All nodes stop, so that only the store keeps the crash reports.
    drop(nodes);
    let nodes = start_nodes(&platform, &["a", "b"]);
    assert!(blocks(&nodes[0], "again1") && blocks(&nodes[1], "again2"), "all nodes were restarted");
    assert_eq!(servers.crash_count(), crashes);
}

#[test]
fn a_node_that_was_cut_off_or_paused_knows_what_is_blocked() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let mut nodes = start_nodes(&platform, &["a", "b"]);
    // Nothing listens at this store address, so the node reaches the store only through its peers.
    let settings = DaemonSettings {
        store: free_address(),
        seeds: nodes.iter().map(|node| node.peer.clone()).collect(),
        ..DaemonSettings::default()
    };
    let cut_off = EntryDaemon::start_with("cut", &settings);
    nodes[1].signal("-STOP");
    let observer = nodes.remove(0);
    send_until_blocked(std::slice::from_ref(&observer), "/safe/x", "fatal");
    let crashes = servers.crash_count();
    nodes[0].signal("-CONT");
    std::thread::sleep(ARRIVAL_PAUSE);
    assert!(blocks(&nodes[0], "paused"), "a node that was suspended meanwhile");
    assert!(blocks(&cut_off, "cut"), "a node without direct access to the store");
    assert_eq!(servers.crash_count(), crashes);
}

/// The store is down for all nodes. The node that saw the crashes sends reports to its peers, and a node that was
/// suspended at the time pulls them. Once the store is back, the reports are stored.
#[test]
fn nodes_exchange_crash_reports_while_the_store_is_down() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 6);
    let nodes = start_nodes(&platform, &["a", "b", "c", "d"]);
    platform.store.set_unavailable(true);
    nodes[3].signal("-STOP");
    // The first arrival crashes two of the six servers, and each later one crashes one.
    for (id, crashes) in [("r1", 2), ("r2", 3)] {
        assert_eq!((status(&nodes[0], "/safe/x", id, FATAL), servers.crash_count()), (502, crashes));
    }
    std::thread::sleep(Duration::from_millis(1_500));
    nodes[3].signal("-CONT");
    std::thread::sleep(Duration::from_millis(1_500));
    for (number, node) in nodes.iter().enumerate() {
        assert!(blocks(node, &format!("again{number}")), "node {number}");
    }
    assert_eq!(servers.crash_count(), 3);
    assert_eq!(platform.store.row_count("state", "suspects"), 0);
    platform.store.set_unavailable(false);
    eventually("the crash reports are stored", || platform.store.row_count("state", "suspects") == 3);
}

/// Stored rows and logs of a suspect contain neither the path and body of the request nor the API key of its
/// caller.
#[test]
fn neither_body_nor_key_of_a_suspect_is_stored() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    platform.configure(2, json!([{ "name": "wash", "api_keys": ["secret-key"] }]));
    let log = std::env::temp_dir().join(format!("entry-suspects-{}.log", std::process::id()));
    let store = platform.store.address.to_string();
    let daemon = EntryDaemon::start_with("a", &DaemonSettings { store, log: Some(log.clone()), ..Default::default() });
    for id in ["r1", "r2"] {
        let headers = [("request-id", id), ("authorization", "Bearer secret-key")];
        call(&daemon.client, "POST", "/safe/private", &headers, FATAL);
    }
    eventually("the crash reports are stored", || platform.store.row_count("state", "suspects") == 3);
    assert_eq!(servers.crash_count(), 3);
    let log_text = || std::fs::read_to_string(&log).unwrap();
    eventually("the block is logged", || log_text().contains("TR2109"));
    let text = log_text();
    for secret in ["secret-key", FATAL, "/safe/private"] {
        assert!(!platform.store.contains_text(secret) && !text.contains(secret), "{secret}");
    }
    std::fs::remove_file(&log).unwrap();
}
