//! Follows the configuration. Peers push changes, and the table is polled in case a push is lost.

use crate::connection::links;
use crate::node::Node;
use crate::process::clock;
use crate::process::logs;
use crate::process::rollout_loop::record_store_failure;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::connection::LinkFrame;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{Liveness, PeerInfo};
use trestlerack::version::{Backend, BackendKind, ConfigDelta, Configuration, FollowAction, FollowEvent};
use trestlerack::{Name, event};

/// Interval at which the table is polled for changes that no peer pushed.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which the table is polled until the first configuration is applied.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Peers to which a new generation is pushed; the others learn of it from those and by probes.
const PUSH_FANOUT: usize = 3;

/// Polls the table until the process ends.
pub async fn follow_table(node: Arc<Node>) {
    loop {
        if let Err(error) = catch_up(&node).await {
            record_store_failure(&node, "follow configuration", error);
        }
        let is_first = node.config.current().generation == 0;
        clock::sleep(if is_first { INITIAL_POLL_INTERVAL } else { POLL_INTERVAL }).await;
    }
}

/// Updates this node to the newest generation in the table.
pub async fn catch_up(node: &Arc<Node>) -> Result<(), StoreError> {
    let current_generation = node.config.current().generation;
    for event in node.config_store().events_after(current_generation).await? {
        match event {
            FollowEvent::Snapshot(snapshot) => apply_snapshot(node, snapshot),
            FollowEvent::Deltas(deltas) => apply_deltas(node, deltas, None),
            FollowEvent::Announced { .. } => {}
        }
    }
    Ok(())
}

/// Applies deltas from a peer or from the table.
pub fn apply_deltas(node: &Arc<Node>, deltas: Vec<ConfigDelta>, from: Option<&PeerInfo>) {
    let before = node.config.current();
    let keys: BTreeSet<Name> =
        deltas.iter().flat_map(|delta| delta.changes.iter().map(|(key, _)| key.clone())).collect();
    let action = node.config.handle(FollowEvent::Deltas(deltas));
    if let Some(action) = action {
        apply_backend_changes(node, &before, &keys);
        handle_action(node, action, from.cloned());
    }
}

/// Applies a complete configuration.
pub fn apply_snapshot(node: &Arc<Node>, snapshot: Configuration) {
    let before = node.config.current();
    let action = node.config.handle(FollowEvent::Snapshot(snapshot));
    if let Some(action) = action {
        let after = node.config.current();
        let keys = before.items.keys().chain(after.items.keys()).cloned().collect();
        apply_backend_changes(node, &before, &keys);
        handle_action(node, action, None);
    }
}

/// Carries out an action of the follower. `from` is the peer that announced a newer generation.
pub fn handle_action(node: &Arc<Node>, action: FollowAction, from: Option<PeerInfo>) {
    match action {
        FollowAction::Fetch { after } => {
            let Some(peer) = from else { return };
            let node = node.clone();
            tokio::spawn(async move { links::send(&node, &peer.name, LinkFrame::ConfigFetch { after }).await });
        }
        FollowAction::Applied { generation } => {
            logs::write(event::GENERATION_APPLIED, &[("generation", &generation)]);
            // A campaign whose allowed zones changed may have another owner now.
            node.steps.wake();
            push_deltas(node, generation);
        }
    }
}

fn push_deltas(node: &Arc<Node>, generation: u64) {
    let Some(deltas) = node.config.deltas_after(generation.saturating_sub(1)) else { return };
    if deltas.is_empty() {
        return;
    }
    let alive: Vec<Name> = {
        let membership = node.membership.lock().unwrap();
        let alive = membership.peers().filter(|update| update.liveness == Liveness::Alive);
        alive.map(|update| update.peer.name).collect()
    };
    let chosen: Vec<Name> = alive.choose_multiple(&mut rand::rng(), PUSH_FANOUT).cloned().collect();
    for peer in chosen {
        let node = node.clone();
        let frame = LinkFrame::ConfigDeltas(deltas.clone());
        tokio::spawn(async move { links::send(&node, &peer, frame).await });
    }
}

/// Passes the changed backend servers to the components that choose among servers. The cost depends on
/// the size of the change, not on that of the configuration.
fn apply_backend_changes(node: &Arc<Node>, before: &Configuration, keys: &BTreeSet<Name>) {
    let after = node.config.current();
    let is_changed = |key: &&Name| key.starts_with("backend/") && before.items.get(*key) != after.items.get(*key);
    let changed: Vec<&Name> = keys.iter().filter(is_changed).collect();
    if changed.is_empty() {
        return;
    }
    for key in &changed {
        let name: Name = key.trim_start_matches("backend/").into();
        set_backend(node, &name, after.backend(&name));
    }
    node.plain.set_backends(&after);
    node.refresh_dispatchers();
}

fn set_backend(node: &Node, name: &Name, backend: Option<&Backend>) {
    node.dispatchers.set_declared_draining(name, backend.is_some_and(|backend| backend.is_draining));
    let mut owners = node.engine_owners.write().unwrap();
    match backend.filter(|backend| backend.kind == BackendKind::Engine) {
        Some(engine) => owners.set_engine(&engine.name, &engine.service, &engine.zone, engine.slots),
        None => owners.remove_engine(name),
    }
}
