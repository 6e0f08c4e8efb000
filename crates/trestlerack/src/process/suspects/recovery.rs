//! Recovery trials: single runs of a blocked content, to find out whether other crashes were taken for its own.
//!
//! [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#requests-that-end-servers) explains when there is one.

use super::suspect_record::{Crash, SuspectRecord};
use super::{SuspectState, SuspectTracker};
use crate::Timestamp;
use crate::request::RequestFingerprint;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Settings of recovery trials.
#[derive(Clone, Debug)]
pub struct RecoverySettings {
    /// Number of recovery trials that a content gets at all nodes together. Each may crash one more server.
    pub max_trials: u32,
    /// Number of late crashes of a content from which it gets no more trials.
    pub max_late_crashes: usize,
    /// Time after the crash from which a content is blocked, after which further crashes are late.
    pub late_time: Duration,
    /// Time without crashes before a trial, so that it is not cut by the cause of the crashes before.
    pub calm_time: Duration,
    /// Time before and after a crash of the content in which a foreign crash leaves its cause open.
    pub doubt_window: Duration,
    /// Time between two trials of a content, in which the first one can pass the points of earlier crashes.
    pub trial_interval: Duration,
}

impl Default for RecoverySettings {
    fn default() -> Self {
        Self {
            max_trials: 2,
            max_late_crashes: 2,
            late_time: Duration::from_secs(3),
            calm_time: Duration::from_secs(4),
            doubt_window: Duration::from_secs(10),
            trial_interval: Duration::from_secs(3),
        }
    }
}

/// Recovery trials of one content.
#[derive(Clone, Debug, Default)]
struct TrialLog {
    /// Times of the trials that were used, by their numbers.
    used: BTreeMap<u32, Timestamp>,
    /// Time at which this node last tried to reserve one.
    attempted_at: Option<Timestamp>,
}

impl TrialLog {
    fn last_at(&self) -> Option<Timestamp> {
        self.used.values().copied().max().max(self.attempted_at)
    }
}

/// Recovery trials that contents have used, at all nodes.
#[derive(Debug, Default)]
pub(super) struct RecoveryTrials {
    contents: HashMap<RequestFingerprint, TrialLog>,
}

impl RecoveryTrials {
    /// Returns the log of a content. A new one replaces the oldest if there are `max_contents`.
    fn log_mut(&mut self, fingerprint: RequestFingerprint, max_contents: usize) -> &mut TrialLog {
        if self.contents.len() >= max_contents && !self.contents.contains_key(&fingerprint) {
            let oldest = self.contents.iter().min_by_key(|(fingerprint, log)| (log.last_at(), **fingerprint));
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.contents.remove(&oldest);
            }
        }
        self.contents.entry(fingerprint).or_default()
    }

    /// Makes all trials of a content available again.
    pub(super) fn restore_all(&mut self, fingerprint: RequestFingerprint) {
        self.contents.remove(&fingerprint);
    }

    fn next_number(&self, fingerprint: RequestFingerprint, max_trials: u32) -> Option<u32> {
        let used = self.contents.get(&fingerprint).map(|log| &log.used);
        (1..=max_trials).find(|number| used.is_none_or(|used| !used.contains_key(number)))
    }

    /// Records that this node tries to reserve a trial. Returns its number.
    pub(super) fn attempt(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        max_trials: u32,
        max_contents: usize,
    ) -> Option<u32> {
        self.log_mut(fingerprint, max_contents).attempted_at = Some(now);
        self.next_number(fingerprint, max_trials)
    }

    /// Returns the number of trials that a content has used.
    pub(super) fn used_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.contents.get(&fingerprint).map_or(0, |log| log.used.len())
    }

    pub(super) fn last_at(&self, fingerprint: RequestFingerprint) -> Option<Timestamp> {
        self.contents.get(&fingerprint).and_then(TrialLog::last_at)
    }
}

