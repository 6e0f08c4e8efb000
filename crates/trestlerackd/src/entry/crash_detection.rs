//! Finds out whether a backend server crashed while it ran a request, or only the connection broke.

use super::in_flight::InFlightGuard;
use super::node::EntryNode;
use super::pool::ListenState;
use super::suspects;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{RunEvidence, ServerEntry};
use trestlerack::request::RequestFingerprint;
use trestlerack::{Name, event};

/// Delays before an address that accepted connections is checked again. A process that ends may close its
/// connections before its listening socket. The next attempt of the request starts meanwhile, and the one
/// after it 30 ms later at the earliest.
const RECHECK_DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(100)];

/// A request whose connection broke before the response was complete.
pub struct InterruptedRequest {
    /// Id of the request.
    pub id: Name,
    /// Fingerprint of its content.
    pub fingerprint: RequestFingerprint,
    /// Server that it was in flight at.
    pub server: ServerEntry,
    /// What it tells about its content if the server crashed.
    pub evidence: RunEvidence,
}

/// Checks whether a server crashed after the connection that carried a request to it broke.
///
/// A separate task checks the server's address, so that the result is recorded even if the client of
/// the request disconnects meanwhile.
pub async fn check_broken_connection(node: &Arc<EntryNode>, guard: &InFlightGuard, request: &str) {
    guard.record_outcome();
    let (node, server, fingerprint) = (node.clone(), guard.server.clone(), guard.fingerprint);
    let interrupted = InterruptedRequest { id: request.into(), fingerprint, server, evidence: guard.evidence() };
    let check = tokio::spawn(async move {
        let state = check_address(&node, &interrupted).await;
        // A draining server may stop at any time.
        if state != ListenState::Refusing && !is_expected_to_stop(&node, &interrupted.server) {
            // A restarted process may use the address already, or the VM may be gone. Service discovery
            // reports either within seconds.
            node.suspects.tracker().record_unresolved(
                node.now(),
                interrupted.fingerprint,
                &interrupted.server,
                interrupted.evidence,
            );
            if state == ListenState::Listening {
                tokio::spawn(recheck_address(node, interrupted));
            }
        }
    });
    // The task fails only if this process ends.
    let _ = check.await;
}

/// Checks whether a server's address accepts connections, and records a crash if it refuses them.
async fn check_address(node: &Arc<EntryNode>, request: &InterruptedRequest) -> ListenState {
    let server = &request.server;
    let state = node.pool.listen_state(&server.address, node.regions.traffic_to(&server.zone)).await;
    let fields: [(&str, &dyn std::fmt::Display); 4] = [
        ("request", &request.id),
        ("fingerprint", &request.fingerprint),
        ("server", &server.instance),
        ("listens", &state.as_str()),
    ];
    logs::write(event::CONNECTION_BROKEN, &fields);
    if state == ListenState::Refusing && !is_expected_to_stop(node, server) {
        suspects::record_crash(node, request);
    }
    state
}

async fn recheck_address(node: Arc<EntryNode>, request: InterruptedRequest) {
    for delay in RECHECK_DELAYS {
        clock::sleep(delay).await;
        if check_address(&node, &request).await == ListenState::Refusing {
            return;
        }
    }
}

/// Returns whether a server is expected to stop: it is draining or no longer listed.
fn is_expected_to_stop(node: &EntryNode, server: &ServerEntry) -> bool {
    let registry = node.registry.lock().unwrap();
    registry.get(&server.instance).is_none_or(|entry| entry.is_draining)
}
