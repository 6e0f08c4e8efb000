//! Engines that are cold: slow for some time after a start, and crashed by too many requests meanwhile.
//!
//! Each node limits its own requests to such engines, so that all nodes together stay below the tolerated rate
//! without a message between them; see
//! [docs/design/placement-limits.md](../../../../../docs/design/placement-limits.md#cold-engines) and
//! [docs/design/cold-engines.md](../../../../../docs/design/cold-engines.md).

mod allotment;
mod decisions;
mod engine_state;
mod engine_table;
mod job_drivers;
mod limiter;
mod send_window;
mod server_limits;
mod status;

pub use allotment::{ColdBudget, ServiceUse};
pub use engine_table::EngineRef;
pub use job_drivers::JobDrivers;
pub use limiter::{AssignedModels, ColdLimiter, ColdSettings};
pub use server_limits::SendPermit;
pub use status::{ColdChange, ColdStatus, EngineWarmth};

use std::time::Duration;

/// How the engines of a service behave while they are cold, as configured by its operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartConfig {
    /// Time for which an engine is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold engine tolerates; at a rate well above it, it crashes.
    pub tolerated_per_s: f64,
}
