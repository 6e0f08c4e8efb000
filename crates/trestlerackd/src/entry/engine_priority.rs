//! The rank that each request of this node states at its server.

use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::{front::ClientRequest, plain};
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::{CallHistory, ServicePriorities, call_priority, engine_priority};
use trestlerack::request::{JobTracker, RunKind};
use trestlerack::version::{Customer, RequestRoute, RoutingTable};

/// Returns the rank of a client's request that has `left` of its time and goes on after the event
/// `resume_after`.
pub fn of_request(
    node: &EntryNode,
    route: &RequestRoute,
    service: &str,
    request: &ClientRequest,
    left: Duration,
    resume_after: Option<u64>,
) -> Option<u8> {
    let routing = node.routing()?;
    let allowed = plain::time_limit(route, request.head.time_left);
    let expected = request.head.tokens.map_or(0, |tokens| tokens.expected_output());
    let history = CallHistory {
        // An event has a token at least, so no less is made than this says.
        generated_fraction: resume_after.filter(|_| expected > 0).map_or(0.0, |events| events as f64 / expected as f64),
        waited: allowed.saturating_sub(left),
        time_limit: Some(allowed),
        ..CallHistory::default()
    };
    let priority = call_priority(request.caller.customer(), route);
    engine_priority(ServicePriorities::of(&routing, service), priority, &history)
}

/// Returns the rank of a run of an item. A second run only saves work of a later job, so it ranks
/// last.
pub fn of_item(
    node: &EntryNode,
    driver: &JobDriver,
    ledger: &JobTracker,
    service: &str,
    index: usize,
    lane: RunKind,
) -> Option<u8> {
    let routing = node.routing()?;
    let ranks = ServicePriorities::of(&routing, service);
    let route = routing.select(&driver.spec.host, &driver.spec.path)?;
    let priority = match lane {
        RunKind::Primary => call_priority(customer(&routing, driver.customer.as_ref()), route),
        RunKind::Speculative => return engine_priority(ranks, ranks?.least_urgent, &CallHistory::default()),
    };
    let limit_ms = if route.give_up_ms > 0 { route.give_up_ms } else { route.due_ms };
    let history = CallHistory {
        generated_fraction: ledger.generated_fraction(index),
        was_preempted: ledger.was_preempted(index),
        waited: Duration::from_millis(node.store.clock_ms().saturating_sub(driver.accepted_ms)),
        time_limit: (limit_ms > 0).then(|| Duration::from_millis(limit_ms)),
    };
    engine_priority(ranks, priority, &history)
}

/// Returns the rank of a score call for a customer's job.
pub fn of_score(
    routing: &RoutingTable,
    route: &RequestRoute,
    service: &str,
    customer_name: Option<&Name>,
) -> Option<u8> {
    let priority = call_priority(customer(routing, customer_name), route);
    engine_priority(ServicePriorities::of(routing, service), priority, &CallHistory::default())
}

fn customer<'a>(routing: &'a RoutingTable, name: Option<&Name>) -> Option<&'a Customer> {
    routing.customers.as_ref()?.get(name?)
}
