//! The regions that availability zones lie in.

use crate::version::Zone;
use crate::{AllowedZones, Name};
use std::collections::BTreeMap;

/// The region of each availability zone of a deployment, from the settings.
///
/// A zone that the settings do not list counts as a region of its own, so that a deployment without regions
/// behaves as if each zone were one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneMap {
    regions: BTreeMap<Name, Name>,
}

impl ZoneMap {
    /// Builds the map from the zones of the settings.
    pub fn new(zones: &[Zone]) -> Self {
        Self { regions: zones.iter().map(|zone| (zone.name.clone(), zone.region.clone())).collect() }
    }

    /// Returns the region of a zone; the name of the zone itself if it is not listed.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, |region| region)
    }

    /// Returns whether two zones lie in the same region.
    pub fn is_same_region(&self, zone: &str, other: &str) -> bool {
        zone == other || self.region(zone) == self.region(other)
    }

    /// Returns whether the listed zones lie in more than one region.
    pub fn has_several_regions(&self) -> bool {
        let mut regions = self.regions.values();
        let first = regions.next();
        regions.any(|region| Some(region) != first)
    }

    /// Returns whether a zone is listed.
    pub fn contains(&self, zone: &str) -> bool {
        self.regions.contains_key(zone)
    }

    /// Returns whether a region has a listed zone.
    pub fn has_region(&self, region: &str) -> bool {
        self.regions.values().any(|known| &**known == region)
    }

    /// Returns the listed zones in name order.
    pub fn zones(&self) -> impl Iterator<Item = &Name> {
        self.regions.keys()
    }

    /// Returns a zone with all other listed zones of its region.
    pub fn zones_near(&self, zone: &str) -> AllowedZones {
        let is_near = |other: &&Name| self.is_same_region(zone, other);
        AllowedZones::new(self.zones().filter(is_near).cloned().chain([zone.into()]))
    }

    /// Returns the listed zones of some regions. Regions without a listed zone add none.
    pub fn zones_of(&self, regions: &[Name]) -> AllowedZones {
        let is_in_regions = |(_, region): &(&Name, &Name)| regions.contains(region);
        AllowedZones::new(self.regions.iter().filter(is_in_regions).map(|(zone, _)| zone.clone()))
    }
}
