//! Fair shares of customers, as this node applies them.
//!
//! Calls are counted and admitted here ([`admit`]); [`super::load_gossip`] reports usage to the aggregator node.
//! Nothing is counted unless the settings enable shares and the configuration has customers. See
//! [docs/design/room.md](../../../../../docs/design/room.md).

mod control;

pub use control::ShareControl;

use super::front::ClientRequest;
use super::node::EntryNode;
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{CountedCall, ShareDecision};
use trestlerack::version::RequestRoute;
use trestlerack::{Name, Timestamp, event};

/// A call that was counted as requested by its customer; [`CallUsage::record_served`] counts it as served.
pub struct CallUsage {
    node: Arc<EntryNode>,
    /// The counted call; `None` if shares are not applied.
    call: Option<CountedCall>,
    started: Timestamp,
}

impl CallUsage {
    fn new(node: &Arc<EntryNode>, call: Option<CountedCall>) -> Self {
        Self { node: node.clone(), call, started: node.now() }
    }

    /// Counts the call as served after a complete response, with its duration.
    pub fn record_served(self) {
        let took = self.node.now().since(self.started);
        self.record(Some(took));
    }

    /// Counts the call as served when its response has started; its duration is not known.
    pub fn record_started(self) {
        self.record(None);
    }

    fn record(self, took: Option<Duration>) {
        if let Some(call) = &self.call {
            self.node.shares.record_served(self.node.now(), call, took);
        }
    }
}

/// Counts a client's request. If its customer is over its share, refuses it with the time after which the client
/// may retry.
pub fn admit(node: &Arc<EntryNode>, route: &RequestRoute, request: &ClientRequest) -> Result<CallUsage, Duration> {
    let id = request.head.request_id.as_ref();
    let Some(service) = route.service_for(id.map_or("", |id| id)).filter(|_| is_active(node)) else {
        return Ok(CallUsage::new(node, None));
    };
    let customer = request.caller.customer();
    let name = customer.map_or_else(|| "".into(), |customer| customer.name.clone());
    let weight = customer.map_or(1, |customer| customer.weight);
    match node.shares.admit(node.now(), service, &name, weight) {
        ShareDecision::Admitted(call) => Ok(CallUsage::new(node, Some(call))),
        ShareDecision::OverShare(retry_after) => {
            let request_id = id.map_or("", |id| id);
            let fields: [(&str, &dyn std::fmt::Display); 4] = [
                ("request", &request_id),
                ("customer", &name),
                ("service", service),
                ("return_ms", &retry_after.as_millis()),
            ];
            logs::write(event::SHARE_REFUSED, &fields);
            node.metrics.record_over_share(service);
            Err(retry_after)
        }
    }
}

/// Counts a call of a job that was accepted before, so it is not refused.
pub fn count_call(node: &Arc<EntryNode>, service: &Name, customer: Option<&Name>) -> CallUsage {
    let routing = node.routing();
    let directory = routing.as_ref().and_then(|routing| routing.customers.as_ref());
    let Some(directory) = directory.filter(|_| is_active(node)) else {
        return CallUsage::new(node, None);
    };
    let weight = customer.and_then(|name| directory.get(name)).map_or(1, |customer| customer.weight);
    let customer = customer.cloned().unwrap_or_else(|| "".into());
    let call = node.shares.count(node.now(), service, &customer, weight);
    CallUsage::new(node, Some(call))
}

/// Returns whether a customer is over its share of a service.
pub fn is_over_share(node: &EntryNode, service: &Name, customer: Option<&Name>) -> bool {
    customer.is_some_and(|customer| node.shares.is_over_share(node.now(), service, customer))
}

/// Records that a service has no free slot for a call, which was refused or has to wait.
pub fn record_overload(node: &EntryNode, service: &Name) {
    if is_active(node) {
        node.shares.record_overload(node.now(), service);
    }
}

/// Returns whether shares are applied: the settings enable them and the configuration has customers.
fn is_active(node: &EntryNode) -> bool {
    node.settings.customer_shares && node.routing().is_some_and(|routing| routing.customers.is_some())
}
