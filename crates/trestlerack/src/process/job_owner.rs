//! Chooses the owner of a batch job: the node that drives it, which needs enough processor capacity.

use crate::Name;
use crate::hash::{hash_parts, rendezvous_weight};
use crate::version::{Placement, ZoneMap, ZoneRelation};
use std::cmp::Reverse;

/// Fraction of the largest capacity from which a node counts as large. The users' VMs have 0.5 or 0.12 of
/// a core, and an owner starts some 200 runs at once when a step is submitted.
const LARGE_CAPACITY_RATIO: f64 = 0.5;

/// Number of nodes of the owner's region that come first among its successors. Others follow in the order of their
/// weight, so that the loss of a region delays takeovers by no more than these ranks.
const NEAR_SUCCESSORS: usize = 2;

/// A node that may own a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Name of the node.
    pub name: Name,
    /// Processor capacity, in thousandths of a core.
    pub capacity: u32,
    /// Number of other models whose open jobs the node owns; the model of the new job does not count.
    pub models: usize,
    /// Shortest time that the store took to answer the node, in milliseconds; 0 if it is unknown.
    pub store_latency_ms: u32,
    /// Where the node is, as seen from the node that accepted the job.
    pub relation: ZoneRelation,
}

/// Difference in the store's latency from which a node counts as farther from the store, in milliseconds. It is
/// more than the latency varies within a region, and less than a round trip between regions takes.
const STORE_DISTANCE_MS: u32 = 20;

/// Returns how far a node is from the store, compared to the nearest one. A node that did not measure its latency
/// counts as the farthest.
fn store_distance(latency_ms: u32, min_latency_ms: u32) -> u32 {
    match latency_ms {
        0 => u32::MAX,
        _ => latency_ms.saturating_sub(min_latency_ms) / STORE_DISTANCE_MS,
    }
}

/// Returns the owner for the next job of a model.
///
/// `newest` owns the newest job of the model, so it knows the engines' load and has connections to them.
/// It is chosen again, unless it is gone or it is small and there is a large node. Otherwise the large
/// node that owns jobs of the fewest other models is chosen, and among those one near the store: an owner reads
/// the job and its stored texts before it starts an item, and writes each result. In another region than the store
/// that took 0.5 s before the first item, and 0.15 s for each result. A tie goes to `own`, the node that accepted
/// the job, or else to a node of its zone or region, or else to the highest rendezvous weight. While no latency of
/// the store is known, large nodes of other regions are candidates only if the own region has none.
pub fn choose_job_owner<'a>(
    model: &str,
    own: &str,
    newest: Option<&str>,
    candidates: &'a [OwnerCandidate],
) -> Option<&'a OwnerCandidate> {
    let threshold = large_threshold(candidates.iter().map(|candidate| candidate.capacity));
    let all_large = || candidates.iter().filter(|candidate| candidate.capacity >= threshold);
    let is_near = |candidate: &&OwnerCandidate| candidate.relation != ZoneRelation::OtherRegion;
    let has_near = all_large().any(|candidate| is_near(&candidate));
    let known_latencies = all_large().map(|candidate| candidate.store_latency_ms).filter(|latency_ms| *latency_ms > 0);
    let min_latency_ms = known_latencies.min();
    let large = || all_large().filter(|candidate| min_latency_ms.is_some() || !has_near || is_near(candidate));
    let min_latency_ms = min_latency_ms.unwrap_or(0);
    let key = hash_parts(&[model]);
    let cost = |candidate: &&OwnerCandidate| {
        let weight = rendezvous_weight(key, &candidate.name);
        let distance = store_distance(candidate.store_latency_ms, min_latency_ms);
        (candidate.models, distance, &*candidate.name != own, candidate.relation, Reverse(weight))
    };
    let current_owner = newest.and_then(|newest| large().find(|candidate| &*candidate.name == newest));
    current_owner.or_else(|| large().min_by_key(cost))
}

