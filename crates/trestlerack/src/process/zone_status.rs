//! What an availability zone contains, and what would remain without it; operators look at it before they evacuate
//! a zone.

use super::registry::ServerEntry;
use crate::Name;
use crate::version::{WeightVersion, ZoneMap};
use std::collections::{BTreeMap, BTreeSet};

/// State of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// Its servers get work.
    Open,
    /// The operator evacuates it.
    Evacuated,
    /// It has no server and no VM, so that an evacuation would have no effect.
    Empty,
}

impl ZoneState {
    /// Returns the text for status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Evacuated => "evacuated",
            Self::Empty => "empty",
        }
    }
}

/// Numbers of servers that accept work, and of their slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCapacity {
    /// Servers.
    pub servers: u32,
    /// Slots of these servers.
    pub slots: u32,
}

impl ServerCapacity {
    fn add(&mut self, entry: &ServerEntry) {
        self.servers += 1;
        self.slots += entry.slots;
    }
}

/// Engines that have loaded a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelEngines {
    /// Newest version of the model.
    pub version: WeightVersion,
    /// Engines of the zone with that version.
    pub newest: u32,
    /// Engines of the zone with any version.
    pub total: u32,
    /// Engines of the other open zones with the newest version.
    pub newest_elsewhere: u32,
    /// Engines of the other open zones with any version.
    pub total_elsewhere: u32,
}

/// What is known of the zones of a deployment.
#[derive(Clone, Debug, Default)]
pub struct ZoneFacts<'a> {
    /// Regions of the zones of the settings.
    pub regions: ZoneMap,
    /// Registered servers.
    pub entries: Vec<&'a ServerEntry>,
    /// Zones of the registered VMs.
    pub vm_zones: BTreeSet<Name>,
    /// Evacuated zones.
    pub evacuated_zones: BTreeSet<Name>,
    /// Newest published version of each model.
    pub newest_versions: BTreeMap<Name, WeightVersion>,
}

/// Status of one availability zone. Draining servers are not counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneStatus {
    /// Availability zone.
    pub zone: Name,
    /// Region of the zone.
    pub region: Name,
    /// State of the zone.
    pub state: ZoneState,
    /// Servers of the zone.
    pub capacity: ServerCapacity,
    /// Servers of the other open zones, for each service with a server in any zone.
    pub remaining: BTreeMap<Name, ServerCapacity>,
    /// Engines by model.
    pub engines: BTreeMap<Name, ModelEngines>,
}

impl ZoneFacts<'_> {
    /// Returns the status of each zone in name order: those of the settings, of servers and VMs, and evacuated ones.
    pub fn statuses(&self) -> Vec<ZoneStatus> {
        let listed = self.regions.zones().chain(&self.vm_zones).chain(&self.evacuated_zones);
        let zones: BTreeSet<&Name> = listed.chain(self.entries.iter().map(|entry| &entry.zone)).collect();
        zones.into_iter().map(|zone| self.status(zone)).collect()
    }

    /// Returns whether a zone has a server or a VM.
    pub fn has_members(&self, zone: &str) -> bool {
        self.vm_zones.contains(zone) || self.entries.iter().any(|entry| &*entry.zone == zone)
    }

    fn status(&self, zone: &Name) -> ZoneStatus {
        let state = match (self.has_members(zone), self.evacuated_zones.contains(zone)) {
            (false, _) => ZoneState::Empty,
            (true, true) => ZoneState::Evacuated,
            (true, false) => ZoneState::Open,
        };
        let mut status = ZoneStatus {
            zone: zone.clone(),
            region: self.regions.region(zone).into(),
            state,
            capacity: ServerCapacity::default(),
            remaining: BTreeMap::new(),
            engines: BTreeMap::new(),
        };
        for entry in self.entries.iter().filter(|entry| !entry.is_draining) {
            let remaining = status.remaining.entry(entry.service.clone()).or_default();
            let is_here = entry.zone == *zone;
            if is_here {
                status.capacity.add(entry);
            } else if !self.evacuated_zones.contains(&entry.zone) {
                remaining.add(entry);
            } else {
                continue;
            }
            for (model, version) in &entry.models {
                let engines = status.engines.entry(model.clone()).or_default();
                engines.version = self.newest_version(model);
                let is_newest = u32::from(*version >= engines.version);
                let (newest, total) = match is_here {
                    true => (&mut engines.newest, &mut engines.total),
                    false => (&mut engines.newest_elsewhere, &mut engines.total_elsewhere),
                };
                *newest += is_newest;
                *total += 1;
            }
        }
        status
    }

    /// Returns the newest version of a model that was published or that an engine has.
    fn newest_version(&self, model: &Name) -> WeightVersion {
        let loaded = self.entries.iter().flat_map(|entry| &entry.models).filter(|(other, _)| other == model);
        let loaded = loaded.map(|(_, version)| *version).max().unwrap_or(0);
        self.newest_versions.get(model).copied().unwrap_or(0).max(loaded)
    }
}
