//! Estimated load of the owners of engines, from their reports and this node's outstanding calls.

use super::shards::Sharded;
use std::collections::HashMap;
use std::time::Duration;
use trestlerack::connection::NodeLoad;
use trestlerack::{Name, Timestamp};

/// Time in which the weight of a reported load decays to zero.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(300);

#[derive(Default)]
struct OwnerLoad {
    reported: u32,
    reported_at: Timestamp,
    outstanding: u32,
    millis_per_token: Option<f64>,
}

/// Estimated loads by model and owner.
#[derive(Default)]
pub struct LoadTable {
    loads: Sharded<HashMap<(Name, Name), OwnerLoad>>,
}

impl LoadTable {
    /// Returns the estimated number of an owner's calls for a model, and its milliseconds per token.
    ///
    /// A report decays with age. Otherwise an owner that reported a high load and got no call since
    /// would look busy forever.
    pub fn estimate(&self, now: Timestamp, model: &Name, owner: &Name) -> (u32, Option<f64>) {
        let shard = self.loads.lock(model);
        let Some(load) = shard.get(&(model.clone(), owner.clone())) else { return (0, None) };
        let age = now.since(load.reported_at).as_secs_f64() / REPORT_DECAY_TIME.as_secs_f64();
        let reported = f64::from(load.reported) * (1.0 - age).max(0.0);
        (load.outstanding.max(reported.round() as u32), load.millis_per_token)
    }

    /// Records a load that an owner reported.
    pub fn record_report(&self, now: Timestamp, model: &Name, owner: &Name, load: &NodeLoad) {
        let mut shard = self.loads.lock(model);
        let entry = shard.entry((model.clone(), owner.clone())).or_default();
        entry.reported = load.in_flight + load.queued;
        entry.reported_at = now;
        entry.millis_per_token = load.millis_per_token;
    }

    /// Counts a call that was sent to an owner.
    pub fn record_start(&self, model: &Name, owner: &Name) {
        let mut shard = self.loads.lock(model);
        shard.entry((model.clone(), owner.clone())).or_default().outstanding += 1;
    }

    /// Removes an ended call from the outstanding and the reported calls of an owner.
    pub fn record_end(&self, model: &Name, owner: &Name) {
        let mut shard = self.loads.lock(model);
        let load = shard.entry((model.clone(), owner.clone())).or_default();
        load.outstanding = load.outstanding.saturating_sub(1);
        load.reported = load.reported.saturating_sub(1);
    }
}
