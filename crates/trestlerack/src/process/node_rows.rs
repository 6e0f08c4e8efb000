//! The rows in the platform's store through which entry nodes discover each other.

use crate::Name;
use crate::hash::hash_parts;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of partitions over which the rows of nodes are spread. All nodes may write their rows at the
/// same time, and a partition of the store accepts 150 transactions per second and queues one second of
/// them. Eight partitions therefore take the rows of 1,000 nodes without a refusal, at the cost of eight
/// more pages to read at a start.
pub const NODE_PARTITIONS: u64 = 8;

/// Prefix of the names of those partitions.
const PARTITION_PREFIX: &str = "nodes-";

/// Returns the partition that holds the row of a node.
pub fn node_partition(name: &str) -> Name {
    format!("{PARTITION_PREFIX}{}", hash_parts(&[name]) % NODE_PARTITIONS).into()
}

/// Returns whether a partition holds rows of nodes.
pub fn is_node_partition(partition: &str) -> bool {
    partition.starts_with(PARTITION_PREFIX)
}

/// The row in which a node publishes its address to its peers; see
/// [docs/PLATFORM.md](../../../../docs/PLATFORM.md#what-is-kept-where).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Address of the node's listener for peers.
    pub address: Name,
    /// Identifies this process of the node among earlier and later ones.
    pub incarnation: u64,
    /// Processor capacity of the node, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
    /// Availability zone of the node.
    #[serde(default)]
    pub zone: Name,
    /// Shortest time that the store took to answer the node, in milliseconds; 0 if it was not measured, which it
    /// is only in a deployment with several regions.
    #[serde(default, skip_serializing_if = "is_unmeasured")]
    pub store_latency_ms: u32,
}

fn is_unmeasured(latency_ms: &u32) -> bool {
    *latency_ms == 0
}

/// The newest known row of each node.
///
/// The tables are watched independently of the replies to a node's own writes, so a row here may be older
/// than another row that was just read. Each row is therefore kept with its version in the store.
#[derive(Debug, Default)]
pub struct NodeRows {
    rows: BTreeMap<Name, (u64, NodeRow)>,
}

impl NodeRows {
    /// Stores a row, or its removal if `row` is `None`, unless a newer version is known.
    pub fn put(&mut self, name: &Name, version: u64, row: Option<NodeRow>) {
        if self.rows.get(name).is_some_and(|(known, _)| *known > version) {
            return;
        }
        match row {
            Some(row) => self.rows.insert(name.clone(), (version, row)),
            None => self.rows.remove(name),
        };
    }

    /// Drops the rows of nodes that are not among those `registered` at the store version `as_of`, whose
    /// removal was missed. Rows newer than `as_of` are kept.
    pub fn forget_missing(&mut self, registered: &[Name], as_of: u64) {
        self.rows.retain(|name, (version, _)| *version > as_of || registered.contains(name));
    }

    /// Returns whether the node has restarted since its `incarnation` wrote some row at the store version
    /// `written_at`.
    ///
    /// A node registers before it writes anything else, so only a registration that is newer than that
    /// row shows a restart. An older one belongs to an earlier process or to the same one.
    pub fn is_restarted(&self, name: &str, incarnation: u64, written_at: u64) -> bool {
        let registered = self.rows.get(name);
        registered.is_some_and(|(version, row)| *version > written_at && row.incarnation != incarnation)
    }

    /// Returns the row of a registered node.
    pub fn get(&self, name: &str) -> Option<&NodeRow> {
        self.rows.get(name).map(|(_, row)| row)
    }

    /// Returns the version of a registered node's row in the store.
    pub fn version(&self, name: &str) -> Option<u64> {
        self.rows.get(name).map(|(version, _)| *version)
    }

    /// Returns the registered nodes with their rows.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &NodeRow)> {
        self.rows.iter().map(|(name, (_, row))| (name, row))
    }
}
