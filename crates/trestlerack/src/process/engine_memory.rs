//! Memory of model engines, in tokens, as far as this node's runs use it.
//!
//! An engine keeps the prompt and the output of each run in memory, and preempts runs or fails when they need
//! more than it has. A node counts what its own runs are expected to need; the runs of other nodes are unknown
//! to it, so the count is a lower bound. See
//! [docs/design/held-memory.md](../../../../docs/design/held-memory.md).

use crate::version::RoutingTable;
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Shortest time between two log lines about the same full engine.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Longest reservation of an engine; runs that were there before have ended by then.
const RESERVATION_TIME: Duration = Duration::from_secs(5);

/// A part of a prompt that is shared with other requests. An engine keeps it once for all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Identifies the shared part.
    pub key: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Tokens that a request needs in an engine's memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenNeed {
    /// Prompt tokens, without the shared part.
    pub unique_prompt: u64,
    /// The shared part of the prompt.
    pub shared_prompt: Option<SharedPrompt>,
    /// Largest number of output tokens allowed.
    pub max_output: u64,
    /// The client's estimate of the output, if it gives one.
    pub output_hint: Option<u64>,
}

impl TokenNeed {
    /// Returns the tokens of the whole prompt.
    pub fn total_prompt(&self) -> u64 {
        self.unique_prompt.saturating_add(self.shared_prompt.map_or(0, |shared| shared.tokens))
    }

    /// Returns the tokens of the expected output: the client's estimate, limited to the maximum.
    pub fn expected_output(&self) -> u64 {
        self.output_hint.map_or(self.max_output, |hint| hint.min(self.max_output))
    }

    /// Returns the tokens that are not shared: the rest of the prompt and the expected output.
    fn unshared(&self) -> u64 {
        self.unique_prompt.saturating_add(self.expected_output())
    }

    /// Returns the tokens needed on an engine without other runs.
    pub fn total(&self) -> u64 {
        self.unshared().saturating_add(self.shared_prompt.map_or(0, |shared| shared.tokens))
    }
}

/// Tokens that this node's runs use at one engine.
#[derive(Clone, Debug, Default)]
struct EngineUsage {
    runs: usize,
    /// Tokens of all runs, with shared parts counted once.
    tokens: u64,
    /// Shared parts by key, with the number of runs that have each, and its length.
    shared_prompts: HashMap<u64, (usize, u64)>,
}

impl EngineUsage {
    /// Returns the tokens that one more run would add.
    fn added_tokens(&self, need: &TokenNeed) -> u64 {
        let is_new = |shared: &SharedPrompt| !self.shared_prompts.contains_key(&shared.key);
        need.unshared().saturating_add(need.shared_prompt.filter(is_new).map_or(0, |shared| shared.tokens))
    }

    fn add_run(&mut self, need: &TokenNeed) {
        self.tokens = self.tokens.saturating_add(self.added_tokens(need));
        self.runs += 1;
        if let Some(shared) = need.shared_prompt {
            self.shared_prompts.entry(shared.key).or_insert((0, shared.tokens)).0 += 1;
        }
    }

    fn remove_run(&mut self, need: &TokenNeed) {
        self.runs = self.runs.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(need.unshared());
        let Some(shared) = need.shared_prompt else { return };
        let Some((runs, tokens)) = self.shared_prompts.get_mut(&shared.key) else { return };
        *runs -= 1;
        if *runs == 0 {
            self.tokens = self.tokens.saturating_sub(*tokens);
            self.shared_prompts.remove(&shared.key);
        }
    }
}

/// An engine that takes no further runs of this node, so that it becomes free for a run that needs all of it.
#[derive(Clone, Debug)]
struct ReservedEngine {
    instance: Name,
    until: Timestamp,
}

/// Tokens that this node's runs use at each engine, and the capacity of the engines of each service.
///
/// Engines are identified by instance and kept for as long as a run of this node is there, even while service
/// discovery doesn't list them, so that the end of each run subtracts what its start added.
#[derive(Debug, Default)]
pub struct EngineMemory {
    /// Version of the configuration that set the capacities.
    config_version: u64,
    /// Capacity of an engine by service, in tokens; services of unknown capacity are left out.
    capacities: BTreeMap<Name, u64>,
    usage: BTreeMap<Name, EngineUsage>,
    /// Reserved engines, at most one for each service.
    reserved: BTreeMap<Name, ReservedEngine>,
    /// When it was last logged that an engine is full.
    logged_at: BTreeMap<Name, Timestamp>,
}

impl EngineMemory {
    /// Sets the engine capacity of each service from a configuration, unless a newer one was already used.
    pub fn set_capacities(&mut self, routing: &RoutingTable) {
        if routing.version < self.config_version {
            return;
        }
        self.config_version = routing.version;
        let known = routing.services.values().filter(|service| service.engine_tokens > 0);
        self.capacities = known.map(|service| (service.name.clone(), service.engine_tokens)).collect();
    }

