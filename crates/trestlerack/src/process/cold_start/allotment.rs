//! How many requests per second the nodes may send to a cold engine.

use super::{ColdSettings, ColdStartConfig};

/// Requests per second that are reserved for weight orders and reports.
const ORDER_REQUESTS: f64 = 1.0;

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
    pub fn new(config: ColdStartConfig, settings: &ColdSettings, service_use: ServiceUse) -> Self {
        let bound = config.tolerated_per_s * settings.over + settings.slack;
        // Conversions to integers round down and turn values below 0 into 0.
        let total = (bound.floor() - ORDER_REQUESTS) as u32;
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
