//! Takes over what service discovery tells of backend servers.

use super::node::EntryNode;
use super::{room, suspects};
use crate::process::logs;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use trestlerack::process::{LoadBalancer, ServerEntry, ServerRegistry};
use trestlerack::rows::StoredRow;
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Servers of one piece of news that the log names; of more only their number is told, by state.
const NAMED_SERVERS: usize = 4;

/// Takes over changed entries.
pub fn apply_rows(node: &Arc<EntryNode>, rows: Vec<StoredRow>) {
    let now = node.now();
    let mut registry = node.registry.lock().unwrap();
    let mut news = ServerNews::default();
    for row in rows {
        if row.removed {
            // Shortly after an outage an entry is believed a little longer, and passed on once it is not.
            let held = registry.get(&row.key).cloned();
            if registry.remove(now, &row.key) {
                news.removed(row);
            }
            news.gone.extend(held);
            continue;
        }
        match platform::decode_server(&row) {
            Ok(entry) if is_used_at_all(node, &entry) => {
                let held = registry.get(&entry.instance).cloned();
                if registry.put(entry.clone()) {
                    news.changed(held, entry, row);
                }
            }
            Ok(_) => {}
            Err(error) => {
                logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
                if registry.remove_invalid(&row.key) {
                    news.removed(row);
                }
            }
        }
    }
    for instance in registry.expire(now) {
        news.removed(removed_row(&instance));
    }
    drop(registry);
    take_news(node, news);
}

/// Takes over all entries, as they were read whole.
pub fn replace(node: &Arc<EntryNode>, rows: Vec<StoredRow>) {
    let mut news = ServerNews::default();
    let mut entries = Vec::new();
    let mut registry = node.registry.lock().unwrap();
    let before: BTreeMap<Name, ServerEntry> =
        registry.entries().map(|entry| (entry.instance.clone(), entry.clone())).collect();
    let count = rows.len();
    for row in rows {
        match platform::decode_server(&row) {
            Ok(entry) if is_used_at_all(node, &entry) => entries.push((entry, row)),
            Ok(_) => {}
            Err(error) => {
                registry.remove_invalid(&row.key);
                logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
            }
        }
    }
    let changes = registry.changes();
    registry.replace(node.now(), entries.iter().map(|(entry, _)| entry.clone()).collect());
    let is_new = registry.changes() != changes;
    let is_untold = |row: &StoredRow| node.levels.log().get(platform::SERVER_TABLE, &row.partition, &row.key).is_none();
    for (entry, row) in entries {
        let held = before.get(&entry.instance);
        let is_same = held.is_some_and(|held| is_only_heartbeat(held, &entry));
        if !is_same || (node.levels.passes_on() && is_untold(&row)) {
            news.changed(held.cloned(), entry, row);
        }
    }
    for (instance, held) in before {
        if registry.get(&instance).is_none() {
            news.removed(removed_row(&instance));
            news.gone.push(held);
        }
    }
    drop(registry);
    if is_new {
        take_news(node, news);
    } else {
        node.levels.put(news.rows);
    }
    if node.levels.passes_on() {
        node.levels.hold_whole(platform::SERVER_TABLE);
    }
    node.has_read_registry.store(true, Ordering::Relaxed);
    logs::write(event::SERVERS_READ, &[("count", &count)]);
}

/// What of a piece of news is more than heartbeats.
#[derive(Default)]
struct ServerNews {
    changed: Vec<ServerEntry>,
    removed: Vec<Name>,
    /// Starts of servers that have ended.
    gone: Vec<ServerEntry>,
    /// The rows that say so, for other nodes.
    rows: Vec<StoredRow>,
    lines: Vec<(Name, &'static str)>,
}

impl ServerNews {
    fn changed(&mut self, held: Option<ServerEntry>, entry: ServerEntry, row: StoredRow) {
        let is_restarted = held.as_ref().is_some_and(|held| held.started_ms < entry.started_ms);
        let is_same_state = held.as_ref().is_some_and(|held| held.is_draining == entry.is_draining) && !is_restarted;
        let state = match (is_restarted, entry.is_draining) {
            (_, true) => "draining",
            (true, false) => "restarted",
            (false, false) => "ready",
        };
        if !is_same_state {
            self.lines.push((entry.instance.clone(), state));
        }
        self.gone.extend(held.filter(|_| is_restarted));
        self.changed.push(entry);
        self.rows.push(row);
    }

