//! Swaps weights on the engines that one owner drives, keeping enough of them serving.

use super::WeightVersion;
use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The version that a model's engines should hold, and the fencing number of who said so.
///
/// It is a level and not a step: repeating or reordering it is harmless, and a lower pair of
/// fence and version never replaces a higher one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightTarget {
    /// Model that is meant.
    pub model: Name,
    /// Version that its engines should hold.
    pub version: WeightVersion,
    /// Fencing number of the lease under which it was set.
    pub fence: u64,
    /// Engines that keep serving during the swap, in percent.
    pub serving_percent: u32,
    /// Whether the holder of the lease has waited out its predecessor's orders, so that engines
    /// that do not check fencing may be ordered too.
    pub quiet_over: bool,
}

impl WeightTarget {
    /// Returns whether this target replaces or repeats `held`.
    pub fn supersedes(&self, held: &Self) -> bool {
        self.fence >= held.fence && self.version >= held.version
    }
}

/// Settings of a [`RolloutPlanner`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSettings {
    /// How long an order may take before it counts as lost.
    pub order_timeout: Duration,
    /// Wait before an engine that failed an order is asked again; it doubles with each failure.
    pub retry_wait: Duration,
    /// Failures in a row after which an engine is set aside.
    pub max_failures: u32,
    /// How long an engine stays set aside before it is tried again.
    pub set_aside: Duration,
    /// How long a target may be acted on after it was last heard; a node that was paused then
    /// gives no orders from a target that may have been replaced.
    pub target_ttl: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            order_timeout: Duration::from_secs(10),
            retry_wait: Duration::from_millis(250),
            max_failures: 4,
            set_aside: Duration::from_secs(60),
            target_ttl: Duration::from_secs(6),
        }
    }
}

/// What a planner is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RolloutEvent {
    /// The engines that this owner drives now.
    Engines(Vec<RolloutEngine>),
    /// A new target.
    Target(WeightTarget),
    /// An engine said, in a status answer or a stream, which version it holds.
    Held {
        /// The engine.
        engine: Name,
        /// The version it holds.
        version: WeightVersion,
    },
    /// An order failed or its answer was lost.
    OrderFailed {
        /// The engine.
        engine: Name,
    },
    /// Time passed.
    Tick,
}

/// An engine that an owner drives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEngine {
    /// Name of the engine.
    pub name: Name,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// An order for an engine to hold a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The engine.
    pub engine: Name,
    /// The version it should hold.
    pub version: WeightVersion,
    /// Fencing number; an engine that checks it refuses an older one.
    pub fence: u64,
}

/// The progress of one engine, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRollout {
    /// The version that the engine last said it holds.
    pub held: Option<WeightVersion>,
    /// Failed orders in a row.
    pub failures: u32,
    /// Whether an order is out.
    pub ordered: bool,
    /// Whether the engine is set aside until its wait is over.
    pub set_aside: bool,
}

#[derive(Clone, Debug, Default)]
struct EngineState {
    held: Option<WeightVersion>,
    checks_fencing: bool,
    failures: u32,
    ordered_at: Option<Timestamp>,
    not_before: Timestamp,
}

/// Decides which engine of one model and one owner swaps next.
#[derive(Clone, Debug)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    target: Option<WeightTarget>,
    heard_at: Timestamp,
    engines: BTreeMap<Name, EngineState>,
}

impl RolloutPlanner {
    /// Builds a planner without engines and without a target.
    pub fn new(settings: RolloutSettings) -> Self {
        Self { settings, target: None, heard_at: Timestamp::default(), engines: BTreeMap::new() }
    }

    /// Returns the target that is in force.
    pub fn target(&self) -> Option<&WeightTarget> {
        self.target.as_ref()
    }

    /// Returns whether an order to `engine` is out, so that it should get no new work.
    pub fn is_swapping(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(|state| state.ordered_at.is_some())
    }

    /// Returns the version that `engine` last said it holds.
    pub fn held(&self, engine: &str) -> Option<WeightVersion> {
        self.engines.get(engine).and_then(|state| state.held)
    }

