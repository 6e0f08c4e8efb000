//! Strikes told from node to node, while the store does not serve one of them.

use super::desk::MOST_TOLD;
use super::{StrikeSource, join};
use crate::entry::node::EntryNode;
use crate::process::clock;
use futures_util::future::join_all;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::process::{CrashReport, GossipSettings};

/// Takes over what a peer tells, and returns what it may not know.
pub fn answer_peer(node: &Arc<EntryNode>, told: &[CrashReport]) -> Vec<CrashReport> {
    let known = newest_notes(node);
    learn_from_peer(node, told);
    let is_untold = |note: &CrashReport| {
        !told.iter().any(|told| {
            let is_same = told.fingerprint == note.fingerprint && told.server_start == note.server_start;
            is_same && told.is_trial == note.is_trial && told.is_cleared == note.is_cleared
        })
    };
    known.into_iter().filter(is_untold).collect()
}

/// Takes over what a peer told. A node that the store serves stores it, because the peer may not be able
/// to. Another one passes it on and leaves storing to the node that saw the end: once the store is
/// back, all nodes would write the same rows at one moment.
fn learn_from_peer(node: &Arc<EntryNode>, told: &[CrashReport]) {
    let news = join(node, told, StrikeSource::Peer);
    if news.is_empty() {
        return;
    }
    if node.suspects.is_cut_off() {
        node.suspects.tell(&news);
    } else {
        node.suspects.publish(node.now(), &news);
    }
}

pub(super) fn newest_notes(node: &EntryNode) -> Vec<CrashReport> {
    let mut notes = node.suspects.book().reports(node.now());
    notes.sort_by_key(|note| note.age_ms);
    notes.truncate(MOST_TOLD);
    notes
}

/// Tells peers of strikes that cannot be stored, until the process ends.
pub async fn tell_peers(node: Arc<EntryNode>) {
    let gossip = GossipSettings::default();
    loop {
        node.suspects.has_untold.notified().await;
        let notes = node.suspects.take_untold();
        let chosen = gossip.pick_push_peers(&node.peers.peer_addresses(), &mut rand::rng());
        join_all(chosen.iter().map(|peer| exchange(&node, peer, &notes))).await;
    }
}

async fn exchange(node: &Arc<EntryNode>, peer: &Name, notes: &[CrashReport]) {
    // A peer that does not answer hears of it from others, or asks for it.
    if let Some(answer) = node.peers.exchange_crash_reports(peer, notes).await {
        learn_from_peer(node, &answer);
    }
}

/// Asks peers for their strikes while the store brings no news, until the process ends. A process that
/// starts asks at once, since the store may be away.
pub async fn ask_peers(node: Arc<EntryNode>) {
    let gossip = GossipSettings::default();
    loop {
        if node.suspects.is_cut_off() {
            let peer = gossip.pick_pull_peer(&node.peers.peer_addresses(), &mut rand::rng());
            if let Some(peer) = peer {
                exchange(&node, &peer, &newest_notes(&node)).await;
            }
        }
        clock::sleep(gossip.pull_interval).await;
    }
}
