//! How many requests per second the nodes may send to a cold engine.

use super::{ColdSettings, ColdStartConfig};

/// Weight orders and polls for reports that an engine may get per second while it is not known to be warm. After a
/// change of the lease holder an engine is polled and then ordered, and must not wait a second between the two.
pub(super) const MAX_ORDERS: u32 = 2;

/// Requests per second that are reserved for a service without models, which gets no orders.
const PLAIN_RESERVE: u32 = 1;

/// The kinds of routes that lead to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceUse {
    /// Only routes of batch jobs.
    JobsOnly,
    /// Other routes too, by which any node may send calls or score calls.
    Mixed,
}

/// Requests that one cold engine may get in any second, and how they are divided among the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdBudget {
    /// Requests from all nodes together.
    pub total: u32,
    /// Requests from the driver of the engine's jobs.
    pub driver: u32,
    /// Number of nodes of which each may send one request.
    pub nodes: u32,
}

impl ColdBudget {
    /// Computes the budget. A driver that is partitioned may not know yet that another node has taken over its
    /// job, so the budget covers two driver allotments.
    pub fn new(config: ColdStartConfig, settings: &ColdSettings, service_use: ServiceUse, has_models: bool) -> Self {
        let bound = config.tolerated_per_s * settings.over + settings.slack;
        let reserved = if has_models { MAX_ORDERS } else { PLAIN_RESERVE };
        // Conversions to integers round down and turn values below 0 into 0.
        let total = (bound.floor() - f64::from(reserved)) as u32;
        let wanted = (config.tolerated_per_s as u32).max(1);
        match service_use {
            ServiceUse::JobsOnly => Self { total, driver: wanted.min(total / 2), nodes: 0 },
            ServiceUse::Mixed => {
                let driver = wanted.min(total / 3);
                let nodes = (f64::from(total - 2 * driver) * settings.node_fraction) as u32;
                Self { total, driver, nodes }
            }
        }
    }
}
