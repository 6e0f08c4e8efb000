//! How backend servers answered, told to the board and, where it is news, to peers.

use super::news::server_news;
use super::node::EntryNode;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::ServerBoard;

/// Records how long work takes at a server, as it stated. The first to do so has a node that started ask
/// a peer what it knows.
pub fn stated_slowness(node: &Arc<EntryNode>, server: &str, percent: u32) {
    let is_first = node.board.lock().unwrap().stated_slowness(node.now(), server, percent);
    if is_first {
        tokio::spawn(server_news::ask_peer(node.clone()));
    }
}

/// Records how long a good answer to a request of `route` took.
pub fn took(node: &EntryNode, server: &str, route: &Name, took: Duration) {
    note(node, |board| board.answer_took(node.now(), server, route, took));
}

/// Records that a server has not answered within `elapsed`.
pub fn outstanding(node: &EntryNode, server: &str, route: &Name, elapsed: Duration) {
    note(node, |board| board.answer_outstanding(node.now(), server, route, elapsed));
}

/// Records that the work of a server was ended after `elapsed`, because one that was asked later answered.
pub fn cut(node: &EntryNode, server: &str, route: &Name, elapsed: Duration) {
    note(node, |board| board.answer_cut(node.now(), server, route, elapsed));
}

/// Records an answer that is a failure, or none.
pub fn failed(node: &EntryNode, server: &str) {
    note(node, |board| board.answer_failed(node.now(), server));
}

fn note(node: &EntryNode, record: impl FnOnce(&mut ServerBoard)) {
    let has_notes = {
        let mut board = node.board.lock().unwrap();
        record(&mut board);
        board.has_notes()
    };
    if has_notes {
        server_news::wake(node);
    }
}
