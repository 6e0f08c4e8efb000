//! Has a suspect tried on a server without suspects of other nodes beside it.
//!
//! Each server's trials are kept by one node, in memory: the first by rendezvous hash. A node that has
//! just started, or does not answer, keeps none, and the suspect is then alone only as far as its own
//! node knows.

use super::SuspectState;
use crate::entry::node::EntryNode;
use crate::entry::server_ticket::ServerTicket;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::hash::{hash_parts, rendezvous_weight};
use trestlerack::request::RequestFingerprint;

/// Asks that the suspect of a ticket has its server for itself. Returns whether it may be sent there: one
/// under which several servers ended may not be sent where another one is tried.
pub async fn ask_trial(node: &Arc<EntryNode>, ticket: &ServerTicket) -> bool {
    let standing = node.suspects.book().state(node.now(), ticket.fingerprint);
    let SuspectState::Suspected(ended) = standing else { return true };
    // A run on an engine lasts longer than a trial, and a step has many: they would wait for each other.
    if ended == 1 || !ticket.server.models.is_empty() {
        return true;
    }
    let server = &ticket.server.instance;
    let is_granted = match keeper(node, server) {
        None => Some(grant_trial(node, server, ticket.fingerprint)),
        Some(address) => node.peers.request_trial(&address, server, ticket.fingerprint).await,
    };
    if is_granted == Some(false) {
        ticket.share_trial();
    }
    is_granted != Some(false)
}

/// Answers a node that asks for a server's trial.
pub fn grant_trial(node: &EntryNode, server: &Name, fingerprint: RequestFingerprint) -> bool {
    node.suspects.trials().grant(node.now(), server, fingerprint)
}

/// Returns the address of the node that keeps a server's trials; `None` if that is this node.
fn keeper(node: &EntryNode, server: &Name) -> Option<Name> {
    let key = hash_parts(&[server]);
    let names = node.peers.names();
    let own = &node.settings.name;
    let keeper = names.iter().max_by_key(|name| rendezvous_weight(key, name)).filter(|name| *name != own)?;
    node.peers.get(keeper).map(|row| row.address)
}
