//! Divides the engines of a service among its models while the jobs of some models may run in some zones only.
//!
//! An engine that is assigned to a model whose jobs may not run in its zone is of no use to that model, so only
//! engines in allowed zones count. See
//! [docs/design/allowed-regions.md](../../../../docs/design/allowed-regions.md#engines-of-a-model).

use crate::{AllowedZones, Name};
use std::collections::BTreeMap;

/// The zones in which the jobs of restricted models may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelPlacement {
    zones: BTreeMap<Name, AllowedZones>,
}

impl ModelPlacement {
    /// Sets the allowed zones of a model; `None` allows all.
    pub fn set(&mut self, model: &Name, zones: Option<AllowedZones>) {
        match zones {
            Some(zones) => self.zones.insert(model.clone(), zones),
            None => self.zones.remove(model),
        };
    }

    /// Returns whether no model is restricted.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns whether the jobs of a model may run in a zone.
    pub fn allows(&self, model: &str, zone: &str) -> bool {
        self.zones.get(model).is_none_or(|zones| zones.allows(zone))
    }
}

/// An engine with the model that it is assigned to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PlacedEngine {
    pub(super) instance: Name,
    pub(super) zone: Name,
    pub(super) model: Name,
}

/// Engines of a service that are to be divided among its models.
pub(super) struct EngineDivision<'a> {
    pub(super) placement: &'a ModelPlacement,
    pub(super) models: &'a [Name],
    pub(super) engines: Vec<PlacedEngine>,
}

impl EngineDivision<'_> {
    /// Returns the number of engines of each model that its jobs may use.
    pub(super) fn usable_counts(&self) -> BTreeMap<Name, usize> {
        let mut counts: BTreeMap<Name, usize> = self.models.iter().map(|model| (model.clone(), 0)).collect();
        for engine in self.engines.iter().filter(|engine| self.is_usable(engine)) {
            if let Some(count) = counts.get_mut(&engine.model) {
                *count += 1;
            }
        }
        counts
    }

    fn is_usable(&self, engine: &PlacedEngine) -> bool {
        self.placement.allows(&engine.model, &engine.zone)
    }

    /// Moves engines to the models that can use the fewest, first those that their own model cannot use, until none
    /// that `lacks` engines can gain one without its donor falling behind. Returns each moved engine with its new
    /// model.
    pub(super) fn rebalance(&mut self, lacks: impl Fn(&Name, usize) -> bool) -> Vec<(Name, Name)> {
        let mut moved: BTreeMap<Name, Name> = BTreeMap::new();
        // Each engine moves a few times at most; the bound only guards against an endless loop.
        for _ in 0..self.engines.len() * self.models.len() {
            let counts = self.usable_counts();
            let mut receivers: Vec<(usize, &Name)> = counts
                .iter()
                .filter(|(model, count)| lacks(model, **count))
                .map(|(name, count)| (*count, name))
                .collect();
            receivers.sort();
            let found = receivers.iter().find_map(|(_, model)| Some((self.donor(model, &counts)?, (*model).clone())));
            let Some((index, model)) = found else { break };
            let engine = &mut self.engines[index];
            engine.model = model.clone();
            moved.insert(engine.instance.clone(), model);
        }
        moved.into_iter().collect()
    }

    /// Returns the engine that a model gets next: one that its own model cannot use, or else one of the model that can
    /// use the most.
    fn donor(&self, receiver: &Name, counts: &BTreeMap<Name, usize>) -> Option<usize> {
        let is_candidate = |engine: &&(usize, &PlacedEngine)| {
            engine.1.model != *receiver && self.placement.allows(receiver, &engine.1.zone)
        };
        let candidates = || self.engines.iter().enumerate().filter(|engine| is_candidate(&engine));
        if let Some((index, _)) = candidates().find(|(_, engine)| !self.is_usable(engine)) {
            return Some(index);
        }
        let count = |model: &Name| counts.get(model).copied().unwrap_or(usize::MAX);
        let (index, engine) = candidates().max_by_key(|(_, engine)| count(&engine.model))?;
        (count(&engine.model) > count(receiver) + 1).then_some(index)
    }
}