    /// Returns the capacity of one engine of a service in tokens, if it is known.
    pub fn capacity(&self, service: &str) -> Option<u64> {
        self.capacities.get(service).copied()
    }

    /// Returns whether a request is expected to need more than any engine of a service has. This is an
    /// estimate, since the length of the output is; see [`Self::can_never_run`].
    pub fn is_oversize(&self, service: &str, need: &TokenNeed) -> bool {
        self.capacity(service).is_some_and(|capacity| need.total() > capacity)
    }

    /// Returns whether the prompt of a request leaves no memory for a single token of output.
    pub fn can_never_run(&self, service: &str, need: &TokenNeed) -> bool {
        self.capacity(service).is_some_and(|capacity| need.total_prompt() >= capacity)
    }

    /// Returns whether an engine has memory for one more run. A run that is expected to need more than any
    /// engine has is allowed where this node has no other run: only the engine can tell.
    pub fn has_capacity(&self, now: Timestamp, service: &str, instance: &str, need: &TokenNeed) -> bool {
        let Some(capacity) = self.capacity(service) else { return true };
        if need.total() <= capacity && self.is_reserved(now, service, instance) {
            return false;
        }
        let Some(usage) = self.usage.get(instance) else { return true };
        usage.tokens.saturating_add(usage.added_tokens(need)) <= capacity
    }

    fn is_reserved(&self, now: Timestamp, service: &str, instance: &str) -> bool {
        self.reserved.get(service).is_some_and(|reserved| &*reserved.instance == instance && now < reserved.until)
    }

    /// Reserves the least used of `engines` for a run that needs all of one, unless an engine of the service is
    /// already reserved. The only engine of a service is never reserved.
    pub fn reserve_one(&mut self, now: Timestamp, service: &str, engines: &[Name]) {
        let is_reserved = self.reserved.get(service).is_some_and(|reserved| now < reserved.until);
        if is_reserved || engines.len() < 2 {
            return;
        }
        let least_used = engines.iter().min_by_key(|engine| self.tokens_at(engine));
        if let Some(instance) = least_used.cloned() {
            self.reserved.insert(service.into(), ReservedEngine { instance, until: now + RESERVATION_TIME });
        }
    }

    /// Adds the tokens of a run.
    pub fn add_run(&mut self, instance: &Name, need: &TokenNeed) {
        // Only a run that the engine is reserved for can be placed there.
        self.reserved.retain(|_, reserved| reserved.instance != *instance);
        self.usage.entry(instance.clone()).or_default().add_run(need);
    }

    /// Subtracts the tokens of a run.
    pub fn remove_run(&mut self, instance: &str, need: &TokenNeed) {
        let Some(usage) = self.usage.get_mut(instance) else { return };
        usage.remove_run(need);
        if usage.runs == 0 {
            self.usage.remove(instance);
        }
    }

    /// Returns the tokens that this node's runs use at an engine.
    pub fn tokens_at(&self, instance: &str) -> u64 {
        self.usage.get(instance).map_or(0, |usage| usage.tokens)
    }

    /// Returns the engines with runs of this node that have no memory for one more, with the tokens in use.
    pub fn full_engines(&self, now: Timestamp, service: &str, need: &TokenNeed) -> Vec<(Name, u64)> {
        let Some(capacity) = self.capacity(service) else { return Vec::new() };
        // This cheap check usually excludes all engines.
        let may_be_full = |usage: &EngineUsage| usage.tokens.saturating_add(need.total()) > capacity;
        let is_full = |(instance, usage): &(&Name, &EngineUsage)| {
            may_be_full(usage) && !self.has_capacity(now, service, instance, need)
        };
        self.usage.iter().filter(is_full).map(|(instance, usage)| (instance.clone(), usage.tokens)).collect()
    }

    /// Returns whether to log now that an engine is full, and if so, records the time of the log line.
    pub fn should_log(&mut self, now: Timestamp, instance: &Name) -> bool {
        self.logged_at.retain(|_, logged_at| now.since(*logged_at) < LOG_INTERVAL);
        let is_due = !self.logged_at.contains_key(instance);
        if is_due {
            self.logged_at.insert(instance.clone(), now);
        }
        is_due
    }

    /// Returns the engines with runs of this node and the tokens in use, sorted by tokens in descending order.
    pub fn usage_by_engine(&self) -> Vec<(Name, u64)> {
        let mut engines: Vec<(Name, u64)> =
            self.usage.iter().map(|(name, usage)| (name.clone(), usage.tokens)).collect();
        engines.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        engines
    }
}
