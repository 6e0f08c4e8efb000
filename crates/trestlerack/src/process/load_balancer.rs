//! Chooses backend servers by what this node believes of each.
//!
//! Beliefs come from service discovery, from the servers' own answers and from the runs that this
//! node made on them; no server is asked anything only to learn its state.

use super::engine_memory::{EngineMemory, TokenNeed};
use super::expected_latency::LearntTimes;
use super::latency_estimate::AnswerTimes;
use super::registry::{ServerEntry, ServerRegistry};
use super::server_observations::NoteOutbox;
use super::server_state::{ChoiceBasis, ServerBelief, StatedLoad};
use crate::hash::{hash_parts, rendezvous_weight};
use crate::time::millis;
use crate::version::WeightVersion;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of a [`ServerBoard`].
#[derive(Clone, Debug)]
pub struct BoardSettings {
    /// Pause of a server after its first failure in a row; it doubles with each further one.
    pub failure_pause: Duration,
    /// Longest such pause.
    pub failure_pause_max: Duration,
    /// Pause of a server that refused a request because it is full or loads weights; it doubles
    /// with each further refusal in a row.
    pub refusal_pause: Duration,
    /// Longest such pause.
    pub refusal_pause_max: Duration,
    /// Time for which a stated load is believed; the servers' reports lag by 100 to 200 ms.
    pub load_age: Duration,
    /// Time for which a measured pace is believed in full when nothing runs on a server. After it
    /// the server counts as at most [`Self::old_slowness`] times slower than is typical.
    pub pace_age: Duration,
    /// How slow a server may still count as by an old pace: engines differ by 1.3 for good, and
    /// what is slower than that is a disruption that passes.
    pub old_slowness: f64,
    /// Weight of a new gap between events in the running mean of a server's pace.
    pub pace_weight: f64,
    /// Pace of a server of which nothing is known, in milliseconds per event.
    pub default_pace_ms: f64,
    /// Cost of a server in another availability zone, as a share of its places.
    pub zone_cost: f64,
    /// Cost of a full engine for a request that lasts long, as a share of its pace. An engine that
    /// runs six requests makes each event 3 % later than one that runs one, and engines of one
    /// service differ by 30 %: a long text on a slow engine costs its step half a second.
    pub long_fill_cost: f64,
    /// Cost of each version that an engine is newer than needed, as a share of its pace. The next
    /// step needs the newer engines, so a step takes the older ones while they have places.
    pub spare_version_cost: f64,
}

impl Default for BoardSettings {
    fn default() -> Self {
        Self {
            failure_pause: Duration::from_millis(200),
            failure_pause_max: Duration::from_secs(2),
            refusal_pause: Duration::from_millis(40),
            refusal_pause_max: Duration::from_millis(160),
            load_age: Duration::from_millis(300),
            pace_age: Duration::from_secs(3),
            old_slowness: 1.4,
            pace_weight: 0.1,
            default_pace_ms: 37.0,
            zone_cost: 0.1,
            long_fill_cost: 0.1,
            spare_version_cost: 0.2,
        }
    }
}

/// How much room a server must have for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerRoom {
    /// None: the request may wait there.
    #[default]
    Any,
    /// A free place.
    Place,
    /// More than half of its places.
    Half,
}

/// What a server must offer for a request.
#[derive(Clone, Debug, Default)]
pub struct ServerNeed<'a> {
    /// Service.
    pub service: &'a str,
    /// Model and the oldest version that will do.
    pub weights: Option<(&'a str, WeightVersion)>,
    /// The only version that will do, where a text of it is to go on.
    pub pinned: Option<WeightVersion>,
    /// Servers that were tried already.
    pub avoid: &'a [Name],
    /// How much room the server must have.
    pub room: ServerRoom,
    /// Whether the request is expected to last long, so that the server's pace counts for more than
    /// how full it is.
    pub is_long: bool,
    /// Tokens that it takes in the memory of a model engine, where that is known.
    pub tokens: Option<&'a TokenNeed>,
    /// Whether the request may run twice, so that one may show how a server is that was set aside.
    pub is_repeatable: bool,
    /// Availability zone to prefer.
    pub zone: &'a str,
    /// Decides between servers that cost the same, as the name of the node does. Nodes that know of
    /// no load would otherwise all take the same server: at 295 nodes and 63 servers the busiest
    /// one got 5.6 times the mean, and 1.2 times with a key. A key that differs with each request
    /// would take a node to another server each time, over half as many new connections again.
    pub tie_key: &'a str,
}

