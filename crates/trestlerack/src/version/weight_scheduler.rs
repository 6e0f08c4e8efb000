//! Schedules which engine loads which weight version next; runs on the holder of the order lease.

use super::load_time::{LoadReport, LoadTimeEstimator};
use super::model_placement::{EngineDivision, PlacedEngine};
use super::{ModelPlacement, WeightVersion};
use crate::process::ServerEntry;
use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Settings of a [`WeightScheduler`].
#[derive(Clone, Debug)]
pub struct WeightSchedulerSettings {
    /// Fraction of a service's engines that may load at the same time. The operator sets it by the bandwidth of
    /// the store of weights: more engines only slow each other down.
    pub parallel_fraction: f64,
    /// Number of engines that may load at the same time if `parallel_fraction` allows fewer.
    pub min_parallel: usize,
    /// Fraction of a model's engines that load its newest version while jobs accept the previous version as
    /// well. The other engines load when the next version is published. Each engine then loads every second
    /// version, and half as many runs wait for a load. With a third or two thirds, the benchmark score of a
    /// day was 0.02 to 0.03 lower (docs/MEASUREMENTS.md).
    pub newest_fraction: f64,
    /// Expected time of a load until the first load is measured.
    pub initial_load_time: Duration,
    /// Delay before an engine whose order failed is ordered again.
    pub retry_delay: Duration,
    /// Time after an order within which service discovery must show the loaded version. After it, the load
    /// counts as failed. It is the time after which an entry expires, plus [`MAX_HEARTBEAT_LAG`].
    pub discovery_timeout: Duration,
}

/// Longest time until service discovery shows an engine's heartbeat: the interval of the watch and the
/// response time of a slow store.
pub const MAX_HEARTBEAT_LAG: Duration = Duration::from_millis(900);

impl Default for WeightSchedulerSettings {
    fn default() -> Self {
        Self {
            parallel_fraction: 0.2,
            min_parallel: 2,
            newest_fraction: 0.5,
            initial_load_time: Duration::from_millis(950),
            retry_delay: Duration::from_millis(150),
            discovery_timeout: Duration::from_millis(3_600) + MAX_HEARTBEAT_LAG,
        }
    }
}

/// The row in which the holder of the order lease records the last order to an engine.
///
/// It is written before the order is sent, so that the next lease holder knows every order that may still
/// arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Model that the engine serves.
    pub model: Name,
    /// Version of the last order; 0 before the first order.
    pub version: WeightVersion,
    /// Time of the last order on the store's clock, in milliseconds.
    pub ordered_ms: u64,
    /// Time of the last attempt to send any order, on the store's clock, in milliseconds.
    pub tried_ms: u64,
    /// VM that made that attempt.
    pub holder: Name,
    /// Expected time of the load, in milliseconds.
    #[serde(default)]
    pub load_ms: u64,
}

impl EngineAssignment {
    /// Returns whether `holder` may order the engine at `clock_ms`. If another holder made the last attempt,
    /// `handover` must have passed since then, so that no order of that holder is still on its way.
    pub fn may_be_ordered_by(&self, holder: &str, clock_ms: u64, handover: Duration) -> bool {
        let handover_ends_ms = self.tried_ms + crate::time::millis(handover);
        self.tried_ms == 0 || &*self.holder == holder || clock_ms >= handover_ends_ms
    }
}

/// A request to send to an engine: an order, or a poll for its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueOrder {
    /// Instance id of the engine.
    pub instance: Name,
    /// Model of the engine.
    pub model: Name,
    /// Version to load.
    pub version: WeightVersion,
    /// Number of orders that the engine has accepted, or `None` if it must be polled for its report instead of
    /// being ordered.
    pub orders_before: Option<u64>,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and loads the version.
    Accepted,
    /// The engine has already loaded the version.
    AlreadyLoaded,
    /// The engine rejected the order, because it is loading another version or has accepted other orders.
    Refused,
    /// The response was lost or unexpected, so the engine may have accepted the order.
    Unknown,
    /// The order did not reach the engine.
    NotSent,
}

