//! Where registered nodes are, for decisions that prefer the own region.
//!
//! All functions return nothing in a deployment that does not span regions. See
//! [docs/design/regions.md](../../../../docs/design/regions.md).

use super::node::EntryNode;
use std::collections::{BTreeMap, BTreeSet};
use trestlerack::Name;
use trestlerack::version::ZoneRelation;

/// Returns where each registered node is, as seen from this one.
pub fn node_relations(node: &EntryNode) -> BTreeMap<Name, ZoneRelation> {
    let Some(region) = &node.own_region else { return BTreeMap::new() };
    node.peers.rows(|name, row| (name.clone(), region.relation(&row.zone))).into_iter().collect()
}

/// Returns the registered nodes in the region of the node `name`; none if that node is not registered.
pub fn nodes_near(node: &EntryNode, name: &str) -> BTreeSet<Name> {
    let row = node.own_region.as_ref().and_then(|_| node.peers.get(name));
    let Some(zone) = row.map(|row| row.zone) else { return BTreeSet::new() };
    let is_near = |other: &str| node.zones.is_same_region(&zone, other);
    node.peers.rows(|other, row| is_near(&row.zone).then(|| other.clone())).into_iter().flatten().collect()
}
