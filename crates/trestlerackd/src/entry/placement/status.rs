//! Status page of placements: which servers the requests of each route may use, and why none is eligible.

use super::waiting_jobs::WaitingJobs;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::Mutex;
use trestlerack::process::{LoadBalancer, ServerSet, SetCounts};
use trestlerack::version::{Placement, PlacementRule, RoutingTable};
use trestlerack::{Name, Timestamp};

/// Row of the status page for one service of a route, and for one customer if it has regions of its own.
#[derive(Serialize)]
pub struct PlacementStatus {
    route: Name,
    /// Customer with regions of its own; `None` for all others.
    customer: Option<Name>,
    service: Name,
    /// Allowed regions, separated by commas; `None` for all.
    regions: Option<String>,
    /// Allowed zones, separated by commas; `None` for all.
    zones: Option<String>,
    /// Registered servers of the service.
    servers: usize,
    /// Servers in allowed zones.
    allowed: usize,
    /// Servers that requests may be sent to now.
    eligible: usize,
    /// Why there is none; `None` if there is one.
    why: Option<&'static str>,
    /// Jobs of the route and customer without a driver that no node takes over.
    waiting_jobs: usize,
}

/// Returns the rows of the status page.
pub fn status(
    routing: Option<&RoutingTable>,
    balancer: &Mutex<LoadBalancer>,
    waiting_jobs: &WaitingJobs,
    now: Timestamp,
) -> Vec<PlacementStatus> {
    let rules = routing.map(RoutingTable::placement_rules).unwrap_or_default();
    let balancer = balancer.lock().unwrap();
    let own_rows: BTreeSet<&Name> = rules.iter().filter_map(|rule| rule.customer.as_ref()).collect();
    let waiting_count = |rule: &PlacementRule| {
        waiting_jobs
            .count(&rule.route, |customer| customer.filter(|name| own_rows.contains(name)) == rule.customer.as_ref())
    };
    rules.iter().flat_map(|rule| rule_status(rule, &balancer, waiting_count(rule), now)).collect()
}

fn rule_status(
    rule: &PlacementRule,
    balancer: &LoadBalancer,
    waiting_jobs: usize,
    now: Timestamp,
) -> Vec<PlacementStatus> {
    let row = |service: &Name| {
        let counts = balancer.set_counts(now, &ServerSet::new(service.clone(), &rule.placement));
        let zones = rule.placement.allowed_zones().map(|zones| joined(zones.zones()));
        PlacementStatus {
            route: rule.route.clone(),
            customer: rule.customer.clone(),
            service: service.clone(),
            regions: rule.regions.as_ref().map(|regions| joined(regions.iter())),
            zones,
            servers: counts.registered,
            allowed: counts.allowed,
            eligible: counts.eligible,
            why: missing_reason(rule, &counts),
            waiting_jobs,
        }
    };
    rule.services.iter().map(row).collect()
}

fn joined<'a>(names: impl Iterator<Item = &'a Name>) -> String {
    names.map(|name| &**name).collect::<Vec<_>>().join(",")
}

fn missing_reason(rule: &PlacementRule, counts: &SetCounts) -> Option<&'static str> {
    if rule.placement != Placement::Nowhere {
        return counts.missing_reason();
    }
    let has_regions = rule.regions.as_ref().is_some_and(|regions| !regions.is_empty());
    Some(if has_regions { "no zone known" } else { "no region in common or list unreadable" })
}
