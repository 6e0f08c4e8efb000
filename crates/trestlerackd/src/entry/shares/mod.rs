//! Shares of customers, as this node applies them.
//!
//! Calls are counted and judged here ([`ask`]); [`super::news`] tells the node that adds up. Nothing
//! is counted where the settings do not ask for it or the configuration names no customers. See
//! [docs/design/room.md](../../../../../docs/design/room.md).

mod desk;

pub use desk::ShareDesk;

use super::client_requests::ClientRequest;
use super::node::EntryNode;
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{CountedCall, ShareDecision};
use trestlerack::version::RequestRoute;
use trestlerack::{Name, Timestamp, event};

/// A call of a customer that was counted as asked for; [`CallUse::served`] counts it as given.
pub struct CallUse {
    node: Arc<EntryNode>,
    /// The call; `None` where nothing is counted.
    call: Option<CountedCall>,
    began: Timestamp,
}

impl CallUse {
    fn new(node: &Arc<EntryNode>, call: Option<CountedCall>) -> Self {
        Self { node: node.clone(), call, began: node.now() }
    }

    /// Counts the call as served, now that a server has answered it whole.
    pub fn served(self) {
        let took = self.node.now().since(self.began);
        self.give(Some(took));
    }

    /// Counts the call as served whose answer has only begun.
    pub fn begun(self) {
        self.give(None);
    }

    fn give(self, took: Option<Duration>) {
        if let Some(call) = &self.call {
            self.node.shares.give(self.node.now(), call, took);
        }
    }
}

/// Counts a client's request, or refuses it because its customer is over its share: it then says when it
/// may return.
pub fn ask(node: &Arc<EntryNode>, route: &RequestRoute, request: &ClientRequest) -> Result<CallUse, Duration> {
    let id = request.head.request_id.as_ref();
    let Some(service) = route.service_for(id.map_or("", |id| id)).filter(|_| is_active(node)) else {
        return Ok(CallUse::new(node, None));
    };
    let customer = request.caller.customer();
    let name = customer.map_or_else(|| "".into(), |customer| customer.name.clone());
    let weight = customer.map_or(1, |customer| customer.weight);
    match node.shares.ask(node.now(), service, &name, weight) {
        ShareDecision::Admitted(call) => Ok(CallUse::new(node, Some(call))),
        ShareDecision::OverShare(returns) => {
            let request_id = id.map_or("", |id| id);
            let fields: [(&str, &dyn std::fmt::Display); 4] = [
                ("request", &request_id),
                ("customer", &name),
                ("service", service),
                ("return_ms", &returns.as_millis()),
            ];
            logs::write(event::SHARE_REFUSED, &fields);
            node.metrics.over_share(service);
            Err(returns)
        }
    }
}

/// Counts a call of a job, which was accepted and is not refused any more.
pub fn count(node: &Arc<EntryNode>, service: &Name, customer: Option<&Name>) -> CallUse {
    let routing = node.routing();
    let directory = routing.as_ref().and_then(|routing| routing.customers.as_ref());
    let Some(directory) = directory.filter(|_| is_active(node)) else {
        return CallUse::new(node, None);
    };
    let weight = customer.and_then(|name| directory.get(name)).map_or(1, |customer| customer.weight);
    let customer = customer.cloned().unwrap_or_else(|| "".into());
    let call = node.shares.count(node.now(), service, &customer, weight);
    CallUse::new(node, Some(call))
}

/// Returns whether a customer has more than its share of a service.
pub fn is_over_share(node: &EntryNode, service: &Name, customer: Option<&Name>) -> bool {
    customer.is_some_and(|customer| node.shares.is_over_share(node.now(), service, customer))
}

/// Records that a service has no room for a call: it was refused, or has to wait.
pub fn note_short(node: &EntryNode, service: &Name) {
    if is_active(node) {
        node.shares.note_short(node.now(), service);
    }
}

/// Returns whether shares are applied: the settings ask for them and the configuration names customers.
fn is_active(node: &EntryNode) -> bool {
    node.settings.customer_shares && node.routing().is_some_and(|routing| routing.customers.is_some())
}
