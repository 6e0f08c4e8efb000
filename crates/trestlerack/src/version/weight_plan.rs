//! Decides which engine loads which weight version next, for the holder of the order lease.

use super::WeightVersion;
use super::load_time::{LoadReport, LoadTime};
use crate::process::ServerEntry;
use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Settings of a [`WeightPlan`].
#[derive(Clone, Debug)]
pub struct WeightPlanSettings {
    /// Share of a service's engines that may load at once, which an operator knows from the store of
    /// weights. More of them at once only slow each other down.
    pub parallel_share: f64,
    /// Engines that may load at once in any case.
    pub parallel_least: usize,
    /// Share of a model's engines that are brought to its newest version at once, while jobs accept
    /// the one before as well. The others load when the next version is named: each engine then
    /// loads every second version, and half as many runs wait for a load. With a third or two
    /// thirds, days were worth 0.02 to 0.03 less (docs/MEASUREMENTS.md).
    pub newest_share: f64,
    /// Time that a load takes until loads were seen, from which it is learnt.
    pub load_time: Duration,
    /// Pause before an engine whose order failed is ordered again.
    pub retry_pause: Duration,
    /// Time after which service discovery must show a load, or it counts as not done: what an entry
    /// takes to lapse, and [`LIST_LAG`].
    pub proof_time: Duration,
}

/// Time by which service discovery may be behind an engine's heartbeat: the pause of its watch and a slow
/// store's answer.
pub const LIST_LAG: Duration = Duration::from_millis(900);

impl Default for WeightPlanSettings {
    fn default() -> Self {
        Self {
            parallel_share: 0.2,
            parallel_least: 2,
            newest_share: 0.5,
            load_time: Duration::from_millis(950),
            retry_pause: Duration::from_millis(150),
            proof_time: Duration::from_millis(3_600) + LIST_LAG,
        }
    }
}

/// The row by which the holder of the order lease tells all nodes what an engine is ordered.
///
/// It is written before the order is sent, so that whoever holds the lease next knows of every
/// order that may be on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Model that the engine serves.
    pub model: Name,
    /// Version that it was last ordered to hold; 0 if it was not ordered yet.
    pub version: WeightVersion,
    /// Time of that order on the store's clock, in milliseconds.
    pub ordered_ms: u64,
    /// Time of the last try of any order on the store's clock, in milliseconds.
    pub tried_ms: u64,
    /// VM that tried it.
    pub holder: Name,
    /// How long a load is expected to take, in milliseconds.
    #[serde(default)]
    pub load_ms: u64,
}

impl EngineAssignment {
    /// Returns whether `holder` may order the engine at `clock_ms`: at once if it tried last
    /// itself, and otherwise once `handover` has passed since the last try of the holder before.
    pub fn is_open_to(&self, holder: &str, clock_ms: u64, handover: Duration) -> bool {
        let quiet_until = self.tried_ms + crate::time::millis(handover);
        self.tried_ms == 0 || &*self.holder == holder || clock_ms >= quiet_until
    }
}

/// An order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueOrder {
    /// Engine.
    pub instance: Name,
    /// Model.
    pub model: Name,
    /// Version to load.
    pub version: WeightVersion,
    /// Orders that the engine accepted so far, or `None` if it must be asked first.
    pub orders_before: Option<u64>,
}

/// How an order went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine loads the version.
    Accepted,
    /// The engine holds the version already.
    Held,
    /// The engine refused the order: it carries out another one, or accepted others since.
    Refused,
    /// Nobody knows whether the engine accepted the order.
    Unknown,
    /// The order did not reach the engine.
    NotSent,
}

impl OrderOutcome {
    /// Returns the name that logs and metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Held => "held",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::NotSent => "notsent",
        }
    }
}

#[derive(Clone, Debug)]
struct EngineState {
    model: Name,
    /// Start of the engine that the rest is of.
    started_ms: u64,
    held: WeightVersion,
    ordered: Option<(WeightVersion, Timestamp)>,
    is_sending: bool,
    orders: Option<u64>,
    not_before: Timestamp,
}

