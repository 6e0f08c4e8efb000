//! The choice among servers of several regions.
//!
//! See [docs/design/regions.md](../../../../docs/design/regions.md#choice-of-a-server).

use super::load_balancer::{LoadBalancer, ServerNeed};
use super::server_state::ServerState;
use crate::Timestamp;
use crate::version::OwnRegion;
use std::time::Duration;

/// Cost of a server that gets calls only if no server of the own region has a free slot; more than any utilization.
const DEFERRED_COST: f64 = 1_000.0;

/// Costs of servers in other regions than the node's.
#[derive(Clone, Debug)]
pub struct RegionalCosts {
    /// Time that a short call to another region takes longer than one in the own region: two transits of 30 ms.
    pub transit: Duration,
    /// Assumed latency of a service without measurements, to which the transit is compared.
    pub default_latency: Duration,
    /// Ratio of expected latencies from which the own region counts as much slower than another one. It is the
    /// ratio from which a single response counts as slow, so differences between engines do not reach it.
    pub much_slower: f64,
    /// Cost of an engine in another region for a run, as a fraction of the median pace. The transit is small
    /// compared with a run, but each byte is charged for. An idle engine elsewhere is cheaper than one at home
    /// with more than 60 % of its slots in use.
    pub run_cost: f64,
    /// The same for a long run, on which its whole step waits. It is less than the 30 % by which engines of one
    /// service differ, so that a long run gets a fast engine elsewhere rather than the slowest one at home.
    pub long_run_cost: f64,
    /// Fraction of the slots from which an engine of the own region counts as nearly full. It then has the same
    /// cost as one elsewhere, so that the runs of a step, which is as slow as the slowest of them, do not share
    /// a few nearly full engines.
    pub nearly_full: f64,
}

impl Default for RegionalCosts {
    fn default() -> Self {
        Self {
            transit: Duration::from_millis(60),
            default_latency: Duration::from_millis(100),
            much_slower: 2.0,
            run_cost: 0.6,
            long_run_cost: 0.2,
            nearly_full: 0.8,
        }
    }
}

impl LoadBalancer {
    /// Sets the region of this node. Servers in other regions are used only if the own region has no server with a
    /// free slot or is much slower.
    pub fn set_own_region(&mut self, region: Option<OwnRegion>) {
        self.own_region = region;
        let own_region = self.own_region.as_ref();
        for server in self.servers.values_mut() {
            server.is_remote = own_region.is_some_and(|region| !region.contains(&server.entry.zone));
        }
    }

    pub(super) fn is_in_other_region(&self, zone: &str) -> bool {
        self.own_region.as_ref().is_some_and(|region| !region.contains(zone))
    }

    /// Returns the time to another region and back, in median latencies of a service.
    pub(super) fn transit_in_medians(&self, service: &str) -> f64 {
        if self.own_region.is_none() {
            return 0.0;
        }
        let costs = &self.settings.regions;
        let latency = self.service_latencies.median(service).unwrap_or(costs.default_latency);
        costs.transit.as_secs_f64() / latency.as_secs_f64().max(0.001)
    }

    /// Returns the latency of a response without the transit from another region, by which servers are compared.
    /// Otherwise nodes would report servers of other regions as slow to the nodes of those regions.
    pub(super) fn without_transit(&self, instance: &str, took: Duration) -> Duration {
        let is_remote = self.servers.get(instance).is_some_and(|server| server.is_remote);
        if is_remote { took.saturating_sub(self.settings.regions.transit) } else { took }
    }

    /// Returns the cost of a server for a call by its region, as a fraction of its slots. A server that is elsewhere
    /// or full costs more than any that is neither.
    pub(super) fn call_region_cost(&self, now: Timestamp, server: &ServerState, transit: f64) -> f64 {
        match (&self.own_region, server.is_remote) {
            (None, _) => 0.0,
            (Some(_), true) => DEFERRED_COST + transit,
            (Some(_), false) if self.has_free_slot_at(now, server) => 0.0,
            (Some(_), false) => DEFERRED_COST,
        }
    }

    /// Returns the cost of an engine for a run, as a fraction of the median pace, by its region.
    pub(super) fn run_region_cost(&self, server: &ServerState, utilization: f64, is_long: bool) -> f64 {
        let costs = &self.settings.regions;
        let is_preferred = !server.is_remote && utilization < costs.nearly_full;
        match (self.own_region.is_none() || is_preferred, is_long) {
            (true, _) => 0.0,
            (false, false) => costs.run_cost,
            (false, true) => costs.long_run_cost,
        }
    }

    /// Keeps only the candidates of the own region if one of them accepts a call in a free slot, and is not expected
    /// to be much slower than an idle server of median speed in another region.
    pub(super) fn prefer_own_region<'a>(
        &self,
        now: Timestamp,
        need: &ServerNeed<'_>,
        mut candidates: Vec<&'a ServerState>,
    ) -> Vec<&'a ServerState> {
        if self.own_region.is_none() {
            return candidates;
        }
        let remote_latency = 1.0 + self.transit_in_medians(need.service);
        let max_latency = remote_latency * self.settings.regions.much_slower;
        let mean_other_requests = self.mean_other_requests(now, need.service);
        let is_usable = |server: &&ServerState| {
            !server.is_remote
                && self.has_free_slot_at(now, server)
                && self.accepts_calls(now, server)
                && self.expected_latency(now, server, mean_other_requests) <= max_latency
        };
        if candidates.iter().any(is_usable) {
            candidates.retain(|server| !server.is_remote);
        }
        candidates
    }

    fn has_free_slot_at(&self, now: Timestamp, server: &ServerState) -> bool {
        server.requests(now, self.settings.max_load_age) < server.slots()
    }
}
