//! Crashes of one request content.

use super::CrashReport;
use crate::request::RequestFingerprint;
use crate::{Timestamp, time::millis};
use std::collections::BTreeMap;

/// Crash of a server that ran the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Time of the crash on this node's clock.
    pub(super) at: Timestamp,
    pub(super) is_trial: bool,
    pub(super) is_cleared: bool,
}

/// Crashes of one content, by the digest of the crashed server's start.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRecord {
    crashes: BTreeMap<u64, Crash>,
}

impl SuspectRecord {
    /// Merges a crash with the one known for the same server start. Returns whether it contained anything new.
    pub(super) fn merge(&mut self, server_start: u64, crash: Crash, max_crashes: usize) -> bool {
        let Some(known) = self.crashes.get_mut(&server_start) else {
            if self.crashes.len() >= max_crashes && !self.remove_oldest_cleared() {
                return false;
            }
            self.crashes.insert(server_start, crash);
            return true;
        };
        // The flags only change from false to true, so the order in which reports arrive makes no difference.
        let merged = Crash {
            at: known.at,
            is_trial: known.is_trial || crash.is_trial,
            is_cleared: known.is_cleared || crash.is_cleared,
        };
        let is_new = merged != *known;
        *known = merged;
        is_new
    }

    /// Removes the oldest cleared crash. Otherwise a content that was harmless for long could not be blocked once it
    /// crashes servers. Returns whether there was one.
    fn remove_oldest_cleared(&mut self) -> bool {
        let cleared = self.crashes.iter().filter(|(_, crash)| crash.is_cleared);
        let Some((server_start, _)) = cleared.min_by_key(|(_, crash)| crash.at) else { return false };
        let server_start = *server_start;
        self.crashes.remove(&server_start);
        true
    }

    pub(super) fn clear(&mut self, server_start: u64) {
        if let Some(crash) = self.crashes.get_mut(&server_start) {
            crash.is_cleared = true;
        }
    }

    /// Returns the crashes that were not cleared.
    pub(super) fn active(&self) -> impl Iterator<Item = (&u64, &Crash)> {
        self.crashes.iter().filter(|(_, crash)| !crash.is_cleared)
    }

    pub(super) fn has_crash(&self, server_start: u64) -> bool {
        self.crashes.get(&server_start).is_some_and(|crash| !crash.is_cleared)
    }

    /// Returns the time of the last crash.
    pub(super) fn last_crash_at(&self) -> Timestamp {
        self.crashes.values().map(|crash| crash.at).max().unwrap_or_default()
    }

    pub(super) fn reports(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = CrashReport> + '_ {
        self.crashes.iter().map(move |(server_start, crash)| CrashReport {
            fingerprint,
            server_start: *server_start,
            is_trial: crash.is_trial,
            is_cleared: crash.is_cleared,
            age_ms: millis(now.since(crash.at)),
        })
    }
}