    fn removed(&mut self, row: StoredRow) {
        self.lines.push((row.key.clone(), "removed"));
        self.removed.push(row.key.clone());
        self.rows.push(row);
    }

    /// Writes a line with the numbers of a piece of news, and the names of a few servers.
    fn log(&self) {
        let mut states: BTreeMap<&'static str, Vec<&str>> = BTreeMap::new();
        self.lines.iter().for_each(|(server, state)| states.entry(state).or_default().push(server));
        for (state, servers) in states {
            let named = servers[..servers.len().min(NAMED_SERVERS)].join(",");
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("servers", &named), ("state", &state), ("count", &servers.len())];
            logs::write(event::SERVER_CHANGED, &fields);
        }
    }
}

fn take_news(node: &Arc<EntryNode>, news: ServerNews) {
    news.gone.iter().for_each(|server| suspects::server_gone(node, server));
    if news.changed.is_empty() && news.removed.is_empty() {
        return;
    }
    news.log();
    {
        let drives = driven_models(node);
        let registry = node.registry.lock().unwrap();
        let mut balancer = node.balancer.lock().unwrap();
        for entry in &news.changed {
            // Later news may have come meanwhile.
            if let Some(entry) = registry.get(&entry.instance)
                && (balancer.get(&entry.instance).is_some() || is_used(node, entry, &balancer, &drives))
            {
                balancer.put(entry);
            }
        }
        for instance in news.removed.iter().filter(|instance| registry.get(instance).is_none()) {
            balancer.remove(instance);
        }
    }
    node.levels.put(news.rows);
    room::servers_changed(node);
}

fn is_only_heartbeat(held: &ServerEntry, entry: &ServerEntry) -> bool {
    ServerEntry { heartbeat: entry.heartbeat, ..held.clone() } == *entry
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

/// Returns whether this node is to know a server: one that follows the store knows all.
fn is_used_at_all(node: &EntryNode, entry: &ServerEntry) -> bool {
    node.levels.is_direct() || is_in_own_part(node, entry)
}

fn is_in_own_part(node: &EntryNode, entry: &ServerEntry) -> bool {
    node.levels.is_in_subset(&node.settings.name, &node.settings.zone, entry)
}

/// Returns whether this node makes use of a server: it is in the node's part, or an engine of a model
/// whose jobs it drives.
fn is_used(node: &EntryNode, entry: &ServerEntry, balancer: &LoadBalancer, drives: &[Name]) -> bool {
    let model = balancer.assigned_model(&entry.instance);
    model.is_some_and(|model| drives.contains(model)) || is_in_own_part(node, entry)
}

fn driven_models(node: &EntryNode) -> Vec<Name> {
    let drivers = node.drivers.lock().unwrap();
    drivers.values().flat_map(|driver| driver.models.iter().cloned()).collect()
}

/// Takes over all servers that this node makes use of, and no others.
pub fn refresh_board(node: &Arc<EntryNode>) {
    let drives = driven_models(node);
    let registry = node.registry.lock().unwrap();
    let mut balancer = node.balancer.lock().unwrap();
    hold_used(node, &registry, &mut balancer, &drives);
    let idle = balancer.instances().filter(|instance| {
        let entry = registry.get(instance);
        entry.is_none_or(|entry| !is_used(node, entry, &balancer, &drives))
    });
    let idle: Vec<Name> = idle.cloned().collect();
    idle.iter().for_each(|instance| balancer.remove(instance));
}

/// Takes over the engines of models whose jobs this node drives from now on.
pub fn hold_driven(node: &Arc<EntryNode>) {
    let drives = driven_models(node);
    let registry = node.registry.lock().unwrap();
    hold_used(node, &registry, &mut node.balancer.lock().unwrap(), &drives);
}

fn hold_used(node: &EntryNode, registry: &ServerRegistry, balancer: &mut LoadBalancer, drives: &[Name]) {
    for entry in registry.entries() {
        if balancer.get(&entry.instance).is_none() && is_used(node, entry, balancer, drives) {
            balancer.put(entry);
        }
    }
}

/// Takes over an engine that was given to a model, if this node drives jobs of that.
pub fn hold_assigned(node: &Arc<EntryNode>, instance: &Name, model: &Name) {
    if !driven_models(node).contains(model) {
        return;
    }
    let registry = node.registry.lock().unwrap();
    let mut balancer = node.balancer.lock().unwrap();
    if let Some(entry) = registry.get(instance).filter(|_| balancer.get(instance).is_none()) {
        balancer.put(entry);
    }
}
