//! Dispatch of calls to the engines that this node owns, and the rollout of weights to them.

use super::shards::Sharded;
use crate::process::clock::SystemClock;
use crate::process::logs;
use crate::process::recorder::TraceRecorder;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use tokio::sync::oneshot;
use trestlerack::connection::{DrainSource, DrainUpdate, NodeLoad};
use trestlerack::hash::hash_parts;
use trestlerack::interfaces::EngineStatus;
use trestlerack::process::{DaemonSettings, DrainingServers};
use trestlerack::request::{
    DispatchAction, DispatchEngine, DispatchEvent, DispatchSettings, EngineDispatcher, QueuedCall,
};
use trestlerack::trace::TraceHead;
use trestlerack::version::{
    Backend, Configuration, EngineOrder, RolloutEngine, RolloutEvent, RolloutPlanner, RolloutSettings, WeightTarget,
    WeightVersion,
};
use trestlerack::{Failure, Name, Timestamp, event};

/// Engine with a slot that was granted to a call.
pub struct Grant {
    /// Name of the engine.
    pub engine: Name,
    /// Zone of the engine.
    pub zone: Name,
    /// Address of the engine.
    pub address: Name,
}

/// Outcome of the dispatch of one call.
pub type GrantResult = Result<Grant, Failure>;

/// Dispatcher and rollout of one model's engines.
struct ModelState {
    model: Name,
    dispatcher: EngineDispatcher,
    rollout: RolloutPlanner,
    grant_senders: HashMap<u64, oneshot::Sender<GrantResult>>,
}

type ModelStates = HashMap<Name, ModelState>;

/// Dispatchers and rollouts of the owned engines by model, and the availability of backend servers.
pub struct DispatcherTable {
    dispatch_settings: DispatchSettings,
    rollout_settings: RolloutSettings,
    models: Sharded<ModelStates>,
    engines: RwLock<BTreeMap<Name, Backend>>,
    draining: Mutex<DrainingServers>,
    unreachable: Mutex<HashSet<Name>>,
    last_id: AtomicU64,
    recorder: Arc<TraceRecorder>,
}

impl DispatcherTable {
    /// Builds an empty table.
    pub fn new(settings: &DaemonSettings, recorder: Arc<TraceRecorder>) -> Self {
        let rollout_settings = RolloutSettings {
            order_timeout: Duration::from_millis(settings.order_timeout_ms),
            target_ttl: Duration::from_millis(settings.lease_ttl_ms),
            ..RolloutSettings::default()
        };
        Self {
            dispatch_settings: DispatchSettings {
                max_queue: settings.max_queue,
                policy: settings.choice_policy(),
                admission: settings.policy_admission,
                ..DispatchSettings::default()
            },
            rollout_settings,
            models: Sharded::default(),
            engines: RwLock::default(),
            draining: Mutex::default(),
            unreachable: Mutex::default(),
            last_id: AtomicU64::new(0),
            recorder,
        }
    }

    /// Replaces the engines that this node owns.
    pub fn set_owned(&self, now: Timestamp, config: &Configuration, owned: &[Name]) {
        let mut engines = BTreeMap::new();
        for name in owned {
            if let Some(backend) = config.backend(name) {
                engines.insert(name.clone(), backend.clone());
            }
        }
        let mut by_model: BTreeMap<Name, Vec<Backend>> = BTreeMap::new();
        for backend in engines.values() {
            by_model.entry(backend.service.clone()).or_default().push(backend.clone());
        }
        *self.engines.write().unwrap() = engines;
        for mut shard in self.models.each() {
            for (model, state) in shard.iter_mut() {
                let backends = by_model.remove(model).unwrap_or_default();
                self.replace_engines(now, state, &backends);
            }
        }
        for (model, backends) in by_model {
            let mut shard = self.models.lock(&model);
            let state = self.model_state(&mut shard, &model);
            self.replace_engines(now, state, &backends);
        }
    }

