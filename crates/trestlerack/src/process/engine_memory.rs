//! Memory of model engines, in tokens, as far as the runs of this node take it.
//!
//! An engine keeps the prompt and the text of each run, and preempts runs or fails when they are more
//! than it holds. A node counts what its own runs are expected to take; what others' runs take isn't
//! known to it, so the count is a lower bound of what is taken. See
//! [docs/design/held-memory.md](../../../../docs/design/held-memory.md).

use crate::version::RoutingTable;
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Shortest time between two log lines that one engine has no room.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time for which one engine of a service is kept free; runs that are there have ended by then.
const KEEP_TIME: Duration = Duration::from_secs(5);

/// The part of a prompt that other requests have too. An engine keeps it once for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Tells one shared part from another.
    pub key: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Tokens that a request takes in an engine's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenNeed {
    /// Prompt, without what it shares.
    pub prompt: u64,
    /// What it shares with others.
    pub shared: Option<SharedPrompt>,
    /// Longest output that it may have.
    pub output_most: u64,
    /// The client's estimate of its output, if it gives one.
    pub output_hint: Option<u64>,
}

impl TokenNeed {
    /// Returns the tokens of the whole prompt.
    pub fn whole_prompt(&self) -> u64 {
        self.prompt.saturating_add(self.shared.map_or(0, |shared| shared.tokens))
    }

    /// Returns the tokens of the expected output: the client's estimate, at most what it allows.
    pub fn output(&self) -> u64 {
        self.output_hint.map_or(self.output_most, |hint| hint.min(self.output_most))
    }

    /// Returns the tokens that nobody else shares: the rest of the prompt and the expected output.
    fn own(&self) -> u64 {
        self.prompt.saturating_add(self.output())
    }

    /// Returns the tokens that it takes on an engine of its own.
    pub fn alone(&self) -> u64 {
        self.own().saturating_add(self.shared.map_or(0, |shared| shared.tokens))
    }
}

/// What this node's runs hold at one engine.
#[derive(Clone, Debug, Default)]
struct HeldTokens {
    runs: usize,
    /// Tokens of all runs, shared parts counted once.
    total: u64,
    /// Shared parts by key: how many runs have each, and its length.
    shared: HashMap<u64, (usize, u64)>,
}

impl HeldTokens {
    /// Returns by how much one more run would add to the total.
    fn added_by(&self, need: &TokenNeed) -> u64 {
        let is_new = |shared: &SharedPrompt| !self.shared.contains_key(&shared.key);
        need.own().saturating_add(need.shared.filter(is_new).map_or(0, |shared| shared.tokens))
    }

    fn take(&mut self, need: &TokenNeed) {
        self.total = self.total.saturating_add(self.added_by(need));
        self.runs += 1;
        if let Some(shared) = need.shared {
            self.shared.entry(shared.key).or_insert((0, shared.tokens)).0 += 1;
        }
    }

    fn give_back(&mut self, need: &TokenNeed) {
        self.runs = self.runs.saturating_sub(1);
        self.total = self.total.saturating_sub(need.own());
        let Some(shared) = need.shared else { return };
        let Some((runs, tokens)) = self.shared.get_mut(&shared.key) else { return };
        *runs -= 1;
        if *runs == 0 {
            self.total = self.total.saturating_sub(*tokens);
            self.shared.remove(&shared.key);
        }
    }
}

/// An engine that takes no further runs of this node, so that one gets it which needs all of it.
#[derive(Clone, Debug)]
struct KeptEngine {
    instance: Name,
    until: Timestamp,
}

/// Tokens that this node's runs hold at each engine, against what the engines of a service hold.
///
/// Engines are known by instance and kept for as long as a run of this node is there, also while
/// service discovery doesn't list them, so that every end finds what its start took.
#[derive(Debug, Default)]
pub struct EngineMemory {
    /// Version of the configuration that states the capacities.
    configuration: u64,
    /// Capacity of an engine by service, in tokens; services whose capacity isn't known are left out.
    capacities: BTreeMap<Name, u64>,
    held: BTreeMap<Name, HeldTokens>,
    /// Engines that are kept free, one of a service.
    kept: BTreeMap<Name, KeptEngine>,
    /// When it was last told that an engine has no room.
    told: BTreeMap<Name, Timestamp>,
}

impl EngineMemory {
    /// Takes over what one engine of each service holds, as the newest configuration says.
    pub fn set_capacities(&mut self, routing: &RoutingTable) {
        if routing.version < self.configuration {
            return;
        }
        self.configuration = routing.version;
        let known = routing.services.values().filter(|service| service.engine_tokens > 0);
        self.capacities = known.map(|service| (service.name.clone(), service.engine_tokens)).collect();
    }

