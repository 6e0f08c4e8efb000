//! The servers of a service that a request may use.

use super::load_balancer::{LoadBalancer, ServerNeed};
use super::server_state::ServerState;
use crate::version::Placement;
use crate::{AllowedZones, Name};
use std::sync::Arc;

/// The servers of a service in the zones where a request may be served.
#[derive(Clone, Copy, Debug)]
pub struct ServerSetRef<'a> {
    /// Service.
    pub service: &'a str,
    /// Availability zones of the servers; `None` for all.
    pub allowed_zones: Option<&'a AllowedZones>,
}

impl<'a> From<&'a str> for ServerSetRef<'a> {
    fn from(service: &'a str) -> Self {
        Self { service, allowed_zones: None }
    }
}

impl<'a> From<&'a Name> for ServerSetRef<'a> {
    fn from(service: &'a Name) -> Self {
        Self { service, allowed_zones: None }
    }
}

impl<'a> From<&ServerNeed<'a>> for ServerSetRef<'a> {
    fn from(need: &ServerNeed<'a>) -> Self {
        Self { service: need.service, allowed_zones: need.allowed_zones }
    }
}

/// A service and the zones in which some of its requests may be served. Each has a queue of its own, because
/// requests wait for different servers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerSet {
    /// Service.
    pub service: Name,
    /// Availability zones; `None` for all.
    pub allowed_zones: Option<Arc<AllowedZones>>,
}

impl ServerSet {
    /// Builds the set of servers of a service that requests with a placement may use.
    pub fn new(service: Name, placement: &Placement) -> Self {
        let allowed_zones = match placement {
            Placement::Anywhere => None,
            Placement::Within(zones) => Some(zones.clone()),
            Placement::Nowhere => Some(Arc::default()),
        };
        Self { service, allowed_zones }
    }

    /// Returns whether some zones are not allowed.
    pub fn is_restricted(&self) -> bool {
        self.allowed_zones.is_some()
    }
}

impl<'a> From<&'a ServerSet> for ServerSetRef<'a> {
    fn from(server_set: &'a ServerSet) -> Self {
        Self { service: &server_set.service, allowed_zones: server_set.allowed_zones.as_deref() }
    }
}

impl LoadBalancer {
    /// Returns the known servers of a set.
    pub fn in_set<'a>(&'a self, server_set: ServerSetRef<'a>) -> impl Iterator<Item = &'a ServerState> {
        let zones = self.zone_filter(server_set.allowed_zones);
        let is_allowed = move |server: &&ServerState| zones.allows(server.zone_id, &server.entry.zone);
        self.of_service(server_set.service).filter(is_allowed)
    }
}
