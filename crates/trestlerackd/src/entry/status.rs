//! Status endpoints for operators on a node's metrics address: customers and their usage, lease holders of
//! the duties, request contents that crashed servers, the health of servers, queued calls, memory held for
//! callers, and the source from which the node gets changes.
//!
//! Responses are JSON and are built from the state of the node, without a call to the store. They contain no
//! API keys; [docs/API.md](../../../../docs/API.md#entry-nodes) has the fields.

use super::admission;
use super::evacuations::{self, ZoneJson};
use super::node::EntryNode;
use super::{cold, placement, resource_limits};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::{ServerEntry, ServerStatus, ShareStatus, SuspectState, SuspectStatus, ZoneFacts};

/// Path of the list of customers.
const CUSTOMERS_PATH: &str = "/v1/customers";

/// Path of the list of customers by usage.
const SHARES_PATH: &str = "/v1/shares";

/// Most customers in the list, those that requested most first.
const MAX_SHARES: usize = 32;

/// Path of the list of duties.
const DUTIES_PATH: &str = "/v1/duties";

/// Path of the list of request contents that crashed servers.
const SUSPECTS_PATH: &str = "/v1/suspects";

/// Path of the list of backend servers.
const SERVERS_PATH: &str = "/v1/servers";

/// Path of the list of services whose calls are admitted by free slots.
const ADMISSION_PATH: &str = "/v1/room";

/// Path of the source from which the node gets changes.
const FOLLOWER_PATH: &str = "/v1/level";

/// Path of the list of routes with the servers that their requests may use.
const PLACEMENT_PATH: &str = "/v1/placement";

/// Path of the list of memory in use.
const MEMORY_PATH: &str = "/v1/memory";

/// Path of the list of availability zones.
const ZONES_PATH: &str = "/v1/zones";
/// Path of the list of engines that may be cold.
const COLD_PATH: &str = "/v1/cold";

#[derive(Serialize)]
struct CustomerJson {
    name: Name,
    priority: Option<u8>,
    keys: usize,
    /// Version of the configuration that this comes from.
    configuration: u64,
}

#[derive(Serialize)]
struct DutyJson {
    duty: &'static str,
    /// Lease holder, as this node last read it.
    holder: Option<Name>,
    fence: u64,
    /// Whether this node holds the lease now.
    is_held_here: bool,
}

#[derive(Serialize)]
struct FollowerJson {
    /// Source of changes: the store or a follower.
    source: &'static str,
    /// Number of nodes that follow the store; null while all do.
    followers: Option<usize>,
    /// Whether the node relays changes to other nodes.
    #[serde(rename = "passes_on")]
    relays_changes: bool,
    /// Number of servers that the node uses.
    servers: usize,
}

#[derive(Serialize)]
struct ShareJson {
    service: Name,
    customer: Name,
    #[serde(rename = "asked_ms")]
    requested_ms: u64,
    #[serde(rename = "given_ms")]
    served_ms: u64,
    /// Fraction of its calls that is admitted; null for all.
    #[serde(rename = "part")]
    fraction: Option<f32>,
}

#[derive(Serialize)]
struct SuspectJson {
    fingerprint: String,
    #[serde(rename = "standing")]
    state: &'static str,
    /// Seconds for which the content stays blocked.
    #[serde(rename = "left_s")]
    blocked_for_s: u64,
    #[serde(rename = "ended")]
    crashes: usize,
    unexplained: usize,
}

#[derive(Serialize)]
struct ServerJson {
    server: Name,
    service: Name,
    #[serde(rename = "standing")]
    health: &'static str,
    #[serde(rename = "expected")]
    expected_slowness: f64,
    sent: u64,
    slowness: f64,
    #[serde(rename = "failing")]
    failure_rate: f64,
    #[serde(rename = "told_by")]
    reported_by: Option<Name>,
    #[serde(rename = "told_slowness")]
    reported_slowness: Option<f64>,
    #[serde(rename = "told_failing")]
    reported_failure_rate: Option<f64>,
    #[serde(rename = "told_age_ms")]
    report_age_ms: Option<u64>,
}

/// Returns the JSON body for a path; `None` if it is not a path of this module.
pub fn respond(node: &EntryNode, path: &str) -> Option<Vec<u8>> {
    let body = match path {
        CUSTOMERS_PATH => serde_json::to_vec(&customers(node)),
        SHARES_PATH => serde_json::to_vec(&shares(node)),
        DUTIES_PATH => serde_json::to_vec(&duties(node)),
        SUSPECTS_PATH => serde_json::to_vec(&suspects(node)),
        SERVERS_PATH => serde_json::to_vec(&servers(node)),
        ADMISSION_PATH => serde_json::to_vec(&admission::status(node)),
        FOLLOWER_PATH => serde_json::to_vec(&[follower(node)]),
        PLACEMENT_PATH => {
            let routing = node.routing();
            serde_json::to_vec(&placement::status(routing.as_deref(), &node.balancer, &node.waiting_jobs, node.now()))
        }
        COLD_PATH => serde_json::to_vec(&cold::statuses(&node.balancer, node.now())),
        MEMORY_PATH => serde_json::to_vec(&resource_limits::memory_status(&node.resource_limits)),
        ZONES_PATH => serde_json::to_vec(&zones(node)),
        _ => return None,
    };
    body.ok()
}

