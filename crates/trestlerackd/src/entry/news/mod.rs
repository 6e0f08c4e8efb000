//! News of load between nodes: one message for use by customers, shares and servers.
//!
//! Each kind of news has a module of its own that says what is to be told and takes over what was; this
//! one only carries. See [docs/design/room.md](../../../../../docs/design/room.md).

pub mod server_news;
mod share_news;

use super::node::EntryNode;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::process::NodeNews;

/// Takes over what a peer tells, and returns what it asked for.
pub fn answer_peer(node: &Arc<EntryNode>, news: NodeNews) -> NodeNews {
    let shares = share_news::answer(node, &news.sender, &news.uses);
    let is_asking = news.is_empty();
    let servers = server_news::answer(node, news.servers, is_asking);
    NodeNews { sender: node.settings.name.clone(), shares, servers, ..NodeNews::default() }
}

/// Tells a peer and takes over its answer. Returns whether it answered.
async fn exchange(node: &Arc<EntryNode>, peer: &Name, news: NodeNews) -> bool {
    let news = NodeNews { sender: node.settings.name.clone(), ..news };
    let Some(answer) = node.peers.tell_news(peer, news).await else { return false };
    share_news::learn(node, answer.shares);
    server_news::learn(node, answer.servers);
    true
}
