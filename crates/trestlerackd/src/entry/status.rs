//! What operators may ask a node on its metrics address: customers, who does which duty, requests
//! under which servers ended, and what is held for callers.
//!
//! Answers are JSON and come from what the node knows, without a call to the store. They hold no
//! key; [docs/API.md](../../../../docs/API.md#entry-nodes) has the fields.

use super::held;
use super::node::EntryNode;
use serde::Serialize;
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::{SuspectLine, SuspectStanding};

/// Path of the list of customers.
const CUSTOMERS_PATH: &str = "/v1/customers";

/// Path of the list of duties.
const DUTIES_PATH: &str = "/v1/duties";

/// Path of the list of contents under which servers ended.
const SUSPECTS_PATH: &str = "/v1/suspects";

/// Path of the list of what is held.
const MEMORY_PATH: &str = "/v1/memory";

#[derive(Serialize)]
struct CustomerLine {
    name: Name,
    priority: Option<u8>,
    keys: usize,
    /// Configuration that says so.
    configuration: u64,
}

#[derive(Serialize)]
struct DutyLine {
    duty: &'static str,
    /// Node that holds the lease, as this one last read it.
    holder: Option<Name>,
    fence: u64,
    /// Whether the node that answers holds it now.
    is_held_here: bool,
}

#[derive(Serialize)]
struct SuspectEntry {
    fingerprint: String,
    standing: &'static str,
    /// Seconds for which it is held.
    left_s: u64,
    ended: usize,
    unexplained: usize,
}

/// Answers a question for a path; `None` if it is no question of this module.
pub fn answer(node: &EntryNode, path: &str) -> Option<Vec<u8>> {
    let lines = match path {
        CUSTOMERS_PATH => serde_json::to_vec(&customers(node)),
        DUTIES_PATH => serde_json::to_vec(&duties(node)),
        SUSPECTS_PATH => serde_json::to_vec(&suspects(node)),
        MEMORY_PATH => serde_json::to_vec(&held::memory_lines(&node.held)),
        _ => return None,
    };
    lines.ok()
}

fn customers(node: &EntryNode) -> Vec<CustomerLine> {
    let Some(routing) = node.routing() else { return Vec::new() };
    let configuration = routing.version;
    let lines = routing.customers.iter().flat_map(|directory| directory.iter()).map(|(customer, keys)| CustomerLine {
        name: customer.name.clone(),
        priority: customer.priority,
        keys,
        configuration,
    });
    lines.collect()
}

fn suspects(node: &EntryNode) -> Vec<SuspectEntry> {
    let lines = node.suspects.book().lines(node.now());
    let entry = |line: &SuspectLine| {
        let (standing, left) = match line.standing {
            SuspectStanding::Held(left) => ("held", left),
            SuspectStanding::Suspected(_) => ("suspected", Duration::ZERO),
            SuspectStanding::Clear => ("clear", Duration::ZERO),
        };
        let SuspectLine { ended, unexplained, .. } = *line;
        let fingerprint = line.fingerprint.to_string();
        SuspectEntry { fingerprint, standing, left_s: left.as_secs(), ended, unexplained }
    };
    lines.iter().map(entry).collect()
}

fn duties(node: &EntryNode) -> Vec<DutyLine> {
    let lease = node.lease_row.lock().unwrap().as_ref().map(|(_, row)| row.clone());
    let held = lease.as_ref().filter(|row| !row.released);
    let is_held_here = node.lease_fence(node.now()).is_some();
    let line = |duty| DutyLine {
        duty,
        holder: held.map(|row| row.holder.clone()),
        fence: lease.as_ref().map_or(0, |row| row.fence),
        is_held_here,
    };
    let mut lines = vec![line("weight orders")];
    if node.settings.usage().is_some() {
        lines.push(line("usage reports"));
    }
    if !node.settings.duty_service.is_empty() {
        lines.push(line("engine orders"));
    }
    lines
}
