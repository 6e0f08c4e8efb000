//! Which nodes follow the store, and which hear of changes from those.
//!
//! Each heartbeat of a backend server is a row, so what all followers read grows with the servers and
//! with the followers. Where both are many, a few nodes of each availability zone follow and pass on
//! changes, which are few; see [docs/design/fleet.md](../../../../docs/design/fleet.md).

use crate::Name;
use crate::hash::{hash_parts, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Rows of heartbeats that all followers together may read in a second: some 16 MB/s of the store's link.
const FOLLOWED_ROWS_PER_S: f64 = 40_000.0;

/// Nodes that hear of changes from one follower, about; each change costs it a message to each of them.
const NODES_PER_FOLLOWER: usize = 128;

/// Followers of an availability zone at least, so that one is left when another is lost.
const LEAST_IN_ZONE: usize = 2;

/// Servers for each node that are reckoned with before service discovery was read.
const SERVERS_PER_NODE: usize = 10;

/// Share of the largest capacity from which a node is preferred.
const LARGE_SHARE: f64 = 0.5;

/// A registered node, as far as levels ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LevelNode {
    /// Name.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// What its processor can do, in thousandths of a core.
    pub capacity: u32,
}

/// Returns how many of `nodes` follow the store, where `servers` write each `heartbeat`; `None` for the
/// servers if they are not known yet. It is a power of two, so that it seldom changes, or all.
pub fn follower_count(nodes: usize, servers: Option<usize>, heartbeat: Duration) -> usize {
    // So few nodes may all follow until the servers are known.
    if servers.is_none() && nodes <= NODES_PER_FOLLOWER {
        return nodes;
    }
    let servers = servers.unwrap_or(nodes * SERVERS_PER_NODE);
    let rows_per_s = servers.max(1) as f64 / heartbeat.as_secs_f64().max(0.001);
    let borne = (FOLLOWED_ROWS_PER_S / rows_per_s) as usize;
    let count = borne.max(nodes.div_ceil(NODES_PER_FOLLOWER)).max(1);
    let count = 1 << count.ilog2();
    if 2 * count >= nodes { nodes } else { count }
}

/// Returns the nodes that follow the store: in each zone as many as its nodes are of all, the large ones
/// first, and by a hash of the name among equals.
pub fn choose_followers(nodes: &[LevelNode], count: usize) -> BTreeSet<Name> {
    if count >= nodes.len() {
        return nodes.iter().map(|node| node.name.clone()).collect();
    }
    let largest = nodes.iter().map(|node| node.capacity).max().unwrap_or(0);
    let least = (f64::from(largest) * LARGE_SHARE).ceil() as u32;
    let key = hash_parts(&["follower"]);
    let mut zones: BTreeMap<&Name, Vec<&LevelNode>> = BTreeMap::new();
    nodes.iter().for_each(|node| zones.entry(&node.zone).or_default().push(node));
    let mut chosen = BTreeSet::new();
    for mut of_zone in zones.into_values() {
        let wanted = (count * of_zone.len()).div_ceil(nodes.len()).max(LEAST_IN_ZONE);
        let rank = |node: &&LevelNode| (node.capacity < least, std::cmp::Reverse(rendezvous_weight(key, &node.name)));
        of_zone.sort_by_key(rank);
        chosen.extend(of_zone.into_iter().take(wanted).map(|node| node.name.clone()));
    }
    chosen
}

/// Returns the followers that a node asks, in turn: those of its zone first, in an order of its own, so
/// that the nodes of a zone spread over them.
pub fn ask_order(own: &LevelNode, followers: &[LevelNode]) -> Vec<Name> {
    let key = hash_parts(&[&own.name]);
    let mut order: Vec<&LevelNode> = followers.iter().filter(|follower| follower.name != own.name).collect();
    let rank =
        |follower: &&LevelNode| (follower.zone != own.zone, std::cmp::Reverse(rendezvous_weight(key, &follower.name)));
    order.sort_by_key(rank);
    order.into_iter().map(|follower| follower.name.clone()).collect()
}
