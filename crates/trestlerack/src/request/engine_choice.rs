//! Which engine a call goes to.

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
    /// Any engine.
    Random,
    /// The engine with the fewest calls per slot.
    LeastInFlight,
    /// The better of two random engines.
    TwoChoices,
    /// The engine that the prompt's prefix hashes to, unless it has more than `bound` times the
    /// mean number of calls; then the next one that the prefix hashes to.
    PrefixAffinity {
        /// Largest accepted load relative to the mean.
        bound: f64,
    },
}

/// An engine that may serve a call and has a free slot.
#[derive(Clone, Debug)]
pub struct EngineView<'a> {
    /// Name of the engine.
    pub name: &'a Name,
    /// Calls in progress on it.
    pub in_flight: u32,
    /// Calls that it may work on.
    pub slots: u32,
    /// Time that it takes for a token, in milliseconds; `None` before one was observed.
    pub millis_per_token: Option<f64>,
}

/// Chooses engines by a policy.
#[derive(Clone, Debug)]
pub struct EngineChooser {
    policy: ChoicePolicy,
    random: Pcg64Mcg,
}

impl EngineChooser {
    /// Builds a chooser; `random` serves the policies that draw.
    pub fn new(policy: ChoicePolicy, random: Pcg64Mcg) -> Self {
        Self { policy, random }
    }

    /// Returns the index of the chosen engine, or `None` if there is none to choose.
    pub fn choose(&mut self, prefix: u64, engines: &[EngineView<'_>]) -> Option<usize> {
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

/// Returns how much each engine gets done relative to the others: slots over time per token. An
/// engine that was not observed yet counts as average.
fn capacities(engines: &[EngineView<'_>]) -> Vec<f64> {
    let known: Vec<f64> = engines.iter().filter_map(|engine| engine.millis_per_token).collect();
    let average = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
    let speed = |engine: &EngineView<'_>| 1.0 / engine.millis_per_token.unwrap_or(average).max(SHORTEST_TOKEN);
    engines.iter().map(|engine| f64::from(engine.slots.max(1)) * speed(engine)).collect()
}

/// Shortest time per token that is believed, in milliseconds, so that no engine looks endless.
const SHORTEST_TOKEN: f64 = 0.001;

fn least_loaded(
    engines: &[EngineView<'_>],
    capacities: &[f64],
    indices: impl IntoIterator<Item = usize>,
) -> Option<usize> {
    let load = |index: &usize| f64::from(engines[*index].in_flight + 1) / capacities[*index];
    indices.into_iter().min_by(|left, right| load(left).total_cmp(&load(right)))
}

/// The load bound keeps a popular prefix from queueing behind itself while other engines idle. Each
/// engine's bound is its share of the capacity, and the call itself counts, so that an idle set of
/// engines accepts it anywhere.
fn by_prefix(prefix: u64, engines: &[EngineView<'_>], capacities: &[f64], bound: f64) -> Option<usize> {
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
