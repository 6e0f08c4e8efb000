//! Applies the entries of service discovery to the registry and the load balancer.

use super::node::EntryNode;
use super::{admission, suspects};
use crate::process::logs;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use trestlerack::process::{LoadBalancer, ServerEntry, ServerRegistry};
use trestlerack::rows::StoredRow;
use trestlerack::version::RoutingTable;
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Maximum number of servers that a log line names per state; of the others it has only the count.
const MAX_LOGGED_SERVERS: usize = 4;

/// Applies changed entries.
pub fn apply_rows(node: &Arc<EntryNode>, rows: Vec<StoredRow>) {
    let now = node.now();
    let mut registry = node.registry.lock().unwrap();
    let mut changes = ServerChanges::default();
    for row in rows {
        if row.removed {
            // Shortly after an outage the registry keeps a removed entry a little longer; its removal is relayed
            // once the registry drops it.
            let previous = registry.get(&row.key).cloned();
            if registry.remove(now, &row.key) {
                changes.record_removal(row);
            }
            changes.ended.extend(previous);
            continue;
        }
        match decode(node, &row) {
            Ok(entry) if is_kept(node, &entry) => {
                let previous = registry.get(&entry.instance).cloned();
                if registry.put(entry.clone()) {
                    changes.record_change(previous, entry, row);
                } else if previous.is_some_and(|previous| previous.is_cold_report(&entry)) {
                    changes.cold_reports.push((entry, row));
                }
            }
            Ok(_) => {}
            Err(error) => {
                logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
                if registry.remove_invalid(&row.key) {
                    changes.record_removal(row);
                }
            }
        }
    }
    for instance in registry.expire(now) {
        changes.record_removal(removed_row(&instance));
    }
    drop(registry);
    apply_changes(node, changes);
}

/// Replaces all entries after a full read.
pub fn replace(node: &Arc<EntryNode>, rows: Vec<StoredRow>) {
    let mut changes = ServerChanges::default();
    let mut entries = Vec::new();
    let mut registry = node.registry.lock().unwrap();
    let before: BTreeMap<Name, ServerEntry> =
        registry.entries().map(|entry| (entry.instance.clone(), entry.clone())).collect();
    let count = rows.len();
    for row in rows {
        match decode(node, &row) {
            Ok(entry) if is_kept(node, &entry) => entries.push((entry, row)),
            Ok(_) => {}
            Err(error) => {
                registry.remove_invalid(&row.key);
                logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
            }
        }
    }
    let change_count = registry.changes();
    registry.replace(node.now(), entries.iter().map(|(entry, _)| entry.clone()).collect());
    let has_changed = registry.changes() != change_count;
    let is_unrelayed =
        |row: &StoredRow| node.follower.change_feed().get(platform::SERVER_TABLE, &row.partition, &row.key).is_none();
    for (entry, row) in entries {
        let previous = before.get(&entry.instance);
        let is_same = previous.is_some_and(|previous| previous.is_heartbeat(&entry));
        if !is_same || (node.follower.relays_changes() && is_unrelayed(&row)) {
            changes.record_change(previous.cloned(), entry, row);
        } else if previous.is_some_and(|previous| previous.is_cold_report(&entry)) {
            changes.cold_reports.push((entry, row));
        }
    }
    for (instance, previous) in before {
        if registry.get(&instance).is_none() {
            changes.record_removal(removed_row(&instance));
            changes.ended.push(previous);
        }
    }
    drop(registry);
    if has_changed {
        apply_changes(node, changes);
    } else {
        record_cold_times(node, &mut changes);
        node.follower.relay(changes.rows);
    }
    if node.follower.relays_changes() {
        node.follower.mark_complete(platform::SERVER_TABLE);
    }
    node.has_read_registry.store(true, Ordering::Relaxed);
    logs::write(event::SERVERS_READ, &[("count", &count)]);
}

/// Changes of entries other than heartbeats.
#[derive(Default)]
struct ServerChanges {
    changed: Vec<ServerEntry>,
    removed: Vec<Name>,
    /// Former entries of servers that have ended or restarted.
    ended: Vec<ServerEntry>,
    /// Entries in which only the cold time has changed, with their rows.
    cold_reports: Vec<(ServerEntry, StoredRow)>,
    /// Rows of these changes, to be relayed to other nodes.
    rows: Vec<StoredRow>,
    /// New states of servers, for the log.
    states: Vec<(Name, &'static str)>,
}

impl ServerChanges {
    fn record_change(&mut self, previous: Option<ServerEntry>, entry: ServerEntry, row: StoredRow) {
        let is_restarted = previous.as_ref().is_some_and(|previous| previous.started_ms < entry.started_ms);
        let is_same_state =
            previous.as_ref().is_some_and(|previous| previous.is_draining == entry.is_draining) && !is_restarted;
        let state = match (is_restarted, entry.is_draining) {
            (_, true) => "draining",
            (true, false) => "restarted",
            (false, false) => "ready",
        };
        if !is_same_state {
            self.states.push((entry.instance.clone(), state));
        }
        self.ended.extend(previous.filter(|_| is_restarted));
        self.changed.push(entry);
        self.rows.push(row);
    }

    fn record_removal(&mut self, row: StoredRow) {
        self.states.push((row.key.clone(), "removed"));
        self.removed.push(row.key.clone());
        self.rows.push(row);
    }

    /// Writes a log line per state, with the number of servers and the names of a few.
    fn log(&self) {
        let mut states: BTreeMap<&'static str, Vec<&str>> = BTreeMap::new();
        self.states.iter().for_each(|(server, state)| states.entry(state).or_default().push(server));
        for (state, servers) in states {
            let named = servers[..servers.len().min(MAX_LOGGED_SERVERS)].join(",");
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("servers", &named), ("state", &state), ("count", &servers.len())];
            logs::write(event::SERVER_CHANGED, &fields);
        }
    }
}

