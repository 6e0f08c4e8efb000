//! Availability zones that the operator evacuates: nothing new is sent to their engines and servers.
//!
//! See [docs/design/evacuated-zones.md](../../../../docs/design/evacuated-zones.md).

use super::load_balancer::LoadBalancer;
use super::registry::ServerEntry;
use super::server_state::ServerState;
use crate::{AllowedZones, Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum time between two log lines about a service whose requests are refused because of evacuations.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The evacuations in force, as known from a complete list of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Store version as of which the list is complete; 0 if it is not known to be complete.
    pub as_of: u64,
    /// Version of the row that requests the evacuation, by zone.
    pub zones: BTreeMap<Name, u64>,
}

/// An evacuation that took effect or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Availability zone.
    pub zone: Name,
    /// Whether the zone is evacuated from now on.
    pub is_active: bool,
    /// Store version from which the change is known.
    pub version: u64,
}

/// The newest known state of a zone's row.
#[derive(Clone, Copy, Debug)]
struct EvacuationRow {
    version: u64,
    is_active: bool,
}

/// The evacuated zones as one node knows them.
///
/// Rows and complete lists arrive from the store and from several followers, some of which lag. A row or a list
/// changes a zone only if it is newer than what is known of that zone.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    rows: BTreeMap<Name, EvacuationRow>,
    /// Store version of the newest complete list; `None` before the first one.
    listed_as_of: Option<u64>,
}

impl EvacuatedZones {
    /// Applies a row that was written (`is_active`) or removed at a store version. Returns the change if the set
    /// of evacuated zones differs now.
    pub fn apply_row(&mut self, zone: &Name, version: u64, is_active: bool) -> Option<EvacuationChange> {
        let is_stale = match self.rows.get(zone) {
            // A follower that finds a row missing relays its removal with the version of the row.
            Some(known) => version < known.version || (is_active && version == known.version),
            None => is_active && self.listed_as_of.is_some_and(|as_of| version <= as_of),
        };
        if is_stale {
            return None;
        }
        let previous = self.rows.insert(zone.clone(), EvacuationRow { version, is_active });
        let was_active = previous.is_some_and(|row| row.is_active);
        (was_active != is_active).then(|| EvacuationChange { zone: zone.clone(), is_active, version })
    }

    /// Replaces the set by a complete list. Evacuations that are missing there have ended, except for those whose
    /// row is newer than the list.
    pub fn replace(&mut self, list: &EvacuationList) -> Vec<EvacuationChange> {
        let added = list.zones.iter().filter_map(|(zone, version)| self.apply_row(zone, *version, true));
        let mut changes: Vec<EvacuationChange> = added.collect();
        for (zone, row) in &mut self.rows {
            if row.is_active && row.version <= list.as_of && !list.zones.contains_key(zone) {
                *row = EvacuationRow { version: list.as_of, is_active: false };
                changes.push(EvacuationChange { zone: zone.clone(), is_active: false, version: list.as_of });
            }
        }
        let as_of = self.listed_as_of.map_or(list.as_of, |known| known.max(list.as_of));
        self.listed_as_of = Some(as_of);
        // Older rows of zones that are not in the set are stale by the version of the list alone.
        self.rows.retain(|_, row| row.is_active || row.version > as_of);
        changes
    }

    /// Returns whether a complete list was applied, so that zones that are not in the set may be used.
    pub fn is_known(&self) -> bool {
        self.listed_as_of.is_some()
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.rows.get(zone).is_some_and(|row| row.is_active)
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> BTreeSet<Name> {
        self.list(0).zones.into_keys().collect()
    }

    /// Returns the evacuations in force as a list that is complete as of a store version.
    pub fn list(&self, as_of: u64) -> EvacuationList {
        let active = self.rows.iter().filter(|(_, row)| row.is_active);
        EvacuationList { as_of, zones: active.map(|(zone, row)| (zone.clone(), row.version)).collect() }
    }
}

/// Returns the engines that may load weights: those that are neither draining nor in an evacuated zone. The weight
/// scheduler treats the others as gone, so that the remaining engines take over their models at once.
pub fn engines_to_load<'a>(
    entries: impl Iterator<Item = &'a ServerEntry>,
    evacuated_zones: &BTreeSet<Name>,
) -> Vec<&'a ServerEntry> {
    entries.filter(|entry| !entry.is_draining && !evacuated_zones.contains(&entry.zone)).collect()
}

/// Counts requests that are refused because of evacuations, and decides when to log them.
#[derive(Debug, Default)]
pub struct EvacuationRefusals {
    services: BTreeMap<Name, ServiceRefusals>,
}

#[derive(Debug, Default)]
struct ServiceRefusals {
    logged_at: Option<Timestamp>,
    /// Refusals since the last log line.
    unlogged: u64,
}

impl EvacuationRefusals {
    /// Counts a refused request. Returns the number of refusals to log if a log line is due.
    pub fn record(&mut self, now: Timestamp, service: &Name) -> Option<u64> {
        let refusals = self.services.entry(service.clone()).or_default();
        refusals.unlogged += 1;
        if refusals.logged_at.is_some_and(|at| now.since(at) < REFUSAL_LOG_INTERVAL) {
            return None;
        }
        refusals.logged_at = Some(now);
        Some(std::mem::take(&mut refusals.unlogged))
    }
}

impl LoadBalancer {
    /// Returns whether evacuations leave a service without a server in the allowed zones: at least one would accept
    /// work if its zone were not evacuated, and no other one does.
    pub fn is_service_evacuated(&self, service: &str, allowed_zones: Option<&AllowedZones>) -> bool {
        let zones = self.zone_filter(allowed_zones);
        let is_allowed = |server: &&ServerState| zones.allows(server.zone_id, &server.entry.zone);
        let mut servers = self.of_service(service).filter(is_allowed).filter(|server| !server.entry.is_draining);
        let mut has_evacuated = false;
        let has_other = servers.any(|server| {
            has_evacuated |= server.is_evacuated;
            !server.is_evacuated
        });
        has_evacuated && !has_other
    }

    /// Returns the number of requests of this node in progress at the servers of an availability zone.
    pub fn in_flight_in_zone(&self, zone: &str) -> u32 {
        self.servers.values().filter(|server| &*server.entry.zone == zone).map(|server| server.in_flight).sum()
    }
}
