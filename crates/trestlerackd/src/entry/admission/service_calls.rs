//! Gets calls a place at a server of their service.

use super::LOOK_INTERVAL;
use super::queue_wait::{refuse_unserved, wait_for_place};
use crate::entry::in_flight::InFlightGuard;
use crate::entry::node::EntryNode;
use crate::entry::shares;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AdmissionSettings, AttemptReason, CallKind, CallRank, SlotNeed, WaitingCall};
use trestlerack::version::{Customer, RequestRoute};
use trestlerack::{Name, Timestamp, event};

/// A call for a place.
pub struct RoomCall<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Service that is to serve it.
    pub service: &'a Name,
    /// Its route.
    pub route: &'a RequestRoute,
    /// Customer that it is served for.
    pub customer: Option<&'a Customer>,
    /// Who makes it.
    pub kind: CallKind,
    /// When it came to this node.
    pub arrived: Timestamp,
    /// When its caller leaves.
    pub deadline: Timestamp,
}

impl RoomCall<'_> {
    fn customer_name(&self) -> Option<&Name> {
        self.customer.map(|customer| &customer.name)
    }

    fn waiting_call(&self, node: &EntryNode) -> WaitingCall {
        let is_over_share = shares::is_over_share(node, self.service, self.customer_name());
        let target = Duration::from_millis(self.route.target_latency_ms);
        WaitingCall {
            id: self.id.into(),
            customer: self.customer_name().cloned(),
            kind: self.kind,
            rank: CallRank::new(self.customer, self.route, is_over_share, self.deadline),
            arrived: self.arrived,
            target_latency: (!target.is_zero()).then_some(target),
        }
    }
}

/// Gets a call a place at the server that `pick` chooses, at once or after a wait in the queue. Returns
/// when the caller is to return if there is none; `None` where that is not known.
pub async fn enter(
    node: &Arc<EntryNode>,
    call: &RoomCall<'_>,
    pick: impl Fn(SlotNeed) -> Option<InFlightGuard>,
) -> Result<InFlightGuard, Option<Duration>> {
    let waiting_call = call.waiting_call(node);
    // A place that only looks free is tried all the same: a server that is full says so sooner than a wait
    // would tell, and another one may have a place.
    if !node.room.is_waited_for(call.service)
        && let Some(guard) = pick(SlotNeed::One)
    {
        let now = node.now();
        node.room.with_queue(call.service, |held| held.queue.record_bypass(now, &waiting_call));
        return Ok(guard);
    }
    if call.kind == CallKind::Score {
        // A score call is made again soon, and in the queue it would hold up clients.
        return Err(None);
    }
    let longest_wait = waiting_call.max_wait(&AdmissionSettings::default());
    let hold = wait_for_place(node, call.service, waiting_call.clone()).await;
    let hold = hold.map_err(|refusal| Some(refusal.retry_after))?;
    let pick = || pick(SlotNeed::One).or_else(|| pick(SlotNeed::Any));
    let guard = pick();
    // Counted at the server by now, so that the next one does not take the same place.
    drop(hold);
    match guard {
        Some(guard) => Ok(guard),
        None => match search(node, call.arrived + longest_wait, pick).await {
            Some(guard) => Ok(guard),
            None => Err(Some(refuse_unserved(node, call.service, &waiting_call))),
        },
    }
}

/// Looks for a server until a moment, where those that have room will not do for the call: they were
/// tried already, or load the weights that it asks for.
async fn search(node: &EntryNode, until: Timestamp, pick: impl Fn() -> Option<InFlightGuard>) -> Option<InFlightGuard> {
    while node.now() < until {
        clock::sleep(LOOK_INTERVAL).await;
        if let Some(guard) = pick() {
            return Some(guard);
        }
    }
    None
}

/// Records that a call came, which pays for a part of a second attempt.
pub fn note_call(node: &EntryNode, call: &RoomCall<'_>) {
    node.room.second_attempts.lock().unwrap().record_call(call.customer_name(), &call.route.name);
    node.metrics.room.call(call.service);
}

/// Records that a call is sent to a server, where calls of its service are admitted by room.
pub fn note_attempt(node: &EntryNode, service: &Name) {
    let is_counted = node.room.queues().contains_key(service);
    if is_counted {
        node.metrics.room.attempt(service);
    }
}

/// Returns whether a call may be sent to one more server.
pub fn may_try_again(node: &EntryNode, call: &RoomCall<'_>, reason: AttemptReason) -> bool {
    let is_short = node.room.is_short(node.now(), call.service);
    let mut second_attempts = node.room.second_attempts.lock().unwrap();
    let is_paid = second_attempts.try_spend(call.customer_name(), &call.route.name, reason, is_short);
    drop(second_attempts);
    if !is_paid {
        node.metrics.room.retry_refused(call.service);
        let fields: [(&str, &dyn std::fmt::Display); 4] =
            [("request", &call.id), ("service", call.service), ("short", &is_short), ("reason", &reason.as_str())];
        logs::write(event::RETRY_REFUSED, &fields);
    }
    is_paid
}