/// The weights of all engines of one service.
#[derive(Debug, Default)]
pub struct WeightPlan {
    settings: WeightPlanSettings,
    targets: BTreeMap<Name, WeightVersion>,
    /// How many versions behind the target a model's jobs accept.
    lags: BTreeMap<Name, WeightVersion>,
    /// Engines that a model's work needs; all share alike where that is not known.
    needs: BTreeMap<Name, usize>,
    /// The engines that serve a model. Those that no model needs yet are not among them.
    engines: BTreeMap<Name, EngineState>,
    /// Engines of the service, with those that no model needs yet.
    listed: usize,
    load_time: LoadTime,
}

impl Default for LoadTime {
    fn default() -> Self {
        Self::new(WeightPlanSettings::default().load_time)
    }
}

impl WeightPlan {
    /// Builds an empty plan.
    pub fn new(settings: WeightPlanSettings) -> Self {
        Self { load_time: LoadTime::new(settings.load_time), settings, ..Self::default() }
    }

    /// Returns how long a load is expected to take.
    pub fn load_time(&self) -> Duration {
        self.load_time.estimate()
    }

    /// Records that a trainer named a version.
    pub fn target(&mut self, model: &Name, version: WeightVersion) {
        let target = self.targets.entry(model.clone()).or_insert(version);
        *target = (*target).max(version);
    }

    /// Records how many versions behind the newest one the jobs of a model accept; none before this
    /// was said.
    pub fn allow_lag(&mut self, model: &Name, lag: WeightVersion) {
        self.lags.insert(model.clone(), lag);
    }

    /// Records how many engines the work of a model needs. It gets no more while others have none to spare,
    /// and keeps those that it has.
    pub fn need(&mut self, model: &Name, engines: usize) {
        self.needs.insert(model.clone(), engines);
    }

    /// Takes over the registered engines of the service, which serves `models`, and what the
    /// store says about their models. Returns the engines whose model was decided or changed now.
    pub fn sync(
        &mut self,
        now: Timestamp,
        models: &[Name],
        entries: &[&ServerEntry],
        assigned: &BTreeMap<Name, EngineAssignment>,
    ) -> Vec<(Name, Name)> {
        let listed: HashSet<&Name> = entries.iter().map(|entry| &entry.instance).collect();
        self.listed = listed.len();
        self.engines.retain(|instance, _| listed.contains(instance));
        if !self.engines.keys().any(|instance| self.load_time.is_watched(instance)) {
            self.load_time.lost();
        }
        let mut free: Vec<&ServerEntry> = Vec::new();
        for entry in entries {
            self.forget_earlier_start(entry);
            if !self.engines.contains_key(&entry.instance) {
                let Some(assignment) = assigned.get(&entry.instance) else {
                    free.push(entry);
                    continue;
                };
                self.take(entry, assignment.model.clone());
            }
            self.observe(now, entry);
        }
        let mut served = self.count_served(models);
        let mut decided = Vec::new();
        for entry in free {
            let Some(model) = self.least_served(&served) else { break };
            decided.push((entry.instance.clone(), model.clone()));
            self.take(entry, model.clone());
            self.observe(now, entry);
            *served.entry(model).or_default() += 1;
        }
        if self.engines.len() == self.listed {
            decided.extend(self.rebalance(served));
        }
        decided
    }

    fn take(&mut self, entry: &ServerEntry, model: Name) {
        self.engines.insert(entry.instance.clone(), EngineState::new(model, entry.started_ms));
    }

    fn count_served(&self, models: &[Name]) -> BTreeMap<Name, usize> {
        let mut served: BTreeMap<Name, usize> = models.iter().map(|model| (model.clone(), 0)).collect();
        for state in self.engines.values() {
            if let Some(count) = served.get_mut(&state.model) {
                *count += 1;
            }
        }
        served
    }

    /// Forgets what an engine held and was ordered before it started again: its versions may be
    /// others now, and it counts orders from zero. It keeps its model.
    fn forget_earlier_start(&mut self, entry: &ServerEntry) {
        let Some(state) = self.engines.get_mut(&entry.instance) else { return };
        if state.started_ms == entry.started_ms {
            return;
        }
        *state = EngineState::new(state.model.clone(), entry.started_ms);
        if self.load_time.is_watched(&entry.instance) {
            self.load_time.lost();
        }
    }

