//! Gossip of server observations between nodes.

use super::{exchange, send};
use crate::entry::node::EntryNode;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::{LoadMessage, ServerObservation, server_gossip_settings};

/// Time for which observations are batched before they are sent, so that several share a message. It is short
/// compared to the latency of a call.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Delay before observations above the rate limit are sent.
const RATE_LIMIT_DELAY: Duration = Duration::from_millis(500);

/// Most peers that are tried in a pull until one responds.
const MAX_PULLED_PEERS: usize = 5;

/// Delay before the next peer is tried.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Wakes the sender, since there may be observations to send.
pub fn wake(node: &EntryNode) {
    node.new_observations.notify_one();
}

/// Applies the observations of a peer. A peer that sends an empty message has just started and pulls, so it gets
/// the observations that this node knows.
pub fn respond(node: &Arc<EntryNode>, received: Vec<ServerObservation>, is_pull: bool) -> Vec<ServerObservation> {
    if is_pull {
        let name = &node.settings.name;
        return node.balancer.lock().unwrap().known_observations(node.now(), name);
    }
    apply(node, received);
    Vec::new()
}

/// Applies the observations of a peer, and forwards the new ones.
pub fn apply(node: &Arc<EntryNode>, received: Vec<ServerObservation>) {
    let mut has_new = false;
    for observation in received {
        let is_new = node.balancer.lock().unwrap().merge_observation(node.now(), &node.settings.name, &observation);
        if is_new {
            log_received(&observation);
            has_new = true;
        }
    }
    if has_new {
        wake(node);
    }
}

/// Sends server observations to peers, until the process ends.
pub async fn send_to_peers(node: Arc<EntryNode>) {
    loop {
        node.new_observations.notified().await;
        clock::sleep(BATCH_DELAY).await;
        while send_some(&node).await {
            clock::sleep(RATE_LIMIT_DELAY).await;
        }
    }
}

/// Sends the observations that the rate limit allows to some peers. Returns whether more are left.
async fn send_some(node: &Arc<EntryNode>) -> bool {
    let (observations, has_more) = {
        let mut balancer = node.balancer.lock().unwrap();
        (balancer.take_observations(node.now(), &node.settings.name), balancer.has_observations())
    };
    if observations.is_empty() {
        return has_more;
    }
    let own = observations.iter().filter(|observation| observation.origin == node.settings.name);
    own.for_each(|observation| log_changed(node, observation));
    let chosen = server_gossip_settings().pick_push_peers(&node.peers.regional_peers(), &mut rand::rng());
    let message = LoadMessage { servers: observations, ..LoadMessage::default() };
    // A peer that does not respond gets the observations from other peers.
    send(node, &chosen, message).await;
    has_more
}

/// Pulls the server observations of a peer. Without them a node that has just started would learn about slow
/// servers only from its own calls.
pub async fn pull_from_peer(node: Arc<EntryNode>) {
    let gossip = server_gossip_settings();
    for _ in 0..MAX_PULLED_PEERS {
        let peer = gossip.pick_pull_peer(&node.peers.regional_peers(), &mut rand::rng());
        if let Some(peer) = peer
            && exchange(&node, &peer, LoadMessage::default()).await
        {
            return;
        }
        clock::sleep(PULL_RETRY_DELAY).await;
    }
}

fn log_changed(node: &EntryNode, observation: &ServerObservation) {
    let health = node.balancer.lock().unwrap().health(node.now(), &observation.instance).as_str();
    let slowness = format!("{:.2}", observation.slowness);
    let failure_rate = format!("{:.2}", observation.failure_rate);
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("server", &observation.instance), ("standing", &health), ("slowness", &slowness), ("failing", &failure_rate)];
    logs::write(event::SERVER_JUDGED, &fields);
}

fn log_received(observation: &ServerObservation) {
    let slowness = format!("{:.2}", observation.slowness);
    let failure_rate = format!("{:.2}", observation.failure_rate);
    let fields: [(&str, &dyn std::fmt::Display); 5] = [
        ("server", &observation.instance),
        ("origin", &observation.origin),
        ("slowness", &slowness),
        ("failing", &failure_rate),
        ("age_ms", &observation.age_ms),
    ];
    logs::write(event::SERVER_TOLD, &fields);
}