    /// Queues a call. The receiver gets its grant, or the failure with which it was rejected.
    pub fn enqueue(&self, now: Timestamp, model: &Name, call: QueuedCall) -> oneshot::Receiver<GrantResult> {
        let (sender, receiver) = oneshot::channel();
        let mut shard = self.models.lock(model);
        let state = self.model_state(&mut shard, model);
        state.grant_senders.insert(call.id, sender);
        self.dispatch(now, state, DispatchEvent::Arrived(call));
        receiver
    }

    /// Returns the id of a new call.
    pub fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that a started call ended.
    pub fn record_end(&self, now: Timestamp, model: &Name, id: u64, succeeded: bool, tokens: u32) {
        self.send_event(now, model, DispatchEvent::Ended { id, succeeded, tokens });
    }

    /// Cancels a call that is queued or running.
    pub fn cancel(&self, now: Timestamp, model: &Name, id: u64) {
        self.send_event(now, model, DispatchEvent::Cancelled { id });
    }

    /// Returns the load of this node's engines of one model.
    pub fn load(&self, now: Timestamp, model: &Name) -> NodeLoad {
        let shard = self.models.lock(model);
        let Some(state) = shard.get(model) else { return NodeLoad::default() };
        let (slots, in_flight, queued) = state.dispatcher.load(now);
        NodeLoad { slots, in_flight, queued, millis_per_token: state.dispatcher.millis_per_token() }
    }

