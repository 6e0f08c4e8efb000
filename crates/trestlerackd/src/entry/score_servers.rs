//! Whether a score call can find a server at all, by the allowed regions and the evacuated zones.

use super::evacuations::EvacuationControl;
use super::placement;
use std::collections::BTreeMap;
use std::sync::Mutex;
use trestlerack::Name;
use trestlerack::process::{LoadBalancer, ServerSet};
use trestlerack::request::ScoreCall;
use trestlerack::version::RoutingTable;

/// Finds out which score calls have no server, in one check of a customer's job.
pub struct ScoreServers<'a> {
    routing: &'a RoutingTable,
    balancer: &'a Mutex<LoadBalancer>,
    evacuations: &'a EvacuationControl,
    customer: Option<&'a Name>,
    /// Results of this check, since the items of a job have few scoring services.
    checked: BTreeMap<ServerSet, bool>,
}

impl<'a> ScoreServers<'a> {
    /// Starts a check.
    pub fn new(
        routing: &'a RoutingTable,
        balancer: &'a Mutex<LoadBalancer>,
        evacuations: &'a EvacuationControl,
        customer: Option<&'a Name>,
    ) -> Self {
        Self { routing, balancer, evacuations, customer, checked: BTreeMap::new() }
    }

    /// Returns whether no server that the call may use accepts work because of allowed regions or evacuations. Only a
    /// change of the configuration, the evacuations or the servers' entries ends that, so an attempt is useless.
    pub fn are_missing(&mut self, call: &ScoreCall) -> bool {
        if !self.routing.has_restricted_placements() && !self.evacuations.has_any() {
            return false;
        }
        let Some(route) = self.routing.select(&call.host, &call.path) else { return false };
        let Some(service) = route.service_for(&call.id) else { return false };
        let placement = placement::decide(Some(self.routing), route, self.customer);
        let server_set = ServerSet::new(service.clone(), placement.placement());
        if let Some(are_missing) = self.checked.get(&server_set) {
            return *are_missing;
        }
        let are_missing = self.are_missing_in(&server_set);
        self.checked.insert(server_set, are_missing);
        are_missing
    }

    fn are_missing_in(&self, server_set: &ServerSet) -> bool {
        if server_set.is_restricted() {
            return !self.balancer.lock().unwrap().has_accepting_server(server_set);
        }
        self.evacuations.is_service_evacuated(self.balancer, &server_set.service, None)
    }
}
