//! Where the requests of a route and of a customer may be served.
//!
//! A configuration names regions; [`ZoneMap`] turns them into [`AllowedZones`], the same constraint that campaigns
//! have. See [docs/design/placement-limits.md](../../../../docs/design/placement-limits.md#allowed-regions).

use super::{AllowedRegions, Customer, RequestRoute, RoutingTable, ZoneMap};
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

/// Where one request may be served, with the route and customer that decide it.
///
/// It is kept with the request, so that the decision can be repeated when the request is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestPlacement {
    route: Name,
    customer: Option<Name>,
    placement: Placement,
}

impl RequestPlacement {
    /// Builds the placement of a request that may be served nowhere, because its route is not known.
    pub fn nowhere() -> Self {
        Self { placement: Placement::Nowhere, ..Self::default() }
    }

    /// Returns where the request may be served by the configuration that was current when this was decided.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns the allowed zones; `None` if all are allowed.
    pub fn allowed_zones(&self) -> Option<&AllowedZones> {
        self.placement.allowed_zones()
    }

    /// Returns the name of the route.
    pub fn route(&self) -> &Name {
        &self.route
    }
}

impl RoutingTable {
    /// Returns where a request of a customer on a route may be served.
    pub fn request_placement(&self, route: &RequestRoute, customer: Option<&Name>) -> RequestPlacement {
        let is_removed =
            route.allowed_regions.is_restricted() && !self.routes().any(|current| current.name == route.name);
        // Removing a route while one of its requests is in progress must not lift its restriction.
        let placement = match is_removed {
            true => Placement::Nowhere,
            false => self.placement(route, customer.map(|customer| &**customer)),
        };
        RequestPlacement { route: route.name.clone(), customer: customer.cloned(), placement }
    }

    /// Returns where a request may be served by this configuration. A route or customer that this configuration
    /// does not have any more leaves the earlier decision in effect, because its removal lifts no restriction.
    pub fn current_placement(&self, request: &RequestPlacement) -> Placement {
        if !self.has_restricted_placements() && request.placement == Placement::Anywhere {
            return Placement::Anywhere;
        }
        let customer = request.customer.as_deref();
        let is_customer_known =
            customer.is_none_or(|name| self.customers.as_ref().is_some_and(|customers| customers.get(name).is_some()));
        match self.routes().find(|route| route.name == request.route) {
            Some(route) if is_customer_known => self.placement(route, customer),
            Some(route) => self.placement(route, None).intersection(&request.placement),
            None => request.placement.clone(),
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
        let placement = |regions: &AllowedRegions| Placement::within(Arc::new(zones.zones_of(regions.names())));
        let routes = routes.filter(|route| route.allowed_regions.is_restricted());
        let customers = customers.filter(|customer| customer.allowed_regions.is_restricted());
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
