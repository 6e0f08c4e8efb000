//! How the availability zones of a deployment relate to the one of a node.

use super::ZoneMap;
use crate::Name;

/// Where a zone is, as seen from a node's own zone; nearer first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneRelation {
    /// The node's own zone. Also the relation of all zones where regions make no difference.
    #[default]
    OwnZone,
    /// Another zone of the node's region.
    OwnRegion,
    /// A zone of another region: each message takes 30 ms longer, and its bytes are charged for.
    OtherRegion,
}

/// The zones of a node's own region, in a deployment that spans regions.
///
/// It is computed once from the settings, because each choice of a server asks for it; see
/// [docs/design/regions.md](../../../../docs/design/regions.md).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnRegion {
    zone: Name,
    /// The other zones of the region. They are few, so a search through all is fast.
    siblings: Vec<Name>,
}

impl OwnRegion {
    /// Returns the region of a zone, or `None` if the listed zones lie in fewer than two regions, so that
    /// decisions need not differ by region.
    pub fn new(zones: &ZoneMap, zone: &Name) -> Option<Self> {
        let mut regions = zones.zones().map(|listed| zones.region(listed));
        let first = regions.next()?;
        let spans_regions = regions.any(|region| region != first);
        let is_sibling = |other: &&Name| *other != zone && zones.is_same_region(zone, other);
        spans_regions
            .then(|| Self { zone: zone.clone(), siblings: zones.zones().filter(is_sibling).cloned().collect() })
    }

    /// Returns where a zone is.
    pub fn relation(&self, zone: &str) -> ZoneRelation {
        if *zone == *self.zone {
            ZoneRelation::OwnZone
        } else if self.siblings.iter().any(|sibling| **sibling == *zone) {
            ZoneRelation::OwnRegion
        } else {
            ZoneRelation::OtherRegion
        }
    }

    /// Returns whether a zone lies in the region.
    pub fn contains(&self, zone: &str) -> bool {
        self.relation(zone) != ZoneRelation::OtherRegion
    }
}
