//! Nodes that hear of changes from a follower of the store, and what happens when followers fail.

use super::support::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use trestlerack::Name;
use trestlerack::process::{FollowerCandidate, choose_followers};

/// Time in which a configuration is in force at each node, whatever fails.
const CONFIG_TIME: Duration = Duration::from_secs(5);

/// The same while nothing fails.
const CALM_CONFIG_TIME: Duration = Duration::from_secs(1);

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// Six nodes of one zone, two of which follow the store.
struct Fleet {
    platform: Platform,
    nodes: Vec<EntryDaemon>,
    followers: BTreeSet<Name>,
}

impl Fleet {
    fn start(plain: usize, engines: usize) -> Self {
        let platform = Platform::start_with_counts(plain, engines);
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
        let level = |name: &str| FollowerCandidate { name: name.into(), zone: "z".into(), capacity: 1_000 };
        let followers = choose_followers(&NAMES.map(level), 2);
        assert_eq!(followers.len(), 2);
        // Those that were to follow while there were fewer nodes find out that they are not.
        std::thread::sleep(Duration::from_secs(1));
        Self { platform, nodes, followers }
    }

    fn followers(&self) -> impl Iterator<Item = &EntryDaemon> {
        self.nodes.iter().filter(|node| self.followers.contains(&*node.name))
    }

    fn others(&self) -> impl Iterator<Item = &EntryDaemon> {
        self.nodes.iter().filter(|node| !self.followers.contains(&*node.name))
    }

    /// Adds a route and returns how long it takes until all nodes that do not follow the store serve it.
    fn change_configuration(&self, version: u64) -> Duration {
        let prefix = format!("/added{version}/");
        self.platform.add_route(version, &prefix);
        let started = Instant::now();
        for node in self.others() {
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
    let fleet = Fleet::start(1, 0);
    for version in 2..6 {
        let took = fleet.change_configuration(version);
        assert!(took <= CALM_CONFIG_TIME, "{took:?}");
    }
    for node in fleet.others() {
        let answer = call(&node.client, "POST", "/safe/x", &[("request-id", "served")], "x").unwrap();
        assert_eq!(answer.status, 200);
    }
}

#[test]
fn a_configuration_is_in_force_while_followers_fail() {
    let mut fleet = Fleet::start(1, 0);
    let names: Vec<Name> = fleet.followers.iter().cloned().collect();
    let of = |fleet: &Fleet, name: &Name| fleet.nodes.iter().position(|node| *node.name == **name).unwrap();
    // One stands still, and goes on later.
    fleet.nodes[of(&fleet, &names[0])].signal("-STOP");
    assert!(fleet.change_configuration(2) <= CONFIG_TIME, "one is frozen");
    fleet.nodes[of(&fleet, &names[0])].signal("-CONT");
    assert!(fleet.change_configuration(3) <= CONFIG_TIME, "it goes on");
    // Both stand still: each node follows the store itself.
    fleet.followers().for_each(|node| node.signal("-STOP"));
    assert!(fleet.change_configuration(4) <= CONFIG_TIME, "both are frozen");
    fleet.followers().for_each(|node| node.signal("-CONT"));
    assert!(fleet.change_configuration(5) <= CONFIG_TIME, "both go on");
    for name in &names {
        let place = of(&fleet, name);
        fleet.nodes.remove(place).signal("-KILL");
        let version = 6 + u64::from(name == &names[1]);
        assert!(fleet.change_configuration(version) <= CONFIG_TIME, "{name} was killed");
    }
}

/// A server that is listed no more is asked no more, also by nodes that hear of it from others.
#[test]
fn a_server_that_leaves_is_left_by_nodes_that_do_not_follow_the_store() {
    let fleet = Fleet::start(1, 0);
    let is_served = |node: &EntryDaemon, id: &str| {
        call(&node.client, "POST", "/once/x", &[("request-id", id)], "x").is_some_and(|answer| answer.status == 200)
    };
    assert!(fleet.others().all(|node| is_served(node, "before")));
    fleet.platform.store.rename_rows("servers", |key| format!("other-{key}"));
    let started = Instant::now();
    for node in fleet.others() {
        eventually("the server under its new name is used", || {
            let log = format!("{}-{}", node.name, started.elapsed().as_millis());
            is_served(node, &log)
        });
    }
    assert!(started.elapsed() <= CONFIG_TIME, "{:?}", started.elapsed());
}

#[test]
fn jobs_are_accepted_read_and_ended_at_nodes_that_do_not_follow_the_store() {
    let mut fleet = Fleet::start(1, 2);
    let items = 6;
    {
        let others: Vec<&EntryDaemon> = fleet.others().collect();
        assert_eq!(submit(others[0], "job1", items), 202);
        assert_eq!(read_results(others[1], "job1", items).len(), items);
        assert_eq!(submit(others[2], "job2", items), 202);
    }
    // Whichever follower drives the second one, it is lost now, and the other one goes on.
    let first = fleet.followers.first().unwrap().clone();
    let place = fleet.nodes.iter().position(|node| *node.name == *first).unwrap();
    fleet.nodes.remove(place).signal("-KILL");
    let others: Vec<&EntryDaemon> = fleet.others().collect();
    assert_eq!(read_results(others[3], "job2", items).len(), items);
    let end = call(&others[1].client, "DELETE", "/trestlerack/lots/job2", &[("host", "h.example")], "");
    assert_eq!(end.map(|answer| answer.status), Some(200));
}
