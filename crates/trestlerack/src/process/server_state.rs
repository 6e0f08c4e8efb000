//! What a node believes of one backend server.

use super::expected_latency::{LearntSlowness, StatedSlowness};
use super::registry::ServerEntry;
use super::server_health::{ServerStanding, StandingRecord};
use super::server_observations::WordRecord;
use crate::version::WeightVersion;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Load that a server stated.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedLoad {
    pub(super) others: u32,
    pub(super) at: Timestamp,
}

/// What this node believes of one server.
#[derive(Clone, Debug)]
pub struct ServerBelief {
    /// Its entry in service discovery.
    pub entry: ServerEntry,
    /// Requests of this node that it works on.
    pub in_flight: u32,
    /// Requests that this node has sent there.
    pub(super) sent: u64,
    pub(super) load: StatedLoad,
    pub(super) stated: Option<StatedSlowness>,
    pub(super) learnt: LearntSlowness,
    pub(super) record: StandingRecord,
    pub(super) word: WordRecord,
    pub(super) pace_ms: Option<f64>,
    pub(super) pace_at: Timestamp,
    pub(super) failures: u32,
    pub(super) refusals: u32,
    pub(super) not_before: Timestamp,
    pub(super) versions: BTreeMap<Name, WeightVersion>,
    pub(super) loading_until: Option<Timestamp>,
}

impl ServerBelief {
    pub(super) fn new(entry: ServerEntry) -> Self {
        let versions = entry.models.iter().cloned().collect();
        Self {
            entry,
            in_flight: 0,
            sent: 0,
            load: StatedLoad::default(),
            stated: None,
            learnt: LearntSlowness::default(),
            record: StandingRecord::default(),
            word: WordRecord::default(),
            pace_ms: None,
            pace_at: Timestamp::default(),
            failures: 0,
            refusals: 0,
            not_before: Timestamp::default(),
            versions,
            loading_until: None,
        }
    }

    /// Returns the version of a model that the server is believed to hold.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.versions.get(model).copied()
    }

    pub(super) fn slots(&self) -> u32 {
        self.entry.slots.max(1)
    }

    pub(super) fn busy(&self, now: Timestamp, load_age: Duration) -> u32 {
        let others = if now.since(self.load.at) < load_age { self.load.others } else { 0 };
        self.in_flight + others
    }
}

/// What was believed of a server when it was chosen, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct ChoiceBasis {
    /// Requests of this node that it works on.
    pub in_flight: u32,
    /// Requests of others, as it stated.
    pub others: u32,
    /// Time since it stated its load, in milliseconds, if it ever did.
    pub load_age_ms: Option<u64>,
    /// How many times slower than its service's median it is.
    pub slowness: f64,
    /// How many times longer than usual a call is expected to take, without what runs and waits there.
    pub expected: f64,
    /// Its standing.
    pub standing: ServerStanding,
    /// The node on whose word this rests; `None` where it rests on this node's own calls.
    pub told_by: Option<Name>,
    /// Version of the model asked for; 0 where none is known or asked for.
    pub weights: WeightVersion,
}
