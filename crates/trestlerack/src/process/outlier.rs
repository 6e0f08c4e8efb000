//! Ejects backend servers that look healthy but respond with failures, and readmits them gradually.

use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of an [`OutlierDetector`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct OutlierSettings {
    /// Consecutive failures after which a backend server is ejected.
    pub max_failures: u32,
    /// Duration of the first ejection; it doubles with each further one.
    pub ejection: Duration,
    /// Largest percentage of the backend servers that may be ejected at the same time.
    pub max_ejected_percent: u32,
    /// Time in which the limit of a readmitted backend server doubles.
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

/// Detects failing backend servers of one service.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    records: BTreeMap<Name, BackendRecord>,
}

impl OutlierDetector {
    /// Creates a detector without any records.
    pub fn new(settings: OutlierSettings) -> Self {
        Self { settings, records: BTreeMap::new() }
    }

    /// Records a response; returns `true` if it ejects the backend server.
    ///
    /// `backends` is the total number of backend servers, which limits how many may be ejected.
    pub fn record_response(&mut self, now: Timestamp, backend: &Name, good: bool, backends: usize) -> bool {
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
        let is_within_limit = (ejected + 1) * 100 <= backends * self.settings.max_ejected_percent as usize;
        if record.failures < self.settings.max_failures || is_ejected(record, now) || !is_within_limit {
            return false;
        }
        let doublings = record.ejections.min(MAX_DOUBLINGS);
        record.ejected_until = Some(now + self.settings.ejection * 2_u32.pow(doublings));
        record.ejections += 1;
        record.failures = 0;
        true
    }

    /// Returns how many of its `slots` a backend server may use at `now`: none while it is ejected, then 1, 2,
    /// 4 and so on.
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
