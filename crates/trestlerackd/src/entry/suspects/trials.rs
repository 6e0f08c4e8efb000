//! Trials of suspect contents: each runs at a server without suspects of other nodes.
//!
//! The trials of a server are granted by one node, which is chosen by rendezvous hash and keeps them in memory. It lies
//! in the server's region, so that a region that is cut off waits for no node of another one. If that node has just started or does not respond, the suspect is only separated from suspects of its own node.

use super::SuspectState;
use crate::entry::in_flight::InFlightGuard;
use crate::entry::node::EntryNode;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::hash::{hash_parts, rendezvous_weight};
use trestlerack::process::ServerEntry;
use trestlerack::request::RequestFingerprint;

/// Requests the trial of a suspect content at the server of its guard. Returns whether the request may be sent there:
/// a content with several crashes may not be sent to a server that has the trial of another one.
pub async fn request_trial(node: &Arc<EntryNode>, guard: &InFlightGuard) -> bool {
    let state = node.suspects.tracker().state(node.now(), guard.fingerprint);
    // Runs on engines last longer than a trial, and a step has many of them, which would wait for each other.
    if matches!(state, SuspectState::Clear | SuspectState::Suspected(1)) || !guard.server.models.is_empty() {
        return true;
    }
    let server = &guard.server.instance;
    let is_granted = match trial_owner(node, &guard.server) {
        None => Some(grant_trial(node, server, guard.fingerprint)),
        Some(address) => node.peers.request_trial(&address, server, guard.fingerprint).await,
    };
    if is_granted == Some(false) {
        guard.mark_shared();
    }
    is_granted != Some(false)
}

/// Decides whether a content gets the trial at a server, for any node.
pub fn grant_trial(node: &EntryNode, server: &Name, fingerprint: RequestFingerprint) -> bool {
    node.suspects.trial_grants().grant(node.now(), server, fingerprint)
}

/// Returns the address of the node that grants a server's trials; `None` if that is this node.
fn trial_owner(node: &EntryNode, server: &ServerEntry) -> Option<Name> {
    let key = hash_parts(&[&server.instance]);
    let mut names: Vec<Name> = node.regions.nodes_near(&server.zone, || node.peers.zones()).into_iter().collect();
    if names.is_empty() {
        names = node.peers.names();
    }
    let own = &node.settings.name;
    let trial_owner = names.iter().max_by_key(|name| rendezvous_weight(key, name)).filter(|name| *name != own)?;
    node.peers.get(trial_owner).map(|row| row.address)
}