impl OrderOutcome {
    /// Returns the text for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::AlreadyLoaded => "held",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::NotSent => "notsent",
        }
    }
}

#[derive(Clone, Debug)]
struct EngineState {
    model: Name,
    /// Availability zone of the engine.
    zone: Name,
    /// Start time of the engine process to which the other fields apply, in milliseconds.
    started_ms: u64,
    loaded_version: WeightVersion,
    /// Version and time of the accepted order that service discovery has not confirmed yet.
    ordered: Option<(WeightVersion, Timestamp)>,
    /// Whether an order, or the poll before an order, was returned and has no recorded outcome yet.
    is_sending: bool,
    /// Number of orders that the engine has accepted, if known.
    accepted_orders: Option<u64>,
    not_before: Timestamp,
}

/// Schedules the weight loads of all engines of one service.
#[derive(Debug, Default)]
pub struct WeightScheduler {
    settings: WeightSchedulerSettings,
    targets: BTreeMap<Name, WeightVersion>,
    /// How many versions behind the target the jobs of a model accept.
    accepted_lags: BTreeMap<Name, WeightVersion>,
    /// Number of engines that the work of a model needs. Models without an entry share the engines equally.
    needed_engines: BTreeMap<Name, usize>,
    /// Zones in which the jobs of restricted models may run.
    placement: ModelPlacement,
    /// Engines that are assigned to a model.
    engines: BTreeMap<Name, EngineState>,
    /// Number of registered engines of the service, including those without a model.
    registered: usize,
    load_time: LoadTimeEstimator,
}

impl Default for LoadTimeEstimator {
    fn default() -> Self {
        Self::new(WeightSchedulerSettings::default().initial_load_time)
    }
}

impl WeightScheduler {
    /// Builds a scheduler without engines.
    pub fn new(settings: WeightSchedulerSettings) -> Self {
        Self { load_time: LoadTimeEstimator::new(settings.initial_load_time), settings, ..Self::default() }
    }

    /// Returns the expected time of a load.
    pub fn load_time(&self) -> Duration {
        self.load_time.estimate()
    }

    /// Records a version that a trainer published. A target is only ever raised.
    pub fn raise_target(&mut self, model: &Name, version: WeightVersion) {
        let target = self.targets.entry(model.clone()).or_insert(version);
        *target = (*target).max(version);
    }

    /// Records how many versions behind the newest one the jobs of a model accept; initially 0.
    pub fn set_accepted_lag(&mut self, model: &Name, lag: WeightVersion) {
        self.accepted_lags.insert(model.clone(), lag);
    }

    /// Records how many engines the work of a model needs. The model is assigned no engines beyond that, but
    /// keeps the ones that it has.
    pub fn set_needed_engines(&mut self, model: &Name, engines: usize) {
        self.needed_engines.insert(model.clone(), engines);
    }

    /// Records in which zones the jobs of models may run. A model is assigned engines in these zones only.
    pub fn set_placement(&mut self, placement: ModelPlacement) {
        self.placement = placement;
    }

    /// Updates the engines of the service, which serves `models`, from service discovery (`entries`) and the
    /// store (`assigned`). Returns the engines that were assigned to a model now, each with that model.
    pub fn sync(
        &mut self,
        now: Timestamp,
        models: &[Name],
        entries: &[&ServerEntry],
        assigned: &BTreeMap<Name, EngineAssignment>,
    ) -> Vec<(Name, Name)> {
        let registered: HashSet<&Name> = entries.iter().map(|entry| &entry.instance).collect();
        self.registered = registered.len();
        self.engines.retain(|instance, _| registered.contains(instance));
        if !self.engines.keys().any(|instance| self.load_time.is_measured(instance)) {
            self.load_time.cancel_measurement();
        }
        let mut unassigned: Vec<&ServerEntry> = Vec::new();
        for entry in entries {
            self.reset_if_restarted(entry);
            if !self.engines.contains_key(&entry.instance) {
                let Some(assignment) = assigned.get(&entry.instance) else {
                    unassigned.push(entry);
                    continue;
                };
                self.assign(entry, assignment.model.clone());
            }
            self.observe(now, entry);
        }
        let mut engine_counts = self.engines_per_model(models);
        let mut assigned_now = Vec::new();
        if !self.placement.is_empty() {
            return self.assign_placed(now, models, unassigned);
        }
        for entry in unassigned {
            let Some(model) = self.model_with_fewest_engines(&engine_counts) else { break };
            assigned_now.push((entry.instance.clone(), model.clone()));
            self.assign(entry, model.clone());
            self.observe(now, entry);
            *engine_counts.entry(model).or_default() += 1;
        }
        if self.engines.len() == self.registered {
            assigned_now.extend(self.rebalance(engine_counts));
        }
        assigned_now
    }

