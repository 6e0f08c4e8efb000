//! Tests of a store that rejects calls for their rate: retries back off, and peers are not used to bypass
//! the limit.

use super::support::*;
use std::time::Duration;

/// All nodes start while the store rejects transactions for their rate. Their retries must back off, and all
/// nodes must work once the store accepts transactions again.
#[test]
fn rate_limited_nodes_back_off_and_do_not_ask_peers() {
    let platform = Platform::start();
    platform.store.refuse_commit_rate(true);
    let first = EntryDaemon::start("a", &platform.store, &[]);
    let daemons: Vec<EntryDaemon> =
        ["b", "c"].iter().map(|name| EntryDaemon::start(name, &platform.store, &[&first.peer])).collect();
    std::thread::sleep(Duration::from_secs(4));
    let commits = platform.store.commits();
    assert!(commits <= 3 * 8, "{commits} transactions of three nodes in four seconds");
    platform.store.refuse_commit_rate(false);
    eventually("all nodes are registered", || registered_count(&platform) == 3);
    assert_eq!(submit(&daemons[0], "job1", 2), 202);
    assert_eq!(read_results(&first, "job1", 2).len(), 2);
}

fn registered_count(platform: &Platform) -> usize {
    ["a", "b", "c"]
        .iter()
        .map(|name| trestlerack::process::node_partition(name))
        .collect::<std::collections::BTreeSet<_>>()
        .iter()
        .map(|partition| platform.store.row_count("state", partition))
        .sum()
}

/// The store rejects most of the nodes. Each of them must call it through the one node that is served, without
/// a delay at each call because other rejected nodes are asked first.
#[test]
fn a_rejected_node_keeps_to_the_peer_that_relayed_before() {
    let platform = Platform::start();
    let served = EntryDaemon::start("a", &platform.store, &[]);
    let rejecting = rate_limiting_store().to_string();
    let start = |name: &str| {
        let seeds = vec![served.peer.clone()];
        EntryDaemon::start_with(name, &DaemonSettings { store: rejecting.clone(), seeds, ..DaemonSettings::default() })
    };
    let rejected: Vec<EntryDaemon> = ["b", "c", "d", "e", "f"].into_iter().map(start).collect();
    std::thread::sleep(Duration::from_secs(1));
    let mut late = 0;
    for job in 0..12 {
        let started = std::time::Instant::now();
        assert_eq!(submit(&rejected[job % rejected.len()], &format!("job{job}"), 2), 202);
        late += usize::from(started.elapsed() >= Duration::from_millis(200));
    }
    assert!(late <= 1, "{late} of 12 submissions took 200 ms or more");
}

/// The store rejects every call of one node with the status of a rate limit. The node must serve through
/// peers instead of backing off.
#[test]
fn a_node_rejected_with_the_rate_limit_status_serves_through_peers() {
    let platform = Platform::start();
    let other = EntryDaemon::start("a", &platform.store, &[]);
    let rejecting = rate_limiting_store();
    let settings =
        DaemonSettings { store: rejecting.to_string(), seeds: vec![other.peer.clone()], ..DaemonSettings::default() };
    let rejected = EntryDaemon::start_with("b", &settings);
    assert_eq!(submit(&rejected, "job1", 2), 202);
    assert_eq!(read_results(&rejected, "job1", 2).len(), 2);
}