    /// Runs the timers of all models and returns the orders to send.
    pub fn tick(&self, now: Timestamp) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        for mut shard in self.models.each() {
            for state in shard.values_mut() {
                self.dispatch(now, state, DispatchEvent::Tick);
                orders.extend(state.rollout.handle(now, RolloutEvent::Tick));
            }
        }
        orders
    }

    /// Sets the weight target of a model and returns the orders to send.
    pub fn set_target(&self, now: Timestamp, target: WeightTarget) -> Vec<EngineOrder> {
        let mut shard = self.models.lock(&target.model);
        let state = self.model_state(&mut shard, &target.model);
        state.rollout.handle(now, RolloutEvent::Target(target))
    }

    /// Returns the target version of a model.
    pub fn target_version(&self, model: &Name) -> Option<WeightVersion> {
        let shard = self.models.lock(model);
        shard.get(model).and_then(|state| Some(state.rollout.target()?.version))
    }

    /// Records the status of an engine and returns the orders to send.
    pub fn record_status(&self, now: Timestamp, engine: &Name, status: &EngineStatus) -> Vec<EngineOrder> {
        self.set_reachable(now, engine, true);
        self.record_draining(now, engine, status.leaving);
        status.loaded_version.map_or_else(Vec::new, |version| self.record_version(now, engine, version))
    }

    /// Records the version that an engine reports and returns the orders to send.
    pub fn record_version(&self, now: Timestamp, engine: &Name, version: WeightVersion) -> Vec<EngineOrder> {
        let Some(model) = self.model_of(engine) else { return Vec::new() };
        let mut shard = self.models.lock(&model);
        let state = self.model_state(&mut shard, &model);
        self.dispatch(now, state, DispatchEvent::VersionReported { engine: engine.clone(), version });
        state.rollout.handle(now, RolloutEvent::VersionReported { engine: engine.clone(), version })
    }

    /// Records a failed order and returns the orders to send.
    pub fn record_order_failure(&self, now: Timestamp, engine: &Name) -> Vec<EngineOrder> {
        let Some(model) = self.model_of(engine) else { return Vec::new() };
        let mut shard = self.models.lock(&model);
        let state = self.model_state(&mut shard, &model);
        let orders = state.rollout.handle(now, RolloutEvent::OrderFailed { engine: engine.clone() });
        if state.rollout.progress().get(engine).is_some_and(|progress| progress.is_cooling_down) {
            logs::write(event::ENGINE_SET_ASIDE, &[("engine", engine)]);
        }
        orders
    }

    /// Returns names and addresses of the owned engines whose status is polled at `tick`.
    ///
    /// Each engine is polled every [`POLL_INTERVAL_TICKS`]. Engines that are unreachable, have reported no
    /// version or are swapping weights are polled at every tick.
    ///
    /// The responses of a healthy engine show its state, so polling all engines at every tick would only
    /// add traffic in the order of engines times rate ([docs/CAPACITY.md](../../../../docs/CAPACITY.md)).
    pub fn engines_to_poll(&self, tick: u64) -> Vec<(Name, Name)> {
        // Copied because `needs_poll` locks the state of a model, and locks are not nested.
        let engines: Vec<Backend> = self.engines.read().unwrap().values().cloned().collect();
        let unreachable = self.unreachable.lock().unwrap().clone();
        let is_due = |backend: &Backend| {
            let phase = hash_parts(&[&backend.name]) % POLL_INTERVAL_TICKS;
            tick % POLL_INTERVAL_TICKS == phase || unreachable.contains(&backend.name) || self.needs_poll(backend)
        };
        let due = engines.into_iter().filter(is_due);
        due.map(|backend| (backend.name, backend.address)).collect()
    }

    fn needs_poll(&self, backend: &Backend) -> bool {
        let shard = self.models.lock(&backend.service);
        let Some(state) = shard.get(&backend.service) else { return true };
        state.rollout.loaded_version(&backend.name).is_none() || state.rollout.is_swapping(&backend.name)
    }

    /// Returns the address of an owned engine.
    pub fn address(&self, engine: &str) -> Option<Name> {
        self.engines.read().unwrap().get(engine).map(|backend| backend.address.clone())
    }

    /// Returns the versions that the engines of each owned model have loaded.
    pub fn progress(&self) -> BTreeMap<Name, BTreeMap<Name, Option<WeightVersion>>> {
        let mut models = BTreeMap::new();
        for shard in self.models.each() {
            for (model, state) in shard.iter() {
                let engines = state.rollout.progress().into_iter().map(|(name, engine)| (name, engine.loaded_version));
                models.insert(model.clone(), engines.collect());
            }
        }
        models
    }

    /// Sets whether the configuration declares a backend server as draining.
    pub fn set_declared_draining(&self, backend: &Name, draining: bool) {
        self.draining.lock().unwrap().set_declared(backend, draining);
    }

    /// Merges the draining backend servers of the platform's membership list.
    pub fn merge_drain_list(&self, now: Timestamp, draining: &[Name]) {
        let changed =
            self.draining.lock().unwrap().merge_list(draining, SystemClock::unix_millis(), ASSUMED_CLUSTER_SIZE);
        for backend in changed {
            self.refresh_availability(now, &backend);
        }
    }

    /// Records whether a backend server itself reported that it is draining.
    pub fn record_draining(&self, now: Timestamp, engine: &Name, draining: bool) {
        let stamp = SystemClock::unix_millis();
        self.draining.lock().unwrap().record_answer(engine, draining, stamp, ASSUMED_CLUSTER_SIZE);
        self.refresh_availability(now, engine);
    }

    /// Drains a backend server by an operator's request, or ends the drain.
    pub fn set_draining(&self, now: Timestamp, backend: &Name, draining: bool) {
        let update = DrainUpdate {
            backend: backend.clone(),
            source: DrainSource::Operator,
            leaving: draining,
            stamp: SystemClock::unix_millis(),
        };
        self.merge_drain_update(now, update);
    }

    /// Merges a drain update from a peer.
    pub fn merge_drain_update(&self, now: Timestamp, update: DrainUpdate) {
        let backend = update.backend.clone();
        if self.draining.lock().unwrap().merge(update, ASSUMED_CLUSTER_SIZE) {
            self.refresh_availability(now, &backend);
        }
    }

    /// Returns whether a backend server is draining and receives no new work.
    pub fn is_draining(&self, backend: &str) -> bool {
        self.draining.lock().unwrap().is_draining(backend)
    }

    /// Takes the drain updates to send with the next heartbeat.
    pub fn take_drain_updates(&self) -> Vec<DrainUpdate> {
        self.draining.lock().unwrap().take_updates()
    }

    /// Records whether an engine is reachable. An unreachable engine gets no work until it responds.
    pub fn set_reachable(&self, now: Timestamp, engine: &Name, reachable: bool) {
        let mut unreachable = self.unreachable.lock().unwrap();
        let changed = if reachable { unreachable.remove(engine) } else { unreachable.insert(engine.clone()) };
        drop(unreachable);
        if changed {
            logs::write(event::ENGINE_REACHABLE, &[("engine", engine), ("reachable", &reachable)]);
            self.refresh_availability(now, engine);
        }
    }

    fn accepts_work(&self, engine: &str) -> bool {
        !self.is_draining(engine) && !self.unreachable.lock().unwrap().contains(engine)
    }

    fn refresh_availability(&self, now: Timestamp, engine: &Name) {
        let Some(model) = self.model_of(engine) else { return };
        let accepts_work = self.accepts_work(engine);
        self.send_event(now, &model, DispatchEvent::Availability { engine: engine.clone(), accepts_work });
    }

    fn model_of(&self, engine: &str) -> Option<Name> {
        self.engines.read().unwrap().get(engine).map(|backend| backend.service.clone())
    }

    fn send_event(&self, now: Timestamp, model: &Name, event: DispatchEvent) {
        let mut shard = self.models.lock(model);
        if let Some(state) = shard.get_mut(model) {
            self.dispatch(now, state, event);
        }
    }

    fn model_state<'a>(&self, shard: &'a mut ModelStates, model: &Name) -> &'a mut ModelState {
        shard.entry(model.clone()).or_insert_with(|| ModelState {
            model: model.clone(),
            dispatcher: EngineDispatcher::new(self.dispatch_settings.clone()),
            rollout: RolloutPlanner::new(self.rollout_settings.clone()),
            grant_senders: HashMap::new(),
        })
    }

    fn replace_engines(&self, now: Timestamp, state: &mut ModelState, backends: &[Backend]) {
        let engines = backends.iter().map(|backend| DispatchEngine {
            name: backend.name.clone(),
            zone: backend.zone.clone(),
            slots: backend.slots,
        });
        self.dispatch(now, state, DispatchEvent::Engines(engines.collect()));
        let engines = backends
            .iter()
            .map(|backend| RolloutEngine { name: backend.name.clone(), checks_fencing: backend.checks_fencing });
        // The resulting orders are sent at the next tick, at most half a second later.
        let _ = state.rollout.handle(now, RolloutEvent::Engines(engines.collect()));
        for backend in backends {
            let accepts_work = self.accepts_work(&backend.name);
            self.dispatch(now, state, DispatchEvent::Availability { engine: backend.name.clone(), accepts_work });
        }
    }

    fn dispatch(&self, now: Timestamp, state: &mut ModelState, event: DispatchEvent) {
        let captured = self.recorder.capture(&event);
        let actions = state.dispatcher.handle(now, event);
        let head = || TraceHead::Dispatcher { settings: self.dispatch_settings.clone() };
        self.recorder.record(&format!("dispatcher-{}", state.model), head, now, captured, &actions);
        for action in actions {
            match action {
                DispatchAction::Start { id, engine } => self.grant(now, state, id, &engine),
                DispatchAction::Refuse { id, failure } => {
                    if let Some(sender) = state.grant_senders.remove(&id) {
                        // Fails only if the caller is gone.
                        let _ = sender.send(Err(failure));
                    }
                }
                DispatchAction::Ejected { engine } => {
                    logs::write(event::ENGINE_EJECTED, &[("engine", &engine)]);
                }
            }
        }
    }

    fn grant(&self, now: Timestamp, state: &mut ModelState, id: u64, engine: &Name) {
        let sender = state.grant_senders.remove(&id);
        let backend = self.engines.read().unwrap().get(engine).cloned();
        let granted = sender.zip(backend).is_some_and(|(sender, backend)| {
            let grant = Grant { engine: engine.clone(), zone: backend.zone, address: backend.address };
            sender.send(Ok(grant)).is_ok()
        });
        // The caller is gone, so the slot is free again.
        if !granted {
            self.dispatch(now, state, DispatchEvent::Cancelled { id });
        }
    }
}

/// Ticks between two status polls of a healthy engine: 10 seconds.
const POLL_INTERVAL_TICKS: u64 = 20;

/// Number of nodes from which the number of retransmissions of a drain update follows. It is the
/// design size; the additional retransmissions in a smaller cluster cost a few bytes.
const ASSUMED_CLUSTER_SIZE: usize = 370;
