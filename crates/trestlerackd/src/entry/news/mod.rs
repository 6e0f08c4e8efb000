//! News of load between nodes: one message for use by customers, shares and servers.
//!
//! Each kind of news has a module of its own that says what is to be told and takes over what was; this
//! one only carries. See [docs/design/room.md](../../../../../docs/design/room.md).

pub mod server_news;
mod share_news;

pub use share_news::tell_adders;

use super::node::EntryNode;
use futures_util::future::join_all;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::process::LoadMessage;

/// Takes over what a peer tells, and returns what it asked for.
pub fn answer_peer(node: &Arc<EntryNode>, news: LoadMessage) -> LoadMessage {
    let is_asking = news.is_empty();
    share_news::learn(node, news.shares);
    let shares = share_news::answer(node, &news.sender, &news.usage);
    let servers = server_news::answer(node, news.servers, is_asking);
    LoadMessage { sender: node.settings.name.clone(), shares, servers, ..LoadMessage::default() }
}

/// Tells peers, by their addresses, and takes over their answers. Returns how many answered. To tell
/// some peers at once without waiting, spawn it.
pub async fn tell(node: &Arc<EntryNode>, peers: &[Name], news: LoadMessage) -> usize {
    let answers = join_all(peers.iter().map(|peer| exchange(node, peer, news.clone()))).await;
    answers.into_iter().filter(|is_answered| *is_answered).count()
}

/// Tells a peer and takes over its answer. Returns whether it answered.
async fn exchange(node: &Arc<EntryNode>, peer: &Name, news: LoadMessage) -> bool {
    let news = LoadMessage { sender: node.settings.name.clone(), ..news };
    let Some(answer) = node.peers.exchange_load(peer, news).await else { return false };
    share_news::learn(node, answer.shares);
    server_news::learn(node, answer.servers);
    true
}
