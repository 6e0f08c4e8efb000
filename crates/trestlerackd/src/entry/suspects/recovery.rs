//! Permits for runs of suspect contents, and recovery trials of blocked ones.
//!
//! The row of a recovery trial is written before the run is sent, on the condition that there is none. So all nodes
//! together use each trial once, and none without the store; see
//! [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#requests-that-end-servers).

use super::{rows, trials};
use crate::entry::in_flight::InFlightGuard;
use crate::entry::node::EntryNode;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{RecoveryRule, SuspectState};
use trestlerack::request::RequestFingerprint;
use trestlerack::rows::StoreReply;

/// Time limit of a reservation. The request holds its place at the server meanwhile.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether a request with a suspect content may be sent.
pub enum RunPermit {
    /// It may be sent.
    Granted,
    /// It may be sent as the recovery trial of its content with this number.
    RecoveryTrial(u32),
    /// Its content is blocked for this time.
    Blocked(Duration),
    /// Another suspect content has its trial at the server.
    ServerTaken,
}

/// Requests to send a suspect content to the server of its guard.
pub async fn request_permit(node: &Arc<EntryNode>, guard: &InFlightGuard, request: &str) -> RunPermit {
    let (fingerprint, rule) = (guard.fingerprint, guard.recovery_rule);
    if let Some(left) = super::blocked_for(node, fingerprint, rule) {
        return RunPermit::Blocked(left);
    }
    if !trials::request_trial(node, guard).await {
        return RunPermit::ServerTaken;
    }
    let state = node.suspects.tracker().state(node.now(), fingerprint);
    let SuspectState::Blocked(left) = state else { return RunPermit::Granted };
    match start_recovery_trial(node, fingerprint, rule, request).await {
        Some(number) => RunPermit::RecoveryTrial(number),
        None => RunPermit::Blocked(super::blocked_for(node, fingerprint, rule).unwrap_or(left)),
    }
}

/// Records that no server ran a recovery trial, so that the content may have it later.
pub fn cancel_recovery_trial(node: &EntryNode, fingerprint: RequestFingerprint, number: u32) {
    node.suspects.tracker().restore_recovery_trial(fingerprint, number);
    node.suspects.publish_restored_trials(fingerprint, &[number]);
}

/// Starts a recovery trial of a blocked content. Returns its number if one was due and no other node has used it.
async fn start_recovery_trial(
    node: &Arc<EntryNode>,
    fingerprint: RequestFingerprint,
    rule: RecoveryRule,
    request: &str,
) -> Option<u32> {
    let number = node.suspects.tracker().start_trial(node.now(), fingerprint, rule)?;
    let reservation = rows::reserve_recovery_trial(node, fingerprint, number);
    let reply = clock::timeout(RESERVATION_TIMEOUT, reservation).await.unwrap_or(Err(StoreError::Unknown));
    let outcome = match &reply {
        Ok(StoreReply::Committed(_)) => "reserved",
        Ok(_) => "used by another node",
        Err(StoreError::Unknown) => "perhaps used, the store's answer was lost",
        Err(StoreError::Unavailable | StoreError::RateLimited) => "not reserved, the store is unavailable",
    };
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("request", &request), ("fingerprint", &fingerprint), ("number", &number), ("outcome", &outcome)];
    logs::write(event::RECOVERY_TRIAL, &fields);
    // A reservation that may have been stored counts as used, as another node may find its row.
    if !matches!(reply, Err(StoreError::Unavailable | StoreError::RateLimited)) {
        node.suspects.tracker().record_recovery_trial(node.now(), fingerprint, number);
    }
    matches!(reply, Ok(StoreReply::Committed(_))).then_some(number)
}
