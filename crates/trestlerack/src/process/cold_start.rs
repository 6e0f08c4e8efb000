//! Engines that are cold: slow for some time after a start, and crashed by too many requests meanwhile.
//!
//! See [docs/design/placement-limits.md](../../../../docs/design/placement-limits.md#cold-engines).

use std::time::Duration;

/// How the engines of a service behave while they are cold, as configured by its operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStartConfig {
    /// Time for which an engine is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold engine tolerates; at a rate well above it, it crashes.
    pub tolerated_per_s: f64,
}
