//! Plans weight swaps on the engines of one owner so that enough of them keep serving.

use super::WeightVersion;
use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The weight version that a model's engines should load, with the fencing token of the lease holder that
/// set it.
///
/// It names the wanted state and not a change, so that it may be repeated or reordered. A target with a
/// lower fencing token or a lower version never replaces the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightTarget {
    /// Model whose engines should load the version.
    pub model: Name,
    /// Version that the engines should load.
    pub version: WeightVersion,
    /// Fencing token of the lease under which the target was set.
    pub fence: u64,
    /// Smallest share of the engines that keeps serving during the swap, in percent.
    pub serving_percent: u32,
    /// Whether orders of the previous lease holder can no longer arrive, so that engines that do not check
    /// fencing tokens may be ordered too.
    #[serde(rename = "quiet_over")]
    pub is_handover_complete: bool,
}

impl WeightTarget {
    /// Returns whether this target replaces or repeats `current`.
    pub fn supersedes(&self, current: &Self) -> bool {
        self.fence >= current.fence && self.version >= current.version
    }
}

/// Settings of a [`RolloutPlanner`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSettings {
    /// Time after which an order without a response counts as failed.
    pub order_timeout: Duration,
    /// Delay before an engine that failed an order is ordered again; it doubles with each further failure.
    #[serde(rename = "retry_wait")]
    pub first_backoff: Duration,
    /// Consecutive failures after which an engine is not ordered for `failure_cooldown`.
    pub max_failures: u32,
    /// Delay before an engine with `max_failures` consecutive failures is ordered again.
    #[serde(rename = "set_aside")]
    pub failure_cooldown: Duration,
    /// Time after which a target that was not received again is no longer acted on. A node that was paused
    /// sends no orders for a target that may have been replaced meanwhile.
    pub target_ttl: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            order_timeout: Duration::from_secs(10),
            first_backoff: Duration::from_millis(250),
            max_failures: 4,
            failure_cooldown: Duration::from_secs(60),
            target_ttl: Duration::from_secs(6),
        }
    }
}

/// An input of a [`RolloutPlanner`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RolloutEvent {
    /// The complete list of engines that this owner drives.
    Engines(Vec<RolloutEngine>),
    /// A target, new or repeated.
    Target(WeightTarget),
    /// An engine reported its loaded version, in a status response or a stream.
    #[serde(rename = "Held")]
    VersionReported {
        /// The engine.
        engine: Name,
        /// The loaded version.
        version: WeightVersion,
    },
    /// An order failed or its response was lost.
    OrderFailed {
        /// The engine.
        engine: Name,
    },
    /// A timer event.
    Tick,
}

/// An engine that an owner drives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutEngine {
    /// Name of the engine.
    pub name: Name,
    /// Whether the engine rejects an order with an old fencing token.
    pub checks_fencing: bool,
}

/// An order to an engine to load a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The engine.
    pub engine: Name,
    /// The version to load.
    pub version: WeightVersion,
    /// Fencing token; an engine that checks it rejects an older one.
    pub fence: u64,
}

/// The rollout progress of one engine, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRollout {
    /// The loaded version that the engine last reported.
    #[serde(rename = "held")]
    pub loaded_version: Option<WeightVersion>,
    /// Consecutive failed orders.
    pub failures: u32,
    /// Whether an order is pending.
    #[serde(rename = "ordered")]
    pub is_order_pending: bool,
    /// Whether the engine failed so often that it gets no order until its cooldown ends.
    #[serde(rename = "set_aside")]
    pub is_cooling_down: bool,
}

#[derive(Clone, Debug, Default)]
struct EngineState {
    loaded_version: Option<WeightVersion>,
    checks_fencing: bool,
    failures: u32,
    ordered_at: Option<Timestamp>,
    not_before: Timestamp,
}

/// Decides which engines of one model and one owner load the target version next.
#[derive(Clone, Debug)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    target: Option<WeightTarget>,
    target_received_at: Timestamp,
    engines: BTreeMap<Name, EngineState>,
}

impl RolloutPlanner {
    /// Builds a planner without engines and without a target.
    pub fn new(settings: RolloutSettings) -> Self {
        Self { settings, target: None, target_received_at: Timestamp::default(), engines: BTreeMap::new() }
    }

