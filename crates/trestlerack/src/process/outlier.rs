//! Sets aside backend servers that look healthy and answer badly, and lets them back in steps.

use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of an [`OutlierDetector`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct OutlierSettings {
    /// Bad answers in a row after which a backend server is ejected.
    pub max_failures: u32,
    /// Time of the first ejection; it doubles with each further one.
    pub ejection: Duration,
    /// Largest share of the backend servers that may be ejected at once, in percent.
    pub max_ejected_percent: u32,
    /// Time in which a returning backend server's limit doubles.
    pub ramp: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            max_failures: 3,
            ejection: Duration::from_secs(5),
            max_ejected_percent: 50,
            ramp: Duration::from_secs(2),
        }
    }
}

/// Largest number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct BackendRecord {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

/// Watches the answers of the backend servers of one service.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    records: BTreeMap<Name, BackendRecord>,
}

impl OutlierDetector {
    /// Builds a detector that has seen nothing.
    pub fn new(settings: OutlierSettings) -> Self {
        Self { settings, records: BTreeMap::new() }
    }

    /// Records an answer; returns `true` if the backend server is ejected by it.
    ///
    /// `backends` is how many serve in all, for the floor.
    pub fn record(&mut self, now: Timestamp, backend: &Name, good: bool, backends: usize) -> bool {
        let ejected = self.records.values().filter(|record| is_ejected(record, now)).count();
        let record = self.records.entry(backend.clone()).or_default();
        if good {
            record.failures = 0;
            if self.settings.limit(record, now, u32::MAX) == u32::MAX {
                *record = BackendRecord::default();
            }
            return false;
        }
        record.failures += 1;
        let floor_holds = (ejected + 1) * 100 <= backends * self.settings.max_ejected_percent as usize;
        if record.failures < self.settings.max_failures || is_ejected(record, now) || !floor_holds {
            return false;
        }
        let doublings = record.ejections.min(MAX_DOUBLINGS);
        record.ejected_until = Some(now + self.settings.ejection * 2_u32.pow(doublings));
        record.ejections += 1;
        record.failures = 0;
        true
    }

    /// Returns how many requests `backend` may work on at `now`, out of its `slots`: none while it
    /// is ejected, then 1, 2, 4 and so on.
    pub fn limit(&self, now: Timestamp, backend: &str, slots: u32) -> u32 {
        self.records.get(backend).map_or(slots, |record| self.settings.limit(record, now, slots))
    }
}

impl OutlierSettings {
    fn limit(&self, record: &BackendRecord, now: Timestamp, slots: u32) -> u32 {
        let Some(until) = record.ejected_until else { return slots };
        if now < until {
            return 0;
        }
        let doublings = now.since(until).as_millis() / self.ramp.as_millis().max(1);
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        1_u32.checked_shl(doublings).unwrap_or(u32::MAX).min(slots)
    }
}

fn is_ejected(record: &BackendRecord, now: Timestamp) -> bool {
    record.ejected_until.is_some_and(|until| now < until)
}
