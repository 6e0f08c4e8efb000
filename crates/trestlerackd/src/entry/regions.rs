//! Where registered nodes are, for decisions that prefer the own region.
//!
//! All functions return nothing in a deployment that does not span regions. See
//! [docs/design/regions.md](../../../../docs/design/regions.md).

use super::node::EntryNode;
use super::region_traffic::TrafficCounter;
use crate::process::{clock, logs};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::version::ZoneRelation;
use trestlerack::{Name, event};

/// Interval at which the zones that do not respond are compared with those of the last log line.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Number of zones of other regions that do not respond.
const UNREACHABLE_METRIC: &str = "trestlerack_entry_remote_zones_unreachable";

/// Returns where each registered node is, as seen from this one.
pub fn node_relations(node: &EntryNode) -> BTreeMap<Name, ZoneRelation> {
    let Some(region) = &node.own_region else { return BTreeMap::new() };
    node.peers.rows(|name, row| (name.clone(), region.relation(&row.zone))).into_iter().collect()
}

/// Returns the registered nodes in the region of the node `name`; none if that node is not registered.
pub fn nodes_near(node: &EntryNode, name: &str) -> BTreeSet<Name> {
    let row = node.own_region.as_ref().and_then(|_| node.peers.get(name));
    row.map(|row| nodes_in_region_of(node, &row.zone)).unwrap_or_default()
}

/// Returns the registered nodes in the region of a zone.
pub fn nodes_in_region_of(node: &EntryNode, zone: &str) -> BTreeSet<Name> {
    if node.own_region.is_none() {
        return BTreeSet::new();
    }
    let is_near = |other: &str| node.zones.is_same_region(zone, other);
    node.peers.rows(|other, row| is_near(&row.zone).then(|| other.clone())).into_iter().flatten().collect()
}

/// Returns the counter of the traffic to a zone; `None` if it lies in the own region.
pub fn traffic_to<'a>(node: &'a EntryNode, zone: &str) -> Option<&'a Arc<TrafficCounter>> {
    let is_remote = node.own_region.as_ref().is_some_and(|region| !region.contains(zone));
    is_remote.then_some(&node.region_traffic)
}

/// Counts a request to a server if its zone lies in another region. Returns the counter for its bytes.
pub fn record_request<'a>(node: &'a EntryNode, zone: &str) -> Option<&'a Arc<TrafficCounter>> {
    traffic_to(node, zone).inspect(|traffic| traffic.record_request())
}

/// Adds the metrics of other regions to a metrics page.
pub fn write_metrics(node: &EntryNode, page: &mut String) {
    if node.own_region.is_none() {
        return;
    }
    node.region_traffic.write_metrics(page);
    let unreachable = node.balancer.lock().unwrap().unreachable_zones().len();
    page.push_str(&format!("{UNREACHABLE_METRIC} {unreachable}\n"));
}

/// Logs when zones of other regions stop to respond and when they respond again, until the process ends.
pub async fn log_unreachable_zones(node: Arc<EntryNode>) {
    if node.own_region.is_none() {
        return;
    }
    let mut logged = BTreeSet::new();
    loop {
        clock::sleep(LOG_INTERVAL).await;
        let unreachable: BTreeSet<Name> = node.balancer.lock().unwrap().unreachable_zones().into_iter().collect();
        for zone in unreachable.difference(&logged) {
            logs::write(event::REMOTE_ZONE_LOST, &[("zone", zone)]);
        }
        for zone in logged.difference(&unreachable) {
            logs::write(event::REMOTE_ZONE_REGAINED, &[("zone", zone)]);
        }
        logged = unreachable;
    }
}
