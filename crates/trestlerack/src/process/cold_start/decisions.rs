//! Decides whether this node may send a request to an engine that is or may be cold.

use super::allotment::MAX_ORDERS;
use super::engine_state::{EngineState, HeldAllotments};
use super::engine_table::EngineRef;
use super::job_drivers::JobDrivers;
use super::limiter::{AssignedModels, ColdLimiter, ServiceLimit};
use super::send_window::SEND_SPAN;
use super::status::{ColdStatus, EngineWarmth};
use crate::Timestamp;
use crate::hash::{hash_parts, rank_among};
use crate::process::ServerEntry;
use std::time::Duration;

/// An engine that may get a request.
#[derive(Clone, Copy, Debug)]
pub(in crate::process) struct ColdCandidate<'a> {
    pub(in crate::process) entry: &'a ServerEntry,
    /// Its position in the limiter.
    pub(in crate::process) reference: EngineRef,
    pub(in crate::process) models: &'a AssignedModels,
}

impl ColdLimiter {
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
        let is_warm = self.is_known_warm(now, self.engines.get(&entry.instance));
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
        let may_order = self.may_order(now, entry);
        if may_order {
            self.engines.get_or_add(&entry.instance).orders.record(now, MAX_ORDERS);
        }
        may_order
    }

    /// Returns whether the lease holder may send a weight order to an engine now. It must not announce an order that
    /// it may not send, because the drivers of jobs send runs to an engine whose order is announced.
    pub fn may_order(&self, now: Timestamp, entry: &ServerEntry) -> bool {
        if self.limit_of(&entry.service).is_none() {
            return true;
        }
        let engine = self.engines.get(&entry.instance);
        let sent = engine.map_or(0, |engine| engine.orders.count(now));
        // The orders of an earlier process on this node may count still.
        self.is_known_warm(now, engine) || sent < MAX_ORDERS && now.since(self.started_at) > SEND_SPAN
    }

    /// Returns whether an engine of a service with a limit is known to be warm.
    pub(in crate::process) fn is_warm(&self, now: Timestamp, candidate: &ColdCandidate<'_>) -> bool {
        let engine = self.engines.find(candidate.reference, &candidate.entry.instance);
        self.is_known_warm(now, engine)
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
        now >= unknown_until && now <= self.informed_until && self.settled_at >= unknown_until
    }

    /// Returns whether an engine is known to be warm. Compares times only, since each choice of a server asks this
    /// for all engines.
    fn is_known_warm(&self, now: Timestamp, engine: Option<&EngineState>) -> bool {
        engine.is_some_and(|engine| {
            engine.is_listed
                && engine.cold_until() <= now
                && self.is_informed(now, engine.unknown_until.max(self.unknown_until))
        })
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
        let held = || match engine {
            Some(engine) => self.cached_allotments(service, instance, engine, models),
            None => self.held_allotments(service, instance, models),
        };
        if self.is_known_warm(now, engine) {
            // It may have become cold without a restart, and nodes learn that only from its next entry.
            return service.warm.map(|total| (total / held().driver_count.max(1)).max(1));
        }
        let running_for = now.since(self.started_at);
        if running_for <= SEND_SPAN {
            // The sends of an earlier process on this node may count still.
            return Some(0);
        }
        let held = held();
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
        let is_driver = self.drivers.of_engine(instance, model) == Some(own);
        let is_other =
            |(_, former): &(_, JobDrivers)| former.of_engine(instance, model).is_some_and(|node| node != own);
        let has_driver = is_driver && !self.former_drivers.iter().any(is_other);
        let rank = || rank_among(hash_parts(&[instance]), own, self.nodes.iter().map(|node| &**node));
        let nodes = service.budget.nodes as usize;
        let has_node = nodes > 0 && self.nodes.contains(own) && rank() < nodes;
        HeldAllotments { has_driver, has_node, driver_count: self.drivers.count(model) }
    }
}
