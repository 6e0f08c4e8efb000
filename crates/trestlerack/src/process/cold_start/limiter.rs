//! The limiter of requests to engines that are or may be cold, and what it learns.

use super::JobDrivers;
use super::allotment::{ColdBudget, ServiceUse};
use super::engine_table::EngineTable;
use super::send_window::SEND_SPAN;
use super::status::{ColdChange, EngineWarmth};
use crate::process::ServerEntry;
use crate::version::{RouteKind, RoutingTable};
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time that a change takes to reach a node after an engine has written it, in addition to the heartbeats: 0.9 s,
/// rounded up.
const DISCOVERY_MARGIN: Duration = Duration::from_secs(1);

/// Time that stands for the end of an unknown state whose start has no time yet.
const NOT_STARTED: Timestamp = Timestamp(u64::MAX);

/// The model that each engine is assigned to, by instance.
pub type AssignedModels = BTreeMap<Name, Name>;

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
        2 * self.heartbeat + DISCOVERY_MARGIN
    }
}

/// Limits of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub(in crate::process) struct ServiceLimit {
    pub(super) budget: ColdBudget,
    /// Most requests per second to a warm engine; `None` for plain servers, whose usual rate is far above the
    /// limit of a cold one.
    pub(super) warm: Option<u32>,
}

/// Limits the requests of this node to engines that are or may be cold.
///
/// It exchanges no messages. Without a service that has a limit, it keeps no state and allows everything.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    pub(super) settings: ColdSettings,
    pub(super) services: BTreeMap<Name, ServiceLimit>,
    pub(super) engines: EngineTable,
    pub(super) drivers: JobDrivers,
    /// Earlier drivers, with the time at which each set was replaced. They are kept while what they sent counts.
    pub(super) former_drivers: VecDeque<(Timestamp, JobDrivers)>,
    pub(super) nodes: BTreeSet<Name>,
    /// Number of changes of the input of allotments.
    pub(super) revision: u64,
    /// Time until which the entries of service discovery are recent enough.
    pub(super) informed_until: Timestamp,
    /// Latest end of an unknown time since whose start engines have written an entry that is known here.
    pub(super) settled_at: Timestamp,
    /// Time until which the state of all engines is unknown, after a start or a suspension.
    pub(super) unknown_until: Timestamp,
    /// Zones whose evacuation has ended, with the time until which the state of their engines is unknown. Engines of
    /// them may be listed only after the end, with an entry from before it.
    opened_zones: BTreeMap<Name, Timestamp>,
    pub(super) started_at: Timestamp,
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
        let limit = |name: &Name, config, has_models| {
            let is_other = table
                .routes()
                .any(|route| route.kind != RouteKind::Batch && route.shares.iter().any(|share| share.service == *name));
            let service_use = if is_other { ServiceUse::Mixed } else { ServiceUse::JobsOnly };
            ColdBudget::new(config, &self.settings, service_use, has_models)
        };
        let limits = table.services.iter().filter_map(|(name, service)| {
            let has_models = !service.models.is_empty();
            let budget = limit(name, service.cold_start?, has_models);
            // A warm engine must remain usable where the limit allows cold ones nothing.
            let warm = has_models.then_some(budget.total.max(1));
            Some((name.clone(), ServiceLimit { budget, warm }))
        });
        self.services = limits.collect();
        self.revision += 1;
        if !self.is_active() {
            self.engines = EngineTable::default();
        }
    }

    /// Replaces the drivers of open jobs. A node gets the driver allotment of an engine only once the requests of a
    /// driver before it no longer count, because jobs of less than a second can move an allotment to three nodes within
    /// a second, and the budget covers two.
    pub fn set_drivers(&mut self, now: Timestamp, drivers: JobDrivers) {
        if self.drivers != drivers {
            let former = std::mem::replace(&mut self.drivers, drivers);
            self.former_drivers.push_back((now, former));
            self.revision += 1;
        }
        while self.former_drivers.front().is_some_and(|(replaced_at, _)| now.since(*replaced_at) > SEND_SPAN) {
            self.former_drivers.pop_front();
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
        let informed_until = as_of + self.settings.max_age();
        if informed_until > self.informed_until {
            self.informed_until = informed_until;
            self.settled_at = informed_until - self.settings.heartbeat;
        }
    }

    /// Records that the process has resumed after a suspension.
    pub fn record_resumption(&mut self, now: Timestamp) {
        self.unknown_until = now + self.settings.max_age();
    }

    /// Records an entry of service discovery that arrived now; one that is known already changes nothing.
    pub fn record_entry(&mut self, now: Timestamp, entry: &ServerEntry) {
        if !self.is_active() {
            return;
        }
        let engine = self.engines.get_or_add(&entry.instance);
        engine.update(now, entry);
        if let Some(unknown_until) = self.opened_zones.get(&engine.zone) {
            engine.unknown_until = *unknown_until;
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
        if !self.is_active() {
            return;
        }
        self.opened_zones.extend(zones.iter().map(|zone| (zone.clone(), NOT_STARTED)));
        let opened = self.engines.iter_mut().filter(|engine| zones.contains(&engine.zone));
        opened.for_each(|engine| engine.unknown_until = NOT_STARTED);
    }

    /// Returns which engines became cold or warm since the last call, and starts the unknown time of engines
    /// whose zone was opened. Called at short intervals.
    pub fn advance(&mut self, now: Timestamp) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        let unknown_until = now + self.settings.max_age();
        // Entries from before the end may arrive until the information is recent enough.
        let settled_at = self.settled_at.min(now);
        self.opened_zones.retain(|_, until| settled_at < *until);
        self.opened_zones.values_mut().filter(|until| **until == NOT_STARTED).for_each(|until| *until = unknown_until);
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
}