/// Returns the position of `own` in the order in which nodes take over a job whose owner is lost.
///
/// Large nodes come first, and the rendezvous weight for the job breaks ties, so each node computes the
/// same order. Before them come two large nodes for which `is_near` is true: those of the owner's
/// region, in a deployment that spans regions.
pub fn successor_rank(job: &str, own: (&str, u32), others: &[(Name, u32)], is_near: impl Fn(&str) -> bool) -> usize {
    let threshold = large_threshold(others.iter().map(|(_, capacity)| *capacity).chain([own.1]));
    let key = hash_parts(&[job]);
    let rank = |name: &str, capacity: u32| (capacity >= threshold, rendezvous_weight(key, name));
    let own_rank = rank(own.0, own.1);
    let others = || others.iter().filter(|(name, _)| **name != *own.0);
    let near = others().filter(|(name, capacity)| *capacity >= threshold && is_near(name));
    let mut near: Vec<_> = near.map(|(name, capacity)| rank(name, *capacity)).collect();
    near.sort_unstable_by_key(|rank| Reverse(*rank));
    near.truncate(NEAR_SUCCESSORS);
    let near_before = near.iter().filter(|rank| **rank > own_rank).count();
    if own.1 >= threshold && is_near(own.0) && near_before < NEAR_SUCCESSORS {
        return near_before;
    }
    let before = others().filter(|(name, capacity)| rank(name, *capacity) > own_rank).count();
    before + near.len() - near_before
}

/// Which nodes may take over a job whose owner is lost; see
/// [docs/design/allowed-regions.md](../../../../docs/design/allowed-regions.md).
#[derive(Clone, Copy, Debug)]
pub struct TakeoverRule<'a> {
    /// Where the requests of the job may be served.
    pub placement: &'a Placement,
    /// Regions of the availability zones.
    pub zones: &'a ZoneMap,
    /// Availability zone of the previous owner; `None` if it is unknown.
    pub previous_zone: Option<&'a str>,
}

/// Why a job without a driver is not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TakeoverObstacle {
    /// No registered node may take it over, because of their zones.
    NoNode,
    /// Some registered nodes may, and have not done it.
    OtherNodes,
}

impl TakeoverObstacle {
    /// Returns the value in log events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoNode => "no node is registered in an allowed zone or in the region of the previous owner",
            Self::OtherNodes => "the registered nodes that may take it over have not done so",
        }
    }
}

impl TakeoverRule<'_> {
    /// Returns whether a node in a zone may take the job over: the job's data may be in that zone, or the previous
    /// owner already had it in the same region.
    pub fn permits(&self, zone: &str) -> bool {
        self.placement.allows(zone) || self.previous_zone.is_some_and(|previous| self.is_near(previous, zone))
    }

    fn is_near(&self, previous: &str, zone: &str) -> bool {
        // Rows of nodes from before zones were published have none.
        !previous.is_empty() && self.zones.is_same_region(previous, zone)
    }

    /// Returns why a node in `zone` must leave the job to others; `None` if it may take the job over.
    /// `registered_zones` excludes the previous owner.
    pub fn obstacle<'z>(
        &self,
        zone: &str,
        mut registered_zones: impl Iterator<Item = &'z str>,
    ) -> Option<TakeoverObstacle> {
        if self.permits(zone) {
            return None;
        }
        let has_permitted = registered_zones.any(|other| self.permits(other));
        Some(if has_permitted { TakeoverObstacle::OtherNodes } else { TakeoverObstacle::NoNode })
    }

    /// Returns whether the node that accepted the job may drive it itself, although it is in `zone` and does not
    /// satisfy [`Self::permits`]: no other node that is registered may. `registered_zones` excludes the owner that
    /// does not respond.
    pub fn permits_acceptor<'z>(&self, zone: &str, registered_zones: impl Iterator<Item = &'z str>) -> bool {
        self.obstacle(zone, registered_zones) != Some(TakeoverObstacle::OtherNodes)
    }
}

/// Returns the capacity from which a node counts as large.
fn large_threshold(capacities: impl Iterator<Item = u32>) -> u32 {
    (f64::from(capacities.max().unwrap_or(0)) * LARGE_CAPACITY_RATIO).ceil() as u32
}