    fn observe(&mut self, now: Timestamp, entry: &ServerEntry) {
        let proof_time = self.settings.proof_time;
        let Some(state) = self.engines.get_mut(&entry.instance) else { return };
        let listed = entry.models.iter().find(|(model, _)| *model == state.model).map_or(0, |(_, version)| *version);
        match state.ordered {
            Some((version, _)) if listed >= version => {
                state.ordered = None;
                state.held = state.held.max(listed);
            }
            // The list still shows an older version long after the order: it was not carried out.
            Some((_, at)) if now.since(at) >= proof_time => {
                state.ordered = None;
                state.orders = None;
                state.held = listed;
            }
            Some(_) => {}
            None => state.held = state.held.max(listed),
        }
    }

    /// Returns the model with the fewest engines among those that need more.
    fn least_served(&self, served: &BTreeMap<Name, usize>) -> Option<Name> {
        let lacking = served.iter().filter(|(model, count)| self.lacks(model, **count));
        lacking.min_by_key(|(_, count)| **count).map(|(model, _)| model.clone())
    }

    fn lacks(&self, model: &Name, count: usize) -> bool {
        self.needs.get(model).is_none_or(|need| count < *need)
    }

    /// Moves an engine from the model with the most engines to the one with the fewest, if the
    /// difference is more than one, as it is after engines were lost.
    fn rebalance(&mut self, mut served: BTreeMap<Name, usize>) -> Vec<(Name, Name)> {
        let mut moved = Vec::new();
        loop {
            let Some(least) = self.least_served(&served) else { return moved };
            let Some((most, count)) = served.iter().max_by_key(|(_, count)| **count) else { return moved };
            if *count <= served[&least] + 1 {
                return moved;
            }
            let most = most.clone();
            *served.entry(least.clone()).or_default() += 1;
            *served.entry(most.clone()).or_default() -= 1;
            let Some((instance, state)) = self.engines.iter_mut().find(|(_, state)| state.model == most) else {
                return moved;
            };
            *state = EngineState { orders: state.orders, ..EngineState::new(least.clone(), state.started_ms) };
            moved.push((instance.clone(), least));
        }
    }

    /// Returns the orders to send now, engines with the oldest weights first; `busy` says how much
    /// an engine has to do, since idle ones load first, or that it may not be ordered yet.
    pub fn next_orders(&mut self, now: Timestamp, busy: impl Fn(&str) -> Option<u32>) -> Vec<DueOrder> {
        let share = (self.listed as f64 * self.settings.parallel_share).round() as usize;
        let most = share.max(self.settings.parallel_least);
        let loading = self.engines.values().filter(|state| self.is_loading(now, state)).count();
        let mut due: Vec<(WeightVersion, u32, Name)> = Vec::new();
        for (instance, state) in &self.engines {
            if self.is_loading(now, state) || now < state.not_before || !self.wants_load(state) {
                continue;
            }
            if let Some(busy) = busy(instance) {
                due.push((state.coming(), busy, instance.clone()));
            }
        }
        self.keep_share(&mut due);
        due.truncate(most.saturating_sub(loading));
        let mut orders: Vec<DueOrder> = self.due_question(now).into_iter().collect();
        for (_, _, instance) in due {
            let Some(state) = self.engines.get_mut(&instance) else { continue };
            state.is_sending = true;
            let version = self.targets[&state.model];
            orders.push(DueOrder { instance, model: state.model.clone(), version, orders_before: state.orders });
        }
        orders
    }

    /// Returns the question whether the load that is looked at is done.
    fn due_question(&mut self, now: Timestamp) -> Option<DueOrder> {
        let instance = self.load_time.due(now)?;
        let state = self.engines.get(&instance)?;
        let version = state.coming();
        Some(DueOrder { instance, model: state.model.clone(), version, orders_before: None })
    }

