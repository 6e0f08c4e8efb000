//! Subsetting: which backend servers of a service a node uses.
//!
//! A node that used all servers of a large service would keep opening connections to new ones, and each choice
//! would scan all of them. Instead it uses a stable subset: a hash of both names decides whether a server is in
//! it. The subset has more servers of the node's own zone, enough of its region, and contains all servers of a small
//! service.

use super::registry::ServerEntry;
use crate::Name;
use crate::hash::hash_parts;
use crate::version::ZoneMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Smallest subset of the servers in the node's own zone, if there are that many.
const MIN_OWN_ZONE_SERVERS: usize = 32;

/// Smallest subset of the servers in all other zones of the region, which are used when the own zone has no free slot,
/// and of those in other regions.
const MIN_OTHER_ZONE_SERVERS: usize = 16;

/// Factor by which a number of servers must change before subsets are computed again, so that single servers
/// that start or stop do not change them.
const RESELECT_FACTOR: f64 = 2.0;

/// Numbers of servers by service and zone, from which subsets are computed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCounts {
    counts: BTreeMap<Name, BTreeMap<Name, usize>>,
    /// Whether a subset has servers of each other zone, because some requests may be served in some zones only.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    covers_zones: bool,
}

impl ServerCounts {
    /// Counts servers.
    pub fn of<'a>(entries: impl Iterator<Item = &'a ServerEntry>) -> Self {
        let mut counts: BTreeMap<Name, BTreeMap<Name, usize>> = BTreeMap::new();
        for entry in entries {
            *counts.entry(entry.service.clone()).or_default().entry(entry.zone.clone()).or_default() += 1;
        }
        Self { counts, covers_zones: false }
    }

    /// Returns the counts for subsets that have servers of each zone. Otherwise a small zone may have none in the
    /// subset of a node, which could then not serve a request that only that zone may serve.
    #[must_use]
    pub fn covering_zones(self, covers_zones: bool) -> Self {
        Self { covers_zones, ..self }
    }

    /// Returns whether the subsets have servers of each zone.
    pub fn covers_zones(&self) -> bool {
        self.covers_zones
    }

    /// Returns the total number of servers.
    pub fn total(&self) -> usize {
        self.counts.values().flat_map(|zones| zones.values()).sum()
    }

    /// Returns whether a service has a server in an availability zone.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.counts.values().any(|zones| zones.contains_key(zone))
    }

    /// Replaces the counts if they differ enough to change the subsets. Returns whether they did.
    pub fn replace_if_changed(&mut self, counts: Self) -> bool {
        let is_similar = |before: usize, after: usize| {
            let (smaller, larger) = (before.min(after), before.max(after));
            larger <= MIN_OTHER_ZONE_SERVERS || (larger as f64) < smaller as f64 * RESELECT_FACTOR
        };
        let count = |counts: &Self, service: &str, zone: &str| {
            counts.counts.get(service).and_then(|zones| zones.get(zone)).copied().unwrap_or(0)
        };
        let covers = |left: &Self, right: &Self| {
            left.counts.iter().all(|(service, zones)| {
                zones.iter().all(|(zone, number)| is_similar(*number, count(right, service, zone)))
            })
        };
        if self.covers_zones == counts.covers_zones && covers(self, &counts) && covers(&counts, self) {
            return false;
        }
        *self = counts;
        true
    }

    /// Returns whether a server is in the subset of a node. `regions` tells which zones lie in the node's region.
    pub fn is_in_subset(&self, node: &str, node_zone: &str, regions: &ZoneMap, entry: &ServerEntry) -> bool {
        let Some(zones) = self.counts.get(&entry.service) else { return true };
        let own = zones.get(node_zone).copied().unwrap_or(0);
        let others = zones.iter().filter(|(zone, _)| ***zone != *node_zone);
        let (mut near, mut far) = (0, 0);
        for (zone, count) in others {
            *(if regions.is_same_region(node_zone, zone) { &mut near } else { &mut far }) += count;
        }
        // The nearest servers, wherever they are, count as those of the own zone.
        let minimum = |nearer: usize| if nearer == 0 { MIN_OWN_ZONE_SERVERS } else { MIN_OTHER_ZONE_SERVERS };
        let fraction = if &*entry.zone == node_zone {
            subset_fraction(MIN_OWN_ZONE_SERVERS, own)
        } else if self.covers_zones {
            subset_fraction(MIN_OTHER_ZONE_SERVERS, zones.get(&entry.zone).copied().unwrap_or(0))
        } else if regions.is_same_region(node_zone, &entry.zone) {
            subset_fraction(minimum(own), near)
        } else {
            subset_fraction(minimum(own + near), far)
        };
        fraction >= 1.0 || hash_parts(&[node, &entry.instance]) as f64 / u64::MAX as f64 <= fraction
    }
}

/// Returns the fraction of `count` servers that yields at least `min_servers`: a power of one half.
fn subset_fraction(min_servers: usize, count: usize) -> f64 {
    let mut fraction = 1.0;
    while fraction * count as f64 >= 2.0 * min_servers as f64 {
        fraction /= 2.0;
    }
    fraction
}
