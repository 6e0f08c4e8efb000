//! The wait of one call for a slot.

use super::{WaitResult, advance, drive, service_load};
use crate::entry::node::EntryNode;
use crate::entry::shares;
use crate::process::logs;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use trestlerack::process::{
    AdmissionDecision, AdmissionSettings, CallRefusal, QueuedCallId, RefusalReason, ServerSet, WaitEstimate,
    WaitingCall,
};
use trestlerack::{Name, event};

/// Keeps a call in the queue, or reserves the slot that it was given, until it is dropped.
pub struct QueueGuard {
    node: Arc<EntryNode>,
    server_set: ServerSet,
    state: GuardState,
}

enum GuardState {
    /// The call waits in the queue for its result.
    Waiting(QueuedCallId, oneshot::Receiver<WaitResult>),
    /// The call was given a slot after its wait in the queue.
    Admitted,
    /// The call has nothing to release.
    Released,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let has_slot = match &mut self.state {
            GuardState::Released => false,
            GuardState::Admitted => true,
            GuardState::Waiting(id, result) => {
                remove_waiting(&self.node, &self.server_set, *id);
                matches!(result.try_recv(), Ok(Ok(())))
            }
        };
        if has_slot {
            self.node.admission.with_queue(&self.server_set, |service_queue| service_queue.queue.finish_dispatch());
            // Another call may use the slot if this one did not.
            super::slot_freed(&self.node, &self.server_set.service);
        }
    }
}

/// Removes a call from the queue if it still waits.
fn remove_waiting(node: &EntryNode, server_set: &ServerSet, id: QueuedCallId) {
    node.admission.with_queue(server_set, |service_queue| {
        service_queue.queue.remove(id);
        if service_queue.waiters.remove(&id).is_some() {
            node.admission.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    });
}

/// Waits until a call may be sent to a server, or returns why it is refused.
pub async fn wait_for_slot(
    node: &Arc<EntryNode>,
    server_set: &ServerSet,
    call: WaitingCall,
) -> Result<QueueGuard, CallRefusal> {
    let service_load = service_load(node, server_set);
    let (now, logged_call) = (node.now(), call.clone());
    let mut waiting = None;
    let (admission, length) = node.admission.with_queue(server_set, |service_queue| {
        let length = service_queue.queue.len();
        let admission = service_queue.queue.submit(now, call, &service_load);
        if let AdmissionDecision::Wait { id, .. } = admission {
            let (sender, receiver) = oneshot::channel();
            service_queue.waiters.insert(id, sender);
            node.admission.waiting.fetch_add(1, Ordering::Relaxed);
            waiting = Some((receiver, !std::mem::replace(&mut service_queue.has_driver, true)));
        }
        (admission, length)
    });
    let guard = |state| QueueGuard { node: node.clone(), server_set: server_set.clone(), state };
    match (admission, waiting) {
        (AdmissionDecision::Refuse(refusal), _) => {
            record_overload(node, server_set, &service_load.estimate);
            log_refusal(node, server_set, &logged_call, refusal, &service_load.estimate);
            Err(refusal)
        }
        (AdmissionDecision::Wait { id, expected }, Some((receiver, is_first))) => {
            record_overload(node, server_set, &service_load.estimate);
            let guard = guard(GuardState::Waiting(id, receiver));
            node.metrics.admission.record_queued(&server_set.service, length);
            log_wait(&server_set.service, &logged_call, length, expected, &service_load.estimate);
            if is_first {
                tokio::spawn(drive(node.clone(), server_set.clone()));
            } else {
                advance(node, server_set);
            }
            wait_in_queue(guard, &logged_call).await
        }
        _ => Ok(guard(GuardState::Released)),
    }
}

/// Records that a service is overloaded, so that its customers get shares. Calls that may only use zones without an
/// available server do not show that: the servers elsewhere may be idle.
fn record_overload(node: &EntryNode, server_set: &ServerSet, estimate: &WaitEstimate) {
    if !server_set.is_restricted() || estimate.slots > 0 {
        shares::record_overload(node, &server_set.service);
    }
}

async fn wait_in_queue(mut guard: QueueGuard, call: &WaitingCall) -> Result<QueueGuard, CallRefusal> {
    let started = guard.node.now();
    let result = match &mut guard.state {
        // Only the guard drops the sender without a result, and the guard still exists here.
        GuardState::Waiting(_, receiver) => receiver.await.unwrap_or(Ok(())),
        GuardState::Admitted | GuardState::Released => Ok(()),
    };
    guard.node.metrics.admission.record_wait(&guard.server_set.service, guard.node.now().since(started));
    guard.state = if result.is_ok() { GuardState::Admitted } else { GuardState::Released };
    if let Err(refusal) = result {
        let estimate = service_load(&guard.node, &guard.server_set).estimate;
        log_refusal(&guard.node, &guard.server_set, call, refusal, &estimate);
        return Err(refusal);
    }
    Ok(guard)
}

/// Refuses a call for which none of the servers with a free slot is suitable. Returns the delay after which
/// its caller is to retry.
pub fn refuse_without_server(node: &EntryNode, server_set: &ServerSet, call: &WaitingCall) -> Duration {
    let retry_after = AdmissionSettings::default().default_retry_after;
    let refusal = CallRefusal { reason: RefusalReason::NoServer, retry_after };
    log_refusal(node, server_set, call, refusal, &service_load(node, server_set).estimate);
    retry_after
}

fn log_wait(service: &Name, call: &WaitingCall, length: usize, expected: Duration, estimate: &WaitEstimate) {
    let load_age_ms = load_age_ms(estimate);
    let fields: [(&str, &dyn Display); 7] = [
        ("request", &call.id),
        ("service", service),
        ("priority", &call.rank.priority),
        ("over_share", &call.rank.is_over_share),
        ("waiting", &length),
        ("expected_ms", &expected.as_millis()),
        ("age_ms", &load_age_ms),
    ];
    logs::write(event::CALL_WAITS, &fields);
}

fn log_refusal(
    node: &EntryNode,
    server_set: &ServerSet,
    call: &WaitingCall,
    refusal: CallRefusal,
    estimate: &WaitEstimate,
) {
    let service = &server_set.service;
    let length = node.admission.with_queue(server_set, |service_queue| {
        service_queue.counts.add(refusal.reason, call.customer.as_ref());
        service_queue.queue.len()
    });
    node.metrics.admission.record_refusal(service, refusal.reason);
    let load_age_ms = load_age_ms(estimate);
    let fields: [(&str, &dyn Display); 9] = [
        ("request", &call.id),
        ("service", service),
        ("why", &refusal.reason.as_str()),
        ("priority", &call.rank.priority),
        ("over_share", &call.rank.is_over_share),
        ("waiting", &length),
        ("expected_ms", &estimate.wait.as_millis()),
        ("age_ms", &load_age_ms),
        ("return_ms", &refusal.retry_after.as_millis()),
    ];
    logs::write(event::CALL_REFUSED, &fields);
}

fn load_age_ms(estimate: &WaitEstimate) -> String {
    estimate.load_age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
}
