//! Keeps requests in the regions that their route and customer allow.
//!
//! The decision is made by [`RoutingTable::request_placement`]; see
//! [docs/design/allowed-regions.md](../../../../../docs/design/allowed-regions.md). A request carries it, so that it
//! can be repeated when the request is sent.

mod job_placement;
mod metrics;
mod status;
mod waiting_jobs;

pub use job_placement::{previous_zone, record_placement};
pub use metrics::PlacementMetrics;
pub use status::status;
pub use waiting_jobs::{TakeoverView, WaitingJobs, report_waiting_jobs};

use crate::process::logs;
use bytes::Bytes;
use http::Response;
use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;
use trestlerack::process::{self, LoadBalancer, ServerEntry, ServerSet};
use trestlerack::version::{FindingReason, Placement, RequestPlacement, RequestRoute, RoutingTable, ZoneMap};
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Time after which the caller of a request that may be served nowhere is told to retry. Only a new configuration can
/// change the result.
const UNPLACED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Reason that such a caller is told.
const UNPLACED_REASON: &str = "no known zone is in a region that both the route and the customer allow";

/// Returns where a request may be served. Without a configuration nothing is served.
pub fn decide(routing: Option<&RoutingTable>, route: &RequestRoute, customer: Option<&Name>) -> RequestPlacement {
    routing.map_or_else(RequestPlacement::nowhere, |routing| routing.request_placement(route, customer))
}

/// Returns the reply that refuses a request which may be served nowhere; `None` for any other request.
pub fn refuse_unplaced(
    placement: &RequestPlacement,
    request: Option<&Name>,
    metrics: &PlacementMetrics,
) -> Option<Response<Bytes>> {
    if *placement.placement() != Placement::Nowhere {
        return None;
    }
    metrics.record_unplaced(placement.route());
    let id = request.map_or("", |id| &**id);
    let fields: [(&str, &dyn Display); 3] = [("request", &id), ("route", placement.route()), ("why", &UNPLACED_REASON)];
    logs::write(event::REQUEST_UNPLACED, &fields);
    Some(platform::not_run_reply(request, UNPLACED_RETRY_AFTER).map(|_| Bytes::from_static(UNPLACED_REASON.as_bytes())))
}

/// Returns whether a restricted request has no server left that accepts work, so that it is refused without a search.
/// Logs and counts that.
pub fn lacks_servers(
    balancer: &Mutex<LoadBalancer>,
    server_set: &ServerSet,
    request: &str,
    metrics: &PlacementMetrics,
) -> bool {
    let lacks = server_set.is_restricted() && !balancer.lock().unwrap().has_accepting_server(server_set);
    if lacks {
        metrics.record_unserved(&server_set.service);
        let fields: [(&str, &dyn Display); 3] =
            [("request", &request), ("service", &server_set.service), ("zones", &zone_list(server_set))];
        logs::write(event::REGION_UNSERVED, &fields);
    }
    lacks
}

/// Returns the allowed zones of a set of servers, separated by commas; empty for all.
pub fn zone_list(server_set: &ServerSet) -> String {
    let zones: Vec<&str> =
        server_set.allowed_zones.iter().flat_map(|zones| zones.zones()).map(|zone| &**zone).collect();
    zones.join(",")
}

/// Checks again, when a request is sent, that the server's current entry in service discovery is in a zone that the
/// current configuration allows. Returns why not otherwise.
pub fn check_send(
    routing: Option<&RoutingTable>,
    balancer: &Mutex<LoadBalancer>,
    placement: &RequestPlacement,
    server: &ServerEntry,
) -> Result<(), &'static str> {
    let current = routing.map_or_else(|| placement.placement().clone(), |routing| routing.current_placement(placement));
    if current == Placement::Anywhere {
        return Ok(());
    }
    let balancer = balancer.lock().unwrap();
    process::check_send(&current, server, balancer.get(&server.instance).map(|state| &state.entry))
}

/// Logs an attempt that [`check_send`] prevented, and counts it.
pub fn log_prevented(request: &str, server: &ServerEntry, why: &'static str, metrics: &PlacementMetrics) {
    metrics.record_prevented(&server.service);
    let fields: [(&str, &dyn Display); 3] = [("request", &request), ("server", &server.instance), ("why", &why)];
    logs::write(event::SEND_PREVENTED, &fields);
}

/// Logs the lists of regions of a new configuration that have not the effect that they appear to have.
pub fn log_findings(routing: &RoutingTable, zones: &ZoneMap, row: &Name) {
    for finding in routing.region_findings(zones) {
        match &finding.reason {
            FindingReason::Unreadable => {
                logs::write(event::REGIONS_UNREADABLE, &[("row", row), ("field", &finding.field)]);
            }
            FindingReason::UnknownRegion(region) => {
                logs::write(event::REGION_UNKNOWN, &[("row", row), ("field", &finding.field), ("region", region)]);
            }
        }
    }
}