    fn assign(&mut self, entry: &ServerEntry, model: Name) {
        self.engines.insert(entry.instance.clone(), EngineState::new(model, entry.zone.clone(), entry.started_ms));
    }

    /// Assigns engines and moves others, where some models may be assigned engines of some zones only.
    fn assign_placed(&mut self, now: Timestamp, models: &[Name], unassigned: Vec<&ServerEntry>) -> Vec<(Name, Name)> {
        let mut assigned_now = BTreeMap::new();
        for entry in unassigned {
            let counts = self.division(models).usable_counts();
            let is_candidate = |(model, count): &(&Name, &usize)| {
                self.lacks_engines(model, **count) && self.placement.allows(model, &entry.zone)
            };
            let model = counts.iter().filter(is_candidate).min_by_key(|(_, count)| **count);
            let Some(model) = model.map(|(model, _)| model.clone()) else { continue };
            self.assign(entry, model.clone());
            self.observe(now, entry);
            assigned_now.insert(entry.instance.clone(), model);
        }
        let moved = self.division(models).rebalance(|model, count| self.lacks_engines(model, count));
        for (instance, model) in moved {
            if let Some(state) = self.engines.get_mut(&instance) {
                state.move_to(model.clone());
                assigned_now.insert(instance, model);
            }
        }
        assigned_now.into_iter().collect()
    }

    fn division<'a>(&'a self, models: &'a [Name]) -> EngineDivision<'a> {
        let placed = |(instance, state): (&Name, &EngineState)| PlacedEngine {
            instance: instance.clone(),
            zone: state.zone.clone(),
            model: state.model.clone(),
        };
        EngineDivision { placement: &self.placement, models, engines: self.engines.iter().map(placed).collect() }
    }

    fn engines_per_model(&self, models: &[Name]) -> BTreeMap<Name, usize> {
        let mut engine_counts: BTreeMap<Name, usize> = models.iter().map(|model| (model.clone(), 0)).collect();
        for state in self.engines.values() {
            if let Some(count) = engine_counts.get_mut(&state.model) {
                *count += 1;
            }
        }
        engine_counts
    }

    /// Resets the state of an engine that was restarted, except for its model: it may have loaded another
    /// version, and counts accepted orders from zero again.
    fn reset_if_restarted(&mut self, entry: &ServerEntry) {
        let Some(state) = self.engines.get_mut(&entry.instance) else { return };
        if state.started_ms == entry.started_ms {
            return;
        }
        *state = EngineState::new(state.model.clone(), entry.zone.clone(), entry.started_ms);
        if self.load_time.is_measured(&entry.instance) {
            self.load_time.cancel_measurement();
        }
    }

    fn observe(&mut self, now: Timestamp, entry: &ServerEntry) {
        let discovery_timeout = self.settings.discovery_timeout;
        let Some(state) = self.engines.get_mut(&entry.instance) else { return };
        let reported = entry.models.iter().find(|(model, _)| *model == state.model).map_or(0, |(_, version)| *version);
        match state.ordered {
            Some((version, _)) if reported >= version => {
                state.ordered = None;
                state.loaded_version = state.loaded_version.max(reported);
            }
            // Discovery still shows an older version long after the order, so the load failed.
            Some((_, at)) if now.since(at) >= discovery_timeout => {
                state.ordered = None;
                state.accepted_orders = None;
                state.loaded_version = reported;
            }
            Some(_) => {}
            None => state.loaded_version = state.loaded_version.max(reported),
        }
    }

