//! Choice among the backend servers of a plain or scoring service.

use super::shards::Sharded;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, RwLock};
use trestlerack::process::{OutlierDetector, OutlierSettings};
use trestlerack::request::{ChoicePolicy, EngineCandidate, EngineChooser};
use trestlerack::version::{Backend, BackendKind, Configuration};
use trestlerack::{AllowedZones, Name, Timestamp};

/// Slots assumed for each backend server when requests are balanced.
const SLOTS_PER_SERVER: u32 = 64;

struct ServiceState {
    outliers: OutlierDetector,
    in_flight: HashMap<Name, u32>,
    chooser: EngineChooser,
}

impl Default for ServiceState {
    fn default() -> Self {
        let random = Pcg64Mcg::from_rng(&mut rand::rng());
        Self {
            outliers: OutlierDetector::new(OutlierSettings::default()),
            in_flight: HashMap::new(),
            chooser: EngineChooser::new(ChoicePolicy::TwoChoices, random),
        }
    }
}

impl ServiceState {
    fn release(&mut self, backend: &Name) {
        if let Some(in_flight) = self.in_flight.get_mut(backend) {
            *in_flight = in_flight.saturating_sub(1);
        }
    }
}

/// Backend servers by service, with the requests and failures that this node has observed.
#[derive(Default)]
pub struct PlainPool {
    backends: RwLock<Arc<BTreeMap<Name, Vec<Backend>>>>,
    states: Sharded<HashMap<Name, ServiceState>>,
}

impl PlainPool {
    /// Replaces the backend servers by those of a new configuration generation.
    pub fn set_backends(&self, config: &Configuration) {
        let mut services: BTreeMap<Name, Vec<Backend>> = BTreeMap::new();
        for backend in config.backends().filter(|backend| backend.kind != BackendKind::Engine) {
            services.entry(backend.service.clone()).or_default().push(backend.clone());
        }
        *self.backends.write().unwrap() = Arc::new(services);
    }

    /// Returns the backend servers of a service in the allowed zones.
    pub fn backends(&self, kind: BackendKind, service: &str, allowed_zones: &AllowedZones) -> Vec<Backend> {
        let services = self.backends.read().unwrap().clone();
        let Some(backends) = services.get(service) else { return Vec::new() };
        let allowed = |backend: &&Backend| backend.kind == kind && allowed_zones.allows(&backend.zone);
        backends.iter().filter(allowed).cloned().collect()
    }

    /// Chooses a backend server that is not among `tried` and counts a request on it.
    ///
    /// `is_draining` adds drains reported by the membership list, by peers and by responses.
    pub fn choose(
        &self,
        now: Timestamp,
        backends: &[Backend],
        tried: &[Name],
        is_draining: impl Fn(&str) -> bool,
    ) -> Option<Backend> {
        let service = &backends.first()?.service;
        let mut shard = self.states.lock(service);
        let state = shard.entry(service.clone()).or_default();
        let mut candidates = Vec::new();
        for backend in backends {
            let is_excluded = backend.is_draining || is_draining(&backend.name);
            let limit = state.outliers.limit(now, &backend.name, SLOTS_PER_SERVER);
            let in_flight = state.in_flight.get(&backend.name).copied().unwrap_or(0);
            if !is_excluded && limit > 0 && !tried.contains(&backend.name) {
                candidates.push(EngineCandidate {
                    name: &backend.name,
                    in_flight,
                    slots: limit,
                    millis_per_token: None,
                });
            }
        }
        let index = state.chooser.choose(0, &candidates)?;
        let name = candidates[index].name;
        let chosen = backends.iter().find(|backend| backend.name == *name)?.clone();
        *state.in_flight.entry(chosen.name.clone()).or_default() += 1;
        Some(chosen)
    }

    /// Records the end of a request that was not sent, which tells nothing of its backend server.
    pub fn release(&self, backend: &Backend) {
        let mut shard = self.states.lock(&backend.service);
        shard.entry(backend.service.clone()).or_default().release(&backend.name);
    }

    /// Records the end of a request and whether it succeeded.
    pub fn record_response(&self, now: Timestamp, backend: &Backend, succeeded: bool) {
        let count = self.backends.read().unwrap().get(&backend.service).map_or(0, Vec::len);
        let mut shard = self.states.lock(&backend.service);
        let state = shard.entry(backend.service.clone()).or_default();
        state.release(&backend.name);
        state.outliers.record_response(now, &backend.name, succeeded, count);
    }
}
