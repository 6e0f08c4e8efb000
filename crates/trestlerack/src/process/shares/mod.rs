//! Fair shares of an overloaded service for its customers, enforced consistently by all nodes.
//!
//! Each node counts the work that its customers request and receive ([`ShareLimiter`]). While a service is
//! overloaded, nodes report these counts to one of them, the aggregator of that service. It computes max-min fair
//! shares ([`ShareAggregator`], [`fair_shares()`]) and answers with the fraction of calls to admit for each customer
//! over its share. A service is overloaded when calls were recently refused or queued because no server had a free
//! slot.
//!
//! See [docs/design/room.md](../../../../../docs/design/room.md).

mod aggregator;
mod aggregator_selector;
mod call_throttle;
mod fair_shares;
mod share_limiter;
mod work_rate;

pub use aggregator::ShareAggregator;
pub use aggregator_selector::AggregatorSelector;
pub use call_throttle::CallThrottle;
pub use fair_shares::{ShareDemand, fair_shares};
pub use share_limiter::{CountedCall, ShareDecision, ShareLimiter, ShareStatus};

use crate::process::GossipSettings;
use std::time::Duration;

/// Settings of fair shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareSettings {
    /// Interval at which nodes report usage and shares are recomputed.
    pub period: Duration,
    /// How long shares from an aggregator are valid.
    pub shares_ttl: Duration,
    /// How long a service counts as overloaded after its last refused or queued call. With many nodes each one sees
    /// few calls, so this must exceed the time between two of them.
    pub overload_hold: Duration,
    /// How long a new aggregator collects reports before it computes the first shares. Until then refused calls are
    /// overrepresented among the reported ones.
    pub warmup: Duration,
    /// Minimum number of usage updates before the first shares are computed.
    pub min_warmup_updates: u32,
    /// Minimum interval between two shares of the same service that a node forwards to peers.
    pub forward_interval: Duration,
    /// Minimum fraction by which the estimated capacity exceeds the served work. It lets an increase of capacity be
    /// noticed.
    pub min_headroom: f64,
    /// Maximum of the same fraction, reached step by step while all admitted work is served. Also the maximum
    /// fraction by which the estimate decreases in a period.
    pub max_headroom: f64,
    /// Fraction of the requested work that may be unserved before the aggregator considers a service overloaded.
    /// Calls in progress are requested and not served yet.
    pub unserved_tolerance: f64,
    /// A customer whose fraction would be at least this high is not limited. Demand is not measured more precisely,
    /// and customers that just reach their share must not be queued behind others.
    pub full_admission_fraction: f32,
    /// Minimum fraction of calls admitted for any customer, so that some of its calls show how much it would be
    /// served.
    pub min_fraction: f32,
}

impl ShareSettings {
    /// Returns the gossip settings for forwarding shares. They are forwarded anew each second, so two peers at a time
    /// are enough.
    pub fn gossip(&self) -> GossipSettings {
        GossipSettings { fanout: 2, ..GossipSettings::default() }
    }
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(250),
            shares_ttl: Duration::from_secs(2),
            overload_hold: Duration::from_secs(5),
            warmup: Duration::from_millis(500),
            min_warmup_updates: 60,
            forward_interval: Duration::from_secs(1),
            min_headroom: 0.01,
            max_headroom: 0.1,
            unserved_tolerance: 0.03,
            full_admission_fraction: 0.95,
            min_fraction: 0.001,
        }
    }
}
