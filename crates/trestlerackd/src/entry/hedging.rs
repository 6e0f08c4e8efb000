//! When a second server may be asked beside the first, by what this node has learnt. The budget is that of
//! [`super::admission`].

use super::node::EntryNode;
use crate::process::logs;
use std::time::Duration;
use trestlerack::version::RequestRoute;
use trestlerack::{Name, event};

/// Returns how long after the first server a second one may be asked; `None` where the service calls for
/// none.
pub fn after(node: &EntryNode, route: &RequestRoute, service: &Name) -> Option<Duration> {
    let target = Duration::from_millis(route.target_latency_ms);
    node.balancer.lock().unwrap().hedge_delay(service, &route.name, target)
}

/// Returns whether a call to a server is a trial of one that was set aside.
pub fn is_trial(node: &EntryNode, server: &str) -> bool {
    node.balancer.lock().unwrap().is_probe(node.now(), server)
}

/// Returns whether a service has a free place for a second attempt.
pub fn has_place(node: &EntryNode, service: &str) -> bool {
    node.balancer.lock().unwrap().has_free_slot(node.now(), service)
}

/// Logs that a second server was asked.
pub fn log_asked(request: &str, server: &Name, waited: Duration) {
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &request), ("server", server), ("waited_ms", &waited.as_millis())];
    logs::write(event::SECOND_ASKED, &fields);
}