/// The servers and what is believed of them.
#[derive(Debug, Default)]
pub struct ServerBoard {
    pub(super) settings: BoardSettings,
    pub(super) servers: BTreeMap<Name, ServerBelief>,
    /// The model that each engine is to serve, by instance; kept for engines not listed yet too.
    assigned: BTreeMap<Name, Name>,
    /// How long answers take, by service.
    pub(super) answer_times: AnswerTimes,
    /// Tokens that this node's runs hold at model engines.
    pub memory: EngineMemory,
    /// What servers are compared by.
    pub(super) learnt: LearntTimes,
    /// What peers are to be told.
    pub(super) outbox: NoteOutbox,
}

impl ServerBoard {
    /// Builds an empty board.
    pub fn new(settings: BoardSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over the registered servers.
    pub fn sync(&mut self, registry: &ServerRegistry) {
        let gone = self.servers.keys().filter(|instance| registry.get(instance).is_none());
        let gone: Vec<Name> = gone.cloned().collect();
        gone.iter().for_each(|instance| self.remove(instance));
        registry.entries().for_each(|entry| self.put(entry));
    }

    /// Takes over a registered server.
    pub fn put(&mut self, entry: &ServerEntry) {
        let mut belief = match self.servers.remove(&entry.instance) {
            Some(belief) if belief.entry.started_ms == entry.started_ms => belief,
            // What was believed ended with the earlier start; what is still counted in flight
            // there is counted out as it ends.
            Some(belief) => ServerBelief { in_flight: belief.in_flight, ..ServerBelief::new(entry.clone()) },
            None => ServerBelief::new(entry.clone()),
        };
        // Discovery lags, so a version that it states only ever raises what is believed.
        for (model, version) in &entry.models {
            let held = belief.versions.entry(model.clone()).or_insert(*version);
            *held = (*held).max(*version);
        }
        belief.entry = entry.clone();
        self.servers.insert(entry.instance.clone(), belief);
    }

    /// Forgets a server.
    pub fn remove(&mut self, instance: &str) {
        self.servers.remove(instance);
    }

    /// Returns the instances that are held.
    pub fn instances(&self) -> impl Iterator<Item = &Name> {
        self.servers.keys()
    }

    /// Returns what is believed of a server.
    pub fn get(&self, instance: &str) -> Option<&ServerBelief> {
        self.servers.get(instance)
    }

    /// Returns all servers of a service.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ServerBelief> {
        self.servers.values().filter(move |belief| &*belief.entry.service == service)
    }

    /// Chooses the server that is expected to answer first, or `None` if none will do now.
    ///
    /// While an engine that is to serve the model will do, others are left alone, also those whose
    /// weights would do: their load is known to the drivers of their own model only. Without
    /// this, six drivers that shared 102 engines put 18 runs on one of six places that looked fast to
    /// all of them, and the first two steps of a day took 9 to 10 s in place of 7.5.
    pub fn choose<'a>(&'a self, now: Timestamp, need: &ServerNeed<'_>) -> Option<&'a ServerBelief> {
        let typical = self.typical_pace(now, need.service);
        let own_only = self.has_own(now, need);
        let is_candidate = |belief: &&ServerBelief| {
            let is_open = !own_only || self.is_own(belief, need);
            &*belief.entry.service == need.service && is_open && self.will_do(now, belief, need)
        };
        if need.weights.is_none() && self.compares_servers(need.service) {
            let candidates = self.servers.values().filter(is_candidate).collect();
            return self.choose_expected(now, need, candidates);
        }
        // Each cost is worked out once: a driver before 3,000 engines places 200 items at a time.
        let costs = self.servers.values().filter(is_candidate);
        let costs = costs.map(|belief| (self.cost(now, belief, need, typical), belief));
        let key = hash_parts(&[need.tie_key]);
        let weight = |belief: &ServerBelief| rendezvous_weight(key, &belief.entry.instance);
        let cheapest = costs.min_by(|(left_cost, left), (right_cost, right)| {
            left_cost.total_cmp(right_cost).then_with(|| weight(left).cmp(&weight(right)))
        });
        cheapest.map(|(_, belief)| belief)
    }

    /// Returns whether an engine that is to serve the model of `need` would do if it had a place.
    fn has_own(&self, now: Timestamp, need: &ServerNeed<'_>) -> bool {
        let need = ServerNeed { room: ServerRoom::Any, avoid: &[], tokens: None, ..need.clone() };
        let mut of_service = self.of_service(need.service);
        need.weights.is_some()
            && of_service.any(|belief| self.is_own(belief, &need) && self.will_do(now, belief, &need))
    }

