//! Nodes that receive changes from a follower of the store, also when followers fail.

use super::support::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use trestlerack::Name;
use trestlerack::process::{FollowerCandidate, choose_followers};

/// Maximum time until each node applies a configuration while followers fail.
const MAX_CONFIG_TIME: Duration = Duration::from_secs(5);

/// Maximum time until each node applies a configuration while nothing fails.
const MAX_CONFIG_TIME_WITHOUT_FAILURES: Duration = Duration::from_secs(1);

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Six nodes of one zone, two of which follow the store.
struct FollowerFleet {
    platform: Platform,
    nodes: Vec<EntryDaemon>,
    followers: BTreeSet<Name>,
}

impl FollowerFleet {
    fn start(plain: usize, engines: usize) -> Self {
        let platform = Platform::start_counts(plain, engines);
        let mut nodes: Vec<EntryDaemon> = Vec::new();
        for name in NAMES {
            let settings = DaemonSettings {
                store: platform.store.address.to_string(),
                seeds: nodes.iter().take(3).map(|node| node.peer.clone()).collect(),
                more: json!({ "followers": 2 }),
                ..DaemonSettings::default()
            };
            nodes.push(EntryDaemon::start_with(name, &settings));
        }
        let candidate = |name: &str| FollowerCandidate { name: name.into(), zone: "z".into(), capacity: 1_000 };
        let followers = choose_followers(&NAMES.map(candidate), 2);
        assert_eq!(followers.len(), 2);
        // Nodes that were chosen while there were fewer nodes need time to notice that they no longer are.
        std::thread::sleep(Duration::from_secs(1));
        Self { platform, nodes, followers }
    }

    fn followers(&self) -> impl Iterator<Item = &EntryDaemon> {
        self.nodes.iter().filter(|node| self.followers.contains(&*node.name))
    }

    fn non_followers(&self) -> impl Iterator<Item = &EntryDaemon> {
        self.nodes.iter().filter(|node| !self.followers.contains(&*node.name))
    }

    /// Adds a route and returns how long it takes until all nodes that do not follow the store serve it.
    fn change_configuration(&self, version: u64) -> Duration {
        let prefix = format!("/added{version}/");
        self.platform.add_route(version, &prefix);
        let started = Instant::now();
        for node in self.non_followers() {
            let mut number = 0;
            eventually("the route is served", || {
                number += 1;
                let id = format!("{}-{version}-{number}", node.name);
                let answer = call(&node.client, "POST", &format!("{prefix}x"), &[("request-id", &id)], "x");
                answer.is_some_and(|answer| answer.status == 200)
            });
        }
        started.elapsed()
    }
}

#[test]
fn changes_reach_nodes_that_do_not_follow_the_store() {
    let fleet = FollowerFleet::start(1, 0);
    for version in 2..6 {
        let took = fleet.change_configuration(version);
        assert!(took <= MAX_CONFIG_TIME_WITHOUT_FAILURES, "{took:?}");
    }
    for node in fleet.non_followers() {
        let answer = call(&node.client, "POST", "/safe/x", &[("request-id", "served")], "x").unwrap();
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn configuration_changes_reach_all_nodes_while_followers_fail() {
    let mut fleet = FollowerFleet::start(1, 0);
    let names: Vec<Name> = fleet.followers.iter().cloned().collect();
    let index_of =
        |fleet: &FollowerFleet, name: &Name| fleet.nodes.iter().position(|node| *node.name == **name).unwrap();
    // One follower freezes and continues later.
    fleet.nodes[index_of(&fleet, &names[0])].signal("-STOP");
    assert!(fleet.change_configuration(2) <= MAX_CONFIG_TIME, "one is frozen");
    fleet.nodes[index_of(&fleet, &names[0])].signal("-CONT");
    assert!(fleet.change_configuration(3) <= MAX_CONFIG_TIME, "it continues");
    // Both freeze, so that the other nodes follow the store themselves.
    fleet.followers().for_each(|node| node.signal("-STOP"));
    assert!(fleet.change_configuration(4) <= MAX_CONFIG_TIME, "both are frozen");
    fleet.followers().for_each(|node| node.signal("-CONT"));
    assert!(fleet.change_configuration(5) <= MAX_CONFIG_TIME, "both continue");
    for name in &names {
        let index = index_of(&fleet, name);
        fleet.nodes.remove(index).signal("-KILL");
        let version = 6 + u64::from(name == &names[1]);
        assert!(fleet.change_configuration(version) <= MAX_CONFIG_TIME, "{name} was killed");
    }
}

/// Guards against calls to a server that is no longer registered by nodes that learn of this only through a follower.
#[test]
fn a_removed_server_is_not_used_by_nodes_that_do_not_follow_the_store() {
    let fleet = FollowerFleet::start(1, 0);
    let is_served = |node: &EntryDaemon, id: &str| {
        call(&node.client, "POST", "/once/x", &[("request-id", id)], "x").is_some_and(|answer| answer.status == 200)
    };
    assert!(fleet.non_followers().all(|node| is_served(node, "before")));
    fleet.platform.store.rename_rows("servers", |key| format!("other-{key}"));
    let started = Instant::now();
    for node in fleet.non_followers() {
        eventually("the server under its new name is used", || {
            let id = format!("{}-{}", node.name, started.elapsed().as_millis());
            is_served(node, &id)
        });
    }
    assert!(started.elapsed() <= MAX_CONFIG_TIME, "{:?}", started.elapsed());
}

#[test]
fn jobs_are_accepted_read_and_ended_at_nodes_that_do_not_follow_the_store() {
    let mut fleet = FollowerFleet::start(1, 2);
    let items = 6;
    {
        let non_followers: Vec<&EntryDaemon> = fleet.non_followers().collect();
        assert_eq!(submit(non_followers[0], "job1", items), 202);
        assert_eq!(read_all(non_followers[1], "job1", items).len(), items);
        assert_eq!(submit(non_followers[2], "job2", items), 202);
    }
    // One follower is killed. If it drives the second job, the other follower takes the job over.
    let first = fleet.followers.first().unwrap().clone();
    let index = fleet.nodes.iter().position(|node| *node.name == *first).unwrap();
    fleet.nodes.remove(index).signal("-KILL");
    let non_followers: Vec<&EntryDaemon> = fleet.non_followers().collect();
    assert_eq!(read_all(non_followers[3], "job2", items).len(), items);
    let response = call(&non_followers[1].client, "DELETE", "/trestlerack/lots/job2", &[("host", "h.example")], "");
    assert_eq!(response.map(|answer| answer.status), Some(200));
}
