//! Requests that end each server that begins to run them.
//!
//! What users saw: a service none of whose servers answered for two to three seconds, again and
//! again, and in between requests refused that asked for nothing unusual.
//!
//! The order of events: a client sends a request, its node sends it to a server, which ends; the
//! node, which may try a repeatable request again, takes the next one; the client returns at
//! another node under another id, which takes the third. Seconds later the servers are back, and so is
//! the client.
//!
//! The cause: attempts were bounded for each arrival of a request at one node. Nothing bounded what
//! one content does to servers over all its arrivals, ids and nodes. The evidence is the fingerprint
//! in the lines `connection-broken`: it is the same under each of the ids, on each of the nodes, and
//! each time with `listens=no`.

use super::support::*;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Servers that may end under one request: three, and one more that was sent the request before the
/// news of the third end had come.
const MOST_ENDS: usize = 4;

/// Time after which an ended server is back.
const BACK_AFTER: Duration = Duration::from_millis(400);

/// Pause between two arrivals of the same request; ended servers are back after it.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(600);

/// Arrivals of the same request, each under another id and at another node.
const ARRIVALS: usize = 10;

fn start_nodes(platform: &Platform, names: &[&str]) -> Vec<EntryDaemon> {
    let mut nodes: Vec<EntryDaemon> = Vec::new();
    for name in names {
        let seeds: Vec<&str> = nodes.iter().map(|node| &*node.peer).collect();
        let node = EntryDaemon::start(name, &platform.store, &seeds);
        nodes.push(node);
    }
    nodes
}

fn plain_servers(platform: &Platform, count: usize) -> Arc<CrashingServers> {
    CrashingServers::start(&platform.store, "plain", count, BACK_AFTER)
}

fn status(node: &EntryDaemon, path: &str, id: &str, body: &str) -> u16 {
    call(&node.client, "POST", path, &[("request-id", id)], body).map_or(0, |answer| answer.status)
}

#[test]
fn a_request_that_ends_its_servers_is_held_on_all_nodes() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b", "c"]);
    for arrival in 0..ARRIVALS {
        status(&nodes[arrival % nodes.len()], "/safe/x", &format!("r{arrival}"), FATAL);
        std::thread::sleep(ARRIVAL_PAUSE);
    }
    let ended = servers.ended();
    assert!((3..=MOST_ENDS).contains(&ended), "{ended} servers ended");
    let answer = call(&nodes[0].client, "POST", "/safe/x", &[("request-id", "last")], FATAL).unwrap();
    assert_eq!(answer.status, 503, "it did not run this time");
    let retry_after: f64 = answer.headers["retry-after"].parse().unwrap();
    assert!(retry_after > 10.0, "a client that is told to come back at once does so in vain: {retry_after}");
    for (number, node) in nodes.iter().enumerate() {
        assert_eq!(status(node, "/safe/x", &format!("other{number}"), "another body"), 200);
    }
}

/// Sends the same content to the nodes in turn until one says that it is held.
fn send_until_held(nodes: &[EntryDaemon], path: &str, what: &str) {
    for arrival in 0..ARRIVALS {
        let node = &nodes[arrival % nodes.len()];
        let answer = call(&node.client, "POST", path, &[("request-id", &format!("{what}{arrival}"))], FATAL);
        if answer.as_ref().is_some_and(is_held) {
            return;
        }
        std::thread::sleep(ARRIVAL_PAUSE);
    }
    panic!("{what} is not held after {ARRIVALS} arrivals");
}

/// A refusal that asks for more time than a busy service takes is one of held content.
fn is_held(answer: &Answer) -> bool {
    let retry_after = answer.headers.get("retry-after").and_then(|value| value.parse::<f64>().ok());
    answer.status == 503 && retry_after.is_some_and(|seconds| seconds > 10.0)
}

/// Returns whether a node refuses the content as held.
fn holds(node: &EntryDaemon, id: &str) -> bool {
    call(&node.client, "POST", "/safe/x", &[("request-id", id)], FATAL).as_ref().is_some_and(is_held)
}

#[test]
fn a_request_that_may_run_once_is_held_as_well() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b", "c"]);
    send_until_held(&nodes, "/once/x", "once");
    assert!(servers.ended() <= MOST_ENDS, "{} servers ended", servers.ended());
    let mut ids: Vec<String> = servers.runs_of(FATAL).into_iter().map(|run| run.id).collect();
    let runs = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), runs, "each arrival ran once at most");
}

#[test]
fn a_stream_and_its_resumption_are_held() {
    for events_before_end in [0, 2] {
        let platform = Platform::start_with_counts(0, 0);
        let servers = CrashingServers::start(&platform.store, "models", 3, BACK_AFTER);
        servers.events_before_end.store(events_before_end, Ordering::SeqCst);
        let nodes = start_nodes(&platform, &["a", "b"]);
        for arrival in 0..ARRIVALS {
            let (text, is_whole) = read_stream_with_body(
                &nodes[arrival % nodes.len()].client,
                "/resumed/x",
                &format!("s{arrival}"),
                FATAL,
            )
            .unwrap();
            assert!(!is_whole, "{text}");
            std::thread::sleep(ARRIVAL_PAUSE);
        }
        let ended = servers.ended();
        assert!((3..=MOST_ENDS).contains(&ended), "{ended} servers ended after {events_before_end} events");
        assert!(read_stream_from(&nodes[0].client, "/resumed/x", "good").unwrap().1);
    }
}

