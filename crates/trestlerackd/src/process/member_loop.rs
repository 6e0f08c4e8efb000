//! Probes peers and reads the platform's membership list.

use super::logs;
use crate::connection::links;
use crate::node::Node;
use crate::process::clock;
use crate::request::content_blocking;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::connection::LinkFrame;
use trestlerack::process::{GossipSettings, Heartbeat, Liveness, MembershipAction, MembershipEvent, PeerInfo};
use trestlerack::version::FollowEvent;
use trestlerack::{Name, event};

/// Interval between two reads of the membership list, per node in the cluster.
const LIST_INTERVAL_PER_NODE: Duration = Duration::from_millis(80);

/// Shortest interval between two reads of the membership list.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Heartbeat intervals after which a probe counts as unanswered.
const PROBE_TIMEOUT_INTERVALS: u32 = 1;

/// Probes one peer per interval.
pub async fn probe_peers(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.heartbeat_ms);
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        apply_event(&node, MembershipEvent::Tick);
        node.refresh_ownership();
    }
}

/// Reads the membership list and merges it. What a peer reports about itself takes precedence over the
/// list.
pub async fn follow_member_list(node: Arc<Node>) {
    loop {
        match node.member_list.list().await {
            Ok(list) => {
                apply_event(&node, MembershipEvent::Listed(list.nodes));
                node.dispatchers.merge_drain_list(node.now(), &list.leaving_backends);
                node.refresh_ownership();
            }
            Err(error) => logs::write(event::LIST_UNAVAILABLE, &[("error", &error)]),
        }
        let nodes = node.ownership.read().unwrap().nodes().len();
        clock::sleep(list_interval(nodes)).await;
    }
}

/// Returns how long to wait before the list is read again. The interval grows with the number of nodes,
/// so that all nodes together read the list at a constant rate; what one of them reads, the others learn
/// by gossip. The list grows with the number of nodes, but the bytes that a node reads per second do not.
fn list_interval(nodes: usize) -> Duration {
    let interval = LIST_INTERVAL_PER_NODE * u32::try_from(nodes).unwrap_or(u32::MAX);
    interval.max(MIN_LIST_INTERVAL)
}

/// Passes an event to the membership state machine and carries out the actions that it returns.
pub fn apply_event(node: &Arc<Node>, event: MembershipEvent) {
    for action in decide(node, event) {
        match action {
            MembershipAction::Probe(peer) => {
                tokio::spawn(probe(node.clone(), peer));
            }
            MembershipAction::Changed(update) => {
                let liveness = update.liveness.as_str();
                logs::write(event::PEER_CHANGED, &[("peer", &update.peer.name), ("liveness", &liveness)]);
                if update.liveness == Liveness::Dead {
                    node.links.close_link(&update.peer.name);
                    node.spool.adopt_copies_of(&update.peer.name);
                }
            }
        }
    }
}

fn decide(node: &Node, event: MembershipEvent) -> Vec<MembershipAction> {
    let captured = node.recorder.capture(&event);
    let mut membership = node.membership.lock().unwrap();
    let now = node.now();
    let actions = membership.handle(now, event);
    node.recorder.record("membership", || membership.trace_head(), now, captured, &actions);
    actions
}

async fn probe(node: Arc<Node>, peer: PeerInfo) {
    let timeout = Duration::from_millis(node.settings.heartbeat_ms) * PROBE_TIMEOUT_INTERVALS;
    let heartbeat = node.membership.lock().unwrap().heartbeat();
    let generation = node.config.current().generation;
    let drain_updates = node.dispatchers.take_drain_updates();
    let crash_reports = content_blocking::recent_crash_reports(&node);
    let build = |id| LinkFrame::Probe { id, heartbeat, generation, drain_updates, crash_reports };
    match links::request(&node, &peer, build, timeout).await {
        Ok(LinkFrame::ProbeAnswer { heartbeat, generation, drain_updates, crash_reports, .. }) => {
            content_blocking::merge_crash_reports(&node, &crash_reports);
            merge_probe(&node, heartbeat, generation, drain_updates);
        }
        Ok(_) | Err(_) => apply_event(&node, MembershipEvent::Unanswered(peer.name)),
    }
}

/// Probes some peers now, to spread an update that cannot wait for the next interval.
pub fn probe_gossip_peers(node: &Arc<Node>, gossip: &GossipSettings) {
    let alive: Vec<PeerInfo> = {
        let membership = node.membership.lock().unwrap();
        let alive = membership.peers().filter(|update| update.liveness == Liveness::Alive);
        alive.map(|update| update.peer).filter(|peer| peer.name != *node.name()).collect()
    };
    let names: Vec<Name> = alive.iter().map(|peer| peer.name.clone()).collect();
    let chosen = gossip.pick_push_peers(&names.into(), &mut rand::rng());
    for peer in alive.into_iter().filter(|peer| chosen.contains(&peer.name)) {
        tokio::spawn(probe(node.clone(), peer));
    }
}

/// Merges what a peer sent in a probe or in its response to one.
pub fn merge_probe(
    node: &Arc<Node>,
    heartbeat: Heartbeat,
    generation: u64,
    drain_updates: Vec<trestlerack::connection::DrainUpdate>,
) {
    let sender = heartbeat.sender.peer.clone();
    apply_event(node, MembershipEvent::Received(heartbeat));
    for update in drain_updates {
        node.dispatchers.merge_drain_update(node.now(), update);
    }
    let action = node.config.handle(FollowEvent::Announced { generation });
    if let Some(action) = action {
        crate::version::config_loop::handle_action(node, action, Some(sender));
    }
}
