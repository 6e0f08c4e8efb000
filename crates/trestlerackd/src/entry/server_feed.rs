//! Takes over what service discovery tells of backend servers.

use super::node::EntryNode;
use super::{room, suspects};
use crate::process::logs;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use trestlerack::process::{ServerEntry, ServerRegistry};
use trestlerack::rows::StoredRow;
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Lines written for the changed servers of one piece of news; the others are counted. A start
/// brings news of all servers at once, on all nodes.
const SERVER_LINES: usize = 16;

/// Takes over changed entries.
pub fn apply_rows(node: &Arc<EntryNode>, rows: &[StoredRow]) {
    let now = node.now();
    let mut registry = node.registry.lock().unwrap();
    let mut is_news = false;
    let mut changes: Vec<ServerChange> = Vec::new();
    let has_doubts = node.suspects.book().has_doubts();
    let gone = if has_doubts { gone_servers(&registry, rows) } else { Vec::new() };
    for row in rows {
        if row.removed {
            is_news |= registry.remove(now, &row.key);
            changes.push(ServerChange { server: row.key.clone(), state: "removed", place: None });
            continue;
        }
        match platform::decode_server(row) {
            Ok(entry) => {
                changes.extend(change_of(&registry, &entry));
                is_news |= registry.put(entry);
            }
            Err(error) => {
                is_news |= registry.refuse(&row.key);
                logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
            }
        }
    }
    log_changes(&changes);
    is_news |= !registry.expire(now).is_empty();
    if is_news {
        node.board.lock().unwrap().sync(&registry);
    }
    drop(registry);
    gone.iter().for_each(|server| suspects::server_gone(node, server));
    if is_news {
        room::servers_changed(node);
    }
}

/// Returns the starts of servers that end by news of service discovery: the entry is removed, or of a
/// later start.
fn gone_servers(registry: &ServerRegistry, rows: &[StoredRow]) -> Vec<ServerEntry> {
    let is_gone = |held: &ServerEntry, row: &StoredRow| {
        row.removed || platform::decode_server(row).is_ok_and(|entry| entry.started_ms > held.started_ms)
    };
    let gone = rows.iter().filter_map(|row| registry.get(&row.key).filter(|held| is_gone(held, row)));
    gone.cloned().collect()
}

/// A change of a server that the log tells of.
struct ServerChange {
    server: Name,
    state: &'static str,
    /// Service and address, unless the server is gone.
    place: Option<(Name, Name)>,
}

/// Returns what an entry changes, which a heartbeat alone does not.
fn change_of(registry: &ServerRegistry, entry: &ServerEntry) -> Option<ServerChange> {
    let held = registry.get(&entry.instance);
    let is_restarted = held.is_some_and(|held| held.started_ms < entry.started_ms);
    let is_same = held.is_some_and(|held| held.is_draining == entry.is_draining) && !is_restarted;
    let state = match (is_restarted, entry.is_draining) {
        (_, true) => "draining",
        (true, false) => "restarted",
        (false, false) => "ready",
    };
    let place = Some((entry.service.clone(), entry.address.clone()));
    (!is_same).then(|| ServerChange { server: entry.instance.clone(), state, place })
}

fn log_changes(changes: &[ServerChange]) {
    for change in changes.iter().take(SERVER_LINES) {
        let mut fields: Vec<(&str, &dyn std::fmt::Display)> =
            vec![("server", &change.server), ("state", &change.state)];
        if let Some((service, address)) = &change.place {
            fields.extend([("service", service as &dyn std::fmt::Display), ("address", address)]);
        }
        logs::write(event::SERVER_CHANGED, &fields);
    }
    let more = changes.len().saturating_sub(SERVER_LINES);
    if more > 0 {
        logs::write(event::SERVER_CHANGED, &[("more", &more)]);
    }
}

/// Takes over all entries, as they were read whole.
pub fn replace(node: &Arc<EntryNode>, rows: &[StoredRow]) {
    let mut entries = Vec::new();
    let mut registry = node.registry.lock().unwrap();
    for row in rows {
        match platform::decode_server(row) {
            Ok(entry) => entries.push(entry),
            Err(error) => {
                registry.refuse(&row.key);
                logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
            }
        }
    }
    let count = entries.len();
    let held: Vec<ServerEntry> = registry.entries().cloned().collect();
    registry.replace(node.now(), entries);
    node.board.lock().unwrap().sync(&registry);
    let is_gone = |held: &&ServerEntry| registry.get(&held.instance).is_none_or(|now| now.started_ms > held.started_ms);
    let gone: Vec<ServerEntry> = held.iter().filter(is_gone).cloned().collect();
    drop(registry);
    gone.iter().for_each(|server| suspects::server_gone(node, server));
    room::servers_changed(node);
    node.has_registry.store(true, Ordering::Relaxed);
    logs::write(event::SERVERS_READ, &[("count", &count)]);
}
