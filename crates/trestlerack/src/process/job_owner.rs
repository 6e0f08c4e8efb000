//! Chooses the node that drives a job: one with a processor that is up to it.

use crate::Name;
use crate::hash::{hash_parts, rendezvous_weight};
use std::cmp::Reverse;

/// Share of the largest capacity from which a node counts as large. The users' VMs of one class have
/// 0.5 or 0.12 of a core; a driver starts some 200 runs within a moment when a step is submitted.
const LARGE_SHARE: f64 = 0.5;

/// A node that may drive a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// Name of the node.
    pub name: Name,
    /// What its processor can do, in thousandths of a core.
    pub capacity: u32,
    /// Models whose open jobs it drives, other than the model of the job.
    pub models: usize,
}

/// Returns the node that is to drive the next job of a model.
///
/// `newest` is the owner of the newest job of the model, which knows the engines' load and holds
/// connections to them: it goes on unless it is small and a large one is there. Otherwise it is
/// the large node that drives the fewest other models, the acceptor `own` among equals.
pub fn choose_job_owner<'a>(
    model: &str,
    own: &str,
    newest: Option<&str>,
    candidates: &'a [OwnerCandidate],
) -> Option<&'a OwnerCandidate> {
    let least = large_capacity(candidates.iter().map(|candidate| candidate.capacity));
    let large = || candidates.iter().filter(|candidate| candidate.capacity >= least);
    let key = hash_parts(&[model]);
    let cost = |candidate: &&OwnerCandidate| {
        let weight = rendezvous_weight(key, &candidate.name);
        (candidate.models, &*candidate.name != own, Reverse(weight))
    };
    let goes_on = newest.and_then(|newest| large().find(|candidate| &*candidate.name == newest));
    goes_on.or_else(|| large().min_by_key(cost))
}

/// Returns the place of `own` in the line of a job's successors: large nodes come first, and among
/// equals the rendezvous weight for the job decides. Each node computes the same line.
pub fn successor_rank(job: &str, own: (&str, u32), others: &[(Name, u32)]) -> usize {
    let least = large_capacity(others.iter().map(|(_, capacity)| *capacity).chain([own.1]));
    let key = hash_parts(&[job]);
    let place = |name: &str, capacity: u32| (capacity >= least, rendezvous_weight(key, name));
    let own_place = place(own.0, own.1);
    others.iter().filter(|(name, capacity)| **name != *own.0 && place(name, *capacity) > own_place).count()
}

/// Returns the capacity from which a node counts as large.
fn large_capacity(capacities: impl Iterator<Item = u32>) -> u32 {
    (f64::from(capacities.max().unwrap_or(0)) * LARGE_SHARE).ceil() as u32
}
