//! What operators may ask a node on its metrics address: customers and what they take, who does which
//! duty, requests under which servers ended, how servers answer, who waits for room, and what is held for
//! callers, and where the node hears of changes.
//!
//! Answers are JSON and come from what the node knows, without a call to the store. They hold no
//! key; [docs/API.md](../../../../docs/API.md#entry-nodes) has the fields.

use super::held;
use super::node::EntryNode;
use super::room;
use serde::Serialize;
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::{ServerStatus, ShareStatus, SuspectState, SuspectStatus};

/// Path of the list of customers.
const CUSTOMERS_PATH: &str = "/v1/customers";

/// Path of the list of customers by what they take.
const SHARES_PATH: &str = "/v1/shares";

/// Customers told at most, those that ask for most first.
const MOST_SHARES: usize = 32;

/// Path of the list of duties.
const DUTIES_PATH: &str = "/v1/duties";

/// Path of the list of contents under which servers ended.
const SUSPECTS_PATH: &str = "/v1/suspects";

/// Path of the list of backend servers.
const SERVERS_PATH: &str = "/v1/servers";

/// Path of the list of services whose calls are admitted by room.
const ROOM_PATH: &str = "/v1/room";

/// Path of where the node hears of changes.
const LEVEL_PATH: &str = "/v1/level";

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
struct LevelLine {
    /// Where the node hears of changes: from the store or from a follower.
    source: &'static str,
    /// Nodes that follow the store; null while all do.
    followers: Option<usize>,
    /// Whether the node passes changes on.
    passes_on: bool,
    /// Servers that it makes use of.
    servers: usize,
}

#[derive(Serialize)]
struct ShareEntry {
    service: Name,
    customer: Name,
    asked_ms: u64,
    given_ms: u64,
    /// Part of its calls that is admitted; null for all.
    part: Option<f32>,
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

#[derive(Serialize)]
struct ServerEntryLine {
    server: Name,
    service: Name,
    standing: &'static str,
    expected: f64,
    sent: u64,
    slowness: f64,
    failing: f64,
    told_by: Option<Name>,
    told_slowness: Option<f64>,
    told_failing: Option<f64>,
    told_age_ms: Option<u64>,
}

/// Answers a question for a path; `None` if it is no question of this module.
pub fn answer(node: &EntryNode, path: &str) -> Option<Vec<u8>> {
    let lines = match path {
        CUSTOMERS_PATH => serde_json::to_vec(&customers(node)),
        SHARES_PATH => serde_json::to_vec(&shares(node)),
        DUTIES_PATH => serde_json::to_vec(&duties(node)),
        SUSPECTS_PATH => serde_json::to_vec(&suspects(node)),
        SERVERS_PATH => serde_json::to_vec(&servers(node)),
        ROOM_PATH => serde_json::to_vec(&room::lines(node)),
        LEVEL_PATH => serde_json::to_vec(&[level(node)]),
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

fn level(node: &EntryNode) -> LevelLine {
    LevelLine {
        source: if node.follower.is_direct() { "store" } else { "follower" },
        followers: node.follower.followers().map(|followers| followers.len()),
        passes_on: node.follower.relays_changes(),
        servers: node.balancer.lock().unwrap().instances().count(),
    }
}

fn shares(node: &EntryNode) -> Vec<ShareEntry> {
    let entry = |line: ShareStatus| {
        let ShareStatus { service, customer, requested_ms: asked_ms, served_ms: given_ms, fraction: part } = line;
        ShareEntry { service, customer, asked_ms, given_ms, part }
    };
    node.shares.lines(node.now(), MOST_SHARES).into_iter().map(entry).collect()
}

fn suspects(node: &EntryNode) -> Vec<SuspectEntry> {
    let lines = node.suspects.book().statuses(node.now());
    let entry = |line: &SuspectStatus| {
        let (standing, left) = match line.state {
            SuspectState::Blocked(left) => ("held", left),
            SuspectState::Suspected(_) => ("suspected", Duration::ZERO),
            SuspectState::Clear => ("clear", Duration::ZERO),
        };
        let SuspectStatus { crashes: ended, unexplained, .. } = *line;
        let fingerprint = line.fingerprint.to_string();
        SuspectEntry { fingerprint, standing, left_s: left.as_secs(), ended, unexplained }
    };
    lines.iter().map(entry).collect()
}

fn servers(node: &EntryNode) -> Vec<ServerEntryLine> {
    let lines = node.balancer.lock().unwrap().server_statuses(node.now());
    let entry = |line: ServerStatus| {
        let told = line.received.as_ref();
        ServerEntryLine {
            standing: line.health.as_str(),
            expected: rounded(line.expected_slowness),
            sent: line.sent,
            slowness: rounded(line.measured.slowness),
            failing: rounded(line.measured.failure_rate),
            told_by: told.map(|told| told.origin.clone()),
            told_slowness: told.map(|told| rounded(told.stats.slowness)),
            told_failing: told.map(|told| rounded(told.stats.failure_rate)),
            told_age_ms: told.map(|told| told.age_ms),
            server: line.instance,
            service: line.service,
        }
    };
    lines.into_iter().map(entry).collect()
}

/// Rounds to hundredths, which is as much as the figures say.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn duties(node: &EntryNode) -> Vec<DutyLine> {
    let lease = node.lease.row();
    let held = lease.as_ref().filter(|row| !row.released);
    let is_held_here = node.lease.fence(node.now()).is_some();
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
