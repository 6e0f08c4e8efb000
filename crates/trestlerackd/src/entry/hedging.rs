//! Hedged requests: decides from this node's measurements when a second server is asked while the first has
//! not responded. [`super::admission`] has the budget for them.

use super::node::EntryNode;
use crate::process::logs;
use std::time::Duration;
use trestlerack::process::ServerSet;
use trestlerack::version::RequestRoute;
use trestlerack::{Name, event};

/// Returns how long after the first server a second one may be asked; `None` if requests to the service are
/// not hedged.
pub fn hedge_delay(node: &EntryNode, route: &RequestRoute, service: &Name) -> Option<Duration> {
    let target = Duration::from_millis(route.target_latency_ms);
    node.balancer.lock().unwrap().hedge_delay(service, &route.name, target)
}

/// Returns whether a call to a server is a probe of a degraded server.
pub fn is_probe(node: &EntryNode, server: &str) -> bool {
    node.balancer.lock().unwrap().is_probe(node.now(), server)
}

/// Returns whether a set of servers has a free slot for a second attempt.
pub fn has_free_slot(node: &EntryNode, server_set: &ServerSet) -> bool {
    node.balancer.lock().unwrap().has_free_slot(node.now(), server_set)
}

/// Logs a hedged request: `server` was asked after `waited`.
pub fn log_hedge(request: &str, server: &Name, waited: Duration) {
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &request), ("server", server), ("waited_ms", &waited.as_millis())];
    logs::write(event::SECOND_ASKED, &fields);
}
