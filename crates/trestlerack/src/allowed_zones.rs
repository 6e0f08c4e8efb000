//! The hard limit on where work may happen.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The availability zones in which a campaign's work may be done and its samples kept.
///
/// Engines, scoring services, spool peers and group owners are all chosen through
/// [`PlaceSet::allows`], and no fallback crosses it
/// ([docs/DESIGN.md](../../../docs/DESIGN.md#place)).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlaceSet {
    zones: BTreeSet<Name>,
}

impl PlaceSet {
    /// Builds the set from zone names.
    pub fn new(zones: impl IntoIterator<Item = Name>) -> Self {
        Self { zones: zones.into_iter().collect() }
    }

    /// Returns whether work may be done in `zone`. An empty set allows nothing.
    pub fn allows(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the zones in name order.
    pub fn zones(&self) -> impl Iterator<Item = &Name> {
        self.zones.iter()
    }

    /// Returns the zones of `self` that `narrower` lacks.
    pub fn zones_missing_from(&self, narrower: &Self) -> Vec<Name> {
        self.zones.difference(&narrower.zones).cloned().collect()
    }
}
