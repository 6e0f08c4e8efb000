//! Shares of customers in services that have too little room, alike at all nodes.
//!
//! Each node counts what its customers ask for and are given ([`ShareBook`]). While a service is short,
//! nodes tell one of them, the adder of that service, which works out max-min fair shares
//! ([`ShareAdder`], [`fair_shares`]) and answers with the part of each large customer's calls that is
//! admitted. See [docs/design/room.md](../../../../../docs/design/room.md).

mod adder;
mod book;
mod fair;
mod part_gate;
mod rate;

pub use adder::ShareAdder;
pub use book::{ShareBook, ShareCall, ShareLine, ShareVerdict};
pub use fair::{ShareDemand, fair_shares};
pub use part_gate::PartGate;

use crate::Name;
use crate::hash::{hash_parts, rendezvous_weight};
use std::time::Duration;

/// Settings of shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareSettings {
    /// Interval at which nodes tell and shares are made anew.
    pub period: Duration,
    /// Time for which an answer of the adder is believed.
    pub life: Duration,
    /// Time after the last call that was refused or waited for which a service counts as short. At many
    /// nodes each sees few calls, so it has to outlast the pause between two of them.
    pub short_memory: Duration,
    /// Time that the adder listens to nodes before it works out the first shares: until then it has heard
    /// of refused calls more than of served ones.
    pub listen: Duration,
    /// Least time between two answers for the same service that a node passes on.
    pub pass_interval: Duration,
    /// Part by which the room is taken to be larger than what was given, so that room that returns is
    /// found; also the most by which it shrinks in a period.
    pub growth: f64,
    /// Part of the work asked for that may be missing before a service counts as short at the adder: calls
    /// that are at work are asked for and not given yet.
    pub missing: f64,
    /// Part below which no customer's part is set, so that some of its calls show what it would get.
    pub least_part: f32,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(250),
            life: Duration::from_secs(2),
            short_memory: Duration::from_secs(5),
            listen: Duration::from_millis(500),
            pass_interval: Duration::from_secs(1),
            growth: 0.1,
            missing: 0.03,
            least_part: 0.001,
        }
    }
}

/// Returns the nodes that add up the use of a service, the one to be asked first in front.
pub fn choose_adders(service: &str, nodes: impl Iterator<Item = Name>) -> Vec<Name> {
    let key = hash_parts(&["shares", service]);
    let mut nodes: Vec<Name> = nodes.collect();
    nodes.sort_by_cached_key(|node| std::cmp::Reverse(rendezvous_weight(key, node)));
    nodes.truncate(ADDERS);
    nodes
}

/// Nodes that are asked in turn when one does not answer. Each further one costs another vain question
/// only where several nodes died at once.
const ADDERS: usize = 3;
