//! The dispatchers of the engines that this node owns, one per model, in shards.

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

/// A call's turn: the engine to send it to.
pub struct Grant {
    /// Name of the engine.
    pub engine: Name,
    /// Zone of the engine.
    pub zone: Name,
    /// Address of the engine.
    pub address: Name,
}

/// Answer of a dispatcher to one call.
pub type GrantResult = Result<Grant, Failure>;

struct ModelDesk {
    model: Name,
    dispatcher: EngineDispatcher,
    rollout: RolloutPlanner,
    waiting: HashMap<u64, oneshot::Sender<GrantResult>>,
}

type ModelDesks = HashMap<Name, ModelDesk>;

/// Dispatchers by model.
pub struct DeskTable {
    dispatch_settings: DispatchSettings,
    rollout_settings: RolloutSettings,
    desks: Sharded<ModelDesks>,
    engines: RwLock<BTreeMap<Name, Backend>>,
    leaving: Mutex<DrainingServers>,
    unreachable: Mutex<HashSet<Name>>,
    last_id: AtomicU64,
    recorder: Arc<TraceRecorder>,
}

impl DeskTable {
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
            desks: Sharded::default(),
            engines: RwLock::default(),
            leaving: Mutex::default(),
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
        for mut shard in self.desks.each() {
            for (model, desk) in shard.iter_mut() {
                let backends = by_model.remove(model).unwrap_or_default();
                self.replace_engines(now, desk, &backends);
            }
        }
        for (model, backends) in by_model {
            let mut shard = self.desks.lock(&model);
            let desk = self.desk(&mut shard, &model);
            self.replace_engines(now, desk, &backends);
        }
    }

    /// Queues a call; the receiver gets its turn or its refusal.
    pub fn arrive(&self, now: Timestamp, model: &Name, call: QueuedCall) -> oneshot::Receiver<GrantResult> {
        let (sender, receiver) = oneshot::channel();
        let mut shard = self.desks.lock(model);
        let desk = self.desk(&mut shard, model);
        desk.waiting.insert(call.id, sender);
        self.dispatch(now, desk, DispatchEvent::Arrived(call));
        receiver
    }

    /// Returns an id for a call.
    pub fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Records that a started call ended.
    pub fn ended(&self, now: Timestamp, model: &Name, id: u64, good: bool, tokens: u32) {
        self.tell(now, model, DispatchEvent::Ended { id, succeeded: good, tokens });
    }

    /// Records that a call is no longer wanted.
    pub fn cancelled(&self, now: Timestamp, model: &Name, id: u64) {
        self.tell(now, model, DispatchEvent::Cancelled { id });
    }

    /// Returns the load of this node's engines of one model.
    pub fn load(&self, now: Timestamp, model: &Name) -> NodeLoad {
        let shard = self.desks.lock(model);
        let Some(desk) = shard.get(model) else { return NodeLoad::default() };
        let (slots, in_flight, queued) = desk.dispatcher.load(now);
        NodeLoad { slots, in_flight, queued, millis_per_token: desk.dispatcher.millis_per_token() }
    }

    /// Lets time pass; returns the orders to send.
    pub fn tick(&self, now: Timestamp) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        for mut shard in self.desks.each() {
            for desk in shard.values_mut() {
                self.dispatch(now, desk, DispatchEvent::Tick);
                orders.extend(desk.rollout.handle(now, RolloutEvent::Tick));
            }
        }
        orders
    }

    /// Takes in a weight target; returns the orders to send.
    pub fn set_target(&self, now: Timestamp, target: WeightTarget) -> Vec<EngineOrder> {
        let mut shard = self.desks.lock(&target.model);
        let desk = self.desk(&mut shard, &target.model);
        desk.rollout.handle(now, RolloutEvent::Target(target))
    }

    /// Returns the targeted version of a model.
    pub fn target_version(&self, model: &Name) -> Option<WeightVersion> {
        let shard = self.desks.lock(model);
        shard.get(model).and_then(|desk| Some(desk.rollout.target()?.version))
    }

    /// Takes in an engine's status; returns the orders to send.
    pub fn hear_status(&self, now: Timestamp, engine: &Name, status: &EngineStatus) -> Vec<EngineOrder> {
        self.set_reachable(now, engine, true);
        self.engine_answered(now, engine, status.leaving);
        status.loaded_version.map_or_else(Vec::new, |version| self.hear_version(now, engine, version))
    }

    /// Takes in a version that an engine named; returns the orders to send.
    pub fn hear_version(&self, now: Timestamp, engine: &Name, version: WeightVersion) -> Vec<EngineOrder> {
        let Some(model) = self.model_of(engine) else { return Vec::new() };
        let mut shard = self.desks.lock(&model);
        let desk = self.desk(&mut shard, &model);
        self.dispatch(now, desk, DispatchEvent::VersionReported { engine: engine.clone(), version });
        desk.rollout.handle(now, RolloutEvent::VersionReported { engine: engine.clone(), version })
    }

    /// Records a failed order; returns the orders to send.
    pub fn order_failed(&self, now: Timestamp, engine: &Name) -> Vec<EngineOrder> {
        let Some(model) = self.model_of(engine) else { return Vec::new() };
        let mut shard = self.desks.lock(&model);
        let desk = self.desk(&mut shard, &model);
        let orders = desk.rollout.handle(now, RolloutEvent::OrderFailed { engine: engine.clone() });
        if desk.rollout.progress().get(engine).is_some_and(|progress| progress.is_cooling_down) {
            logs::write(event::ENGINE_SET_ASIDE, &[("engine", engine)]);
        }
        orders
    }

    /// Returns the owned engines, and their addresses, that should be asked for their status at
    /// the tick `number`: each one now and then, and at every tick those that cannot be reached,
    /// have named no version or are swapping.
    ///
    /// What a healthy engine does shows in its answers, so asking all of them at every tick would
    /// only cost bytes, order engines times rate ([docs/CAPACITY.md](../../../../docs/CAPACITY.md)).
    pub fn due_for_status(&self, number: u64) -> Vec<(Name, Name)> {
        // Copies, because looking at a desk below takes its lock, and no lock is taken under another.
        let engines: Vec<Backend> = self.engines.read().unwrap().values().cloned().collect();
        let unreachable = self.unreachable.lock().unwrap().clone();
        let is_due = |backend: &Backend| {
            let phase = hash_parts(&[&backend.name]) % STATUS_TICKS;
            number % STATUS_TICKS == phase || unreachable.contains(&backend.name) || self.is_unsettled(backend)
        };
        let due = engines.into_iter().filter(is_due);
        due.map(|backend| (backend.name, backend.address)).collect()
    }

    fn is_unsettled(&self, backend: &Backend) -> bool {
        let shard = self.desks.lock(&backend.service);
        let Some(desk) = shard.get(&backend.service) else { return true };
        desk.rollout.loaded_version(&backend.name).is_none() || desk.rollout.is_swapping(&backend.name)
    }

    /// Returns the address of an owned engine.
    pub fn address(&self, engine: &str) -> Option<Name> {
        self.engines.read().unwrap().get(engine).map(|backend| backend.address.clone())
    }

    /// Returns the versions held by the engines of each owned model.
    pub fn progress(&self) -> BTreeMap<Name, BTreeMap<Name, Option<WeightVersion>>> {
        let mut models = BTreeMap::new();
        for shard in self.desks.each() {
            for (model, desk) in shard.iter() {
                let engines = desk.rollout.progress().into_iter().map(|(name, state)| (name, state.loaded_version));
                models.insert(model.clone(), engines.collect());
            }
        }
        models
    }

    /// Takes in what the configuration says of a backend server.
    pub fn set_declared(&self, backend: &Name, leaving: bool) {
        self.leaving.lock().unwrap().set_declared(backend, leaving);
    }

    /// Takes in the backend servers that the platform's list calls leaving.
    pub fn listed_leaving(&self, now: Timestamp, leaving: &[Name]) {
        let changed = self.leaving.lock().unwrap().merge_list(leaving, SystemClock::unix_millis(), PEERS_ESTIMATE);
        for backend in changed {
            self.refresh_open(now, &backend);
        }
    }

    /// Takes in a backend server's own answer.
    pub fn engine_answered(&self, now: Timestamp, engine: &Name, leaving: bool) {
        let stamp = SystemClock::unix_millis();
        self.leaving.lock().unwrap().record_answer(engine, leaving, stamp, PEERS_ESTIMATE);
        self.refresh_open(now, engine);
    }

    /// Takes in an operator's order to leave a backend server alone, or to use it again.
    pub fn ordered_leaving(&self, now: Timestamp, backend: &Name, leaving: bool) {
        let news = DrainUpdate {
            backend: backend.clone(),
            source: DrainSource::Operator,
            leaving,
            stamp: SystemClock::unix_millis(),
        };
        self.hear_news(now, news);
    }

    /// Takes in news from a peer.
    pub fn hear_news(&self, now: Timestamp, news: DrainUpdate) {
        let backend = news.backend.clone();
        if self.leaving.lock().unwrap().merge(news, PEERS_ESTIMATE) {
            self.refresh_open(now, &backend);
        }
    }

    /// Returns whether a backend server receives no new work.
    pub fn is_leaving(&self, backend: &str) -> bool {
        self.leaving.lock().unwrap().is_draining(backend)
    }

    /// Takes the news to put on the next heartbeat.
    pub fn take_news(&self) -> Vec<DrainUpdate> {
        self.leaving.lock().unwrap().take_updates()
    }

    /// Records whether an engine can be reached; one that cannot gets no work until it answers.
    pub fn set_reachable(&self, now: Timestamp, engine: &Name, reachable: bool) {
        let mut unreachable = self.unreachable.lock().unwrap();
        let changed = if reachable { unreachable.remove(engine) } else { unreachable.insert(engine.clone()) };
        drop(unreachable);
        if changed {
            logs::write(event::ENGINE_REACHABLE, &[("engine", engine), ("reachable", &reachable)]);
            self.refresh_open(now, engine);
        }
    }

    fn is_open(&self, engine: &str) -> bool {
        !self.is_leaving(engine) && !self.unreachable.lock().unwrap().contains(engine)
    }

    fn refresh_open(&self, now: Timestamp, engine: &Name) {
        let Some(model) = self.model_of(engine) else { return };
        let open = self.is_open(engine);
        self.tell(now, &model, DispatchEvent::Availability { engine: engine.clone(), accepts_work: open });
    }

    fn model_of(&self, engine: &str) -> Option<Name> {
        self.engines.read().unwrap().get(engine).map(|backend| backend.service.clone())
    }

    fn tell(&self, now: Timestamp, model: &Name, event: DispatchEvent) {
        let mut shard = self.desks.lock(model);
        if let Some(desk) = shard.get_mut(model) {
            self.dispatch(now, desk, event);
        }
    }

    fn desk<'a>(&self, shard: &'a mut ModelDesks, model: &Name) -> &'a mut ModelDesk {
        shard.entry(model.clone()).or_insert_with(|| ModelDesk {
            model: model.clone(),
            dispatcher: EngineDispatcher::new(self.dispatch_settings.clone()),
            rollout: RolloutPlanner::new(self.rollout_settings.clone()),
            waiting: HashMap::new(),
        })
    }

    fn replace_engines(&self, now: Timestamp, desk: &mut ModelDesk, backends: &[Backend]) {
        let engines = backends.iter().map(|backend| DispatchEngine {
            name: backend.name.clone(),
            zone: backend.zone.clone(),
            slots: backend.slots,
        });
        self.dispatch(now, desk, DispatchEvent::Engines(engines.collect()));
        let engines = backends
            .iter()
            .map(|backend| RolloutEngine { name: backend.name.clone(), checks_fencing: backend.checks_fencing });
        // The orders that follow are sent at the next tick, half a second away at most.
        let _ = desk.rollout.handle(now, RolloutEvent::Engines(engines.collect()));
        for backend in backends {
            let open = self.is_open(&backend.name);
            self.dispatch(now, desk, DispatchEvent::Availability { engine: backend.name.clone(), accepts_work: open });
        }
    }

    fn dispatch(&self, now: Timestamp, desk: &mut ModelDesk, event: DispatchEvent) {
        let captured = self.recorder.capture(&event);
        let actions = desk.dispatcher.handle(now, event);
        let head = || TraceHead::Dispatcher { settings: self.dispatch_settings.clone() };
        self.recorder.record(&format!("dispatcher-{}", desk.model), head, now, captured, &actions);
        for action in actions {
            match action {
                DispatchAction::Start { id, engine } => self.grant(now, desk, id, &engine),
                DispatchAction::Refuse { id, failure } => {
                    if let Some(sender) = desk.waiting.remove(&id) {
                        // A caller that went away needs no answer.
                        let _ = sender.send(Err(failure));
                    }
                }
                DispatchAction::Ejected { engine } => {
                    logs::write(event::ENGINE_EJECTED, &[("engine", &engine)]);
                }
            }
        }
    }

    fn grant(&self, now: Timestamp, desk: &mut ModelDesk, id: u64, engine: &Name) {
        let sender = desk.waiting.remove(&id);
        let backend = self.engines.read().unwrap().get(engine).cloned();
        let granted = sender.zip(backend).is_some_and(|(sender, backend)| {
            let grant = Grant { engine: engine.clone(), zone: backend.zone, address: backend.address };
            sender.send(Ok(grant)).is_ok()
        });
        // The caller went away while its turn came, so the slot is free again.
        if !granted {
            self.dispatch(now, desk, DispatchEvent::Cancelled { id });
        }
    }
}

/// Ticks between two looks at the status of a healthy engine: ten seconds.
const STATUS_TICKS: u64 = 20;

/// Cluster size assumed for the repetition of news, at the design size; repeating it more often
/// in a small cluster costs a few bytes.
const PEERS_ESTIMATE: usize = 370;
