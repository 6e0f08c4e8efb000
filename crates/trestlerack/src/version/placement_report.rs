//! What an operator is told about the allowed regions of a configuration.

use super::{AllowedRegions, Placement, RoutingTable, ZoneMap};
use crate::Name;

/// Why an entry of a configuration does not have the effect that it appears to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FindingReason {
    /// The list of regions is not a list of texts.
    Unreadable,
    /// No known zone belongs to this region.
    UnknownRegion(Name),
}

/// A field of a configuration that allows fewer zones than its text suggests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFinding {
    /// The field: its path within the configuration.
    pub field: String,
    /// What is wrong with it.
    pub reason: FindingReason,
}

/// Where the requests of a route may be served, for all customers without regions of their own or for one customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRule {
    /// The route.
    pub route: Name,
    /// The customer; `None` for all customers without regions of their own.
    pub customer: Option<Name>,
    /// Services that the route selects from.
    pub services: Vec<Name>,
    /// Regions that both the route and the customer allow; `None` for all.
    pub regions: Option<Vec<Name>>,
    /// Where the requests may be served.
    pub placement: Placement,
}

impl RoutingTable {
    /// Returns the lists of regions that cannot be read, and the listed regions without a known zone.
    pub fn region_findings(&self, zones: &ZoneMap) -> Vec<ConfigFinding> {
        let of_routes = self.routes().map(|route| (format!("routes/{}", route.name), &route.allowed_regions));
        let customers = self.customers.iter().flat_map(|directory| directory.iter());
        let of_customers =
            customers.map(|(customer, _)| (format!("tenants/{}", customer.name), &customer.allowed_regions));
        let mut findings = Vec::new();
        for (owner, regions) in of_routes.chain(of_customers) {
            let field = format!("{owner}/allowed_regions");
            if *regions == AllowedRegions::Unreadable {
                findings.push(ConfigFinding { field, reason: FindingReason::Unreadable });
                continue;
            }
            for region in regions.names().iter().filter(|region| !zones.has_region(region)) {
                let reason = FindingReason::UnknownRegion(region.clone());
                findings.push(ConfigFinding { field: field.clone(), reason });
            }
        }
        findings
    }

    /// Returns the placement of each route, and of each customer with regions of its own on each route.
    pub fn placement_rules(&self) -> Vec<PlacementRule> {
        let restricted: Vec<_> = self
            .customers
            .iter()
            .flat_map(|directory| directory.iter())
            .map(|(customer, _)| customer)
            .filter(|customer| customer.allowed_regions.is_restricted())
            .collect();
        let mut rules = Vec::new();
        for route in self.routes() {
            let services: Vec<Name> = route.shares.iter().map(|share| share.service.clone()).collect();
            for customer in std::iter::once(None).chain(restricted.iter().copied().map(Some)) {
                let all = AllowedRegions::All;
                let of_customer = customer.map_or(&all, |customer| &customer.allowed_regions);
                let name = customer.map(|customer| customer.name.clone());
                rules.push(PlacementRule {
                    route: route.name.clone(),
                    placement: self.placement(route, name.as_deref()),
                    customer: name,
                    services: services.clone(),
                    regions: common_regions(&route.allowed_regions, of_customer),
                });
            }
        }
        rules
    }
}

/// Returns the regions that two lists have in common; `None` if neither restricts them.
fn common_regions(left: &AllowedRegions, right: &AllowedRegions) -> Option<Vec<Name>> {
    match (left, right) {
        (AllowedRegions::All, AllowedRegions::All) => None,
        (AllowedRegions::All, regions) | (regions, AllowedRegions::All) => Some(regions.names().to_vec()),
        (regions, others) => {
            Some(regions.names().iter().filter(|region| others.names().contains(region)).cloned().collect())
        }
    }
}
