//! Acquires slots at servers for calls to a service.

use super::MAX_RECHECK_DELAY;
use super::queue_wait::{refuse_without_server, wait_for_slot};
use crate::entry::in_flight::InFlightGuard;
use crate::entry::node::EntryNode;
use crate::entry::shares;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AdmissionSettings, AttemptReason, CallKind, CallRank, ServerSet, SlotNeed, WaitingCall};
use trestlerack::version::{Customer, RequestRoute};
use trestlerack::{Name, Timestamp, event};

/// A call to a service that needs a slot at one of its servers.
pub struct ServiceCall<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Service that is called, and the zones of the servers that may serve the call.
    pub server_set: ServerSet,
    /// Route of the request.
    pub route: &'a RequestRoute,
    /// Customer on whose behalf the call is made.
    pub customer: Option<&'a Customer>,
    /// Kind of the caller.
    pub kind: CallKind,
    /// When the call arrived at this node.
    pub arrived: Timestamp,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

impl ServiceCall<'_> {
    fn customer_name(&self) -> Option<&Name> {
        self.customer.map(|customer| &customer.name)
    }

    fn waiting_call(&self, node: &EntryNode) -> WaitingCall {
        let is_over_share = shares::is_over_share(node, &self.server_set.service, self.customer_name());
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

/// Acquires a slot at the server that `pick` chooses, at once or after a wait in the queue. If there is none,
/// returns the delay after which the caller is to retry, or `None` if that is not known.
pub async fn acquire_slot(
    node: &Arc<EntryNode>,
    call: &ServiceCall<'_>,
    pick: impl Fn(SlotNeed) -> Option<InFlightGuard>,
) -> Result<InFlightGuard, Option<Duration>> {
    let waiting_call = call.waiting_call(node);
    // A slot is tried even if it only appears to be free: a full server replies sooner than a wait in the
    // queue would end, and another server may have a slot.
    if !node.admission.has_waiting_calls(&call.server_set)
        && let Some(guard) = pick(SlotNeed::One)
    {
        let now = node.now();
        node.admission
            .with_queue(&call.server_set, |service_queue| service_queue.queue.record_bypass(now, &waiting_call));
        return Ok(guard);
    }
    if call.kind == CallKind::Score {
        // A score call is retried soon, and in the queue it would delay calls of clients.
        return Err(None);
    }
    let longest_wait = waiting_call.max_wait(&AdmissionSettings::default());
    let queue_guard = wait_for_slot(node, &call.server_set, waiting_call.clone()).await;
    let queue_guard = queue_guard.map_err(|refusal| Some(refusal.retry_after))?;
    let pick = || pick(SlotNeed::One).or_else(|| pick(SlotNeed::Any));
    let guard = pick();
    // Dropped only now that the call counts as in flight at the server, so that the next call does not take the
    // same slot.
    drop(queue_guard);
    match guard {
        Some(guard) => Ok(guard),
        None => match retry_pick(node, call.arrived + longest_wait, pick).await {
            Some(guard) => Ok(guard),
            None => Err(Some(refuse_without_server(node, &call.server_set, &waiting_call))),
        },
    }
}

/// Repeats `pick` until the time `until`. It is used if no server with a free slot is suitable for the call,
/// since each was tried already, or is loading the weights that the call needs.
async fn retry_pick(
    node: &EntryNode,
    until: Timestamp,
    pick: impl Fn() -> Option<InFlightGuard>,
) -> Option<InFlightGuard> {
    while node.now() < until {
        clock::sleep(MAX_RECHECK_DELAY).await;
        if let Some(guard) = pick() {
            return Some(guard);
        }
    }
    None
}

/// Records a call, which adds a fraction of a second attempt to the budget.
pub fn record_call(node: &EntryNode, call: &ServiceCall<'_>) {
    node.admission.second_attempts.lock().unwrap().record_call(call.customer_name(), &call.route.name);
    node.metrics.admission.record_call(&call.server_set.service);
}

/// Records that a call is sent to a server, if its service is subject to admission control.
pub fn record_attempt(node: &EntryNode, service: &Name) {
    let is_counted = node.admission.queues().keys().any(|server_set| server_set.service == *service);
    if is_counted {
        node.metrics.admission.record_attempt(service);
    }
}

/// Returns whether a call may be sent to another server, and spends the budget of second attempts for it.
pub fn try_spend_attempt(node: &EntryNode, call: &ServiceCall<'_>, reason: AttemptReason) -> bool {
    let is_overloaded = node.admission.is_overloaded(node.now(), &call.server_set);
    let mut second_attempts = node.admission.second_attempts.lock().unwrap();
    let is_allowed = second_attempts.try_spend(call.customer_name(), &call.route.name, reason, is_overloaded);
    drop(second_attempts);
    if !is_allowed {
        node.metrics.admission.record_retry_refused(&call.server_set.service);
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("request", &call.id),
            ("service", &call.server_set.service),
            ("short", &is_overloaded),
            ("reason", &reason.as_str()),
        ];
        logs::write(event::RETRY_REFUSED, &fields);
    }
    is_allowed
}
