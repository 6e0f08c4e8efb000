//! Finds out whether a backend server ended as it ran a request, or only a connection did.

use super::node::{EntryNode, ServerTicket};
use crate::process::logs;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::event;

/// Takes note that the connection broke on which a server was sent a request.
///
/// A task of its own asks the server's address, so that the answer is known also if the client of
/// the request leaves meanwhile.
pub async fn connection_broke(node: &Arc<EntryNode>, ticket: &ServerTicket, request: &str) {
    let (node, server, fingerprint) = (node.clone(), ticket.server.clone(), ticket.fingerprint);
    let request: Name = request.into();
    let asked = tokio::spawn(async move {
        let state = node.pool.listen_state(&server.address).await;
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("request", &request),
            ("fingerprint", &fingerprint),
            ("server", &server.instance),
            ("listens", &state.as_str()),
        ];
        logs::write(event::CONNECTION_BROKEN, &fields);
    });
    // It fails only if the process ends.
    let _ = asked.await;
}
