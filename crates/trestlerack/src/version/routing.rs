//! Routes requests to services by host and path prefix.

use super::placement::PlacementTable;
use crate::Name;
use crate::hash::hash_parts;
use crate::process::{ColdStartConfig, ScalingConfig};
use crate::version::{AllowedRegions, CustomerDirectory, Placement, ZoneMap};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How often the requests of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request is idempotent and may run more than once.
    Safe,
    /// The request may run at most once, so it is not sent to a second server once it may have run.
    Unsafe,
    /// The route carries batch jobs.
    Batch,
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitShare {
    /// Service that receives the share.
    pub service: Name,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRoute {
    /// Name of the route.
    pub name: Name,
    /// Value of the `Host` header.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// How often the requests may run.
    pub kind: RouteKind,
    /// Whether responses are event streams that are relayed as they arrive.
    pub streaming: bool,
    /// Whether a broken stream may be resumed at another backend server.
    pub resumable: bool,
    /// Whether all events of one response must come from one weight version.
    pub single_version: bool,
    /// Longest time that a request is kept waiting, in milliseconds; 0 for no limit.
    pub timeout_ms: u64,
    /// Longest time in which a response counts as on time, in milliseconds.
    pub target_latency_ms: u64,
    /// Time after submission by which a batch job's results are due, in milliseconds.
    pub due_ms: u64,
    /// Time after submission at which an unfinished item may be given up, in milliseconds.
    pub give_up_ms: u64,
    /// Priority of the requests; 0 is served first.
    pub priority: u8,
    /// Whether callers without a key are served.
    pub is_public: bool,
    /// Largest number of backend servers to which one request of a client may be sent.
    pub max_attempts: u32,
    /// Services with their shares; a single one if the route is not split.
    pub shares: Vec<SplitShare>,
    /// Regions in which the requests may be served and stored.
    pub allowed_regions: AllowedRegions,
}

impl RequestRoute {
    /// Returns the service for a request id; the same id always gets the same share.
    pub fn service_for(&self, request_id: &str) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut position = hash_parts(&[&self.name, request_id]) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if position < weight {
                return Some(&share.service);
            }
            position -= weight;
        }
        None
    }
}

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// Name of the service.
    pub name: Name,
    /// Connections that one backend server accepts from all nodes together.
    pub max_connections: u32,
    /// Requests that a model engine runs at once; 0 for a plain service.
    pub engine_slots: u32,
    /// Number of tokens that fit into the memory of a model engine; 0 if unknown.
    pub engine_tokens: u64,
    /// Models that the engines of the service can load.
    pub models: Vec<Name>,
    /// Terms on which its engines may be scaled; `None` if they may not be.
    pub scaling: Option<ScalingConfig>,
    /// Behaviour of its engines while they are cold; `None` if no limit applies then.
    pub cold_start: Option<ColdStartConfig>,
}

/// Limits on what clients send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Longest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to send a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// What a routing table says of the route of a job that was accepted earlier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobRoute<'a> {
    /// The route.
    Current(&'a RequestRoute),
    /// The table is at least as new as the one by which the job was accepted, and does not have the route any more.
    Removed,
    /// The table is older than the one by which the job was accepted, so it may lack the route or have another one.
    Unknown,
}

/// One version of the routes, services, client limits and customers.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    /// Version of the table, which only a table with a higher version replaces.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: BTreeMap<Name, Vec<RequestRoute>>,
    /// Services by name.
    pub services: BTreeMap<Name, RoutedService>,
    /// Limits on what clients send.
    pub limits: ClientLimits,
    /// Customers; `None` if every caller is served without a key.
    pub customers: Option<CustomerDirectory>,
    /// Placements of restricted routes and customers.
    placements: PlacementTable,
}

impl RoutingTable {
    /// Builds a table; the order of `routes` does not matter.
    pub fn new(version: u64, routes: Vec<RequestRoute>, services: Vec<RoutedService>, limits: ClientLimits) -> Self {
        let mut by_host: BTreeMap<Name, Vec<RequestRoute>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, routes: by_host, services, limits, customers: None, placements: PlacementTable::default() }
    }

    /// Returns the table with customers, so that only callers with a customer's key are served, except on
    /// public routes.
    pub fn with_customers(self, customers: CustomerDirectory) -> Self {
        Self { customers: Some(customers), ..self }
    }

    /// Returns the table with the regions of its routes and customers resolved to zones. Without this, a request
    /// may be served anywhere.
    pub fn with_zones(self, zones: &ZoneMap) -> Self {
        let customers = self.customers.iter().flat_map(CustomerDirectory::iter).map(|(customer, _)| customer);
        let placements = PlacementTable::new(zones, self.routes(), customers);
        Self { placements, ..self }
    }

    /// Returns where the requests of a customer on a route may be served.
    pub fn placement(&self, route: &RequestRoute, customer: Option<&str>) -> Placement {
        if self.placements.is_empty() {
            return Placement::Anywhere;
        }
        self.placements.placement(&route.name, customer)
    }

    /// Returns whether a route or customer may be served in some regions only.
    pub fn has_restricted_placements(&self) -> bool {
        !self.placements.is_empty()
    }

    /// Returns the route of `host` whose prefix is the longest one that matches `path`.
    pub fn select(&self, host: &str, path: &str) -> Option<&RequestRoute> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the route of a job that was accepted by the table of `accepted_version`. See
    /// [docs/PLATFORM.md](../../../../docs/PLATFORM.md#the-route-of-a-job).
    pub fn job_route(&self, host: &str, path: &str, accepted_version: u64) -> JobRoute<'_> {
        if self.version < accepted_version {
            return JobRoute::Unknown;
        }
        self.select(host, path).map_or(JobRoute::Removed, JobRoute::Current)
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &RequestRoute> {
        self.routes.values().flatten()
    }

    /// Returns the service that serves `model`.
    pub fn service_of_model(&self, model: &str) -> Option<&RoutedService> {
        self.services.values().find(|service| service.models.iter().any(|served| &**served == model))
    }
}
