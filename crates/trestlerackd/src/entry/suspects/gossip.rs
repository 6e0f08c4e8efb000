//! Exchange of crash reports between nodes while the store is not available to one of them.

use super::control::MAX_SENT_REPORTS;
use super::{ReportSource, merge};
use crate::entry::node::EntryNode;
use crate::process::clock;
use futures_util::future::join_all;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::process::{CrashReport, GossipSettings};

/// Merges the crash reports of a peer, and returns those that it may not have.
pub fn respond_to_peer(node: &Arc<EntryNode>, received: &[CrashReport]) -> Vec<CrashReport> {
    let known = newest_reports(node);
    merge_from_peer(node, received);
    let is_missing_at_peer = |report: &CrashReport| {
        !received.iter().any(|received| {
            let is_same = received.fingerprint == report.fingerprint && received.server_start == report.server_start;
            is_same && received.is_trial == report.is_trial && received.is_cleared == report.is_cleared
        })
    };
    known.into_iter().filter(is_missing_at_peer).collect()
}

/// Merges the crash reports of a peer. A node whose store is available stores them, because the peer may not be able
/// to. Any other node forwards them to peers and leaves storing to the node that saw the crash. Otherwise all nodes
/// would write the same rows at once when the store is back.
fn merge_from_peer(node: &Arc<EntryNode>, received: &[CrashReport]) {
    let new_reports = merge(node, received, ReportSource::Peer);
    if new_reports.is_empty() {
        return;
    }
    if node.suspects.is_watch_down() {
        node.suspects.queue_for_peers(&new_reports);
    } else {
        node.suspects.publish(node.now(), &new_reports);
    }
}

pub(super) fn newest_reports(node: &EntryNode) -> Vec<CrashReport> {
    let mut reports = node.suspects.tracker().reports(node.now());
    reports.sort_by_key(|report| report.age_ms);
    reports.truncate(MAX_SENT_REPORTS);
    reports
}

/// Sends crash reports that cannot be stored to peers, until the process ends.
pub async fn send_to_peers(node: Arc<EntryNode>) {
    let gossip = GossipSettings::default();
    loop {
        node.suspects.has_unsent.notified().await;
        let reports = node.suspects.take_unsent();
        let chosen = gossip.pick_push_peers(&node.peers.regional_peers(), &mut rand::rng());
        join_all(chosen.iter().map(|peer| exchange(&node, peer, &reports))).await;
    }
}

async fn exchange(node: &Arc<EntryNode>, peer: &Name, reports: &[CrashReport]) {
    // A peer that does not respond gets the reports from other peers, or pulls them.
    if let Some(response) = node.peers.exchange_crash_reports(peer, reports).await {
        merge_from_peer(node, &response);
    }
}

/// Pulls crash reports from peers while the watch is down, until the process ends. A process that has just started
/// pulls at once, since the store may be unavailable.
pub async fn pull_from_peers(node: Arc<EntryNode>) {
    let gossip = GossipSettings::default();
    loop {
        if node.suspects.is_watch_down() {
            let peer = gossip.pick_pull_peer(&node.peers.regional_peers(), &mut rand::rng());
            if let Some(peer) = peer {
                exchange(&node, &peer, &newest_reports(&node)).await;
            }
        }
        clock::sleep(gossip.pull_interval).await;
    }
}