    /// Returns what one engine of a service holds, in tokens, if that is known.
    pub fn capacity(&self, service: &str) -> Option<u64> {
        self.capacities.get(service).copied()
    }

    /// Returns whether a request is expected to need more than any engine of a service holds. It is an
    /// estimate, since outputs are; see [`Self::can_never_run`].
    pub fn is_oversize(&self, service: &str, need: &TokenNeed) -> bool {
        self.capacity(service).is_some_and(|capacity| need.alone() > capacity)
    }

    /// Returns whether the prompt of a request leaves no room for a single token of output.
    pub fn can_never_run(&self, service: &str, need: &TokenNeed) -> bool {
        self.capacity(service).is_some_and(|capacity| need.whole_prompt() >= capacity)
    }

    /// Returns whether an engine has room for one more run. One that is expected to need more than an
    /// engine holds may go where no other run of this node is: only the engine can tell.
    pub fn has_room(&self, now: Timestamp, service: &str, instance: &str, need: &TokenNeed) -> bool {
        let Some(capacity) = self.capacity(service) else { return true };
        if need.alone() <= capacity && self.is_kept(now, service, instance) {
            return false;
        }
        let Some(held) = self.held.get(instance) else { return true };
        held.total.saturating_add(held.added_by(need)) <= capacity
    }

    fn is_kept(&self, now: Timestamp, service: &str, instance: &str) -> bool {
        self.kept.get(service).is_some_and(|kept| &*kept.instance == instance && now < kept.until)
    }

    /// Keeps the emptiest of `engines` free for a run that needs all of one, unless one of the service
    /// is kept already. The only engine of a service is never kept.
    pub fn keep_one(&mut self, now: Timestamp, service: &str, engines: &[Name]) {
        let is_kept = self.kept.get(service).is_some_and(|kept| now < kept.until);
        if is_kept || engines.len() < 2 {
            return;
        }
        let emptiest = engines.iter().min_by_key(|engine| self.held_at(engine));
        if let Some(instance) = emptiest.cloned() {
            self.kept.insert(service.into(), KeptEngine { instance, until: now + KEEP_TIME });
        }
    }

    /// Takes the tokens of a run.
    pub fn take(&mut self, instance: &Name, need: &TokenNeed) {
        // Only the one that it was kept for gets there.
        self.kept.retain(|_, kept| kept.instance != *instance);
        self.held.entry(instance.clone()).or_default().take(need);
    }

    /// Gives the tokens of a run back.
    pub fn give_back(&mut self, instance: &str, need: &TokenNeed) {
        let Some(held) = self.held.get_mut(instance) else { return };
        held.give_back(need);
        if held.runs == 0 {
            self.held.remove(instance);
        }
    }

    /// Returns the tokens that this node's runs hold at an engine.
    pub fn held_at(&self, instance: &str) -> u64 {
        self.held.get(instance).map_or(0, |held| held.total)
    }

    /// Returns the engines that hold tokens of this node's runs and have no room for one more, with how
    /// many they hold.
    pub fn without_room(&self, now: Timestamp, service: &str, need: &TokenNeed) -> Vec<(Name, u64)> {
        let Some(capacity) = self.capacity(service) else { return Vec::new() };
        // On most looks this leaves none.
        let may_be_short = |held: &HeldTokens| held.total.saturating_add(need.alone()) > capacity;
        let is_short = |(instance, held): &(&Name, &HeldTokens)| {
            may_be_short(held) && !self.has_room(now, service, instance, need)
        };
        self.held.iter().filter(is_short).map(|(instance, held)| (instance.clone(), held.total)).collect()
    }

    /// Returns whether it is to be told now that an engine has no room, and takes note of that.
    pub fn is_news(&mut self, now: Timestamp, instance: &Name) -> bool {
        self.told.retain(|_, told| now.since(*told) < TELL_INTERVAL);
        let is_news = !self.told.contains_key(instance);
        if is_news {
            self.told.insert(instance.clone(), now);
        }
        is_news
    }

    /// Returns the engines that hold tokens of this node's runs, with how many, the fullest first.
    pub fn holders(&self) -> Vec<(Name, u64)> {
        let mut holders: Vec<(Name, u64)> = self.held.iter().map(|(name, held)| (name.clone(), held.total)).collect();
        holders.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        holders
    }
}