    fn is_loading(&self, now: Timestamp, state: &EngineState) -> bool {
        state.is_sending || state.ordered.is_some_and(|(_, at)| self.load_time.is_under_way(now, at))
    }

    fn wants_load(&self, state: &EngineState) -> bool {
        self.targets.get(&state.model).is_some_and(|target| state.coming() < *target)
    }

    /// Takes out engines whose version jobs still accept, beyond the share that is to have the
    /// newest one already.
    fn keep_share(&self, due: &mut Vec<(WeightVersion, u32, Name)>) {
        let mut engines: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
        for state in self.engines.values() {
            let Some(target) = self.targets.get(&state.model) else { continue };
            let (all, newest) = engines.entry(&state.model).or_default();
            *all += 1;
            *newest += usize::from(state.is_sending || state.coming() >= *target);
        }
        let missing_of = |(model, (all, newest)): (_, (usize, usize))| {
            let wanted = (all as f64 * self.settings.newest_share).ceil() as usize;
            (model, wanted.saturating_sub(newest))
        };
        let mut missing: BTreeMap<&Name, usize> = engines.into_iter().map(missing_of).collect();
        // The oldest and idlest ones go first.
        due.sort();
        due.retain(|(held, _, instance)| {
            let model = &self.engines[instance].model;
            let (target, lag) = (self.targets[model], self.lags.get(model).copied().unwrap_or(0));
            let missing = missing.entry(model).or_default();
            let is_accepted = held + lag >= target;
            let is_wanted = !is_accepted || *missing > 0;
            *missing = missing.saturating_sub(1);
            is_wanted
        });
    }

    /// Records how an order went.
    pub fn ordered(&mut self, now: Timestamp, order: &DueOrder, outcome: OrderOutcome, orders_before: u64) {
        let pause = self.settings.retry_pause;
        let Some(state) = self.engines.get_mut(&order.instance) else { return };
        state.is_sending = false;
        match outcome {
            OrderOutcome::Accepted => {
                state.ordered = Some((order.version, now));
                state.orders = Some(orders_before + 1);
                self.load_time.ordered(now, &order.instance);
            }
            OrderOutcome::Held => {
                state.held = state.held.max(order.version);
                state.orders = Some(orders_before);
            }
            OrderOutcome::Refused | OrderOutcome::Unknown => {
                state.orders = None;
                state.not_before = now + pause;
            }
            OrderOutcome::NotSent => state.not_before = now + pause,
        }
    }

    /// Records what an engine reported when it was asked.
    pub fn reported(&mut self, now: Timestamp, instance: &str, version: WeightVersion, is_loading: bool, orders: u64) {
        let pause = self.settings.retry_pause;
        let Some(state) = self.engines.get_mut(instance) else { return };
        if self.load_time.is_watched(instance) && !state.is_sending {
            let report = match version >= state.coming() {
                true => LoadReport::Done,
                false if is_loading => LoadReport::Loading,
                false => LoadReport::Lost,
            };
            return self.load_time.reported(now, report);
        }
        state.is_sending = false;
        state.orders = Some(orders);
        if version > state.held {
            state.held = version;
        }
        if is_loading {
            state.orders = None;
            state.not_before = now + pause;
        }
    }

    /// Records that an engine could not be asked.
    pub fn unreachable(&mut self, now: Timestamp, instance: &str) {
        let pause = self.settings.retry_pause;
        let Some(state) = self.engines.get_mut(instance) else { return };
        if self.load_time.is_watched(instance) {
            self.load_time.lost();
        }
        state.is_sending = false;
        state.not_before = now + pause;
    }

    /// Returns the engines with their models.
    pub fn models(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.engines.iter().map(|(instance, state)| (instance, &state.model))
    }
}

impl EngineState {
    /// Returns the version that the engine holds, or will once it has loaded.
    fn coming(&self) -> WeightVersion {
        self.ordered.map_or(self.held, |(version, _)| version)
    }

    fn new(model: Name, started_ms: u64) -> Self {
        let not_before = Timestamp::default();
        Self { model, started_ms, held: 0, ordered: None, is_sending: false, orders: None, not_before }
    }
}