    /// Returns the model with the fewest engines among those that need more.
    fn model_with_fewest_engines(&self, engine_counts: &BTreeMap<Name, usize>) -> Option<Name> {
        let lacking = engine_counts.iter().filter(|(model, count)| self.lacks_engines(model, **count));
        lacking.min_by_key(|(_, count)| **count).map(|(model, _)| model.clone())
    }

    fn lacks_engines(&self, model: &Name, count: usize) -> bool {
        self.needed_engines.get(model).is_none_or(|need| count < *need)
    }

    /// Moves engines from the model with the most engines to the one with the fewest among those that need
    /// more, until they differ by at most one. They differ by more after engines were lost.
    fn rebalance(&mut self, mut engine_counts: BTreeMap<Name, usize>) -> Vec<(Name, Name)> {
        let mut moved = Vec::new();
        loop {
            let Some(least) = self.model_with_fewest_engines(&engine_counts) else { return moved };
            let Some((most, count)) = engine_counts.iter().max_by_key(|(_, count)| **count) else { return moved };
            if *count <= engine_counts[&least] + 1 {
                return moved;
            }
            let most = most.clone();
            *engine_counts.entry(least.clone()).or_default() += 1;
            *engine_counts.entry(most.clone()).or_default() -= 1;
            let Some((instance, state)) = self.engines.iter_mut().find(|(_, state)| state.model == most) else {
                return moved;
            };
            state.move_to(least.clone());
            moved.push((instance.clone(), least));
        }
    }

    /// Returns the orders to send now. Engines with the oldest weights come first, and among them those with the
    /// fewest requests. `in_flight` returns the number of an engine's requests, or `None` if it may not be
    /// ordered yet.
    pub fn next_orders(&mut self, now: Timestamp, in_flight: impl Fn(&str) -> Option<u32>) -> Vec<DueOrder> {
        let by_fraction = (self.registered as f64 * self.settings.parallel_fraction).round() as usize;
        let max_parallel = by_fraction.max(self.settings.min_parallel);
        let loading = self.engines.values().filter(|state| self.is_loading(now, state)).count();
        let mut due: Vec<(WeightVersion, u32, Name)> = Vec::new();
        for (instance, state) in &self.engines {
            if self.is_loading(now, state) || now < state.not_before || !self.is_behind(state) {
                continue;
            }
            if let Some(requests) = in_flight(instance) {
                due.push((state.expected_version(), requests, instance.clone()));
            }
        }
        self.retain_newest_fraction(&mut due);
        due.truncate(max_parallel.saturating_sub(loading));
        let mut orders: Vec<DueOrder> = self.due_poll(now).into_iter().collect();
        for (_, _, instance) in due {
            let Some(state) = self.engines.get_mut(&instance) else { continue };
            state.is_sending = true;
            let version = self.targets[&state.model];
            orders.push(DueOrder {
                instance,
                model: state.model.clone(),
                version,
                orders_before: state.accepted_orders,
            });
        }
        orders
    }

    /// Returns the poll for the engine whose load is measured, if it is due.
    fn due_poll(&mut self, now: Timestamp) -> Option<DueOrder> {
        let instance = self.load_time.take_due_poll(now)?;
        let state = self.engines.get(&instance)?;
        let version = state.expected_version();
        Some(DueOrder { instance, model: state.model.clone(), version, orders_before: None })
    }

    fn is_loading(&self, now: Timestamp, state: &EngineState) -> bool {
        state.is_sending || state.ordered.is_some_and(|(_, at)| self.load_time.is_unfinished(now, at))
    }

    fn is_behind(&self, state: &EngineState) -> bool {
        self.targets.get(&state.model).is_some_and(|target| state.expected_version() < *target)
    }

