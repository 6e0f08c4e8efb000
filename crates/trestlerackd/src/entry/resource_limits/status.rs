//! Status page and metrics of memory and connections.

use super::{LimitDecision, ResourceLimiter};
use serde::Serialize;
use std::fmt::Write;
use trestlerack::Name;
use trestlerack::process::ConnectionKind;

/// Maximum number of customers on the page, those with the most memory.
const MAX_CUSTOMERS: usize = 20;

/// Row of the status page of memory and connections.
#[derive(Serialize)]
pub struct MemoryStatus {
    /// What the row counts: `memory`, bytes by purpose; `customer`, bytes of a customer; `descriptors`, open
    /// connections by kind; or `decisions` since the node started.
    kind: &'static str,
    name: Name,
    used: u64,
    /// Limit of `used`; `None` if there is none.
    bound: Option<u64>,
}

fn finite(bound: usize) -> Option<u64> {
    (bound != usize::MAX).then_some(bound as u64)
}

/// Returns the rows of the status page.
pub fn memory_status(limiter: &ResourceLimiter) -> Vec<MemoryStatus> {
    let usage = limiter.memory.usage();
    let total_bound = finite(limiter.memory.limits().total);
    let mut rows =
        vec![MemoryStatus { kind: "memory", name: "total".into(), used: usage.total as u64, bound: total_bound }];
    rows.extend(usage.by_purpose.iter().map(|(purpose, bytes)| MemoryStatus {
        kind: "memory",
        name: purpose.as_str().into(),
        used: *bytes as u64,
        bound: None,
    }));
    rows.extend(usage.by_customer.into_iter().take(MAX_CUSTOMERS).map(|(name, bytes)| MemoryStatus {
        kind: "customer",
        name,
        used: bytes as u64,
        bound: None,
    }));
    rows.extend(ConnectionKind::ALL.map(|kind| MemoryStatus {
        kind: "descriptors",
        name: kind.as_str().into(),
        used: limiter.connections.open(kind) as u64,
        bound: finite(limiter.connections.limits().of(kind)),
    }));
    rows.extend(LimitDecision::ALL.map(|decision| MemoryStatus {
        kind: "decisions",
        name: decision.event().name.into(),
        used: limiter.count(decision),
        bound: None,
    }));
    rows
}

/// Appends gauges and counters to the metrics page.
pub fn write_metrics(limiter: &ResourceLimiter, page: &mut String) {
    let usage = limiter.memory.usage();
    // Writing to a string cannot fail.
    for (purpose, bytes) in &usage.by_purpose {
        let _ = writeln!(page, "trestlerack_entry_held_bytes{{purpose=\"{}\"}} {bytes}", purpose.as_str());
    }
    if let Some(bound) = finite(limiter.memory.limits().total) {
        let _ = writeln!(page, "trestlerack_entry_held_bound_bytes {bound}");
    }
    for kind in ConnectionKind::ALL {
        let open = limiter.connections.open(kind);
        let _ = writeln!(page, "trestlerack_entry_descriptors{{kind=\"{}\"}} {open}", kind.as_str());
    }
    for decision in LimitDecision::ALL {
        let (name, count) = (decision.event().name, limiter.count(decision));
        let _ = writeln!(page, "trestlerack_entry_held_decisions_total{{decision=\"{name}\"}} {count}");
    }
}