    /// Returns the current target.
    pub fn target(&self) -> Option<&WeightTarget> {
        self.target.as_ref()
    }

    /// Returns whether an order to `engine` is pending, so that it should get no new work.
    pub fn is_swapping(&self, engine: &str) -> bool {
        self.engines.get(engine).is_some_and(|state| state.ordered_at.is_some())
    }

    /// Returns the loaded version that `engine` last reported.
    pub fn loaded_version(&self, engine: &str) -> Option<WeightVersion> {
        self.engines.get(engine).and_then(|state| state.loaded_version)
    }

    /// Returns the progress of every engine.
    pub fn progress(&self) -> BTreeMap<Name, EngineRollout> {
        let report = |state: &EngineState| EngineRollout {
            loaded_version: state.loaded_version,
            failures: state.failures,
            is_order_pending: state.ordered_at.is_some(),
            is_cooling_down: state.failures >= self.settings.max_failures,
        };
        self.engines.iter().map(|(name, state)| (name.clone(), report(state))).collect()
    }

    /// Handles one event and returns the orders to send now.
    pub fn handle(&mut self, now: Timestamp, event: RolloutEvent) -> Vec<EngineOrder> {
        match event {
            RolloutEvent::Engines(engines) => self.replace_engines(engines),
            RolloutEvent::Target(target) => self.replace_target(now, target),
            RolloutEvent::VersionReported { engine, version } => self.record_version(&engine, version),
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
        if self.target.as_ref().is_some_and(|current| !target.supersedes(current)) {
            return;
        }
        if self.target.as_ref().is_none_or(|current| current.version != target.version) {
            for state in self.engines.values_mut() {
                state.failures = 0;
                state.not_before = Timestamp::default();
            }
        }
        self.target = Some(target);
        self.target_received_at = now;
    }

    fn record_version(&mut self, engine: &str, version: WeightVersion) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        state.loaded_version = Some(version);
        if self.target.as_ref().is_some_and(|target| version >= target.version) {
            state.ordered_at = None;
            state.failures = 0;
        }
    }

    fn record_failure(&mut self, now: Timestamp, engine: &str) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        state.ordered_at = None;
        state.failures = (state.failures + 1).min(self.settings.max_failures);
        let delay = if state.failures >= self.settings.max_failures {
            self.settings.failure_cooldown
        } else {
            self.settings.first_backoff * 2_u32.pow(state.failures - 1)
        };
        state.not_before = now + delay;
    }

    fn expire_orders(&mut self, now: Timestamp) {
        let timeout = self.settings.order_timeout;
        let is_expired = |state: &EngineState| state.ordered_at.is_some_and(|at| now.since(at) >= timeout);
        let expired: Vec<Name> =
            self.engines.iter().filter(|(_, state)| is_expired(state)).map(|(name, _)| name.clone()).collect();
        for engine in expired {
            self.record_failure(now, &engine);
        }
    }

    fn next_orders(&mut self, now: Timestamp) -> Vec<EngineOrder> {
        let Some(target) = self.target.clone() else { return Vec::new() };
        if now.since(self.target_received_at) >= self.settings.target_ttl {
            return Vec::new();
        }
        let mut remaining = self.allowed_swaps(target.serving_percent).saturating_sub(self.swapping_engines());
        let mut orders = Vec::new();
        for (name, state) in &mut self.engines {
            let is_behind = state.loaded_version.is_none_or(|version| version < target.version);
            let may_order = target.is_handover_complete || state.checks_fencing;
            if remaining == 0 || !may_order || !is_behind || state.ordered_at.is_some() || now < state.not_before {
                continue;
            }
            state.ordered_at = Some(now);
            remaining -= 1;
            orders.push(EngineOrder { engine: name.clone(), version: target.version, fence: target.fence });
        }
        orders
    }

    /// Returns how many engines may swap at the same time. It is at least one, since a model with a single
    /// engine could not be updated otherwise.
    fn allowed_swaps(&self, serving_percent: u32) -> usize {
        let engines = self.engines.len();
        let serving = (engines * serving_percent as usize).div_ceil(100);
        engines.saturating_sub(serving).max(1)
    }

    fn swapping_engines(&self) -> usize {
        self.engines.values().filter(|state| state.ordered_at.is_some()).count()
    }
}
