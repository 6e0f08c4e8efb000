//! Crashes of one request content.

use super::{CrashReport, RunProgress};
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
    /// How far the furthest run on the server got.
    pub(super) progress: RunProgress,
}

/// Crashes of one content, by the digest of the crashed server's start.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRecord {
    crashes: BTreeMap<u64, Crash>,
    /// How far any run of the content got on any server.
    reach: RunProgress,
}

impl SuspectRecord {
    /// Merges a crash with the one known for the same server start. Returns whether it contained anything new.
    pub(super) fn merge(&mut self, server_start: u64, crash: Crash, max_crashes: usize) -> bool {
        self.reach = self.reach.furthest(crash.progress);
        let Some(known) = self.crashes.get_mut(&server_start) else {
            if self.crashes.len() >= max_crashes && !self.remove_oldest_inactive() {
                return false;
            }
            self.crashes.insert(server_start, crash);
            return true;
        };
        // The flags only change from false to true and the progress only grows, so the order in which reports arrive
        // makes no difference.
        let merged = Crash {
            at: known.at,
            is_trial: known.is_trial || crash.is_trial,
            is_cleared: known.is_cleared || crash.is_cleared,
            progress: known.progress.furthest(crash.progress),
        };
        let is_new = merged != *known;
        *known = merged;
        is_new
    }

    /// Removes the oldest crash that does not count. Otherwise a content that was harmless for long could not be
    /// blocked once it crashes servers. Returns whether there was one.
    fn remove_oldest_inactive(&mut self) -> bool {
        let active: Vec<u64> = self.active().map(|(server_start, _)| *server_start).collect();
        let inactive = self.crashes.iter().filter(|(server_start, _)| !active.contains(server_start));
        let Some((server_start, _)) = inactive.min_by_key(|(_, crash)| crash.at) else { return false };
        let server_start = *server_start;
        self.crashes.remove(&server_start);
        true
    }

    pub(super) fn clear(&mut self, server_start: u64) {
        if let Some(crash) = self.crashes.get_mut(&server_start) {
            crash.is_cleared = true;
        }
    }

    /// Records how far a run got that is still in progress. Returns the crashes that this clears: the run has passed
    /// the points at which they cut theirs.
    pub(super) fn record_progress(&mut self, progress: RunProgress) -> Vec<u64> {
        self.reach = self.reach.furthest(progress);
        let reach = self.reach;
        let is_passed = |crash: &Crash| {
            reach.has_passed_events(crash.progress) && reach.has_passed_position(crash.progress) && !crash.is_cleared
        };
        let passed: Vec<u64> =
            self.crashes.iter().filter(|(_, crash)| is_passed(crash)).map(|(server_start, _)| *server_start).collect();
        passed.iter().for_each(|server_start| self.clear(*server_start));
        passed
    }

    /// Returns the crashes that count: those that were not cleared, at a point that no run has passed.
    ///
    /// A content that crashes servers does so at one point, either a number of events after a run begins or at a place
    /// of the text, and no run gets further. The crashes at the furthest point are returned by the one of the two
    /// counts that has more of them.
    pub(super) fn active(&self) -> impl Iterator<Item = (&u64, &Crash)> {
        let is_last = |has_passed: fn(RunProgress, RunProgress) -> bool| {
            move |(_, crash): &(&u64, &Crash)| !crash.is_cleared && !has_passed(self.reach, crash.progress)
        };
        let by_events = is_last(RunProgress::has_passed_events);
        let by_position = is_last(RunProgress::has_passed_position);
        let uses_position =
            self.crashes.iter().filter(&by_position).count() > self.crashes.iter().filter(&by_events).count();
        let is_active = if uses_position { by_position } else { by_events };
        self.crashes.iter().filter(is_active)
    }

    /// Returns whether a crash of the server start counts.
    pub(super) fn has_crash(&self, server_start: u64) -> bool {
        self.active().any(|(active_start, _)| *active_start == server_start)
    }

    /// Returns a crash, whether or not it counts.
    pub(super) fn crash(&self, server_start: u64) -> Option<&Crash> {
        self.crashes.get(&server_start)
    }

    /// Returns whether the content ran on the server when it crashed, whether or not that counts.
    pub(super) fn was_running(&self, server_start: u64) -> bool {
        self.crashes.contains_key(&server_start)
    }

    /// Returns all crashes, with those that do not count.
    pub(super) fn all(&self) -> impl Iterator<Item = (&u64, &Crash)> {
        self.crashes.iter()
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
