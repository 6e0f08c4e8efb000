//! Decides whether this node may send a request to an engine that is or may be cold.

use super::JobDrivers;
use super::allotment::{ColdBudget, ServiceUse};
use super::engine_state::{EngineState, HeldAllotments};
use super::engine_table::{EngineRef, EngineTable};
use super::send_window::SEND_SPAN;
use super::status::{ColdChange, ColdStatus, EngineWarmth};
use crate::hash::{hash_parts, rank_among};
use crate::process::ServerEntry;
use crate::version::{RouteKind, RoutingTable};
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time that a change takes to reach a node after an engine has written it, in addition to the heartbeats: 0.9 s,
/// rounded up.
const NEWS_MARGIN: Duration = Duration::from_secs(1);

/// Weight orders and polls for reports that may be sent to an engine that is not known to be warm, per second.
const MAX_ORDERS: u32 = 1;

/// Time that stands for the end of an unknown state whose start has no time yet.
const NOT_STARTED: Timestamp = Timestamp(u64::MAX);

/// The model that each engine is assigned to, by instance.
pub type AssignedModels = BTreeMap<Name, Name>;

/// An engine that may get a request.
#[derive(Clone, Copy, Debug)]
pub(in crate::process) struct ColdCandidate<'a> {
    pub(in crate::process) entry: &'a ServerEntry,
    /// Its position in the limiter.
    pub(in crate::process) reference: EngineRef,
    pub(in crate::process) models: &'a AssignedModels,
}

/// Settings of a [`ColdLimiter`].
#[derive(Clone, Debug)]
pub struct ColdSettings {
    /// Name of this node.
    pub node: Name,
    /// Factor on the tolerated requests per second.
    pub over: f64,
    /// Requests per second that are added.
    pub slack: f64,
    /// Fraction of the requests left by drivers that the nodes may send. The rest is reserved because nodes may
    /// have different views of the registered nodes.
    pub node_fraction: f64,
    /// Interval at which engines write their entries.
    pub heartbeat: Duration,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { node: "".into(), over: 1.5, slack: 5.0, node_fraction: 0.8, heartbeat: Duration::from_millis(1_200) }
    }
}

impl ColdSettings {
    /// Returns the age of information from service discovery above which the state of engines is unknown.
    pub fn max_age(&self) -> Duration {
        2 * self.heartbeat + NEWS_MARGIN
    }
}

/// Limits of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub(in crate::process) struct ServiceLimit {
    budget: ColdBudget,
    /// Most requests per second to a warm engine; `None` for plain servers, whose usual rate is far above the
    /// limit of a cold one.
    warm: Option<u32>,
}

/// Limits the requests of this node to engines that are or may be cold.
///
/// It exchanges no messages. Without a service that has a limit, it keeps no state and allows everything.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    settings: ColdSettings,
    services: BTreeMap<Name, ServiceLimit>,
    engines: EngineTable,
    drivers: JobDrivers,
    nodes: BTreeSet<Name>,
    /// Number of changes of the input of allotments.
    revision: u64,
    /// Time as of which the entries of service discovery are known.
    informed_at: Timestamp,
    /// Time until which the state of all engines is unknown, after a start or a suspension.
    unknown_until: Timestamp,
    started_at: Timestamp,
}

impl ColdLimiter {
    /// Builds the limiter of a process that starts at `now`.
    pub fn new(settings: ColdSettings, now: Timestamp) -> Self {
        let unknown_until = now + settings.max_age();
        Self { settings, unknown_until, started_at: now, ..Self::default() }
    }

    /// Returns whether any service has a limit.
    pub fn is_active(&self) -> bool {
        !self.services.is_empty()
    }

    /// Returns whether the engines of a service have a limit.
    pub fn is_limited(&self, service: &str) -> bool {
        self.is_active() && self.services.contains_key(service)
    }

    /// Applies the limits of a configuration. The entries of service discovery must be recorded again afterwards.
    pub fn set_services(&mut self, table: &RoutingTable) {
        let limit = |name: &Name, config| {
            let is_other = table
                .routes()
                .any(|route| route.kind != RouteKind::Batch && route.shares.iter().any(|share| share.service == *name));
            let service_use = if is_other { ServiceUse::Mixed } else { ServiceUse::JobsOnly };
            ColdBudget::new(config, &self.settings, service_use)
        };
        let limits = table.services.iter().filter_map(|(name, service)| {
            let budget = limit(name, service.cold_start?);
            // A warm engine must remain usable where the limit allows cold ones nothing.
            let warm = (!service.models.is_empty()).then_some(budget.total.max(1));
            Some((name.clone(), ServiceLimit { budget, warm }))
        });
        self.services = limits.collect();
        self.revision += 1;
        if !self.is_active() {
            self.engines = EngineTable::default();
        }
    }

    /// Replaces the drivers of open jobs.
    pub fn set_drivers(&mut self, drivers: JobDrivers) {
        if self.drivers != drivers {
            self.drivers = drivers;
            self.revision += 1;
        }
    }

