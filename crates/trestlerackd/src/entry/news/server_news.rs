//! What nodes tell each other of servers.

use crate::entry::node::EntryNode;
use std::sync::Arc;
use trestlerack::process::ServerNote;

/// Takes over what a peer tells, and returns what it may not know.
pub fn answer(node: &Arc<EntryNode>, told: Vec<ServerNote>) -> Vec<ServerNote> {
    learn(node, told);
    Vec::new()
}

/// Takes over what a peer tells.
pub fn learn(_node: &Arc<EntryNode>, _told: Vec<ServerNote>) {}
