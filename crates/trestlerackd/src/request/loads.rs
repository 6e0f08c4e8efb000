//! What this node knows of its peers' load, from their answers and its own outstanding calls.

use super::shards::Sharded;
use std::collections::HashMap;
use std::time::Duration;
use trestlerack::connection::NodeLoad;
use trestlerack::{Name, Timestamp};

/// Time in which a reported load fades.
const REPORT_LIFE: Duration = Duration::from_millis(300);

#[derive(Default)]
struct OwnerLoad {
    reported: u32,
    reported_at: Timestamp,
    outstanding: u32,
    millis_per_token: Option<f64>,
}

/// Loads by model and owner.
#[derive(Default)]
pub struct LoadTable {
    loads: Sharded<HashMap<(Name, Name), OwnerLoad>>,
}

impl LoadTable {
    /// Returns the calls that an owner is believed to have for a model, and its time per token.
    ///
    /// A report fades: an owner that was busy when it last answered and was not asked since would
    /// otherwise look busy for ever.
    pub fn belief(&self, now: Timestamp, model: &Name, owner: &Name) -> (u32, Option<f64>) {
        let shard = self.loads.lock(model);
        let Some(load) = shard.get(&(model.clone(), owner.clone())) else { return (0, None) };
        let age = now.since(load.reported_at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
        let reported = f64::from(load.reported) * (1.0 - age).max(0.0);
        (load.outstanding.max(reported.round() as u32), load.millis_per_token)
    }

    /// Takes in a load that an owner reported.
    pub fn report(&self, now: Timestamp, model: &Name, owner: &Name, load: &NodeLoad) {
        let mut shard = self.loads.lock(model);
        let held = shard.entry((model.clone(), owner.clone())).or_default();
        held.reported = load.in_flight + load.queued;
        held.reported_at = now;
        held.millis_per_token = load.millis_per_token;
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