/// Nobody sees the connection break if the client left before it did. Service discovery tells that the
/// server ended.
#[test]
fn a_client_that_leaves_hides_no_end() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b"]);
    for arrival in 0..ARRIVALS {
        let mut stream = TcpStream::connect(&nodes[arrival % nodes.len()].client).unwrap();
        let runs = servers.runs_of(FATAL).len();
        send(&mut stream, "POST", "/once/x", &[("request-id", &format!("r{arrival}"))], FATAL).unwrap();
        let until = Instant::now() + Duration::from_millis(200);
        while servers.runs_of(FATAL).len() == runs && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
        drop(stream);
        // Entries of ended servers are removed once those are back.
        std::thread::sleep(2 * ARRIVAL_PAUSE);
    }
    assert!((3..=MOST_ENDS).contains(&servers.ended()), "{} servers ended", servers.ended());
}

/// Requests that are in progress beside the fatal one, at each of its ends, are neither refused for
/// long nor lost: their client's return is served, whichever node it meets.
#[test]
fn bystanders_are_served_and_not_blamed() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 4);
    servers.work_ms.store(120, Ordering::SeqCst);
    let nodes = start_nodes(&platform, &["a", "b", "c"]);
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for bystander in 0..6 {
            let (nodes, is_over) = (&nodes, &is_over);
            scope.spawn(move || {
                let body = format!("bystander {bystander}");
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("by{bystander}-{number}");
                    let node = &nodes[(bystander + number) % nodes.len()];
                    let answer = call(&node.client, "POST", "/safe/x", &[("request-id", &id)], &body);
                    assert!(!answer.as_ref().is_some_and(is_held), "{body} is blamed: {answer:?}");
                }
            });
        }
        std::thread::sleep(Duration::from_millis(300));
        send_until_held(&nodes, "/safe/x", "fatal");
        std::thread::sleep(ARRIVAL_PAUSE);
        is_over.store(true, Ordering::SeqCst);
    });
    assert!(servers.ended() <= MOST_ENDS, "{} servers ended", servers.ended());
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

fn listed(node: &EntryDaemon, job: &str) -> Vec<Value> {
    let answer = call(&node.client, "GET", &format!("/trestlerack/lots/{job}?after=0"), &[], "");
    let answer = answer.filter(|answer| answer.status == 200);
    answer.map_or_else(Vec::new, |answer| answer.json()["results"].as_array().unwrap().clone())
}

/// The fatal item waits, all others of its job get their results, also from another node that takes
/// the job over once its owner is killed.
#[test]
fn an_item_is_held_also_where_its_job_is_taken_over() {
    let platform = Platform::start_with_counts(2, 0);
    let engines = CrashingServers::start(&platform.store, "models", 4, BACK_AFTER);
    engines.work_ms.store(50, Ordering::SeqCst);
    let mut nodes = start_nodes(&platform, &["a", "b", "c"]);
    let body = job_with_fatal_item("job1", "");
    let answer = call(&nodes[0].client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap();
    assert_eq!(answer.status, 202);
    eventually("all others are listed", || listed(&nodes[1], "job1").len() == 5);
    eventually("three engines ended", || engines.ended() >= 3);
    std::thread::sleep(ARRIVAL_PAUSE);
    let ended = engines.ended();
    assert!(ended <= MOST_ENDS, "{ended} engines ended");
    let results = listed(&nodes[1], "job1");
    assert!(results.iter().all(|result| result["state"] == "completed"), "a held item is not given up: {results:?}");
    // Whichever node drives the job, it is lost now, and one of the others goes on.
    for _ in 0..2 {
        nodes.remove(0).signal("-KILL");
        std::thread::sleep(Duration::from_secs(3));
    }
    assert_eq!(engines.ended(), ended, "the node that took the job over sent the item again");
    let answer = call(&nodes[0].client, "GET", "/trestlerack/items/job1?id=job1-item-0", &[], "").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, FATAL), "the item is open");
}

