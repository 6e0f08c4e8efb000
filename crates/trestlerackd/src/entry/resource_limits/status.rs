//! What operators are told of held bytes and open connections.

use super::{HeldDecision, HeldDesk};
use serde::Serialize;
use std::fmt::Write;
use trestlerack::Name;
use trestlerack::process::ConnectionKind;

/// Customers that are listed, those that hold most.
const MOST_CUSTOMERS: usize = 20;

/// A line of the list of what is held.
#[derive(Serialize)]
pub struct MemoryLine {
    /// What is counted: memory in bytes by purpose, customer in bytes, descriptors by kind, or decisions
    /// since the start.
    kind: &'static str,
    name: Name,
    used: u64,
    /// Bound; `None` where there is none.
    bound: Option<u64>,
}

fn bound(bound: usize) -> Option<u64> {
    (bound != usize::MAX).then_some(bound as u64)
}

/// Lists what is held.
pub fn memory_lines(desk: &HeldDesk) -> Vec<MemoryLine> {
    let view = desk.ledger.usage();
    let total_bound = bound(desk.ledger.limits().total);
    let mut lines =
        vec![MemoryLine { kind: "memory", name: "total".into(), used: view.total as u64, bound: total_bound }];
    lines.extend(view.by_purpose.iter().map(|(purpose, bytes)| MemoryLine {
        kind: "memory",
        name: purpose.as_str().into(),
        used: *bytes as u64,
        bound: None,
    }));
    lines.extend(view.by_customer.into_iter().take(MOST_CUSTOMERS).map(|(name, bytes)| MemoryLine {
        kind: "customer",
        name,
        used: bytes as u64,
        bound: None,
    }));
    lines.extend(ConnectionKind::ALL.map(|kind| MemoryLine {
        kind: "descriptors",
        name: kind.as_str().into(),
        used: desk.descriptors.open(kind) as u64,
        bound: bound(desk.descriptors.limits().of(kind)),
    }));
    lines.extend(HeldDecision::ALL.map(|decision| MemoryLine {
        kind: "decisions",
        name: decision.event().name.into(),
        used: desk.count(decision),
        bound: None,
    }));
    lines
}

/// Adds gauges and counters to a page of metrics.
pub fn write_metrics(desk: &HeldDesk, page: &mut String) {
    let view = desk.ledger.usage();
    // Writing to a string cannot fail.
    for (purpose, bytes) in &view.by_purpose {
        let _ = writeln!(page, "trestlerack_entry_held_bytes{{purpose=\"{}\"}} {bytes}", purpose.as_str());
    }
    if let Some(bound) = bound(desk.ledger.limits().total) {
        let _ = writeln!(page, "trestlerack_entry_held_bound_bytes {bound}");
    }
    for kind in ConnectionKind::ALL {
        let open = desk.descriptors.open(kind);
        let _ = writeln!(page, "trestlerack_entry_descriptors{{kind=\"{}\"}} {open}", kind.as_str());
    }
    for decision in HeldDecision::ALL {
        let (name, count) = (decision.event().name, desk.count(decision));
        let _ = writeln!(page, "trestlerack_entry_held_decisions_total{{decision=\"{name}\"}} {count}");
    }
}
