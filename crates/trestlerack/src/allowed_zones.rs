//! The placement constraint of a campaign or user.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The availability zones in which a campaign's work may run and its samples may be stored.
///
/// Engines, scoring services, spool peers and group owners are all selected with
/// [`AllowedZones::allows`], and no fallback ignores it
/// ([docs/DESIGN.md](../../../docs/DESIGN.md#place)).
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedZones {
    zones: BTreeSet<Name>,
}

impl AllowedZones {
    /// Builds the set from zone names.
    pub fn new(zones: impl IntoIterator<Item = Name>) -> Self {
        Self { zones: zones.into_iter().collect() }
    }

    /// Returns whether work may run in `zone`. An empty set allows no zone.
    pub fn allows(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the zones in name order.
    pub fn zones(&self) -> impl Iterator<Item = &Name> {
        self.zones.iter()
    }

    /// Returns the zones of `self` that `other` does not contain.
    pub fn zones_missing_from(&self, other: &Self) -> Vec<Name> {
        self.zones.difference(&other.zones).cloned().collect()
    }
}
