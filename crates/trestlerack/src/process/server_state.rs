//! What a node knows of one backend server.

use super::cold_start::EngineRef;
use super::expected_latency::{MeasuredSlowness, ReportedSlowness};
use super::name_ids::{NameId, NameIds};
use super::registry::ServerEntry;
use super::server_health::{HealthRecord, ServerHealth};
use super::server_observations::GossipState;
use crate::version::WeightVersion;
use crate::{Name, Timestamp};
use std::time::Duration;

/// Load that a server reported.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    pub(super) other_requests: u32,
    pub(super) reported_at: Timestamp,
}

/// Numbers of the names of services, availability zones and models.
#[derive(Debug, Default)]
pub(super) struct ServerNames {
    pub(super) services: NameIds,
    pub(super) zones: NameIds,
    pub(super) models: NameIds,
}

/// A model with the version that a server is assumed to have loaded.
#[derive(Clone, Debug)]
pub(super) struct LoadedModel {
    id: NameId,
    name: Name,
    version: WeightVersion,
}

/// What this node knows of one server.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Its entry in service discovery.
    pub entry: ServerEntry,
    /// Requests of this node in progress at the server.
    pub in_flight: u32,
    /// Requests that this node has sent to the server.
    pub(super) sent: u64,
    pub(super) load: ReportedLoad,
    pub(super) reported_slowness: Option<ReportedSlowness>,
    pub(super) measured: MeasuredSlowness,
    pub(super) health: HealthRecord,
    pub(super) gossip: GossipState,
    pub(super) pace_ms: Option<f64>,
    pub(super) pace_measured_at: Timestamp,
    pub(super) failures: u32,
    pub(super) refusals: u32,
    pub(super) paused_until: Timestamp,
    pub(super) models: Vec<LoadedModel>,
    pub(super) loading_until: Option<Timestamp>,
    /// Numbers of its service and its availability zone.
    pub(super) service_id: NameId,
    pub(super) zone_id: NameId,
    /// Number of the model that it is assigned to.
    pub(super) assigned_model: Option<NameId>,
    /// Whether its availability zone is evacuated.
    pub(super) is_evacuated: bool,
    /// Whether it lies in another region than this node.
    pub(super) is_remote: bool,
    /// Position in the limiter of requests to cold engines.
    pub(super) cold_ref: EngineRef,
}

impl ServerState {
    pub(super) fn new(entry: ServerEntry, names: &mut ServerNames) -> Self {
        Self {
            service_id: names.services.get_or_add(&entry.service),
            zone_id: names.zones.get_or_add(&entry.zone),
            assigned_model: None,
            entry,
            in_flight: 0,
            sent: 0,
            load: ReportedLoad::default(),
            reported_slowness: None,
            measured: MeasuredSlowness::default(),
            health: HealthRecord::default(),
            gossip: GossipState::default(),
            pace_ms: None,
            pace_measured_at: Timestamp::default(),
            failures: 0,
            refusals: 0,
            paused_until: Timestamp::default(),
            models: Vec::new(),
            loading_until: None,
            is_evacuated: false,
            is_remote: false,
            cold_ref: EngineRef::default(),
        }
    }

    /// Returns the version of a model that the server is assumed to have loaded.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.iter().find(|loaded| &*loaded.name == model).map(|loaded| loaded.version)
    }

    /// Returns the same for the model with this number.
    pub(super) fn version_of(&self, model: NameId) -> Option<WeightVersion> {
        self.models.iter().find(|loaded| loaded.id == model).map(|loaded| loaded.version)
    }

    /// Replaces the version of a model by `change` of the known one.
    pub(super) fn change_version(
        &mut self,
        name: &Name,
        names: &mut ServerNames,
        change: impl FnOnce(Option<WeightVersion>) -> WeightVersion,
    ) {
        let id = names.models.get_or_add(name);
        match self.models.iter_mut().find(|loaded| loaded.id == id) {
            Some(loaded) => loaded.version = change(Some(loaded.version)),
            None => self.models.push(LoadedModel { id, name: name.clone(), version: change(None) }),
        }
    }

    /// Raises the version of a model to `version` if the known one is lower.
    pub(super) fn raise_version(&mut self, name: &Name, names: &mut ServerNames, version: WeightVersion) {
        self.change_version(name, names, |known| known.map_or(version, |known| known.max(version)));
    }

    /// Returns whether the server may get new work: it is not draining, and its availability zone is not
    /// evacuated.
    pub fn accepts_work(&self) -> bool {
        !self.entry.is_draining && !self.is_evacuated
    }

    pub(super) fn slots(&self) -> u32 {
        self.entry.slots.max(1)
    }

    pub(super) fn requests(&self, now: Timestamp, max_load_age: Duration) -> u32 {
        let other_requests = if now.since(self.load.reported_at) < max_load_age { self.load.other_requests } else { 0 };
        self.in_flight + other_requests
    }
}

/// What was known of a server when it was chosen, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// Requests of this node in progress at the server.
    pub in_flight: u32,
    /// Requests of other nodes, as the server reported.
    pub other_requests: u32,
    /// Time since the server reported its load, in milliseconds, if it ever did.
    pub load_age_ms: Option<u64>,
    /// Pace of the server relative to the median of its service; above 1 is slower.
    pub slowness: f64,
    /// Expected slowness of one call, relative to the median latency of its route and without queueing.
    pub expected_slowness: f64,
    /// Its health.
    pub health: ServerHealth,
    /// The node whose observation was used; `None` if this node's own measurements were.
    pub reported_by: Option<Name>,
    /// Loaded version of the requested model; 0 if none was requested or it is unknown.
    pub weight_version: WeightVersion,
}
