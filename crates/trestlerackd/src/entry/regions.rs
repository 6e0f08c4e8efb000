//! The regions of the deployment as this node sees them, for decisions that prefer the own region.
//!
//! In a deployment that does not span regions, no node is near or far and no traffic is counted. See
//! [docs/design/regions.md](../../../../docs/design/regions.md).

use super::region_traffic::{TrafficCounter, TrafficMetrics};
use crate::process::{clock, logs};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trestlerack::process::LoadBalancer;
use trestlerack::version::{OwnRegion, ZoneMap, ZoneRelation};
use trestlerack::{Name, event};

/// Interval at which the zones that do not respond are compared with those of the last log line.
const LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Names of the metrics of requests to servers in other regions.
const REMOTE_METRICS: TrafficMetrics = TrafficMetrics {
    requests: "trestlerack_entry_remote_requests",
    sent_bytes: "trestlerack_entry_remote_sent_bytes",
    received_bytes: "trestlerack_entry_remote_received_bytes",
};

/// Number of zones of other regions that do not respond.
const UNREACHABLE_METRIC: &str = "trestlerack_entry_remote_zones_unreachable";

/// The registered nodes with their zones.
type NodeZones = Vec<(Name, Name)>;

/// Regions of the availability zones, and the traffic that leaves the own one.
pub struct RegionView {
    /// Region of each zone.
    pub zones: ZoneMap,
    /// The region of this node; `None` if the deployment does not span regions.
    pub own: Option<OwnRegion>,
    traffic: Arc<TrafficCounter>,
}

impl RegionView {
    /// Creates the view of a node in a zone.
    pub fn new(zones: ZoneMap, zone: &Name) -> Self {
        let own = OwnRegion::new(&zones, zone);
        Self { zones, own, traffic: Arc::default() }
    }

    /// Returns where each registered node is, as seen from this one.
    pub fn node_relations(&self, nodes: impl FnOnce() -> NodeZones) -> BTreeMap<Name, ZoneRelation> {
        let Some(region) = &self.own else { return BTreeMap::new() };
        nodes().into_iter().map(|(name, zone)| (name, region.relation(&zone))).collect()
    }

    /// Returns the registered nodes in the region of a zone.
    pub fn nodes_near(&self, zone: &str, nodes: impl FnOnce() -> NodeZones) -> BTreeSet<Name> {
        if self.own.is_none() {
            return BTreeSet::new();
        }
        let near = nodes().into_iter().filter(|(_, other)| self.zones.is_same_region(zone, other));
        near.map(|(name, _)| name).collect()
    }

    /// Returns the counter of the traffic to a zone; `None` if it lies in the own region.
    pub fn traffic_to(&self, zone: &str) -> Option<&Arc<TrafficCounter>> {
        let is_remote = self.own.as_ref().is_some_and(|region| !region.contains(zone));
        is_remote.then_some(&self.traffic)
    }

    /// Counts a request to a server if its zone lies in another region. Returns the counter for its bytes.
    pub fn record_request(&self, zone: &str) -> Option<&Arc<TrafficCounter>> {
        self.traffic_to(zone).inspect(|traffic| traffic.record_request())
    }

    /// Adds the metrics of other regions to a metrics page.
    pub fn write_metrics(&self, balancer: &Mutex<LoadBalancer>, page: &mut String) {
        if self.own.is_none() {
            return;
        }
        self.traffic.write_metrics(&REMOTE_METRICS, "", page);
        let unreachable = balancer.lock().unwrap().unreachable_zones().len();
        page.push_str(&format!("{UNREACHABLE_METRIC} {unreachable}\n"));
    }
}

/// Logs when zones of other regions stop to respond and when they respond again, until the process ends.
/// `unreachable_zones` returns those that do not respond now.
pub async fn log_unreachable_zones(unreachable_zones: impl Fn() -> Vec<Name>) {
    let mut logged = BTreeSet::new();
    loop {
        clock::sleep(LOG_INTERVAL).await;
        let unreachable: BTreeSet<Name> = unreachable_zones().into_iter().collect();
        for zone in unreachable.difference(&logged) {
            logs::write(event::REMOTE_ZONE_LOST, &[("zone", zone)]);
        }
        for zone in logged.difference(&unreachable) {
            logs::write(event::REMOTE_ZONE_REGAINED, &[("zone", zone)]);
        }
        logged = unreachable;
    }
}
