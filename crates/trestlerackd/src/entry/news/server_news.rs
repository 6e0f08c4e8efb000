//! What nodes tell each other of servers.

use super::{exchange, tell};
use crate::entry::node::EntryNode;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::{LoadMessage, ServerObservation, server_gossip_settings};

/// Time in which notes are gathered before they are told, so that several share a message. Short beside
/// the time that a caller waits for an answer.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Pause before notes that are over the allowance are told.
const LATER: Duration = Duration::from_millis(500);

/// Peers that are asked one after the other until one answers.
const ASKED_PEERS: usize = 5;

/// Pause before the next peer is asked.
const ASK_PAUSE: Duration = Duration::from_millis(400);

/// Says that there may be something to tell.
pub fn wake(node: &EntryNode) {
    node.new_observations.notify_one();
}

/// Takes over what a peer tells, and returns what it may not know: a peer that tells nothing has just
/// started and asks.
pub fn answer(node: &Arc<EntryNode>, told: Vec<ServerObservation>, is_asking: bool) -> Vec<ServerObservation> {
    if is_asking {
        let name = &node.settings.name;
        return node.balancer.lock().unwrap().known_observations(node.now(), name);
    }
    learn(node, told);
    Vec::new()
}

/// Takes over what a peer tells, and passes on what is news.
pub fn learn(node: &Arc<EntryNode>, told: Vec<ServerObservation>) {
    let mut has_news = false;
    for note in told {
        let is_news = node.balancer.lock().unwrap().merge_observation(node.now(), &node.settings.name, &note);
        if is_news {
            log_told(&note);
            has_news = true;
        }
    }
    if has_news {
        wake(node);
    }
}

/// Tells peers of servers, until the process ends.
pub async fn tell_peers(node: Arc<EntryNode>) {
    loop {
        node.new_observations.notified().await;
        clock::sleep(GATHER_TIME).await;
        while tell_some(&node).await {
            clock::sleep(LATER).await;
        }
    }
}

/// Tells some peers what may be told now. Returns whether something is left.
async fn tell_some(node: &Arc<EntryNode>) -> bool {
    let (notes, is_left) = {
        let mut balancer = node.balancer.lock().unwrap();
        (balancer.take_observations(node.now(), &node.settings.name), balancer.has_observations())
    };
    if notes.is_empty() {
        return is_left;
    }
    let own = notes.iter().filter(|note| note.origin == node.settings.name);
    own.for_each(|note| log_changed(node, note));
    let chosen = server_gossip_settings().pick_push_peers(&node.peers.peer_addresses(), &mut rand::rng());
    let news = LoadMessage { servers: notes, ..LoadMessage::default() };
    // A peer that does not answer hears of it from others.
    tell(node, &chosen, news).await;
    is_left
}

/// Asks a peer for what it knows of servers: a node that has just started would else find out by its own
/// callers.
pub async fn ask_peer(node: Arc<EntryNode>) {
    let gossip = server_gossip_settings();
    for _ in 0..ASKED_PEERS {
        let peer = gossip.pick_pull_peer(&node.peers.peer_addresses(), &mut rand::rng());
        if let Some(peer) = peer
            && exchange(&node, &peer, LoadMessage::default()).await
        {
            return;
        }
        clock::sleep(ASK_PAUSE).await;
    }
}

fn log_changed(node: &EntryNode, note: &ServerObservation) {
    let standing = node.balancer.lock().unwrap().health(node.now(), &note.instance).as_str();
    let slowness = format!("{:.2}", note.slowness);
    let failing = format!("{:.2}", note.failure_rate);
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("server", &note.instance), ("standing", &standing), ("slowness", &slowness), ("failing", &failing)];
    logs::write(event::SERVER_JUDGED, &fields);
}

fn log_told(note: &ServerObservation) {
    let slowness = format!("{:.2}", note.slowness);
    let failing = format!("{:.2}", note.failure_rate);
    let fields: [(&str, &dyn std::fmt::Display); 5] = [
        ("server", &note.instance),
        ("origin", &note.origin),
        ("slowness", &slowness),
        ("failing", &failing),
        ("age_ms", &note.age_ms),
    ];
    logs::write(event::SERVER_TOLD, &fields);
}