fn apply_changes(node: &Arc<EntryNode>, mut changes: ServerChanges) {
    changes.ended.iter().for_each(|server| suspects::record_server_gone(node, server));
    record_cold_times(node, &mut changes);
    if changes.changed.is_empty() && changes.removed.is_empty() {
        node.follower.relay(changes.rows);
        return;
    }
    changes.log();
    {
        let driven = driven_models(node);
        let registry = node.registry.lock().unwrap();
        let mut balancer = node.balancer.lock().unwrap();
        for entry in &changes.changed {
            // A later change may have been applied in the meantime.
            if let Some(entry) = registry.get(&entry.instance)
                && (balancer.get(&entry.instance).is_some() || is_used(node, entry, &balancer, &driven))
            {
                balancer.put(entry);
            }
        }
        for instance in changes.removed.iter().filter(|instance| registry.get(instance).is_none()) {
            balancer.remove(instance);
            balancer.cold.remove(node.now(), instance);
        }
    }
    node.follower.relay(changes.rows);
    admission::servers_changed(node);
}

/// Decodes an entry, and logs a cold time that is invalid.
fn decode(node: &EntryNode, row: &StoredRow) -> Result<ServerEntry, platform::WireError> {
    let (entry, invalid) = platform::decode_server_leniently(row)?;
    if let Some(invalid) = invalid {
        node.cold.log_invalid_entry(node.now(), &row.key, &invalid);
    }
    Ok(entry)
}

/// Records until when the servers of changed entries are cold. Entries in which only that has changed are relayed
/// too if their service has a limit, because they change with each heartbeat of a cold engine.
fn record_cold_times(node: &EntryNode, changes: &mut ServerChanges) {
    let now = node.now();
    let reports = std::mem::take(&mut changes.cold_reports);
    let cold = &mut node.balancer.lock().unwrap().cold;
    changes.changed.iter().for_each(|entry| cold.record_entry(now, entry));
    for (entry, row) in reports {
        cold.record_entry(now, &entry);
        if cold.is_limited(&entry.service) {
            changes.rows.push(row);
        }
    }
}

/// Applies the limits of requests to cold engines of a configuration, and records the entries that arrived before.
pub fn set_cold_limits(node: &EntryNode, table: &RoutingTable) {
    let now = node.now();
    let registry = node.registry.lock().unwrap();
    node.balancer.lock().unwrap().set_cold_limits(now, table, registry.entries());
    node.cold.record_configuration();
}

fn removed_row(instance: &Name) -> StoredRow {
    StoredRow {
        table: platform::SERVER_TABLE.into(),
        partition: "".into(),
        key: instance.clone(),
        value: bytes::Bytes::new(),
        version: 0,
        removed: true,
    }
}

/// Returns whether this node keeps an entry of a server: a node that follows the store keeps all.
fn is_kept(node: &EntryNode, entry: &ServerEntry) -> bool {
    node.follower.is_direct() || is_in_own_subset(node, entry)
}

fn is_in_own_subset(node: &EntryNode, entry: &ServerEntry) -> bool {
    node.follower.is_in_subset(&node.settings.name, &node.settings.zone, &node.regions.zones, entry)
}

/// Returns whether this node uses a server: the server is in the node's subset, or an engine of a model whose
/// jobs the node drives.
fn is_used(node: &EntryNode, entry: &ServerEntry, balancer: &LoadBalancer, driven: &[Name]) -> bool {
    let model = balancer.assigned_model(&entry.instance);
    model.is_some_and(|model| driven.contains(model)) || is_in_own_subset(node, entry)
}

fn driven_models(node: &EntryNode) -> Vec<Name> {
    let drivers = node.drivers.lock().unwrap();
    drivers.values().flat_map(|driver| driver.models.iter().cloned()).collect()
}

/// Makes the load balancer hold exactly the servers that this node uses.
pub fn refresh_balancer(node: &Arc<EntryNode>) {
    let driven = driven_models(node);
    let registry = node.registry.lock().unwrap();
    let mut balancer = node.balancer.lock().unwrap();
    add_used_servers(node, &registry, &mut balancer, &driven);
    let unused = balancer.instances().filter(|instance| {
        let entry = registry.get(instance);
        entry.is_none_or(|entry| !is_used(node, entry, &balancer, &driven))
    });
    let unused: Vec<Name> = unused.cloned().collect();
    unused.iter().for_each(|instance| balancer.remove(instance));
}

/// Adds the engines of models whose jobs this node has begun to drive.
pub fn add_driven_engines(node: &Arc<EntryNode>) {
    let driven = driven_models(node);
    let registry = node.registry.lock().unwrap();
    add_used_servers(node, &registry, &mut node.balancer.lock().unwrap(), &driven);
}

fn add_used_servers(node: &EntryNode, registry: &ServerRegistry, balancer: &mut LoadBalancer, driven: &[Name]) {
    for entry in registry.entries() {
        if balancer.get(&entry.instance).is_none() && is_used(node, entry, balancer, driven) {
            balancer.put(entry);
        }
    }
}

/// Adds an engine that was assigned to a model if this node drives jobs of that model.
pub fn add_assigned_engine(node: &Arc<EntryNode>, instance: &Name, model: &Name) {
    if !driven_models(node).contains(model) {
        return;
    }
    let registry = node.registry.lock().unwrap();
    let mut balancer = node.balancer.lock().unwrap();
    if let Some(entry) = registry.get(instance).filter(|_| balancer.get(instance).is_none()) {
        balancer.put(entry);
    }
}
