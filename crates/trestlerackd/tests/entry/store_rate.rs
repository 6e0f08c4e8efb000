//! A store that refuses calls for their rate: no storm of retries, and no way around the rate.

use super::support::*;
use std::time::Duration;

/// All nodes start while the store takes no transactions. What they send while it refuses must not
/// grow with time, and everything works as soon as it takes them again.
#[test]
fn nodes_that_are_refused_for_a_rate_try_ever_more_seldom_and_do_not_ask_peers() {
    let platform = Platform::start();
    platform.store.refuse_commit_rate(true);
    let first = EntryDaemon::start("a", &platform.store, &[]);
    let daemons: Vec<EntryDaemon> =
        ["b", "c"].iter().map(|name| EntryDaemon::start(name, &platform.store, &[&first.peer])).collect();
    std::thread::sleep(Duration::from_secs(4));
    let commits = platform.store.commits();
    assert!(commits <= 3 * 8, "{commits} transactions of three nodes in four seconds");
    platform.store.refuse_commit_rate(false);
    eventually("all nodes are registered", || registered(&platform) == 3);
    assert_eq!(submit(&daemons[0], "job1", 2), 202);
    assert_eq!(read_all(&first, "job1", 2).len(), 2);
}

fn registered(platform: &Platform) -> usize {
    ["a", "b", "c"]
        .iter()
        .map(|name| trestlerack::process::node_partition(name))
        .collect::<std::collections::BTreeSet<_>>()
        .iter()
        .map(|partition| platform.store.count("state", partition))
        .sum()
}

/// The store refuses most of the nodes. Each serves on through one that it serves, without a pause
/// at each call whose first relays are refused too.
#[test]
fn a_refused_node_goes_on_through_the_peer_that_relayed_before() {
    let platform = Platform::start();
    let served = EntryDaemon::start("a", &platform.store, &[]);
    let refusing = rate_limiting_store().to_string();
    let start = |name: &str| {
        let seeds = vec![served.peer.clone()];
        EntryDaemon::start_with(name, &DaemonSettings { store: refusing.clone(), seeds, ..DaemonSettings::default() })
    };
    let refused: Vec<EntryDaemon> = ["b", "c", "d", "e", "f"].into_iter().map(start).collect();
    std::thread::sleep(Duration::from_secs(1));
    let mut late = 0;
    for job in 0..12 {
        let begun = std::time::Instant::now();
        assert_eq!(submit(&refused[job % refused.len()], &format!("job{job}"), 2), 202);
        late += usize::from(begun.elapsed() >= Duration::from_millis(200));
    }
    assert!(late <= 1, "{late} of 12 submissions waited");
}

/// The store may refuse one node with the status that it has for rates, whatever that node calls.
#[test]
fn a_node_that_alone_is_refused_with_the_status_of_a_rate_serves_on_through_peers() {
    let platform = Platform::start();
    let other = EntryDaemon::start("a", &platform.store, &[]);
    let refusing = rate_limiting_store();
    let settings =
        DaemonSettings { store: refusing.to_string(), seeds: vec![other.peer.clone()], ..DaemonSettings::default() };
    let refused = EntryDaemon::start_with("b", &settings);
    assert_eq!(submit(&refused, "job1", 2), 202);
    assert_eq!(read_all(&refused, "job1", 2).len(), 2);
}
