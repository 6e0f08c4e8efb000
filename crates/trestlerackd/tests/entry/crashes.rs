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
use std::sync::Arc;
use std::time::Duration;

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
    let platform = Platform::start_counts(0, 0);
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