impl SuspectTracker {
    /// Returns the time until a blocked content may have its next recovery trial; `None` if it gets none before it is
    /// forgotten.
    pub fn time_to_recovery(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Option<Duration> {
        let settings = &self.settings.recovery;
        let record = self.records.get(&fingerprint)?;
        self.recovery_trials.next_number(fingerprint, settings.max_trials)?;
        let is_blocked = matches!(self.state(now, fingerprint), SuspectState::Blocked(_));
        if !is_blocked || self.count_late_crashes(record) >= settings.max_late_crashes {
            return None;
        }
        let foreign = self.foreign_crashes(fingerprint, record);
        if self.is_caused_by_content(now, record, &foreign) {
            return None;
        }
        let last_foreign_at = self.last_unexplained_at(now, fingerprint, &foreign);
        let calm_at = last_foreign_at.max(Some(record.last_crash_at())).map(|at| at + settings.calm_time);
        let next_at = self.recovery_trials.last_at(fingerprint).map(|at| at + settings.trial_interval);
        Some(calm_at.max(next_at).map_or(Duration::ZERO, |at| at.since(now)))
    }

    /// Starts a recovery trial if one is due. Returns its number, which the caller reserves at all nodes before it
    /// sends the request, and then passes to [`SuspectTracker::record_recovery_trial`].
    pub fn start_recovery_trial(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> Option<u32> {
        if self.time_to_recovery(now, fingerprint)? > Duration::ZERO {
            return None;
        }
        let (max_trials, max_suspects) = (self.settings.recovery.max_trials, self.settings.max_suspects);
        self.recovery_trials.attempt(now, fingerprint, max_trials, max_suspects)
    }

    /// Records that a recovery trial was used, at any node.
    pub fn record_recovery_trial(&mut self, at: Timestamp, fingerprint: RequestFingerprint, number: u32) {
        let max_suspects = self.settings.max_suspects;
        self.recovery_trials.log_mut(fingerprint, max_suspects).used.insert(number, at);
    }

    /// Records that a recovery trial is available again, because no server ran its request or an answer at another node
    /// cleared the content. It delays no other trial.
    pub fn restore_recovery_trial(&mut self, fingerprint: RequestFingerprint, number: u32) {
        if let Some(log) = self.recovery_trials.contents.get_mut(&fingerprint) {
            log.used.remove(&number);
            log.attempted_at = None;
        }
    }

    /// Returns the numbers of the recovery trials that a content has used.
    pub fn used_recovery_trials(&self, fingerprint: RequestFingerprint) -> Vec<u32> {
        let log = self.recovery_trials.contents.get(&fingerprint);
        log.map_or_else(Vec::new, |log| log.used.keys().copied().collect())
    }

    /// Returns the number of crashes that happened late after those that suffice to block the content.
    fn count_late_crashes(&self, record: &SuspectRecord) -> usize {
        let mut times: Vec<Timestamp> = record.active().map(|(_, crash)| crash.at).collect();
        times.sort_unstable();
        let Some(blocked_at) = times.get(self.settings.block_threshold - 1).copied() else { return 0 };
        // Those that do not count are included, as other crashes may have cut runs of a content that crashes servers.
        let trials = record.all().filter(|(_, crash)| crash.is_trial && !crash.is_cleared);
        trials.filter(|(_, crash)| crash.at.since(blocked_at) > self.settings.recovery.late_time).count()
    }

    /// Returns the servers' starts and the times of crashes of servers that did not run the content.
    pub(super) fn foreign_crashes(&self, own: RequestFingerprint, record: &SuspectRecord) -> Vec<(u64, Timestamp)> {
        let others = self.records.iter().filter(|(other, _)| **other != own);
        let reported = others.flat_map(|(_, other)| other.all()).map(|(server_start, crash)| (*server_start, crash.at));
        let crashes = reported.chain(self.server_crashes.iter());
        crashes.filter(|(server_start, _)| !record.was_running(*server_start)).collect()
    }

    /// Returns the time of the last foreign crash that no trial of another blocked content explains. Otherwise the
    /// trials of contents that crash servers would delay those of all others.
    fn last_unexplained_at(
        &self,
        now: Timestamp,
        own: RequestFingerprint,
        foreign: &[(u64, Timestamp)],
    ) -> Option<Timestamp> {
        let is_blocked = |(other, other_record): &(&RequestFingerprint, &SuspectRecord)| {
            **other != own
                && other_record.active().count() >= self.settings.block_threshold
                && matches!(self.state(now, **other), SuspectState::Blocked(_))
        };
        let blocked: Vec<&SuspectRecord> = self.records.iter().filter(is_blocked).map(|(_, other)| other).collect();
        let is_explained = |server_start: u64| {
            blocked.iter().any(|other| other.crash(server_start).is_some_and(|crash| crash.is_trial))
        };
        foreign.iter().filter(|(server_start, _)| !is_explained(*server_start)).map(|(_, at)| *at).max()
    }

    /// Returns whether enough crashes happened while no foreign crash did.
    pub(super) fn is_caused_by_content(
        &self,
        now: Timestamp,
        record: &SuspectRecord,
        foreign: &[(u64, Timestamp)],
    ) -> bool {
        let window = self.settings.recovery.doubt_window;
        let is_near = |at: Timestamp, foreign_at: Timestamp| at.since(foreign_at).max(foreign_at.since(at)) <= window;
        let stands_alone = |crash: &Crash| !foreign.iter().any(|(_, foreign_at)| is_near(crash.at, *foreign_at));
        let settled = record.active().filter(|(_, crash)| now.since(crash.at) >= self.settings.settle_time);
        settled.filter(|(_, crash)| stands_alone(crash)).count() >= self.settings.block_threshold
    }
}