fn customers(node: &EntryNode) -> Vec<CustomerJson> {
    let Some(routing) = node.routing() else { return Vec::new() };
    let configuration = routing.version;
    let entries = routing.customers.iter().flat_map(|directory| directory.iter()).map(|(customer, keys)| {
        CustomerJson { name: customer.name.clone(), priority: customer.priority, keys, configuration }
    });
    entries.collect()
}

fn follower(node: &EntryNode) -> FollowerJson {
    FollowerJson {
        source: if node.follower.is_direct() { "store" } else { "follower" },
        followers: node.follower.followers().map(|followers| followers.len()),
        relays_changes: node.follower.relays_changes(),
        servers: node.balancer.lock().unwrap().instances().count(),
    }
}

fn zones(node: &EntryNode) -> Vec<ZoneJson> {
    let mut vm_zones: BTreeSet<Name> = node.peers.rows(|_, row| row.zone.clone()).into_iter().collect();
    vm_zones.insert(node.settings.zone.clone());
    // Rows of earlier releases have no zone.
    vm_zones.remove("");
    let entries: Vec<ServerEntry> = node.registry.lock().unwrap().entries().cloned().collect();
    let facts = ZoneFacts {
        regions: node.regions.zones.clone(),
        entries: entries.iter().collect(),
        vm_zones,
        evacuated_zones: node.evacuations.zones(),
        newest_versions: node.weights.newest_versions(),
    };
    evacuations::zone_rows(&facts, &node.balancer)
}

fn shares(node: &EntryNode) -> Vec<ShareJson> {
    let to_json = |status: ShareStatus| {
        let ShareStatus { service, customer, requested_ms, served_ms, fraction } = status;
        ShareJson { service, customer, requested_ms, served_ms, fraction }
    };
    node.shares.statuses(node.now(), MAX_SHARES).into_iter().map(to_json).collect()
}

fn suspects(node: &EntryNode) -> Vec<SuspectJson> {
    let statuses = node.suspects.tracker().statuses(node.now());
    let to_json = |status: &SuspectStatus| {
        let (state, left) = match status.state {
            SuspectState::Blocked(left) => ("held", left),
            SuspectState::Suspected(_) => ("suspected", Duration::ZERO),
            SuspectState::Clear => ("clear", Duration::ZERO),
        };
        let SuspectStatus { crashes, unexplained, .. } = *status;
        let fingerprint = status.fingerprint.to_string();
        SuspectJson { fingerprint, state, blocked_for_s: left.as_secs(), crashes, unexplained }
    };
    statuses.iter().map(to_json).collect()
}

fn servers(node: &EntryNode) -> Vec<ServerJson> {
    let statuses = node.balancer.lock().unwrap().server_statuses(node.now());
    let to_json = |status: ServerStatus| {
        let received = status.received.as_ref();
        ServerJson {
            health: status.health.as_str(),
            expected_slowness: rounded(status.expected_slowness),
            sent: status.sent,
            slowness: rounded(status.measured.slowness),
            failure_rate: rounded(status.measured.failure_rate),
            reported_by: received.map(|received| received.origin.clone()),
            reported_slowness: received.map(|received| rounded(received.stats.slowness)),
            reported_failure_rate: received.map(|received| rounded(received.stats.failure_rate)),
            report_age_ms: received.map(|received| received.age_ms),
            server: status.instance,
            service: status.service,
        }
    };
    statuses.into_iter().map(to_json).collect()
}

/// Rounds to hundredths, which is the precision of the figures.
fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn duties(node: &EntryNode) -> Vec<DutyJson> {
    let lease = node.lease.row();
    let active_lease = lease.as_ref().filter(|row| !row.released);
    let is_held_here = node.lease.fence(node.now()).is_some();
    let to_json = |duty| DutyJson {
        duty,
        holder: active_lease.map(|row| row.holder.clone()),
        fence: lease.as_ref().map_or(0, |row| row.fence),
        is_held_here,
    };
    let mut entries = vec![to_json("weight orders")];
    if node.settings.usage().is_some() {
        entries.push(to_json("usage reports"));
    }
    if !node.settings.duty_service.is_empty() {
        entries.push(to_json("engine orders"));
    }
    entries
}
