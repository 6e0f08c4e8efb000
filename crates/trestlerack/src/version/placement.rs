//! Where the requests of a route and of a customer may be served.
//!
//! A configuration names regions; [`ZoneMap`] turns them into [`AllowedZones`], the same constraint that campaigns
//! have. See [docs/design/placement-limits.md](../../../../docs/design/placement-limits.md#allowed-regions).

use super::{Customer, RequestRoute, ZoneMap};
use crate::{AllowedZones, Name};
use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

static NO_ZONES: LazyLock<AllowedZones> = LazyLock::new(AllowedZones::default);

/// The availability zones in which a request may be served and its data stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// In all zones.
    #[default]
    Anywhere,
    /// Only in these zones, of which there is at least one.
    Within(Arc<AllowedZones>),
    /// In no zone: no known zone lies in an allowed region, or route and customer have no region in common.
    Nowhere,
}

impl Placement {
    /// Builds the placement within some zones.
    pub fn within(zones: Arc<AllowedZones>) -> Self {
        if zones.zones().next().is_none() { Self::Nowhere } else { Self::Within(zones) }
    }

    /// Returns whether a zone is allowed.
    pub fn allows(&self, zone: &str) -> bool {
        self.allowed_zones().is_none_or(|zones| zones.allows(zone))
    }

    /// Returns the allowed zones; `None` if all are allowed.
    pub fn allowed_zones(&self) -> Option<&AllowedZones> {
        match self {
            Self::Anywhere => None,
            Self::Within(zones) => Some(zones),
            Self::Nowhere => Some(&NO_ZONES),
        }
    }

    /// Returns the placement that both `self` and `other` allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, placement) | (placement, Self::Anywhere) => placement.clone(),
            (Self::Within(zones), Self::Within(others)) => {
                let common = zones.zones().filter(|zone| others.allows(zone)).cloned();
                Self::within(Arc::new(AllowedZones::new(common)))
            }
            (Self::Nowhere, _) | (_, Self::Nowhere) => Self::Nowhere,
        }
    }
}

/// The placements of the restricted routes and customers of one configuration, by name.
///
/// They are computed once per configuration, because each request asks for them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct PlacementTable {
    routes: BTreeMap<Name, Placement>,
    customers: BTreeMap<Name, Placement>,
}

impl PlacementTable {
    pub(super) fn new<'a>(
        zones: &ZoneMap,
        routes: impl Iterator<Item = &'a RequestRoute>,
        customers: impl Iterator<Item = &'a Customer>,
    ) -> Self {
        let placement = |regions: &[Name]| Placement::within(Arc::new(zones.zones_of(regions)));
        let routes = routes.filter(|route| !route.allowed_regions.is_empty());
        let customers = customers.filter(|customer| !customer.allowed_regions.is_empty());
        Self {
            routes: routes.map(|route| (route.name.clone(), placement(&route.allowed_regions))).collect(),
            customers: customers
                .map(|customer| (customer.name.clone(), placement(&customer.allowed_regions)))
                .collect(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.customers.is_empty()
    }

    pub(super) fn placement(&self, route: &str, customer: Option<&str>) -> Placement {
        let of_route = self.routes.get(route).unwrap_or(&Placement::Anywhere);
        let of_customer = customer.and_then(|customer| self.customers.get(customer)).unwrap_or(&Placement::Anywhere);
        of_route.intersection(of_customer)
    }
}