    /// Replaces the registered nodes.
    pub fn set_nodes(&mut self, nodes: BTreeSet<Name>) {
        if self.nodes != nodes {
            self.nodes = nodes;
            self.revision += 1;
        }
    }

    /// Records that an engine was assigned to another model.
    pub(in crate::process) fn assignment_changed(&mut self) {
        self.revision += 1;
    }

    /// Records that the entries of service discovery are known as of a time.
    pub fn record_information(&mut self, as_of: Timestamp) {
        self.informed_at = self.informed_at.max(as_of);
    }

    /// Records that the process has resumed after a suspension.
    pub fn record_resumption(&mut self, now: Timestamp) {
        self.unknown_until = now + self.settings.max_age();
    }

    /// Records an entry of service discovery that arrived now; one that is known already changes nothing.
    pub fn record_entry(&mut self, now: Timestamp, entry: &ServerEntry) {
        if self.is_active() {
            self.engines.get_or_add(&entry.instance).update(now, entry);
        }
    }

    /// Records that an engine is no longer listed. What was sent to it counts until the second is over.
    pub fn remove(&mut self, now: Timestamp, instance: &str) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.is_listed = false;
            self.engines.retain(|engine| engine.is_in_use(now));
        }
    }

    /// Records the cold time that an engine reported in a response.
    pub fn record_response(&mut self, now: Timestamp, instance: &str, cold_left: Duration) {
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.record_response(now, cold_left);
        }
    }

    /// Records that the evacuation of zones has ended, after which their engines are usually cold. The time until
    /// which their state is unknown starts with the next [`Self::advance`].
    pub fn record_opened_zones(&mut self, zones: &BTreeSet<Name>) {
        let opened = self.engines.iter_mut().filter(|engine| zones.contains(&engine.zone));
        opened.for_each(|engine| engine.unknown_until = NOT_STARTED);
    }

    /// Returns which engines became cold or warm since the last call, and starts the unknown time of engines
    /// whose zone was opened. Called at short intervals.
    pub fn advance(&mut self, now: Timestamp) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        let unknown_until = now + self.settings.max_age();
        for engine in self.engines.iter_mut() {
            if engine.unknown_until == NOT_STARTED {
                engine.unknown_until = unknown_until;
            }
            let left = engine.cold_until().since(now);
            let is_cold = !left.is_zero();
            if is_cold != engine.was_cold && self.services.contains_key(&engine.service) {
                engine.was_cold = is_cold;
                let warmth = if is_cold { EngineWarmth::Cold(left) } else { EngineWarmth::Warm };
                changes.push(ColdChange { engine: engine.name.clone(), warmth });
            }
        }
        changes
    }

    /// Returns the position of an engine, by which it is found faster than by its name.
    pub(in crate::process) fn reference(&self, instance: &str) -> EngineRef {
        if self.is_active() { self.engines.reference(instance) } else { EngineRef::default() }
    }

    /// Returns how many requests this node may send to an engine now.
    pub(in crate::process) fn remaining(&self, now: Timestamp, engine: &ColdCandidate<'_>) -> u32 {
        self.limit_of(&engine.entry.service).map_or(u32::MAX, |service| self.remaining_within(now, service, engine))
    }

    /// Returns how many requests this node may send to an engine of a service with this limit now.
    pub(in crate::process) fn remaining_within(
        &self,
        now: Timestamp,
        service: &ServiceLimit,
        candidate: &ColdCandidate<'_>,
    ) -> u32 {
        let ColdCandidate { entry, reference, models } = *candidate;
        let engine = self.engines.find(reference, &entry.instance);
        match self.limit(now, service, &entry.instance, engine, models) {
            Some(limit) => limit.saturating_sub(engine.map_or(0, |engine| engine.sends.count(now))),
            None => u32::MAX,
        }
    }

    /// Returns when this node may send the next request to an engine; `None` if that is not known.
    pub(in crate::process) fn available_at(&self, now: Timestamp, candidate: &ColdCandidate<'_>) -> Option<Timestamp> {
        let ColdCandidate { entry, reference, models } = *candidate;
        let Some(service) = self.limit_of(&entry.service) else { return Some(now) };
        let engine = self.engines.find(reference, &entry.instance)?;
        let Some(limit) = self.limit(now, service, &entry.instance, Some(engine), models) else { return Some(now) };
        let unknown_until = engine.unknown_until.max(self.unknown_until);
        let warm_at = engine.cold_until().max(unknown_until);
        let warm_at = (self.is_informed(now, Timestamp::default()) && warm_at > now).then_some(warm_at);
        engine.sends.free_at(now, limit).into_iter().chain(warm_at).min()
    }

    /// Records that a request is sent to an engine now. Returns whether the engine was not known to be warm.
    pub fn record_send(&mut self, now: Timestamp, entry: &ServerEntry) -> bool {
        let Some(service) = self.limit_of(&entry.service).copied() else { return false };
        let is_warm = self.warmth(now, self.engines.get(&entry.instance)) == EngineWarmth::Warm;
        let engine = self.engines.get_or_add(&entry.instance);
        engine.sends.record(now, service.budget.total.max(service.warm.unwrap_or(1)));
        !is_warm
    }

    /// Returns whether the lease holder may send a weight order or a poll for a report to an engine now, and counts
    /// it if so.
    pub fn try_order(&mut self, now: Timestamp, entry: &ServerEntry) -> bool {
        if self.limit_of(&entry.service).is_none() {
            return true;
        }
        let is_warm = self.warmth(now, self.engines.get(&entry.instance)) == EngineWarmth::Warm;
        let engine = self.engines.get_or_add(&entry.instance);
        // The orders of an earlier process on this node may count still.
        let may_send = is_warm || engine.orders.count(now) < MAX_ORDERS && now.since(self.started_at) > SEND_SPAN;
        if may_send {
            engine.orders.record(now, MAX_ORDERS);
        }
        may_send
    }

    /// Returns whether an engine of a service with a limit is known to be warm.
    pub(in crate::process) fn is_warm(&self, now: Timestamp, candidate: &ColdCandidate<'_>) -> bool {
        let engine = self.engines.find(candidate.reference, &candidate.entry.instance);
        self.warmth(now, engine) == EngineWarmth::Warm
    }

    /// Returns the state of all engines of services with a limit, ordered by name.
    pub fn statuses(&self, now: Timestamp, models: &AssignedModels) -> Vec<ColdStatus> {
        let status = |engine: &EngineState| {
            let service = self.limit_of(&engine.service).filter(|_| engine.is_listed)?;
            Some(ColdStatus {
                engine: engine.name.clone(),
                service: engine.service.clone(),
                warmth: self.warmth(now, Some(engine)),
                allotment: self.limit(now, service, &engine.name, Some(engine), models),
                sent: engine.sends.count_last_second(now),
            })
        };
        let mut statuses: Vec<ColdStatus> = self.engines.iter().filter_map(status).collect();
        statuses.sort_by(|left, right| left.engine.cmp(&right.engine));
        statuses
    }

    /// Returns the limit of a service; `None` if it has none.
    pub(in crate::process) fn limit_of(&self, service: &str) -> Option<&ServiceLimit> {
        if self.services.is_empty() { None } else { self.services.get(service) }
    }

    fn warmth(&self, now: Timestamp, engine: Option<&EngineState>) -> EngineWarmth {
        match engine {
            Some(engine) if engine.is_listed && self.is_informed(now, engine.unknown_until.max(self.unknown_until)) => {
                match engine.cold_until().since(now) {
                    Duration::ZERO => EngineWarmth::Warm,
                    left => EngineWarmth::Cold(left),
                }
            }
            _ => EngineWarmth::Unknown,
        }
    }

    /// Returns whether the cold times of engines that were unknown until a given time are known. Engines that
    /// became cold when the unknown time began have written that within a heartbeat of it.
    fn is_informed(&self, now: Timestamp, unknown_until: Timestamp) -> bool {
        let max_age = self.settings.max_age();
        now >= unknown_until
            && now.since(self.informed_at) <= max_age
            && self.informed_at >= (unknown_until - max_age) + self.settings.heartbeat
    }

    /// Returns how many requests this node may send to an engine in any second; `None` if that is not limited.
    fn limit(
        &self,
        now: Timestamp,
        service: &ServiceLimit,
        instance: &str,
        engine: Option<&EngineState>,
        models: &AssignedModels,
    ) -> Option<u32> {
        if self.warmth(now, engine) == EngineWarmth::Warm {
            return service.warm;
        }
        let running_for = now.since(self.started_at);
        if running_for <= SEND_SPAN {
            // The sends of an earlier process on this node may count still.
            return Some(0);
        }
        let held = match engine {
            Some(engine) => self.cached_allotments(service, instance, engine, models),
            None => self.held_allotments(service, instance, models),
        };
        let of_driver = if held.has_driver { service.budget.driver } else { 0 };
        // The first nodes that a process knows may be few.
        let knows_nodes = running_for >= self.settings.max_age();
        Some(of_driver + u32::from(held.has_node && knows_nodes))
    }

    fn cached_allotments(
        &self,
        service: &ServiceLimit,
        instance: &str,
        engine: &EngineState,
        models: &AssignedModels,
    ) -> HeldAllotments {
        match engine.held.get() {
            Some((revision, held)) if revision == self.revision => held,
            _ => {
                let held = self.held_allotments(service, instance, models);
                engine.held.set(Some((self.revision, held)));
                held
            }
        }
    }

    fn held_allotments(&self, service: &ServiceLimit, instance: &str, models: &AssignedModels) -> HeldAllotments {
        let own = &self.settings.node;
        let model = models.get(instance).filter(|_| service.warm.is_some());
        let has_driver = self.drivers.of_engine(instance, model) == Some(own);
        let rank = || rank_among(hash_parts(&[instance]), own, self.nodes.iter().map(|node| &**node));
        let nodes = service.budget.nodes as usize;
        HeldAllotments { has_driver, has_node: nodes > 0 && self.nodes.contains(own) && rank() < nodes }
    }
}