    /// Removes engines from `due` whose version jobs still accept, once `newest_fraction` of the model's
    /// engines have or load the newest version.
    fn retain_newest_fraction(&self, due: &mut Vec<(WeightVersion, u32, Name)>) {
        let mut engines: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for state in self.engines.values() {
            let Some(target) = self.targets.get(&state.model) else { continue };
            let (all, newest) = engines.entry(&state.model).or_default();
            *all += 1;
            *newest += usize::from(state.is_sending || state.expected_version() >= *target);
        }
        let missing_of = |(model, (all, newest)): (_, (usize, usize))| {
            let wanted = (all as f64 * self.settings.newest_fraction).ceil() as usize;
            (model, wanted.saturating_sub(newest))
        };
        let mut missing: BTreeMap<&Name, usize> = engines.into_iter().map(missing_of).collect();
        // Engines with the oldest version come first, and among them those with the fewest requests.
        due.sort();
        due.retain(|(version, _, instance)| {
            let model = &self.engines[instance].model;
            let (target, lag) = (self.targets[model], self.accepted_lags.get(model).copied().unwrap_or(0));
            let missing = missing.entry(model).or_default();
            let is_accepted = version + lag >= target;
            let is_wanted = !is_accepted || *missing > 0;
            *missing = missing.saturating_sub(1);
            is_wanted
        });
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, now: Timestamp, order: &DueOrder, outcome: OrderOutcome, orders_before: u64) {
        let retry_delay = self.settings.retry_delay;
        let Some(state) = self.engines.get_mut(&order.instance) else { return };
        state.is_sending = false;
        match outcome {
            OrderOutcome::Accepted => {
                state.ordered = Some((order.version, now));
                state.accepted_orders = Some(orders_before + 1);
                self.load_time.record_order(now, &order.instance);
            }
            OrderOutcome::AlreadyLoaded => {
                state.loaded_version = state.loaded_version.max(order.version);
                state.accepted_orders = Some(orders_before);
            }
            OrderOutcome::Refused | OrderOutcome::Unknown => {
                state.accepted_orders = None;
                state.not_before = now + retry_delay;
            }
            OrderOutcome::NotSent => state.not_before = now + retry_delay,
        }
    }

    /// Records the report of an engine that was polled.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        instance: &str,
        version: WeightVersion,
        is_loading: bool,
        orders: u64,
    ) {
        let retry_delay = self.settings.retry_delay;
        let Some(state) = self.engines.get_mut(instance) else { return };
        if self.load_time.is_measured(instance) && !state.is_sending {
            let report = match version >= state.expected_version() {
                true => LoadReport::Loaded,
                false if is_loading => LoadReport::Loading,
                false => LoadReport::Dropped,
            };
            return self.load_time.record_report(now, report);
        }
        state.is_sending = false;
        state.accepted_orders = Some(orders);
        if version > state.loaded_version {
            state.loaded_version = version;
        }
        if is_loading {
            state.accepted_orders = None;
            state.not_before = now + retry_delay;
        }
    }

    /// Records that an engine did not respond to a poll.
    pub fn record_unreachable(&mut self, now: Timestamp, instance: &str) {
        let retry_delay = self.settings.retry_delay;
        let Some(state) = self.engines.get_mut(instance) else { return };
        if self.load_time.is_measured(instance) {
            self.load_time.cancel_measurement();
        }
        state.is_sending = false;
        state.not_before = now + retry_delay;
    }

    /// Returns the instance ids of the engines with their models.
    pub fn models(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.engines.iter().map(|(instance, state)| (instance, &state.model))
    }
}

impl EngineState {
    /// Returns the version that the engine will have once its pending load ends, or has if none is pending.
    fn expected_version(&self) -> WeightVersion {
        self.ordered.map_or(self.loaded_version, |(version, _)| version)
    }

    /// Assigns the engine to another model, of which it may have any version.
    fn move_to(&mut self, model: Name) {
        let accepted_orders = self.accepted_orders;
        *self = Self { accepted_orders, ..Self::new(model, self.zone.clone(), self.started_ms) };
    }

    fn new(model: Name, zone: Name, started_ms: u64) -> Self {
        let not_before = Timestamp::default();
        Self {
            model,
            zone,
            started_ms,
            loaded_version: 0,
            ordered: None,
            is_sending: false,
            accepted_orders: None,
            not_before,
        }
    }
}
