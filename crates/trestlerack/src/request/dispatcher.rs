//! Queues the calls for one model and dispatches them to the engines that this node owns.

use super::engine_choice::{ChoicePolicy, EngineCandidate, EngineChooser};
use crate::process::{OutlierDetector, OutlierSettings};
use crate::verdict::{Failure, Reason};
use crate::version::WeightVersion;
use crate::{AllowedZones, Name, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Settings of an [`EngineDispatcher`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct DispatchSettings {
    /// Maximum number of queued calls.
    pub max_queue: usize,
    /// Load-balancing policy.
    pub policy: ChoicePolicy,
    /// Admission control: whether a call is refused on arrival if it is projected to miss its deadline.
    pub admission: bool,
    /// Settings of outlier ejection.
    pub outliers: OutlierSettings,
    /// Seed of the randomized policies.
    pub seed: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            max_queue: 4_096,
            policy: ChoicePolicy::PrefixAffinity { bound: 1.25 },
            admission: true,
            outliers: OutlierSettings::default(),
            seed: 0,
        }
    }
}

/// A call that waits for an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QueuedCall {
    /// Id assigned by the caller of [`EngineDispatcher::handle`]; unique among the calls in progress.
    pub id: u64,
    /// Campaign or user that the call is accounted to.
    pub account: Name,
    /// Weight of the account in fair queueing.
    pub weight: u32,
    /// Zones in which the call may run.
    #[serde(rename = "places")]
    pub allowed_zones: AllowedZones,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Hash of the shared prompt prefix.
    pub prefix: u64,
    /// Oldest weight version that the caller accepts.
    pub min_version: WeightVersion,
    /// Whether engines that have not reported their version yet are excluded.
    pub needs_version: bool,
    /// Time by which the answer must be complete.
    pub deadline: Timestamp,
    /// Expected cost in tokens.
    pub cost: u32,
}

/// An engine as the configuration declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchEngine {
    /// Name of the engine.
    pub name: Name,
    /// Zone of the engine.
    pub zone: Name,
    /// Calls that it runs at once.
    pub slots: u32,
}

/// An input of [`EngineDispatcher::handle`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DispatchEvent {
    /// The engines that this node owns from now on.
    Engines(Vec<DispatchEngine>),
    /// A call arrived.
    Arrived(QueuedCall),
    /// A started call ended.
    Ended {
        /// The call.
        id: u64,
        /// Whether the engine returned a good answer.
        #[serde(rename = "good")]
        succeeded: bool,
        /// Tokens that it generated.
        tokens: u32,
    },
    /// The caller cancelled the call.
    Cancelled {
        /// The call.
        id: u64,
    },
    /// An engine reported the version that it has loaded.
    #[serde(rename = "Held")]
    VersionReported {
        /// The engine.
        engine: Name,
        /// The version.
        version: WeightVersion,
    },
    /// An engine began or stopped accepting work, for example while it swaps weights or drains.
    #[serde(rename = "Open")]
    Availability {
        /// The engine.
        engine: Name,
        /// Whether it accepts work.
        #[serde(rename = "open")]
        accepts_work: bool,
    },
    /// Time passed.
    Tick,
}

/// An action that the caller of [`EngineDispatcher::handle`] must carry out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DispatchAction {
    /// Send the call to the engine.
    Start {
        /// The call.
        id: u64,
        /// The engine.
        engine: Name,
    },
    /// Answer the call with a failure; it was not run.
    Refuse {
        /// The call.
        id: u64,
        /// The failure.
        failure: Failure,
    },
    /// The engine was ejected after bad answers.
    Ejected {
        /// The engine.
        engine: Name,
    },
}

#[derive(Clone, Debug)]
struct EngineState {
    zone: Name,
    slots: u32,
    in_flight: u32,
    version: Option<WeightVersion>,
    accepts_work: bool,
    is_owned: bool,
    millis_per_token: Option<f64>,
}

impl EngineState {
    /// Returns whether the engine's zone and version suit the call, regardless of its load.
    fn suits(&self, call: &QueuedCall) -> bool {
        let version_suits = match self.version {
            Some(version) => version >= call.min_version,
            None => !call.needs_version,
        };
        version_suits && call.allowed_zones.allows(&self.zone)
    }
}

/// Order of the queue: priority, virtual start time of fair queueing, deadline, number of arrival.
type QueueKey = (Reverse<u8>, u64, Timestamp, u64);