    fn is_own(&self, belief: &ServerBelief, need: &ServerNeed<'_>) -> bool {
        let model = self.assigned.get(&belief.entry.instance);
        need.weights.is_some_and(|(wanted, _)| model.is_some_and(|model| &**model == wanted))
    }

    /// Returns how many servers would do if each had a free place.
    pub fn count(&self, now: Timestamp, need: &ServerNeed<'_>) -> usize {
        let need = ServerNeed { room: ServerRoom::Any, tokens: None, ..need.clone() };
        self.of_service(need.service).filter(|belief| self.will_do(now, belief, &need)).count()
    }

    /// Keeps one engine free for a request that needs the whole memory of one.
    pub fn keep_engine(&mut self, now: Timestamp, need: &ServerNeed<'_>) {
        let open = ServerNeed { room: ServerRoom::Any, tokens: None, ..need.clone() };
        let own_only = self.has_own(now, need);
        let is_candidate =
            |belief: &&ServerBelief| (!own_only || self.is_own(belief, need)) && self.will_do(now, belief, &open);
        let candidates = self.of_service(need.service).filter(is_candidate);
        let engines: Vec<Name> = candidates.map(|belief| belief.entry.instance.clone()).collect();
        self.memory.keep_one(now, need.service, &engines);
    }

    /// Returns the engines that would do if their memory were not spoken for, with the tokens that they
    /// hold, leaving out those that were told of lately.
    pub fn left_for_memory(&mut self, now: Timestamp, need: &ServerNeed<'_>) -> Vec<(Name, u64)> {
        let Some(tokens) = need.tokens else { return Vec::new() };
        let open = ServerNeed { tokens: None, ..need.clone() };
        let would_do = |instance: &Name| {
            let belief = self.servers.get(instance);
            belief.is_some_and(|belief| &*belief.entry.service == need.service && self.will_do(now, belief, &open))
        };
        let mut left = self.memory.without_room(now, need.service, tokens);
        left.retain(|(instance, _)| would_do(instance));
        left.retain(|(instance, _)| self.memory.is_news(now, instance));
        left
    }

    fn will_do(&self, now: Timestamp, belief: &ServerBelief, need: &ServerNeed<'_>) -> bool {
        let is_new_enough = need.weights.is_none_or(|(model, oldest)| {
            let is_loading = belief.loading_until.is_some_and(|until| now < until);
            let is_right = |version: WeightVersion| version >= oldest && need.pinned.is_none_or(|v| version == v);
            !is_loading && belief.version(model).is_some_and(is_right)
        });
        let busy = belief.busy(now, self.settings.load_age);
        let has_place = match need.room {
            ServerRoom::Any => true,
            ServerRoom::Place => busy < belief.slots(),
            ServerRoom::Half => 2 * busy < belief.slots(),
        };
        let is_open = !belief.entry.is_draining && belief.not_before <= now;
        let has_memory = |tokens| self.memory.has_room(now, need.service, &belief.entry.instance, tokens);
        is_open
            && is_new_enough
            && has_place
            && need.tokens.is_none_or(has_memory)
            && !need.avoid.contains(&belief.entry.instance)
    }

    fn cost(&self, now: Timestamp, belief: &ServerBelief, need: &ServerNeed<'_>, typical: f64) -> f64 {
        let fill = f64::from(belief.busy(now, self.settings.load_age)) / f64::from(belief.slots());
        let zone_cost = if &*belief.entry.zone == need.zone { 0.0 } else { self.settings.zone_cost };
        let pace = self.believed_slowness(now, belief, typical);
        let Some((model, oldest)) = need.weights else { return fill + zone_cost };
        // A request that any version may serve has no newer engines to spare.
        let spare = match oldest {
            0 => 0,
            _ => belief.version(model).map_or(0, |version| version.saturating_sub(oldest)),
        };
        let fill = if need.is_long { fill * self.settings.long_fill_cost } else { fill };
        pace * (1.0 + fill + self.settings.spare_version_cost * spare as f64)
    }

    /// Returns what is believed of a server at `now`, with its version of `model`.
    pub fn basis(&self, now: Timestamp, instance: &str, model: Option<&str>) -> Option<ChoiceBasis> {
        let belief = self.servers.get(instance)?;
        Some(ChoiceBasis {
            in_flight: belief.in_flight,
            others: belief.busy(now, self.settings.load_age) - belief.in_flight,
            load_age_ms: (belief.load.at > Timestamp::default()).then(|| millis(now.since(belief.load.at))),
            slowness: self.slowness(now, instance),
            expected: self.expected_slowness(now, belief),
            standing: self.standing(now, instance),
            told_by: belief.word_of_others(now).map(|told| told.origin.clone()),
            weights: model.and_then(|model| belief.version(model)).unwrap_or(0),
        })
    }

