//! Finds out whether a backend server ended as it ran a request, or only a connection did.

use super::node::EntryNode;
use super::pool::ListenState;
use super::server_ticket::ServerTicket;
use super::suspects;
use crate::process::logs;
use std::sync::Arc;
use trestlerack::process::ServerEntry;
use trestlerack::{Name, event};

/// Takes note that the connection broke on which a server was sent a request.
///
/// A task of its own asks the server's address, so that the answer is known also if the client of
/// the request leaves meanwhile.
pub async fn connection_broke(node: &Arc<EntryNode>, ticket: &ServerTicket, request: &str) {
    ticket.settle();
    let (node, server, fingerprint) = (node.clone(), ticket.server.clone(), ticket.fingerprint);
    let (request, is_trial): (Name, bool) = (request.into(), ticket.is_trial());
    let asked = tokio::spawn(async move {
        let state = node.pool.listen_state(&server.address).await;
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("request", &request),
            ("fingerprint", &fingerprint),
            ("server", &server.instance),
            ("listens", &state.as_str()),
        ];
        logs::write(event::CONNECTION_BROKEN, &fields);
        if may_leave(&node, &server) {
            return;
        }
        match state {
            ListenState::Refusing => suspects::server_ended(&node, &request, fingerprint, &server, is_trial),
            // Another start may have its address already, or the VM may be gone: service discovery
            // tells within seconds.
            ListenState::Listening | ListenState::Unknown => {
                node.suspects.book().doubt(node.now(), fingerprint, &server, is_trial);
            }
        }
    });
    // It fails only if the process ends.
    let _ = asked.await;
}

/// Returns whether a server was to end in any case: it asked for no new work, or is listed no more.
fn may_leave(node: &EntryNode, server: &ServerEntry) -> bool {
    let registry = node.registry.lock().unwrap();
    registry.get(&server.instance).is_none_or(|entry| entry.is_draining)
}