#[test]
fn a_score_call_is_held_without_the_places_of_others() {
    let platform = Platform::start_with_counts(0, 2);
    let scorers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b"]);
    let body = job_with_fatal_item("job1", FATAL);
    let answer = call(&nodes[0].client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap();
    assert_eq!(answer.status, 202);
    eventually("all others are scored", || listed(&nodes[1], "job1").len() == 5);
    std::thread::sleep(3 * ARRIVAL_PAUSE);
    let ended = scorers.ended();
    assert!((3..=MOST_ENDS).contains(&ended), "{ended} scorers ended");
}

/// Score calls of several items end servers, and few servers are left, so that the same end strikes several
/// of them. Each is still sent to three servers and one more at most, as the bytes that were submitted.
#[test]
fn score_calls_that_end_servers_together_are_each_held() {
    let platform = Platform::start_with_counts(0, 2);
    let scorers = plain_servers(&platform, 3);
    let nodes = start_nodes(&platform, &["a", "b", "c"]);
    let fatal: Vec<String> = (0..4).map(|number| format!("{FATAL}, number {number}")).collect();
    for (number, score_body) in fatal.iter().enumerate() {
        let (job, node) = (format!("job{number}"), &nodes[number % nodes.len()]);
        let body = job_with_fatal_item(&job, score_body);
        let answer = call(&node.client, "POST", &format!("/jobs/{job}"), &[("request-id", &job)], &body).unwrap();
        assert_eq!(answer.status, 202);
    }
    for number in 0..fatal.len() {
        eventually("all others are scored", || listed(&nodes[0], &format!("job{number}")).len() == 5);
    }
    std::thread::sleep(5 * ARRIVAL_PAUSE);
    for (number, score_body) in fatal.iter().enumerate() {
        let runs = scorers.runs_of(score_body);
        assert!((1..=MOST_ENDS).contains(&runs.len()), "{score_body} ran {} times", runs.len());
        assert!(runs.iter().all(|run| run.id == format!("job{number}-item-0-score")), "{runs:?}");
    }
}

#[test]
fn a_node_that_starts_knows_what_is_held() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let mut nodes = start_nodes(&platform, &["a", "b"]);
    send_until_held(&nodes, "/safe/x", "fatal");
    std::thread::sleep(ARRIVAL_PAUSE);
    let ended = servers.ended();
    nodes.extend(start_nodes(&platform, &["c"]));
    assert!(holds(&nodes[2], "new"), "a node that started just now");
    // All processes end, and only the store is left.
    drop(nodes);
    let nodes = start_nodes(&platform, &["a", "b"]);
    assert!(holds(&nodes[0], "again1") && holds(&nodes[1], "again2"), "all nodes started again");
    assert_eq!(servers.ended(), ended);
}

#[test]
fn a_node_that_was_cut_off_or_paused_knows_what_is_held() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 3);
    let mut nodes = start_nodes(&platform, &["a", "b"]);
    // Nothing listens there, so this one hears of the store through its peers only.
    let settings = DaemonSettings {
        store: free_address(),
        seeds: nodes.iter().map(|node| node.peer.clone()).collect(),
        ..DaemonSettings::default()
    };
    let cut_off = EntryDaemon::start_with("cut", &settings);
    nodes[1].signal("-STOP");
    let held_by = nodes.remove(0);
    send_until_held(std::slice::from_ref(&held_by), "/safe/x", "fatal");
    let ended = servers.ended();
    nodes[0].signal("-CONT");
    std::thread::sleep(ARRIVAL_PAUSE);
    assert!(holds(&nodes[0], "paused"), "a node that stood still meanwhile");
    assert!(holds(&cut_off, "cut"), "a node that the store does not serve");
    assert_eq!(servers.ended(), ended);
}

/// The store is down for all: the node that saw the ends tells its peers, and one that cannot be told
/// at the time asks. Once the store is back, the strikes are stored.
#[test]
fn nodes_that_cannot_reach_the_store_tell_each_other() {
    let platform = Platform::start_with_counts(0, 0);
    let servers = plain_servers(&platform, 6);
    let nodes = start_nodes(&platform, &["a", "b", "c", "d"]);
    platform.store.set_unavailable(true);
    nodes[3].signal("-STOP");
    // The first arrival ends two of the six servers, and each further one a single one.
    for (id, ended) in [("r1", 2), ("r2", 3)] {
        assert_eq!((status(&nodes[0], "/safe/x", id, FATAL), servers.ended()), (502, ended));
    }
    std::thread::sleep(Duration::from_millis(1_500));
    nodes[3].signal("-CONT");
    std::thread::sleep(Duration::from_millis(1_500));
    for (number, node) in nodes.iter().enumerate() {
        assert!(holds(node, &format!("again{number}")), "node {number}");
    }
    assert_eq!(servers.ended(), 3);
    assert_eq!(platform.store.row_count("state", "suspects"), 0);
    platform.store.set_unavailable(false);
    eventually("the strikes are stored", || platform.store.row_count("state", "suspects") == 3);
}

/// What is kept and logged of a suspect names neither what it asks for nor who asks by which key.
#[test]
fn neither_body_nor_key_of_a_suspect_is_kept() {
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
    eventually("the strikes are stored", || platform.store.row_count("state", "suspects") == 3);
    assert_eq!(servers.ended(), 3);
    let log_text = || std::fs::read_to_string(&log).unwrap();
    eventually("that it is held is logged", || log_text().contains("TR2109"));
    let text = log_text();
    for secret in ["secret-key", FATAL, "/safe/private"] {
        assert!(!platform.store.contains_text(secret) && !text.contains(secret), "{secret}");
    }
    std::fs::remove_file(&log).unwrap();
}
