//! Shares of customers in services that have too little room, alike at all nodes.
//!
//! Each node counts what its customers ask for and are given ([`ShareBook`]). While a service is short,
//! nodes tell one of them, the adder of that service, which works out max-min fair shares
//! ([`ShareAdder`], [`fair_shares`]) and answers with the part of each large customer's calls that is
//! admitted. See [docs/design/room.md](../../../../../docs/design/room.md).

mod aggregator;
mod aggregator_selector;
mod call_throttle;
mod fair_shares;
mod share_limiter;
mod work_rate;

pub use aggregator::ShareAdder;
pub use aggregator_selector::AdderChoice;
pub use call_throttle::PartGate;
pub use fair_shares::{ShareDemand, fair_shares};
pub use share_limiter::{ShareBook, ShareCall, ShareLine, ShareVerdict};

use crate::process::GossipSettings;
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
    /// Calls of which it has to have heard by then.
    pub least_heard: u32,
    /// Least time between two answers for the same service that a node passes on.
    pub pass_interval: Duration,
    /// Part by which the room is taken to be larger than what was given at least, so that it can show
    /// whether there is more.
    pub least_growth: f64,
    /// The same at most, which it reaches in steps while all that is admitted is served; also the most by
    /// which the room shrinks in a period.
    pub most_growth: f64,
    /// Part of the work asked for that may be missing before a service counts as short at the adder: calls
    /// that are at work are asked for and not given yet.
    pub missing: f64,
    /// Part of a customer's calls from which on all of them are admitted: what is asked for is measured no
    /// better than that, and a customer at its share is not to go behind the others.
    pub whole_part: f32,
    /// Part below which no customer's part is set, so that some of its calls show what it would get.
    pub least_part: f32,
}

impl ShareSettings {
    /// Returns how answers of adders are passed on: each second anew, so that two peers at once are enough.
    pub fn gossip(&self) -> GossipSettings {
        GossipSettings { told_at_once: 2, ..GossipSettings::default() }
    }
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(250),
            life: Duration::from_secs(2),
            short_memory: Duration::from_secs(5),
            listen: Duration::from_millis(500),
            least_heard: 60,
            pass_interval: Duration::from_secs(1),
            least_growth: 0.01,
            most_growth: 0.1,
            missing: 0.03,
            whole_part: 0.95,
            least_part: 0.001,
        }
    }
}
