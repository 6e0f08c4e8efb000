//! One call's wait for a place.

use super::{WaitEnd, advance, drive, view};
use crate::entry::node::EntryNode;
use crate::entry::shares;
use crate::process::logs;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::oneshot;
use trestlerack::process::{
    AdmissionDecision, AdmissionSettings, CallRefusal, QueuedCallId, RefusalReason, WaitEstimate, WaitingCall,
};
use trestlerack::{Name, event};

/// Holds a call's place in the queue, or the place at a server that it was given, until it is dropped.
pub struct PlaceHold {
    node: Arc<EntryNode>,
    service: Name,
    state: HoldState,
}

enum HoldState {
    /// The call waits to be told of its end.
    Waits(QueuedCallId, oneshot::Receiver<WaitEnd>),
    /// The call was given a place out of the queue.
    Goes,
    /// The call has nothing to give back.
    Free,
}

impl Drop for PlaceHold {
    fn drop(&mut self) {
        let has_place = match &mut self.state {
            HoldState::Free => false,
            HoldState::Goes => true,
            HoldState::Waits(id, end) => {
                leave(&self.node, &self.service, *id);
                matches!(end.try_recv(), Ok(Ok(())))
            }
        };
        if has_place {
            self.node.room.with_queue(&self.service, |held| held.queue.finish_dispatch());
            // Another one may have the place if this call did not take it.
            super::place_freed(&self.node, &self.service);
        }
    }
}

/// Takes a call out of the queue if it still waits there.
fn leave(node: &EntryNode, service: &Name, id: QueuedCallId) {
    node.room.with_queue(service, |held| {
        held.queue.remove(id);
        if held.ends.remove(&id).is_some() {
            node.room.waiting.fetch_sub(1, Ordering::Relaxed);
        }
    });
}

/// Waits until a call may go to a server, or returns why it may not.
pub async fn wait_for_place(
    node: &Arc<EntryNode>,
    service: &Name,
    call: WaitingCall,
) -> Result<PlaceHold, CallRefusal> {
    let view = view(node, service);
    let (now, about) = (node.now(), call.clone());
    let mut ending = None;
    let (admission, length) = node.room.with_queue(service, |held| {
        let length = held.queue.len();
        let admission = held.queue.submit(now, call, &view);
        if let AdmissionDecision::Wait { id, .. } = admission {
            let (sender, receiver) = oneshot::channel();
            held.ends.insert(id, sender);
            node.room.waiting.fetch_add(1, Ordering::Relaxed);
            ending = Some((receiver, !std::mem::replace(&mut held.is_driven, true)));
        }
        (admission, length)
    });
    let hold = |state| PlaceHold { node: node.clone(), service: service.clone(), state };
    match (admission, ending) {
        (AdmissionDecision::Refuse(refusal), _) => {
            shares::record_overload(node, service);
            log_refusal(node, service, &about, refusal, &view.estimate);
            Err(refusal)
        }
        (AdmissionDecision::Wait { id, expected }, Some((receiver, is_first))) => {
            shares::record_overload(node, service);
            let hold = hold(HoldState::Waits(id, receiver));
            node.metrics.room.queued(service, length);
            log_wait(service, &about, length, expected, &view.estimate);
            if is_first {
                tokio::spawn(drive(node.clone(), service.clone()));
            } else {
                advance(node, service);
            }
            wait_in_queue(hold, &about).await
        }
        _ => Ok(hold(HoldState::Free)),
    }
}

async fn wait_in_queue(mut hold: PlaceHold, call: &WaitingCall) -> Result<PlaceHold, CallRefusal> {
    let began = hold.node.now();
    let end = match &mut hold.state {
        // The sender is dropped unsent by the hold alone, which lives here.
        HoldState::Waits(_, receiver) => receiver.await.unwrap_or(Ok(())),
        HoldState::Goes | HoldState::Free => Ok(()),
    };
    hold.node.metrics.room.waited(&hold.service, hold.node.now().since(began));
    hold.state = if end.is_ok() { HoldState::Goes } else { HoldState::Free };
    if let Err(refusal) = end {
        let estimate = view(&hold.node, &hold.service).estimate;
        log_refusal(&hold.node, &hold.service, call, refusal, &estimate);
        return Err(refusal);
    }
    Ok(hold)
}

/// Refuses a call for which no server with room will do. Returns when its caller is to come again.
pub fn refuse_unserved(node: &EntryNode, service: &Name, call: &WaitingCall) -> Duration {
    let retry_after = AdmissionSettings::default().default_retry_after;
    let refusal = CallRefusal { reason: RefusalReason::NoServer, retry_after };
    log_refusal(node, service, call, refusal, &view(node, service).estimate);
    retry_after
}

fn log_wait(service: &Name, call: &WaitingCall, length: usize, expected: Duration, estimate: &WaitEstimate) {
    let age_ms = age_ms(estimate);
    let fields: [(&str, &dyn Display); 7] = [
        ("request", &call.id),
        ("service", service),
        ("priority", &call.rank.priority),
        ("over_share", &call.rank.is_over_share),
        ("waiting", &length),
        ("expected_ms", &expected.as_millis()),
        ("age_ms", &age_ms),
    ];
    logs::write(event::CALL_WAITS, &fields);
}

fn log_refusal(node: &EntryNode, service: &Name, call: &WaitingCall, refusal: CallRefusal, estimate: &WaitEstimate) {
    let length = node.room.with_queue(service, |held| {
        held.counts.add(refusal.reason, call.customer.as_ref());
        held.queue.len()
    });
    node.metrics.room.refused(service, refusal.reason);
    let age_ms = age_ms(estimate);
    let fields: [(&str, &dyn Display); 9] = [
        ("request", &call.id),
        ("service", service),
        ("why", &refusal.reason.as_str()),
        ("priority", &call.rank.priority),
        ("over_share", &call.rank.is_over_share),
        ("waiting", &length),
        ("expected_ms", &estimate.wait.as_millis()),
        ("age_ms", &age_ms),
        ("return_ms", &refusal.retry_after.as_millis()),
    ];
    logs::write(event::CALL_REFUSED, &fields);
}

fn age_ms(estimate: &WaitEstimate) -> String {
    estimate.load_age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string())
}