    /// Returns the progress of every engine.
    pub fn progress(&self) -> BTreeMap<Name, EngineRollout> {
        let report = |state: &EngineState| EngineRollout {
            held: state.held,
            failures: state.failures,
            ordered: state.ordered_at.is_some(),
            set_aside: state.failures >= self.settings.max_failures,
        };
        self.engines.iter().map(|(name, state)| (name.clone(), report(state))).collect()
    }

    /// Handles one event and returns the orders to send now.
    pub fn handle(&mut self, now: Timestamp, event: RolloutEvent) -> Vec<EngineOrder> {
        match event {
            RolloutEvent::Engines(engines) => self.replace_engines(engines),
            RolloutEvent::Target(target) => self.replace_target(now, target),
            RolloutEvent::Held { engine, version } => self.record_held(&engine, version),
            RolloutEvent::OrderFailed { engine } => self.record_failure(now, &engine),
            RolloutEvent::Tick => self.expire_orders(now),
        }
        self.next_orders(now)
    }

    fn replace_engines(&mut self, engines: Vec<RolloutEngine>) {
        let mut kept = BTreeMap::new();
        for engine in engines {
            let mut state = self.engines.remove(&engine.name).unwrap_or_default();
            state.checks_fencing = engine.checks_fencing;
            kept.insert(engine.name, state);
        }
        self.engines = kept;
    }

    fn replace_target(&mut self, now: Timestamp, target: WeightTarget) {
        if self.target.as_ref().is_some_and(|held| !target.supersedes(held)) {
            return;
        }
        if self.target.as_ref().is_none_or(|held| held.version != target.version) {
            for state in self.engines.values_mut() {
                state.failures = 0;
                state.not_before = Timestamp::default();
            }
        }
        self.target = Some(target);
        self.heard_at = now;
    }

    fn record_held(&mut self, engine: &str, version: WeightVersion) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        state.held = Some(version);
        if self.target.as_ref().is_some_and(|target| version >= target.version) {
            state.ordered_at = None;
            state.failures = 0;
        }
    }

    fn record_failure(&mut self, now: Timestamp, engine: &str) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        state.ordered_at = None;
        state.failures = (state.failures + 1).min(self.settings.max_failures);
        let wait = if state.failures >= self.settings.max_failures {
            self.settings.set_aside
        } else {
            self.settings.retry_wait * 2_u32.pow(state.failures - 1)
        };
        state.not_before = now + wait;
    }

    fn expire_orders(&mut self, now: Timestamp) {
        let limit = self.settings.order_timeout;
        let lost = |state: &EngineState| state.ordered_at.is_some_and(|at| now.since(at) >= limit);
        let expired: Vec<Name> =
            self.engines.iter().filter(|(_, state)| lost(state)).map(|(name, _)| name.clone()).collect();
        for engine in expired {
            self.record_failure(now, &engine);
        }
    }

    fn next_orders(&mut self, now: Timestamp) -> Vec<EngineOrder> {
        let Some(target) = self.target.clone() else { return Vec::new() };
        if now.since(self.heard_at) >= self.settings.target_ttl {
            return Vec::new();
        }
        let mut free = self.allowed_swaps(target.serving_percent).saturating_sub(self.swapping());
        let mut orders = Vec::new();
        for (name, state) in &mut self.engines {
            let behind = state.held.is_none_or(|held| held < target.version);
            let may_order = target.quiet_over || state.checks_fencing;
            if free == 0 || !may_order || !behind || state.ordered_at.is_some() || now < state.not_before {
                continue;
            }
            state.ordered_at = Some(now);
            free -= 1;
            orders.push(EngineOrder { engine: name.clone(), version: target.version, fence: target.fence });
        }
        orders
    }

    /// Returns how many engines may swap together. At least one may, or a model with a single
    /// engine could never be updated.
    fn allowed_swaps(&self, serving_percent: u32) -> usize {
        let engines = self.engines.len();
        let serving = (engines * serving_percent as usize).div_ceil(100);
        engines.saturating_sub(serving).max(1)
    }

    fn swapping(&self) -> usize {
        self.engines.values().filter(|state| state.ordered_at.is_some()).count()
    }
}