    /// Returns when the first pause of a service's servers ends; `None` where it has none that will take
    /// work again.
    pub fn opens_at(&self, service: &str) -> Option<Timestamp> {
        let open = self.of_service(service).filter(|belief| !belief.entry.is_draining);
        open.map(|belief| belief.not_before).min()
    }

    /// Returns how many requests all servers of a service run at once.
    pub fn places(&self, service: &str) -> u32 {
        self.of_service(service).filter(|belief| !belief.entry.is_draining).map(ServerBelief::slots).sum()
    }

    /// Returns the time after which an answer of a service is late, once enough answers are known.
    pub fn usual_answer_time(&self, service: &str) -> Option<Duration> {
        self.answer_times.usual(service)
    }

    /// Records how long a good answer of a service took.
    pub fn answered(&mut self, service: &Name, took: Duration) {
        self.answer_times.record(service, took);
    }

    /// Records that a request was sent to a server.
    pub fn started(&mut self, instance: &str) {
        self.change(instance, |belief| {
            belief.in_flight += 1;
            belief.sent += 1;
        });
    }

    /// Records that a server no longer works on a request of this node.
    pub fn ended(&mut self, instance: &str) {
        self.change(instance, |belief| belief.in_flight = belief.in_flight.saturating_sub(1));
    }

    /// Records a good answer.
    pub fn succeeded(&mut self, instance: &str) {
        self.change(instance, |belief| {
            belief.failures = 0;
            belief.refusals = 0;
        });
    }

    /// Records a connection or an answer that failed. Returns the pause that the server gets.
    pub fn failed(&mut self, now: Timestamp, instance: &str) -> Duration {
        let (first, longest) = (self.settings.failure_pause, self.settings.failure_pause_max);
        let mut pause = first;
        self.change(instance, |belief| {
            pause = (first * 2_u32.saturating_pow(belief.failures.min(16))).min(longest);
            belief.failures += 1;
            belief.not_before = now + pause;
        });
        pause
    }

    /// Records that a server refused a request, because it is full or loads weights.
    pub fn refused(&mut self, now: Timestamp, instance: &str) {
        let (first, longest) = (self.settings.refusal_pause, self.settings.refusal_pause_max);
        self.change(instance, |belief| {
            // Refusals of requests that were sent together count as one.
            if belief.not_before > now {
                return;
            }
            let pause = (first * 2_u32.saturating_pow(belief.refusals.min(16))).min(longest);
            belief.refusals += 1;
            belief.not_before = now + pause;
        });
    }

    /// Records the load that a server stated: requests that run and that wait.
    pub fn stated_load(&mut self, now: Timestamp, instance: &str, running: u32, waiting: u32) {
        self.change(instance, |belief| {
            belief.load = StatedLoad { others: (running + waiting).saturating_sub(belief.in_flight), at: now };
        });
    }

    /// Records the version that a server stated in an answer, which overrides what was believed.
    pub fn stated_version(&mut self, instance: &str, model: &str, version: WeightVersion) {
        self.change(instance, |belief| {
            belief.versions.insert(model.into(), version);
        });
    }

    /// Records which model an engine is to serve; `None` if that is not known any more.
    pub fn assign(&mut self, instance: &Name, model: Option<&Name>) {
        match model {
            Some(model) => self.assigned.insert(instance.clone(), model.clone()),
            None => self.assigned.remove(instance),
        };
    }

    /// Returns the model that an engine is to serve.
    pub fn assigned_model(&self, instance: &str) -> Option<&Name> {
        self.assigned.get(instance)
    }

    /// Records that a server loads a version until `until` and holds it from then on.
    pub fn loading(&mut self, instance: &str, model: &str, version: WeightVersion, until: Timestamp) {
        self.change(instance, |belief| {
            let held = belief.versions.entry(model.into()).or_insert(version);
            *held = (*held).max(version);
            belief.loading_until = Some(until);
        });
    }

    pub(super) fn change(&mut self, instance: &str, change: impl FnOnce(&mut ServerBelief)) {
        // A server may have left while a request to it was in progress.
        if let Some(belief) = self.servers.get_mut(instance) {
            change(belief);
        }
    }
}
