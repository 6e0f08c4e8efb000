//! Gossip of load between nodes: one message carries the usage of customers, shares and server observations.
//!
//! Each kind of content has a module that decides what to send and applies what was received. This module only
//! exchanges the messages. See [docs/design/room.md](../../../../../docs/design/room.md).

pub mod observations;
mod shares;

pub use shares::report_usage;

use super::node::EntryNode;
use futures_util::future::join_all;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::process::LoadMessage;

/// Applies the message of a peer, and returns the response.
pub fn respond_to_peer(node: &Arc<EntryNode>, message: LoadMessage) -> LoadMessage {
    let is_pull = message.is_empty();
    shares::apply(node, message.shares);
    let shares = shares::respond(node, &message.sender, &message.usage);
    let servers = observations::respond(node, message.servers, is_pull);
    LoadMessage { sender: node.settings.name.clone(), shares, servers, ..LoadMessage::default() }
}

/// Sends a message to peers, by their addresses, and applies their responses. Returns how many peers responded.
/// Spawn it to send without waiting.
pub async fn send(node: &Arc<EntryNode>, peers: &[Name], message: LoadMessage) -> usize {
    let responses = join_all(peers.iter().map(|peer| exchange(node, peer, message.clone()))).await;
    responses.into_iter().filter(|has_responded| *has_responded).count()
}

/// Sends a message to a peer and applies its response. Returns whether the peer responded.
async fn exchange(node: &Arc<EntryNode>, peer: &Name, message: LoadMessage) -> bool {
    let message = LoadMessage { sender: node.settings.name.clone(), ..message };
    let Some(response) = node.peers.tell_news(peer, message).await else { return false };
    shares::apply(node, response.shares);
    observations::apply(node, response.servers);
    true
}
