//! Load-balancing policies that choose the engine for a call.

use crate::Name;
use crate::hash::rendezvous_weight;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// How an engine is chosen among those that may serve a call.
///
/// Only [`ChoicePolicy::PrefixAffinity`] is used in production; the others are the baselines that
/// [docs/MEASUREMENTS.md](../../../../docs/MEASUREMENTS.md) compares it with.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoicePolicy {
    /// A random engine.
    Random,
    /// The engine with the fewest calls in progress, relative to its capacity.
    LeastInFlight,
    /// The less loaded of two random engines.
    TwoChoices,
    /// Rendezvous hashing of the prompt's prefix with bounded loads: engines whose load exceeds
    /// `bound` times the mean are skipped.
    PrefixAffinity {
        /// Largest accepted load relative to the mean.
        bound: f64,
    },
}

/// An engine with a free slot that can serve a call.
#[derive(Clone, Debug)]
pub struct EngineCandidate<'a> {
    /// Name of the engine.
    pub name: &'a Name,
    /// Calls in progress on it.
    pub in_flight: u32,
    /// Calls that it may run at once.
    pub slots: u32,
    /// Observed time per token in milliseconds; `None` before the first observation.
    pub millis_per_token: Option<f64>,
}

/// Chooses an engine for each call according to a [`ChoicePolicy`].
#[derive(Clone, Debug)]
pub struct EngineChooser {
    policy: ChoicePolicy,
    random: Pcg64Mcg,
}

impl EngineChooser {
    /// Builds a chooser; `random` is the random number generator of the randomized policies.
    pub fn new(policy: ChoicePolicy, random: Pcg64Mcg) -> Self {
        Self { policy, random }
    }

    /// Returns the index of the chosen engine, or `None` if `engines` is empty.
    pub fn choose(&mut self, prefix: u64, engines: &[EngineCandidate<'_>]) -> Option<usize> {
        if engines.is_empty() {
            return None;
        }
        let capacities = capacities(engines);
        match self.policy {
            ChoicePolicy::Random => Some(self.random.random_range(0..engines.len())),
            ChoicePolicy::LeastInFlight => least_loaded(engines, &capacities, 0..engines.len()),
            ChoicePolicy::TwoChoices => {
                let first = self.random.random_range(0..engines.len());
                let second = self.random.random_range(0..engines.len());
                least_loaded(engines, &capacities, [first, second])
            }
            ChoicePolicy::PrefixAffinity { bound } => by_prefix(prefix, engines, &capacities, bound),
        }
    }
}

/// Returns the relative throughput of each engine: its slots divided by its time per token. An
/// engine without observations is assigned the average time per token.
fn capacities(engines: &[EngineCandidate<'_>]) -> Vec<f64> {
    let known: Vec<f64> = engines.iter().filter_map(|engine| engine.millis_per_token).collect();
    let average = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let speed =
        |engine: &EngineCandidate<'_>| 1.0 / engine.millis_per_token.unwrap_or(average).max(MIN_MILLIS_PER_TOKEN);
    engines.iter().map(|engine| f64::from(engine.slots.max(1)) * speed(engine)).collect()
}

/// Lower limit for the time per token, in milliseconds, so that no engine's capacity is infinite.
const MIN_MILLIS_PER_TOKEN: f64 = 0.001;

fn least_loaded(
    engines: &[EngineCandidate<'_>],
    capacities: &[f64],
    indices: impl IntoIterator<Item = usize>,
) -> Option<usize> {
    let load = |index: &usize| f64::from(engines[*index].in_flight + 1) / capacities[*index];
    indices.into_iter().min_by(|left, right| load(left).total_cmp(&load(right)))
}

/// Chooses by rendezvous hash among the engines within the load bound.
///
/// The bound prevents calls with a popular prefix from queueing on one engine while others are idle.
/// Each engine's limit is proportional to its share of the capacity. The new call is included in the
/// load, so that every engine of an idle set is within its limit.
fn by_prefix(prefix: u64, engines: &[EngineCandidate<'_>], capacities: &[f64], bound: f64) -> Option<usize> {
    let in_flight: u32 = engines.iter().map(|engine| engine.in_flight).sum();
    let per_capacity = bound * f64::from(in_flight + 1) / capacities.iter().sum::<f64>();
    let within = |index: &usize| {
        let limit = (per_capacity * capacities[*index]).ceil();
        f64::from(engines[*index].in_flight + 1) <= limit
    };
    let candidates = (0..engines.len()).filter(within);
    let weight = |index: &usize| rendezvous_weight(prefix, engines[*index].name);
    candidates.max_by_key(weight).or_else(|| least_loaded(engines, capacities, 0..engines.len()))
}
