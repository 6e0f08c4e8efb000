//! Selects the nodes that follow the store (followers) and relay its changes to the other nodes.
//!
//! Each heartbeat of a backend server writes a row, so the rows that all followers read grow with the
//! number of servers times the number of followers. In a large fleet, therefore, only a few nodes of each
//! availability zone follow the store and relay the changes other than heartbeats, which are few; see
//! [docs/design/fleet.md](../../../../docs/design/fleet.md).

use crate::Name;
use crate::hash::{hash_parts, rendezvous_weight};
use crate::version::{OwnRegion, ZoneRelation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Heartbeat rows that all followers together may read per second, about 16 MB/s of the store's network
/// link.
const MAX_HEARTBEAT_ROWS_PER_S: f64 = 40_000.0;

/// Approximate number of nodes that one follower relays changes to; each change costs it a message to
/// each of them.
const NODES_PER_FOLLOWER: usize = 128;

/// Minimum number of followers in an availability zone, so that one is left when another is lost.
const MIN_FOLLOWERS_PER_ZONE: usize = 2;

/// Servers per node that are assumed until service discovery has been read.
const ASSUMED_SERVERS_PER_NODE: usize = 10;

/// Fraction of the largest capacity from which a node is preferred as a follower.
const LARGE_CAPACITY_RATIO: f64 = 0.5;

/// A registered node that may become a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowerCandidate {
    /// Name of the node.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Processor capacity, in thousandths of a core.
    pub capacity: u32,
}

/// Returns how many of `nodes` follow the store if each of `servers` writes a row per `heartbeat`.
///
/// `servers` is `None` until the number of servers is known. The result is a power of two, so that it
/// seldom changes, or all nodes.
pub fn follower_count(nodes: usize, servers: Option<usize>, heartbeat: Duration) -> usize {
    // A fleet this small may follow as a whole until the number of servers is known.
    if servers.is_none() && nodes <= NODES_PER_FOLLOWER {
        return nodes;
    }
    let servers = servers.unwrap_or(nodes * ASSUMED_SERVERS_PER_NODE);
    let rows_per_s = servers.max(1) as f64 / heartbeat.as_secs_f64().max(0.001);
    let affordable = (MAX_HEARTBEAT_ROWS_PER_S / rows_per_s) as usize;
    let count = affordable.max(nodes.div_ceil(NODES_PER_FOLLOWER)).max(1);
    let count = 1 << count.ilog2();
    if 2 * count >= nodes { nodes } else { count }
}

/// Returns the nodes that follow the store, about `count` in all. Each zone has followers in proportion
/// to its nodes, and two of them at least. Within a zone, nodes with a large capacity come first; a hash
/// of the name breaks ties.
pub fn choose_followers(nodes: &[FollowerCandidate], count: usize) -> BTreeSet<Name> {
    if count >= nodes.len() {
        return nodes.iter().map(|node| node.name.clone()).collect();
    }
    let largest = nodes.iter().map(|node| node.capacity).max().unwrap_or(0);
    let threshold = (f64::from(largest) * LARGE_CAPACITY_RATIO).ceil() as u32;
    let key = hash_parts(&["follower"]);
    let mut zones: BTreeMap<&Name, Vec<&FollowerCandidate>> = BTreeMap::new();
    nodes.iter().for_each(|node| zones.entry(&node.zone).or_default().push(node));
    let mut chosen = BTreeSet::new();
    for mut zone_nodes in zones.into_values() {
        let wanted = (count * zone_nodes.len()).div_ceil(nodes.len()).max(MIN_FOLLOWERS_PER_ZONE);
        let rank = |node: &&FollowerCandidate| {
            (node.capacity < threshold, std::cmp::Reverse(rendezvous_weight(key, &node.name)))
        };
        zone_nodes.sort_by_key(rank);
        chosen.extend(zone_nodes.into_iter().take(wanted).map(|node| node.name.clone()));
    }
    chosen
}

/// Returns the followers in the order in which the node `own` asks them for changes. Those of its zone
/// come first, then those of its region if the deployment spans regions, then all others, each in an order that
/// differs between nodes, so that the nodes of a zone spread over them.
pub fn follower_order(
    own: &FollowerCandidate,
    region: Option<&OwnRegion>,
    followers: &[FollowerCandidate],
) -> Vec<Name> {
    let relation = |zone: &Name| match region {
        Some(region) => region.relation(zone),
        None if *zone == own.zone => ZoneRelation::OwnZone,
        None => ZoneRelation::OwnRegion,
    };
    let key = hash_parts(&[&own.name]);
    let mut order: Vec<&FollowerCandidate> = followers.iter().filter(|follower| follower.name != own.name).collect();
    let rank = |follower: &&FollowerCandidate| {
        (relation(&follower.zone), std::cmp::Reverse(rendezvous_weight(key, &follower.name)))
    };
    order.sort_by_key(rank);
    order.into_iter().map(|follower| follower.name.clone()).collect()
}
