//! Finds out whether a backend server ended as it ran a request, or only a connection did.

use super::in_flight::ServerTicket;
use super::node::EntryNode;
use super::pool::ListenState;
use super::suspects;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::ServerEntry;
use trestlerack::request::RequestFingerprint;
use trestlerack::{Name, event};

/// Pauses before an address that took connections is asked again. A process that ends may close its
/// connections before the address that it listens on: the next attempt goes on meanwhile, and the one
/// after that comes 30 ms later at the earliest.
const ASK_AGAIN: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(100)];

/// A request whose connection broke.
struct BrokenRequest {
    id: Name,
    fingerprint: RequestFingerprint,
    server: ServerEntry,
    is_trial: bool,
}

/// Takes note that the connection broke on which a server was sent a request.
///
/// A task of its own asks the server's address, so that the answer is known also if the client of
/// the request leaves meanwhile.
pub async fn connection_broke(node: &Arc<EntryNode>, ticket: &ServerTicket, request: &str) {
    ticket.settle();
    let (node, server, fingerprint) = (node.clone(), ticket.server.clone(), ticket.fingerprint);
    let broken = BrokenRequest { id: request.into(), fingerprint, server, is_trial: ticket.is_trial() };
    let asked = tokio::spawn(async move {
        let state = ask_server(&node, &broken).await;
        // One that was to leave may end at any time.
        if state != ListenState::Refusing && !may_leave(&node, &broken.server) {
            // Another start may have its address already, or the VM may be gone: service discovery
            // tells within seconds.
            node.suspects.book().record_unresolved(node.now(), broken.fingerprint, &broken.server, broken.is_trial);
            if state == ListenState::Listening {
                tokio::spawn(ask_again(node, broken));
            }
        }
    });
    // It fails only if the process ends.
    let _ = asked.await;
}

/// Asks whether a server's address takes connections, and takes note if the server has ended.
async fn ask_server(node: &Arc<EntryNode>, broken: &BrokenRequest) -> ListenState {
    let server = &broken.server;
    let state = node.pool.listen_state(&server.address).await;
    let fields: [(&str, &dyn std::fmt::Display); 4] = [
        ("request", &broken.id),
        ("fingerprint", &broken.fingerprint),
        ("server", &server.instance),
        ("listens", &state.as_str()),
    ];
    logs::write(event::CONNECTION_BROKEN, &fields);
    if state == ListenState::Refusing && !may_leave(node, server) {
        suspects::server_ended(node, &broken.id, broken.fingerprint, server, broken.is_trial);
    }
    state
}

async fn ask_again(node: Arc<EntryNode>, broken: BrokenRequest) {
    for pause in ASK_AGAIN {
        clock::sleep(pause).await;
        if ask_server(&node, &broken).await == ListenState::Refusing {
            return;
        }
    }
}

/// Returns whether a server was to end in any case: it asked for no new work, or is listed no more.
fn may_leave(node: &EntryNode, server: &ServerEntry) -> bool {
    let registry = node.registry.lock().unwrap();
    registry.get(&server.instance).is_none_or(|entry| entry.is_draining)
}
