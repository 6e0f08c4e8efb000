//! Evacuated zones: which ones there are, and what follows from a change.
//!
//! The decisions are in the library (`process/evacuations`); see
//! [docs/design/evacuated-zones.md](../../../../../docs/design/evacuated-zones.md).

mod metrics;
mod observation;
mod status;

pub use metrics::{EvacuationMetrics, zone_lines};
pub use observation::{ZoneUse, observe};
pub use status::{ZoneJson, zone_rows};

use crate::process::logs;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trestlerack::process::{
    EvacuatedZones, EvacuationChange, EvacuationList, EvacuationRefusals, LoadBalancer, ServerEntry, ServerRegistry,
};
use trestlerack::{AllowedZones, Name, Timestamp, event};

/// Time after which the caller of a service without a server outside of evacuated zones may retry. Evacuations last
/// for minutes, so an earlier retry would only add load.
pub const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The evacuated zones that this node knows of.
#[derive(Default)]
pub struct EvacuationControl {
    zones: Mutex<EvacuatedZones>,
    /// Whether any zone is evacuated, so that requests take no lock while none is.
    has_any: AtomicBool,
    refusals: Mutex<EvacuationRefusals>,
}

impl EvacuationControl {
    /// Applies a row that requests an evacuation (`is_active`) or was removed. Returns the changes that took effect.
    pub fn apply_row(
        &self,
        balancer: &Mutex<LoadBalancer>,
        zone: &Name,
        version: u64,
        is_active: bool,
    ) -> Vec<EvacuationChange> {
        self.change(balancer, |zones| zones.apply_row(zone, version, is_active).into_iter().collect())
    }

    /// Replaces the evacuated zones by a complete list. Returns the changes that took effect.
    pub fn replace(&self, balancer: &Mutex<LoadBalancer>, list: &EvacuationList) -> Vec<EvacuationChange> {
        self.change(balancer, |zones| zones.replace(list))
    }

    /// Changes the set and passes it on to the load balancer. Both happen under one lock, so that the load balancer
    /// never keeps an older set than this.
    fn change(
        &self,
        balancer: &Mutex<LoadBalancer>,
        apply: impl FnOnce(&mut EvacuatedZones) -> Vec<EvacuationChange>,
    ) -> Vec<EvacuationChange> {
        let mut zones = self.zones.lock().unwrap();
        let changes = apply(&mut zones);
        if !changes.is_empty() {
            let evacuated = zones.zones();
            self.has_any.store(!evacuated.is_empty(), Ordering::SeqCst);
            balancer.lock().unwrap().set_evacuated_zones(evacuated);
        }
        changes
    }

    /// Returns whether the evacuated zones are known, which a node needs before it serves requests.
    pub fn is_known(&self) -> bool {
        self.zones.lock().unwrap().is_known()
    }

    /// Returns whether any zone is evacuated.
    pub fn has_any(&self) -> bool {
        self.has_any.load(Ordering::SeqCst)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> BTreeSet<Name> {
        if self.has_any() { self.zones.lock().unwrap().zones() } else { BTreeSet::new() }
    }

    /// Returns the evacuations as a list that is complete as of a store version, for nodes that poll this one.
    pub fn list(&self, as_of: u64) -> EvacuationList {
        self.zones.lock().unwrap().list(as_of)
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.has_any() && self.zones.lock().unwrap().contains(zone)
    }

    /// Returns whether a server lies in an evacuated zone by its present entry in service discovery, or by the known
    /// one if it is no longer registered.
    pub fn contains_server(&self, registry: &Mutex<ServerRegistry>, server: &ServerEntry) -> bool {
        if !self.has_any() {
            return false;
        }
        let present = registry.lock().unwrap().get(&server.instance).map(|entry| entry.zone.clone());
        self.contains(present.as_ref().unwrap_or(&server.zone))
    }

    /// Returns whether evacuations leave a service without a server in the allowed zones.
    pub fn is_service_evacuated(
        &self,
        balancer: &Mutex<LoadBalancer>,
        service: &str,
        allowed_zones: Option<&AllowedZones>,
    ) -> bool {
        self.has_any() && balancer.lock().unwrap().is_service_evacuated(service, allowed_zones)
    }

    /// Counts a request that is refused because of evacuations, and logs that at a bounded rate.
    pub fn record_refusal(&self, metrics: &EvacuationMetrics, now: Timestamp, service: &Name) {
        metrics.record_refusal(service);
        if let Some(refused) = self.refusals.lock().unwrap().record(now, service) {
            log_evacuated_service(&self.zones(), service, refused);
        }
    }

    /// Logs changes that took effect on this node.
    pub fn log_changes(&self, changes: &[EvacuationChange]) {
        for change in changes {
            let event = if change.is_active { event::ZONE_EVACUATED } else { event::EVACUATION_ENDED };
            logs::write(event, &[("zone", &change.zone), ("row", &change.version)]);
        }
    }
}

/// Logs that a service has no server outside of the evacuated zones; `refused` requests were refused for that since
/// the last such line.
pub fn log_evacuated_service(zones: &BTreeSet<Name>, service: &Name, refused: u64) {
    let zones = zones.iter().map(|zone| &**zone).collect::<Vec<_>>().join(",");
    let fields: [(&str, &dyn Display); 3] = [("service", service), ("zones", &zones), ("refused", &refused)];
    logs::write(event::SERVICE_EVACUATED, &fields);
}
