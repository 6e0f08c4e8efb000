//! Chooses the owner of a batch job: the node that drives it, which needs enough processor capacity.

use crate::Name;
use crate::hash::{hash_parts, rendezvous_weight};
use crate::version::ZoneRelation;
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
    /// Where the node is, as seen from the node that accepted the job.
    pub relation: ZoneRelation,
}

/// Returns the owner for the next job of a model.
///
/// `newest` owns the newest job of the model, so it knows the engines' load and has connections to them.
/// It is chosen again, unless it is gone or it is small and there is a large node. Otherwise the large
/// node that owns jobs of the fewest other models is chosen. A tie goes to `own`, the node that accepted
/// the job, or else to a node of its zone, or else to the highest rendezvous weight. Large nodes of other regions
/// are candidates only if the own region has none, since a driver sends its runs to engines of its region.
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
    let large = || all_large().filter(|candidate| !has_near || is_near(candidate));
    let key = hash_parts(&[model]);
    let cost = |candidate: &&OwnerCandidate| {
        let weight = rendezvous_weight(key, &candidate.name);
        (candidate.models, &*candidate.name != own, candidate.relation, Reverse(weight))
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

/// Returns the capacity from which a node counts as large.
fn large_threshold(capacities: impl Iterator<Item = u32>) -> u32 {
    (f64::from(capacities.max().unwrap_or(0)) * LARGE_CAPACITY_RATIO).ceil() as u32
}
