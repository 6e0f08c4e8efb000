//! What this node knows of its peers' load, from their answers and its own outstanding calls.

use super::shards::Sharded;
use std::collections::HashMap;
use trestlerack::Name;
use trestlerack::connection::NodeLoad;

#[derive(Default)]
struct OwnerLoad {
    reported: u32,
    outstanding: u32,
}

/// Loads by model and owner.
#[derive(Default)]
pub struct LoadTable {
    loads: Sharded<HashMap<(Name, Name), OwnerLoad>>,
}

impl LoadTable {
    /// Returns the calls that an owner is believed to have for a model.
    pub fn calls(&self, model: &Name, owner: &Name) -> u32 {
        let shard = self.loads.lock(model);
        let load = shard.get(&(model.clone(), owner.clone()));
        load.map_or(0, |load| load.reported.max(load.outstanding))
    }

    /// Takes in a load that an owner reported.
    pub fn report(&self, model: &Name, owner: &Name, load: &NodeLoad) {
        let mut shard = self.loads.lock(model);
        shard.entry((model.clone(), owner.clone())).or_default().reported = load.in_flight + load.queued;
    }

    /// Counts a call out to an owner.
    pub fn began(&self, model: &Name, owner: &Name) {
        let mut shard = self.loads.lock(model);
        shard.entry((model.clone(), owner.clone())).or_default().outstanding += 1;
    }

    /// Counts a call back in.
    pub fn ended(&self, model: &Name, owner: &Name) {
        let mut shard = self.loads.lock(model);
        let load = shard.entry((model.clone(), owner.clone())).or_default();
        load.outstanding = load.outstanding.saturating_sub(1);
        load.reported = load.reported.saturating_sub(1);
    }
}