#[derive(Clone, Debug)]
struct RunningCall {
    engine: Name,
    started: Timestamp,
}

/// Dispatches the calls of one model on one node.
///
/// Calls of the same priority are ordered by start-time fair queueing between accounts.
#[derive(Clone, Debug)]
pub struct EngineDispatcher {
    settings: DispatchSettings,
    chooser: EngineChooser,
    outliers: OutlierDetector,
    engines: BTreeMap<Name, EngineState>,
    queue: BTreeMap<QueueKey, QueuedCall>,
    queue_keys: HashMap<u64, QueueKey>,
    running: HashMap<u64, RunningCall>,
    queued_tokens: u64,
    arrivals: u64,
    virtual_time: u64,
    account_virtual_finish: HashMap<Name, u64>,
    millis_per_token: f64,
}

/// Weight of the newest observation in the moving average of the time per token.
const TOKEN_TIME_SMOOTHING: f64 = 0.1;

/// Time per token assumed before the first observation, in milliseconds.
const INITIAL_MILLIS_PER_TOKEN: f64 = 1.0;

/// Units of virtual time per token, so that the division by a weight keeps its precision.
const FAIR_SHARE_SCALE: u64 = 1_000;

/// Shortest retry delay that a refusal returns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl EngineDispatcher {
    /// Builds a dispatcher without engines.
    pub fn new(settings: DispatchSettings) -> Self {
        let random = Pcg64Mcg::seed_from_u64(settings.seed);
        Self {
            chooser: EngineChooser::new(settings.policy, random),
            outliers: OutlierDetector::new(settings.outliers.clone()),
            settings,
            engines: BTreeMap::new(),
            queue: BTreeMap::new(),
            queue_keys: HashMap::new(),
            running: HashMap::new(),
            queued_tokens: 0,
            arrivals: 0,
            virtual_time: 0,
            account_virtual_finish: HashMap::new(),
            millis_per_token: INITIAL_MILLIS_PER_TOKEN,
        }
    }

    /// Returns the number of usable slots at `now`, of running calls and of queued calls.
    pub fn load(&self, now: Timestamp) -> (u32, u32, u32) {
        let slots = self.engines.iter().map(|(name, engine)| self.usable_slots(now, name, engine)).sum();
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (slots, self.in_flight(), queued)
    }

    /// Returns the mean time per token of the engines observed so far, in milliseconds, or `None`
    /// before the first observation.
    pub fn millis_per_token(&self) -> Option<f64> {
        let known: Vec<f64> = self.engines.values().filter_map(|engine| engine.millis_per_token).collect();
        (!known.is_empty()).then(|| known.iter().sum::<f64>() / known.len() as f64)
    }

    /// Handles one event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: DispatchEvent) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        match event {
            DispatchEvent::Engines(engines) => self.replace_engines(engines),
            DispatchEvent::Arrived(call) => actions.extend(self.arrive(now, call)),
            DispatchEvent::Ended { id, succeeded, tokens } => actions.extend(self.end(now, id, succeeded, tokens)),
            DispatchEvent::Cancelled { id } => self.cancel(id),
            DispatchEvent::VersionReported { engine, version } => self.set_version(&engine, version),
            DispatchEvent::Availability { engine, accepts_work } => self.set_accepts_work(&engine, accepts_work),
            DispatchEvent::Tick => actions.extend(self.refuse_late_or_unservable(now)),
        }
        self.start_calls(now, &mut actions);
        actions
    }

    /// Replaces the owned engines. An engine that is no longer owned is removed when its calls have
    /// ended.
    fn replace_engines(&mut self, engines: Vec<DispatchEngine>) {
        for state in self.engines.values_mut() {
            state.is_owned = false;
        }
        for engine in engines {
            let fresh = EngineState {
                zone: engine.zone.clone(),
                slots: engine.slots,
                in_flight: 0,
                version: None,
                accepts_work: true,
                is_owned: true,
                millis_per_token: None,
            };
            let state = self.engines.entry(engine.name).or_insert(fresh);
            state.zone = engine.zone;
            state.slots = engine.slots;
            state.is_owned = true;
        }
        self.engines.retain(|_, state| state.is_owned || state.in_flight > 0);
    }

    fn arrive(&mut self, now: Timestamp, call: QueuedCall) -> Option<DispatchAction> {
        if let Some(failure) = self.refusal(now, &call) {
            return Some(DispatchAction::Refuse { id: call.id, failure });
        }
        self.enqueue(call);
        None
    }

    fn refusal(&self, now: Timestamp, call: &QueuedCall) -> Option<Failure> {
        if !self.is_servable(now, call) {
            return Some(no_engine_failure());
        }
        if self.queue.len() >= self.settings.max_queue {
            let failure = Failure::not_run(Reason::Overloaded, "the queue is full");
            return Some(failure.retry_after(self.projected_wait(now, self.queued_tokens).max(MIN_RETRY_AFTER)));
        }
        if !self.settings.admission {
            return None;
        }
        let ahead = self.tokens_ahead(call);
        let finish = now + self.projected_wait(now, ahead) + self.service_time(call.cost);
        if finish <= call.deadline {
            return None;
        }
        let excess = finish.since(call.deadline).max(MIN_RETRY_AFTER);
        let failure = Failure::not_run(Reason::Overloaded, "the projected wait is past the deadline");
        Some(failure.retry_after(excess))
    }

    /// Returns the tokens of the queued calls that may be served before `call`. All calls of the same
    /// priority are counted, because fair queueing may reorder them; this is the conservative estimate.
    fn tokens_ahead(&self, call: &QueuedCall) -> u64 {
        if self.queue.keys().next().is_none_or(|key| key.0 == Reverse(call.priority)) {
            return self.queued_tokens;
        }
        let last = (Reverse(call.priority), u64::MAX, Timestamp(u64::MAX), u64::MAX);
        self.queue.range(..=last).map(|(_, queued)| u64::from(queued.cost)).sum()
    }

    fn projected_wait(&self, now: Timestamp, tokens_ahead: u64) -> Duration {
        let (slots, in_flight, _) = self.load(now);
        if in_flight < slots && tokens_ahead == 0 {
            return Duration::ZERO;
        }
        let millis = tokens_ahead as f64 * self.millis_per_token / f64::from(slots.max(1));
        Duration::from_millis(millis as u64)
    }

    fn service_time(&self, cost: u32) -> Duration {
        Duration::from_millis((f64::from(cost) * self.millis_per_token) as u64)
    }

    fn enqueue(&mut self, call: QueuedCall) {
        let last = self.account_virtual_finish.get(&call.account).copied().unwrap_or(0);
        let start = last.max(self.virtual_time);
        let share = u64::from(call.cost) * FAIR_SHARE_SCALE / u64::from(call.weight.max(1));
        self.account_virtual_finish.insert(call.account.clone(), start + share);
        self.arrivals += 1;
        let key = (Reverse(call.priority), start, call.deadline, self.arrivals);
        self.queued_tokens += u64::from(call.cost);
        self.queue_keys.insert(call.id, key);
        self.queue.insert(key, call);
    }

    fn dequeue(&mut self, id: u64) -> Option<QueuedCall> {
        let key = self.queue_keys.remove(&id)?;
        let call = self.queue.remove(&key)?;
        self.queued_tokens -= u64::from(call.cost);
        Some(call)
    }

    fn end(&mut self, now: Timestamp, id: u64, succeeded: bool, tokens: u32) -> Option<DispatchAction> {
        let running = self.running.remove(&id)?;
        self.release(&running.engine);
        if succeeded && tokens > 0 {
            let observed = now.since(running.started).as_millis() as f64 / f64::from(tokens);
            self.record_token_time(&running.engine, observed);
        }
        let engines = self.engines.len();
        let ejected = self.outliers.record_response(now, &running.engine, succeeded, engines);
        ejected.then_some(DispatchAction::Ejected { engine: running.engine })
    }

    fn record_token_time(&mut self, engine: &Name, observed: f64) {
        self.millis_per_token += TOKEN_TIME_SMOOTHING * (observed - self.millis_per_token);
        if let Some(state) = self.engines.get_mut(engine) {
            let average = state.millis_per_token.unwrap_or(observed);
            state.millis_per_token = Some(average + TOKEN_TIME_SMOOTHING * (observed - average));
        }
    }

    fn cancel(&mut self, id: u64) {
        if self.dequeue(id).is_some() {
            return;
        }
        if let Some(running) = self.running.remove(&id) {
            self.release(&running.engine);
        }
    }

    fn release(&mut self, engine: &Name) {
        let Some(state) = self.engines.get_mut(engine) else { return };
        state.in_flight -= 1;
        if !state.is_owned && state.in_flight == 0 {
            self.engines.remove(engine);
        }
    }

    fn set_version(&mut self, engine: &str, version: WeightVersion) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.version = Some(version);
        }
    }

    fn set_accepts_work(&mut self, engine: &str, accepts_work: bool) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.accepts_work = accepts_work;
        }
    }

    /// Refuses queued calls that no owned engine can serve any more or that can no longer finish by
    /// their deadline, instead of letting them wait until the deadline.
    fn refuse_late_or_unservable(&mut self, now: Timestamp) -> Vec<DispatchAction> {
        let mut actions = self.refuse_unservable(now);
        let cannot_finish = |call: &QueuedCall| now + self.service_time(call.cost) > call.deadline;
        let is_late =
            |call: &QueuedCall| if self.settings.admission { cannot_finish(call) } else { now > call.deadline };
        let late: Vec<u64> = self.queue.values().filter(|call| is_late(call)).map(|call| call.id).collect();
        for id in late {
            self.dequeue(id);
            let failure = Failure::not_run(Reason::DeadlineExceeded, "no engine became free before the deadline");
            let wait = self.projected_wait(now, self.queued_tokens).max(MIN_RETRY_AFTER);
            actions.push(DispatchAction::Refuse { id, failure: failure.retry_after(wait) });
        }
        actions
    }

    fn refuse_unservable(&mut self, now: Timestamp) -> Vec<DispatchAction> {
        let unservable: Vec<u64> =
            self.queue.values().filter(|call| !self.is_servable(now, call)).map(|call| call.id).collect();
        for id in &unservable {
            self.dequeue(*id);
        }
        unservable.into_iter().map(|id| DispatchAction::Refuse { id, failure: no_engine_failure() }).collect()
    }

    /// Returns whether some owned engine can serve the call, now or once it has a free slot.
    fn is_servable(&self, now: Timestamp, call: &QueuedCall) -> bool {
        self.engines.iter().any(|(name, engine)| engine.suits(call) && self.usable_slots(now, name, engine) > 0)
    }

    fn usable_slots(&self, now: Timestamp, name: &str, engine: &EngineState) -> u32 {
        if engine.is_owned && engine.accepts_work { self.outliers.limit(now, name, engine.slots) } else { 0 }
    }

    fn start_calls(&mut self, now: Timestamp, actions: &mut Vec<DispatchAction>) {
        let mut free = self.free_slots(now);
        if free == 0 || self.queue.is_empty() {
            return;
        }
        let waiting: Vec<QueueKey> = self.queue.keys().copied().collect();
        for key in waiting {
            if free == 0 {
                return;
            }
            let Some(engine) = self.choose_engine(now, &key) else { continue };
            let call = self.queue.remove(&key).expect("the key was just read from the queue");
            self.queue_keys.remove(&call.id);
            self.queued_tokens -= u64::from(call.cost);
            self.virtual_time = self.virtual_time.max(key.1);
            self.occupy(now, &engine, call.id);
            free -= 1;
            actions.push(DispatchAction::Start { id: call.id, engine });
        }
        if self.queue.is_empty() {
            self.account_virtual_finish.retain(|_, finish| *finish > self.virtual_time);
        }
    }

    fn occupy(&mut self, now: Timestamp, engine: &Name, id: u64) {
        let state = self.engines.get_mut(engine).expect("a chosen engine exists");
        state.in_flight += 1;
        self.running.insert(id, RunningCall { engine: engine.clone(), started: now });
    }

    fn choose_engine(&mut self, now: Timestamp, key: &QueueKey) -> Option<Name> {
        let call = &self.queue[key];
        let mut candidates = Vec::new();
        for (name, engine) in &self.engines {
            let limit = self.usable_slots(now, name, engine);
            if engine.in_flight < limit && engine.suits(call) {
                candidates.push(EngineCandidate {
                    name,
                    in_flight: engine.in_flight,
                    slots: limit,
                    millis_per_token: engine.millis_per_token,
                });
            }
        }
        let index = self.chooser.choose(call.prefix, &candidates)?;
        Some(candidates[index].name.clone())
    }

    fn free_slots(&self, now: Timestamp) -> u32 {
        let free = |(name, engine): (&Name, &EngineState)| {
            self.usable_slots(now, name, engine).saturating_sub(engine.in_flight)
        };
        self.engines.iter().map(free).sum()
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}

fn no_engine_failure() -> Failure {
    let failure = Failure::not_run(Reason::NoBackend, "no engine here can serve the call now");
    failure.retry_after(MIN_RETRY_AFTER)
}
