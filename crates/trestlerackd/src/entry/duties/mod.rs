//! Duties of the lease holder towards the platform: usage reports and orders of engines.
//!
//! The decisions are in the library (`process/duty_gate`, `process/usage`, `process/fleet_controller`);
//! see [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#duties).

mod calls;
mod engines;
mod usage_count;
mod usage_report;

pub use usage_count::UsageTracker;

use super::node::EntryNode;
use std::sync::Arc;

/// Starts the tasks of the duties that are enabled in the settings.
pub fn start(node: &Arc<EntryNode>) {
    if node.settings.duty_service.is_empty() {
        return;
    }
    tokio::spawn(engines::maintain_engines(node.clone()));
    if let Some(settings) = node.settings.usage() {
        tokio::spawn(usage_count::send_to_holder(node.clone(), settings));
        tokio::spawn(usage_report::report_usage(node.clone(), settings));
    }
}
